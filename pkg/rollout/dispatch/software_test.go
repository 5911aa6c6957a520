package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

// setSoftware sets the software versions of the engines e0, e1 and so on.
func (f *fixture) setSoftware(versions ...string) {
	for i, v := range versions {
		id := fmt.Sprintf("e%d", i)
		u := f.upstreams[id]
		u.Software = v
		f.upstreams[id] = u
	}
	f.sync()
}

func (f *fixture) setState(id string, state discovery.State) {
	u := f.upstreams[id]
	u.State = state
	f.upstreams[id] = u
	f.sync()
}

// Guards against texts that continue at engines of another software version.
func TestTextIsAssignedToItsSoftwareVersionOnly(t *testing.T) {
	f := newFixture(4, 2, "m")
	f.setSoftware("v1", "v2", "", "v1")
	f.add(10, dispatch.Task{Model: "m", Software: "v1", TextEvents: 3, QueuedMS: f.now})
	as := f.AssignTasks(f.now)
	if len(as) != 4 {
		t.Fatalf("%d tasks assigned, want the 4 slots of version v1", len(as))
	}
	for _, a := range as {
		if a.Software != "v1" {
			t.Errorf("assigned to engine %s of version %q, want v1", a.Engine, a.Software)
		}
	}
}

// assertStranded fails unless n tasks are taken as stranded.
func (f *fixture) assertStranded(t *testing.T, what string, n int) {
	t.Helper()
	if got := len(f.TakeStranded(f.now)); got != n {
		t.Errorf("%s: %d tasks stranded, want %d", what, got, n)
	}
}

// Guards against texts that wait for a software version longer than they take to generate,
// and against texts that are given up while their version has a slot.
func TestTextWaitsForItsSoftwareVersionAsLongAsItTakesToGenerate(t *testing.T) {
	const events = 10
	newBusy := func(software ...string) *fixture {
		f := newFixture(2, 2, "m")
		f.setSoftware(software...)
		f.add(4, dispatch.Task{Model: "m"})
		as := f.AssignTasks(f.now)
		f.generate(as, func(string) rollout.Millis { return eventMS })
		for _, a := range as {
			if a.Engine == "e1" {
				f.RunEnded(f.now, a, dispatch.OutcomeDone)
			}
		}
		f.Add(dispatch.Task{JobID: "job", ItemID: "text", Pool: pool, Model: "m", Software: "v1", TextEvents: events, QueuedMS: f.now})
		return f
	}
	t.Run("version busy, others free", func(t *testing.T) {
		f := newBusy("v1", "v2")
		f.now += events*eventMS - 1
		f.assertStranded(t, "before its text could be generated anew", 0)
		f.now += 2
		f.assertStranded(t, "after that", 1)
	})
	t.Run("version free", func(t *testing.T) {
		f := newBusy("v2", "v1")
		f.now += 2 * events * eventMS
		f.assertStranded(t, "with a slot at its version", 0)
	})
	t.Run("all busy", func(t *testing.T) {
		f := newBusy("v1", "v2")
		f.add(2, dispatch.Task{Model: "m"})
		_ = f.AssignTasks(f.now)
		f.now += 2 * events * eventMS
		f.assertStranded(t, "without a slot anywhere", 0)
	})
	t.Run("version gone", func(t *testing.T) {
		f := newBusy("v1", "v2")
		f.setState("e0", discovery.StateDraining)
		f.assertStranded(t, "with its last engine draining", 1)
	})
	t.Run("version crashed", func(t *testing.T) {
		f := newBusy("v1", "v2")
		for failures, stranded := range []int{0, 1} {
			f.RunEnded(f.now, dispatch.Assignment{Task: dispatch.Task{JobID: "job", ItemID: "i0"}, Engine: "e0"}, dispatch.OutcomeBroken)
			f.assertStranded(t, fmt.Sprintf("after %d failures of its last engine", failures+1), stranded)
		}
	})
	t.Run("no engine", func(t *testing.T) {
		f := newBusy("v1", "v2")
		f.setState("e0", discovery.StateGone)
		f.setState("e1", discovery.StateGone)
		f.assertStranded(t, "without any engine", 0)
	})
}

// Guards against runs that leave a slow engine for one that cannot continue their text, and
// against runs that stay there although they would end earlier from the start elsewhere.
func TestRunsOnSlowEngineMoveOrStartAnew(t *testing.T) {
	for name, tc := range map[string]struct {
		other          string
		expectedTokens int
		moves, anew    bool
	}{
		"version has capacity":                 {"v1", 100, true, false},
		"other version, most is to be done":    {"v2", 100, true, true},
		"other version, nearly all is done":    {"v2", slowEvents + 1, false, false},
		"other version, length is not known":   {"v2", 0, true, true},
		"unknown version, most is to be done":  {"", 100, true, true},
		"unknown version, nearly all was done": {"", slowEvents + 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(3, 8, "m")
			f.setSoftware("v1", tc.other, tc.other)
			f.add(6, dispatch.Task{Model: "m", ExpectedTokens: tc.expectedTokens})
			f.generate(f.AssignTasks(f.now), func(engine string) rollout.Millis {
				if engine == "e0" {
					return slowEventMS
				}
				return eventMS
			})
			moves := 0
			for _, m := range f.PlanMoves(f.now) {
				if m.Engine != "e0" || m.Stalled {
					continue
				}
				moves++
				if m.Anew != tc.anew {
					t.Errorf("move %+v, want anew: %v", m, tc.anew)
				}
			}
			if (moves > 0) != tc.moves {
				t.Errorf("%d runs leave the slow engine, want moves: %v", moves, tc.moves)
			}
		})
	}
}

// Guards against runs that are cut, or lose their text, to move to engines that are nearly
// full, where all engines have one software version.
func TestRunsOfOneSoftwareVersionMoveToFreeSlotsOnly(t *testing.T) {
	// Moved runs fill an engine to eight tenths.
	const slots, moveSlots = 10, 8
	for _, running := range []int{slots, 7, 5} {
		t.Run(fmt.Sprintf("%d of %d slots taken", running, slots), func(t *testing.T) {
			f := newFixture(3, slots, "m")
			f.setSoftware("v1", "v1", "v1")
			f.add(3*running, dispatch.Task{Model: "m", ExpectedTokens: 100})
			as := f.AssignTasks(f.now)
			runs := make(map[string]int)
			for _, a := range as {
				runs[a.Engine]++
			}
			wantMoves := min(runs["e0"], max(0, moveSlots-runs["e1"])+max(0, moveSlots-runs["e2"]))
			f.generate(as, func(engine string) rollout.Millis {
				if engine == "e0" {
					return slowEventMS
				}
				return eventMS
			})
			moves := f.PlanMoves(f.now)
			for _, m := range moves {
				if m.Anew {
					t.Errorf("move %+v loses its text", m)
				}
			}
			if len(moves) != wantMoves {
				t.Errorf("%d runs move, want %d", len(moves), wantMoves)
			}
		})
	}
}
