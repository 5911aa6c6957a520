package jobstore

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// engineRun is a run of an item at an engine.
type engineRun struct{ engine, after string }

// runLog records the runs of items. The first breaking runs of each item break off after
// three events.
type runLog struct {
	mu       sync.Mutex
	breaking int
	runs     map[string][]engineRun
	// onBreak is called when a run breaks off. It may be nil.
	onBreak func(engine string)
}

// faultFor implements the faults of fakeEngines.
func (l *runLog) faultFor(x rollout.UpstreamRequest, run int) *fault {
	if x.Address == "s" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]engineRun)
	}
	l.runs[x.AttemptID] = append(l.runs[x.AttemptID], engineRun{x.Instance, x.ResumeAfter})
	if run > l.breaking || x.ResumeAfter != "" {
		return nil
	}
	if l.onBreak != nil {
		l.onBreak(x.Instance)
	}
	return &fault{breakAfter: 3}
}

// withSoftware returns a view with engines of the given software versions by ID.
func withSoftware(engines map[string]string) view.State {
	v := testView(nil)
	for id, u := range v.Upstreams {
		if u.Pool == "engines" {
			delete(v.Upstreams, id)
		}
	}
	for id, software := range engines {
		v.Upstreams[id] = discovery.Upstream{
			ID: id, Pool: "engines", Address: id, State: discovery.StateReady, Slots: 4, Born: 1, Software: software,
			Models: []discovery.Model{{Name: "m", Version: 1}},
		}
	}
	return v
}

func itemNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	return names
}

// assertTextsOfOneVersion fails if a run continues a text that engines of another software
// version began, or of an unknown one.
func assertTextsOfOneVersion(t *testing.T, l *runLog, software map[string]string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for item, runs := range l.runs {
		begunAt := ""
		for _, r := range runs {
			if r.after == "" {
				begunAt = software[r.engine]
			} else if begunAt == "" || software[r.engine] != begunAt {
				t.Errorf("item %s went on after event %s at engine %s of version %q, the text is of version %q", item, r.after, r.engine, software[r.engine], begunAt)
			}
		}
	}
}

// Guards against texts that engines of two software versions wrote together.
func TestItemContinuesAtSoftwareVersionOfItsText(t *testing.T) {
	software := map[string]string{"a": "v1", "b": "v2", "c": "v1", "d": "v2"}
	l := &runLog{breaking: 1}
	s, _ := newLeader(t, l.faultFor)
	s.applyView(withSoftware(software))
	for id, r := range runJob(t, s, newSpec("j", 1, itemNames(20)...)) {
		t.Run(id, func(t *testing.T) { assertCompleted(t, r) })
	}
	assertTextsOfOneVersion(t, l, software)
}

// Guards against texts that go on at engines whose software version is unknown.
func TestTextOfUnknownSoftwareVersionStartsAnew(t *testing.T) {
	software := map[string]string{"a": "", "b": ""}
	l := &runLog{breaking: 1}
	s, _ := newLeader(t, l.faultFor)
	s.applyView(withSoftware(software))
	for id, r := range runJob(t, s, newSpec("j", 1, itemNames(4)...)) {
		t.Run(id, func(t *testing.T) { assertCompleted(t, r) })
	}
	assertTextsOfOneVersion(t, l, software)
}

// Guards against items that wait for a software version that has left, or go on without it.
func TestItemStartsAnewWhenSoftwareVersionIsGone(t *testing.T) {
	software := map[string]string{"a": "v1", "b": "v2"}
	l := &runLog{breaking: 1}
	s, _ := newLeader(t, l.faultFor)
	left := make(map[string]string)
	l.onBreak = func(engine string) {
		if len(left) == 0 {
			for id, v := range software {
				if id != engine {
					left[id] = v
				}
			}
			go s.applyView(withSoftware(left))
		}
	}
	s.applyView(withSoftware(software))
	assertCompleted(t, runJob(t, s, newSpec("j", 1, "i1"))["i1"])
	assertTextsOfOneVersion(t, l, software)
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := l.runs["i1"][len(l.runs["i1"])-1]; last.after != "" {
		t.Fatalf("runs %v, want a new start at the remaining engine", l.runs["i1"])
	}
}

// Guards against texts that go on at another software version after the leader of the store
// has changed, or in a later step.
func TestStoredTextKeepsSoftwareVersion(t *testing.T) {
	t.Parallel()
	software := map[string]string{"a": "v1", "b": "v2"}
	l := &runLog{breaking: 1}
	engines := newFakeEngines(l.faultFor)
	dir := t.TempDir()
	s, stop := startLeader(t, dir, engines)
	s.applyView(withSoftware(map[string]string{"a": "v1"}))
	l.onBreak = func(string) { go s.applyView(withSoftware(nil)) }
	submitJob(t, s, newSpec("j", 1, "i1"))
	eventually(t, "a run that breaks off", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return len(l.runs["i1"]) > 0 })
	eventually(t, "no engines", func() bool {
		r, err := s.leadingRunner()
		if err != nil {
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.upstreams) == 1
	})
	stop()
	l.onBreak = nil
	s, _ = startLeader(t, dir, engines)
	s.applyView(withSoftware(map[string]string{"b": "v2"}))
	var page Page
	eventually(t, "the result", func() bool {
		var err error
		page, err = s.read(t.Context(), ReadRequest{JobID: "j", Account: "acc"})
		return err == nil && len(page.Results) == 1
	})
	assertCompleted(t, page.Results[0])
	assertTextsOfOneVersion(t, l, software)
}

// Guards against texts that an engine continues that has started again under its ID with
// another software version, which the run alone does not show.
func TestTextIsDiscardedIfItsEngineStartedAgainWithOtherSoftware(t *testing.T) {
	var store atomic.Pointer[Store]
	l := &runLog{breaking: 1}
	s, _ := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
		if x.AttemptID == "i1" && run == 2 {
			v := withSoftware(map[string]string{"a": "v2"})
			u := v.Upstreams["a"]
			u.Born = 2
			v.Upstreams["a"] = u
			store.Load().applyView(v)
		}
		return l.faultFor(x, run)
	})
	store.Store(s)
	s.applyView(withSoftware(map[string]string{"a": "v1"}))
	assertCompleted(t, runJob(t, s, newSpec("j", 1, "i1"))["i1"])
	l.mu.Lock()
	defer l.mu.Unlock()
	want := []engineRun{{"a", ""}, {"a", "3"}, {"a", ""}}
	if !slices.Equal(l.runs["i1"], want) {
		t.Fatalf("runs %v, want %v", l.runs["i1"], want)
	}
}

// Guards against texts of two software versions when the leader is out of step with control: an
// engine has started again under its ID with other software.
func TestTextDoesNotGoOnByAnOutdatedView(t *testing.T) {
	s, f := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
		if run == 1 && !strings.HasPrefix(x.AttemptID, "score-") {
			return &fault{breakAfter: 2}
		}
		return nil
	})
	s.confirmCopy = func(context.Context, rollout.Millis) error {
		return rollout.NewError(rollout.KindNoAuthority, "the view is old").WithNotRun()
	}
	for id, r := range runJob(t, s, newSpec("j", 1, "i1", "i2")) {
		assertCompleted(t, r)
		f.mu.Lock()
		if after := f.resumedAfter[id]; after != "" {
			t.Errorf("item %s went on after event %s, want a run from the start", id, after)
		}
		f.mu.Unlock()
	}
}
