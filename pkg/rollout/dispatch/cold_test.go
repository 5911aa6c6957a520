package dispatch_test

import (
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

const (
	// coldBound is the number of requests that a cold engine may get in a second.
	coldBound = 20
	second    = rollout.Millis(1_000)
	// shortRunMS is the time of a run that would let an engine of 8 slots take 160 a second.
	shortRunMS = 50
)

func (f *fixture) setCold(ids ...string) {
	for id, u := range f.upstreams {
		u.ColdLimit = 0
		if slices.Contains(ids, id) {
			u.ColdLimit = coldBound / 2
		}
		f.upstreams[id] = u
	}
	f.sync()
}

// startShortRuns starts short runs at all engines for a time, with more tasks queued than
// the engines can take, and returns the times of the starts by engine.
func (f *fixture) startShortRuns(forMS rollout.Millis) map[string][]rollout.Millis {
	starts := make(map[string][]rollout.Millis)
	f.add(4_000, dispatch.Task{Model: "m"})
	running := make(map[rollout.Millis][]dispatch.Assignment)
	for end := f.now + forMS; f.now < end; f.now += 10 {
		for _, a := range running[f.now] {
			f.RunEnded(f.now, a, dispatch.OutcomeDone)
		}
		for _, a := range f.AssignTasks(f.now) {
			starts[a.Engine] = append(starts[a.Engine], f.now)
			running[f.now+shortRunMS] = append(running[f.now+shortRunMS], a)
		}
	}
	return starts
}

// mostInASecond returns the most starts in any second.
func mostInASecond(starts []rollout.Millis) int {
	most := 0
	for i, from := range starts {
		n, _ := slices.BinarySearch(starts[i:], from+second)
		most = max(most, n)
	}
	return most
}

// Guards against short runs that exceed the bound of an engine that becomes cold before it
// announces so, as after a restart.
func TestStartsStayWithinBoundOfEnginesThatMayBeCold(t *testing.T) {
	f := newFixture(3, 8, "m")
	f.SetColdBounds(map[string]float64{pool: coldBound})
	for id, starts := range f.startShortRuns(10 * second) {
		if most := mostInASecond(starts); most >= coldBound || len(starts) < 100 {
			t.Errorf("engine %s got %d runs in a second, want less than %d; %d in all, want 100 or more", id, most, coldBound, len(starts))
		}
	}
}

// Guards against a scheduler that uses the part of a cold engine's bound that callers have.
func TestColdEngineGetsHalfOfItsBound(t *testing.T) {
	f := newFixture(3, 8, "m")
	f.SetColdBounds(map[string]float64{pool: coldBound})
	f.setCold("e1")
	starts := f.startShortRuns(10 * second)
	if most := mostInASecond(starts["e1"]); most == 0 || most > coldBound/2 {
		t.Errorf("cold engine got %d runs in a second, want 1 to %d", most, coldBound/2)
	}
}

// Guards against runs that wait for a cold engine while a warm one has a slot.
func TestWarmEnginesAreUsedBeforeColdOnes(t *testing.T) {
	f := newFixture(3, 8, "m")
	f.SetColdBounds(map[string]float64{pool: coldBound})
	f.now += 2 * second
	f.setCold("e0")
	f.add(20, dispatch.Task{Model: "m"})
	counts := make(map[string]int)
	for _, a := range f.AssignTasks(f.now) {
		counts[a.Engine]++
	}
	if counts["e0"] != 4 || counts["e1"] != 8 || counts["e2"] != 8 {
		t.Errorf("runs by engine: %v, want all slots of e1 and e2 and the other 4 at e0", counts)
	}
}

// Guards against two leaders of the job store that together exceed the bound of a cold
// engine within a second.
func TestNewSchedulerLeavesColdEnginesTheRunsOfItsPredecessor(t *testing.T) {
	f := newFixture(1, 8, "m")
	f.SetColdBounds(map[string]float64{pool: coldBound})
	f.setCold("e0")
	f.add(1, dispatch.Task{Model: "m"})
	if as := f.AssignTasks(f.now); len(as) != 0 {
		t.Errorf("%d runs start at once, want none", len(as))
	}
	f.now += 2 * second
	if as := f.AssignTasks(f.now); len(as) != 1 {
		t.Errorf("%d runs start after 2 s, want 1", len(as))
	}
}

// Guards against a bound that slows engines which are never cold.
func TestEnginesOfPoolsThatAreNeverColdHaveNoBound(t *testing.T) {
	f := newFixture(1, 8, "m")
	if most := mostInASecond(f.startShortRuns(4 * second)["e0"]); most < 100 {
		t.Errorf("%d runs in a second, want 100 or more", most)
	}
}
