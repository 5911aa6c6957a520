package jobstore

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const mib = 1 << 20

// storeWithJobs returns a store of 100 MiB that holds open and ended jobs of some sizes. Of its
// 20 MiB for items, large jobs may take 15.
func storeWithJobs(memory int64, open, ended []int) *Store {
	s := &Store{opts: Options{MemoryBytes: memory}, state: job.NewStateMachine()}
	for i, n := range open {
		id := fmt.Sprint("open", i)
		s.state.Jobs[id] = &job.Job{Spec: specOf(id, n)}
	}
	for i, n := range ended {
		id := fmt.Sprint("ended", i)
		s.state.Jobs[id] = &job.Job{Spec: specOf(id, n), Ended: true}
	}
	return s
}

func specOf(id string, bytes int) job.Spec {
	return job.Spec{ID: id, Items: []job.Item{{ID: id, Body: make([]byte, bytes)}}}
}

// Guards against jobs that together exceed the memory of a host.
func TestJobsAreAdmittedWithinTheMemory(t *testing.T) {
	for name, c := range map[string]struct {
		memory      int64
		open, ended []int
		bytes       int
		want        bool
	}{
		"empty":                       {100 * mib, nil, nil, 4 * mib, true},
		"largest, alone":              {100 * mib, nil, nil, 60 * mib, true},
		"largest, beside another":     {100 * mib, []int{mib}, nil, 60 * mib, false},
		"within":                      {100 * mib, []int{4 * mib, 4 * mib}, nil, 4 * mib, true},
		"beyond":                      {100 * mib, []int{4 * mib, 4 * mib, 4 * mib}, nil, 4 * mib, false},
		"ended jobs do not count":     {100 * mib, []int{4 * mib}, []int{4 * mib, 4 * mib}, 4 * mib, true},
		"small beside large ones":     {100 * mib, []int{14 * mib}, nil, mib / 2, true},
		"small, beyond":               {100 * mib, []int{19 * mib, mib}, nil, mib / 2, false},
		"no limit without the memory": {0, []int{500 * mib}, nil, 100 * mib, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := storeWithJobs(c.memory, c.open, c.ended)
			done, err := s.admit(specOf("new", c.bytes))
			if (err == nil) != c.want {
				t.Fatalf("error %v, want admitted %v", err, c.want)
			}
			if err != nil {
				if e := rollout.AsError(err); e.Kind != rollout.KindOverloaded || !e.NotRun {
					t.Fatalf("error %v, want Overloaded and not run", err)
				}
				return
			}
			done()
			if s.submitting != 0 {
				t.Fatalf("%d bytes are being submitted, want none", s.submitting)
			}
		})
	}
}

func TestJobsThatAreBeingSubmittedCount(t *testing.T) {
	s := storeWithJobs(100*mib, nil, nil)
	if _, err := s.admit(specOf("first", 10*mib)); err != nil {
		t.Fatal(err)
	}
	if _, err := s.admit(specOf("second", 10*mib)); err == nil {
		t.Fatal("two jobs were admitted at once that do not fit together")
	}
}
