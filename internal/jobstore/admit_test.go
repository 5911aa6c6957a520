package jobstore

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const mib = 1 << 20

// storeWithJobs returns a store of 100 MiB that holds open and ended jobs of some sizes. Of its
// 20 MiB for items, large jobs may take 15.
func storeWithJobs(memory int64, open, ended []int) *Store {
	s := &Store{opts: Options{MemoryBytes: memory}, state: job.NewStateMachine(), clock: clock.Boottime{}}
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
			done, err := s.admit("new", specOf("new", c.bytes).Bytes())
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
			if len(s.submitting) != 0 {
				t.Fatalf("%v are being submitted, want none", s.submitting)
			}
		})
	}
}

func TestJobsThatAreBeingSubmittedCount(t *testing.T) {
	s := storeWithJobs(100*mib, nil, nil)
	if _, err := s.admit("first", 10*mib); err != nil {
		t.Fatal(err)
	}
	if _, err := s.admit("second", 10*mib); err == nil {
		t.Fatal("two jobs were admitted at once that do not fit together")
	}
}

// Guards against a large job that is refused as long as others come and go: the memory that it
// needs is kept free until it returns.
func TestRefusedLargeJobIsNextToFit(t *testing.T) {
	s := storeWithJobs(100*mib, []int{10 * mib}, nil)
	admit := func(id string, bytes int64, want bool) {
		t.Helper()
		done, err := s.admit(id, bytes)
		if (err == nil) != want {
			t.Fatalf("job %s of %d bytes: error %v, want admitted %v", id, bytes, err, want)
		}
		if err == nil {
			s.state.Jobs[id] = &job.Job{Spec: job.Spec{ID: id, Items: []job.Item{{Body: make([]byte, bytes-job.ItemBytes)}}}}
			done()
		}
	}
	admit("waiting", 12*mib, false)
	admit("other", 3*mib, false)
	admit("small", mib/2, true)
	s.state.Jobs["open0"].Ended = true
	admit("other", 4*mib, false)
	admit("waiting", 12*mib, true)
	s.state.Jobs["waiting"].Ended = true
	admit("other", 4*mib, true)
}

// Guards against a claim of a caller that has left.
func TestClaimOfAJobThatDoesNotReturnEnds(t *testing.T) {
	s := storeWithJobs(100*mib, []int{10 * mib}, nil)
	if _, err := s.admit("waiting", 12*mib); err == nil {
		t.Fatal("admitted beyond the memory")
	}
	s.claim.untilMS = s.clock.Now()
	if _, err := s.admit("other", 4*mib); err != nil {
		t.Fatal(err)
	}
}

// Guards against a refusal of a job that another call is submitting at the same time: the caller
// would take it for the promise that the job does not run.
func TestSecondCallOfAJobIsNotRefused(t *testing.T) {
	s := storeWithJobs(100*mib, nil, nil)
	first, err := s.admit("j", 14*mib)
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.admit("j", 14*mib)
	if err != nil {
		t.Fatal(err)
	}
	first()
	if _, err := s.admit("other", 4*mib); err == nil {
		t.Fatal("the memory of the job counts no more while a call submits it")
	}
	second()
	if _, err := s.admit("other", 4*mib); err != nil {
		t.Fatal(err)
	}
}

// A job that takes more than a host has is refused for good.
func TestJobThatNeverFitsIsRefusedForGood(t *testing.T) {
	s := storeWithJobs(100*mib, nil, nil)
	_, err := s.admit("j", 80*mib)
	if e := rollout.AsError(err); err == nil || e.Kind != rollout.KindBodyTooLarge || !e.NotRun {
		t.Fatalf("error %v, want BodyTooLarge and not run", err)
	}
}
