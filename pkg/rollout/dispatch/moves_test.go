package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

// hardwareEventMS is the event interval of an engine on slower hardware, which is not slow
// enough to be counted as slow.
const hardwareEventMS = eventMS * 4 / 3

// generateFor reports the events of runs for a time, each at the interval of its engine.
func (f *fixture) generateFor(ms rollout.Millis, as []dispatch.Assignment, interval func(engine string, event int) rollout.Millis) {
	next, events := make([]rollout.Millis, len(as)), make([]int, len(as))
	for i := range next {
		next[i] = f.now
	}
	for end := f.now + ms; f.now < end; f.now++ {
		for i, a := range as {
			if f.now == next[i] {
				f.EventReceived(f.now, a.Task)
				events[i]++
				next[i] += interval(a.Engine, events[i])
			}
		}
	}
}

// fastBut returns the interval of a pool in which one engine differs.
func fastBut(slow string, ms rollout.Millis) func(string, int) rollout.Millis {
	return func(engine string, _ int) rollout.Millis {
		if engine == slow {
			return ms
		}
		return eventMS
	}
}

// endRuns ends the runs of an engine.
func (f *fixture) endRuns(as []dispatch.Assignment, engine string, o dispatch.Outcome) {
	for _, a := range as {
		if a.Engine == engine {
			f.RunEnded(f.now, a, o)
		}
	}
}

func runsOn(as []dispatch.Assignment, engine string) int {
	n := 0
	for _, a := range as {
		if a.Engine == engine {
			n++
		}
	}
	return n
}

// Guards against a step that waits for a text that grew long on slower hardware, and against
// moves that gain nothing.
func TestRunsThatGrowLongLeaveSlowerHardware(t *testing.T) {
	for name, tc := range map[string]struct {
		expectedTokens int
		ms             rollout.Millis
		moves          bool
	}{
		"estimate is long":            {100, 1_000, true},
		"estimate is exceeded by far": {5, 1_400, true},
		"no estimate, short text":     {0, 400, false},
		"nearly done":                 {30, 1_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(3, 8, "m")
			f.setSoftware("v1", "v1", "v1")
			f.add(6, dispatch.Task{Model: "m", ExpectedTokens: tc.expectedTokens})
			as := f.AssignTasks(f.now)
			f.generateFor(tc.ms, as, fastBut("e0", hardwareEventMS))
			moves := f.PlanMoves(f.now)
			for _, m := range moves {
				if m.Engine != "e0" || m.Target == "" || m.Target == "e0" || m.Anew {
					t.Errorf("move %+v, want only moves from e0 to a faster engine with the text", m)
				}
			}
			if want := runsOn(as, "e0"); tc.moves && len(moves) != want {
				t.Errorf("%d runs move, want the %d of the slower engine", len(moves), want)
			}
			if !tc.moves && len(moves) != 0 {
				t.Errorf("moves %+v, want none", moves)
			}
		})
	}
}

// Guards against runs that change places because prompts are read: an event that waits for
// one comes late on any engine.
func TestRunsStayWhereOnlyPromptsDelayEvents(t *testing.T) {
	const delayedEventMS = 3 * eventMS
	f := newFixture(3, 8, "m")
	f.setSoftware("v1", "v1", "v1")
	f.add(12, dispatch.Task{Model: "m", ExpectedTokens: 400})
	f.generateFor(1_200, f.AssignTasks(f.now), func(engine string, event int) rollout.Millis {
		if engine == "e0" && event%4 == 0 {
			return delayedEventMS
		}
		return eventMS
	})
	if moves := f.PlanMoves(f.now); len(moves) != 0 {
		t.Errorf("moves %+v, want none", moves)
	}
}

// Guards against runs that change places between equal engines, each time to the one that has
// had fewer runs for a moment.
func TestRunsStayWhereOnlyLoadDiffers(t *testing.T) {
	f := newFixture(3, 8, "m")
	f.setSoftware("v1", "v1", "v1")
	f.add(12, dispatch.Task{Model: "m", ExpectedTokens: 400})
	as := f.AssignTasks(f.now)
	f.generateFor(1_000, as, fastBut("", 0))
	f.generateFor(1_200, as, fastBut("e0", hardwareEventMS))
	if moves := f.PlanMoves(f.now); len(moves) != 0 {
		t.Errorf("moves %+v, want none", moves)
	}
}

// Guards against moved runs that lose their slot to tasks that wait, and start again where
// they came from.
func TestMovedRunGetsSlotOfItsTarget(t *testing.T) {
	const slots = 4
	f := newFixture(2, slots, "m")
	f.setSoftware("v1", "v1")
	f.add(2*slots, dispatch.Task{Model: "m", ExpectedTokens: 100})
	as := f.AssignTasks(f.now)
	f.generateFor(1_000, as, fastBut("e0", hardwareEventMS))
	f.endRuns(as, "e1", dispatch.OutcomeCancelled)
	moves := f.PlanMoves(f.now)
	if len(moves) == 0 {
		t.Fatal("no run moves to the engine that became free")
	}
	for i := range 2 * slots {
		f.Add(dispatch.Task{JobID: "earlier", ItemID: fmt.Sprint(i), Pool: pool, Model: "m", DueMS: -1, QueuedMS: f.now})
	}
	if got, want := runsOn(f.AssignTasks(f.now), "e1"), slots-len(moves); got != want {
		t.Errorf("%d waiting tasks start on the target of %d moves, want %d", got, len(moves), want)
	}
	moved := make(map[string]bool)
	for _, m := range moves {
		moved[m.ItemID] = true
	}
	for _, a := range as {
		if moved[a.Task.ItemID] {
			f.RunEnded(f.now, a, dispatch.OutcomeMoved)
			f.Add(a.Task)
		}
	}
	for _, a := range f.AssignTasks(f.now) {
		if moved[a.Task.ItemID] && a.Engine != "e1" {
			t.Errorf("moved run %s started on %s, want its target e1", a.Task.ItemID, a.Engine)
		}
	}
}

// Guards against slots that stay empty for runs that ended before they moved.
func TestReservedSlotIsReleased(t *testing.T) {
	const slots, reservationMS = 4, 500
	f := newFixture(2, slots, "m")
	f.setSoftware("v1", "v1")
	f.add(2*slots, dispatch.Task{Model: "m", ExpectedTokens: 100})
	as := f.AssignTasks(f.now)
	f.generateFor(1_000, as, fastBut("e0", hardwareEventMS))
	f.endRuns(as, "e1", dispatch.OutcomeCancelled)
	if len(f.PlanMoves(f.now)) == 0 {
		t.Fatal("no run moves to the engine that became free")
	}
	f.endRuns(as, "e0", dispatch.OutcomeCancelled)
	f.now += reservationMS + 1
	f.PlanMoves(f.now)
	f.add(2*slots, dispatch.Task{Model: "m", ExpectedTokens: 100})
	if got := runsOn(f.AssignTasks(f.now), "e1"); got != slots {
		t.Errorf("%d tasks start on the target, want all %d slots", got, slots)
	}
}

// Guards against estimates in tokens that are taken for events: nearly complete texts would
// leave slower hardware, each with a connection and a prompt that is read again.
func TestEstimatesAreComparedInEvents(t *testing.T) {
	const tokensPerEvent, events, longEvents = 60, 10, 60
	for name, tc := range map[string]struct {
		expectedEvents int
		moves          bool
	}{
		"nearly done":        {events + 2, false},
		"most is to be done": {longEvents, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(3, 8, "m")
			f.setSoftware("v1", "v1", "v1")
			f.add(6, dispatch.Task{Model: "m", ExpectedTokens: events * tokensPerEvent})
			as := f.AssignTasks(f.now)
			f.generateFor(events*hardwareEventMS, as, fastBut("e0", hardwareEventMS))
			for _, a := range as {
				f.RunEnded(f.now, a, dispatch.OutcomeDone)
			}
			f.add(12, dispatch.Task{Model: "m", ExpectedTokens: tc.expectedEvents * tokensPerEvent})
			as = f.AssignTasks(f.now)
			if runsOn(as, "e0") == 0 {
				t.Fatal("no run starts on the slower engine")
			}
			f.generateFor(events*hardwareEventMS, as, fastBut("e0", hardwareEventMS))
			if moves := f.PlanMoves(f.now); (len(moves) > 0) != tc.moves {
				t.Errorf("%d runs move, want moves: %v", len(moves), tc.moves)
			}
		})
	}
}

// Guards against a text of one weight version that moves to an engine of another, where it
// could not be continued.
func TestTextOfOneVersionMovesWithinIt(t *testing.T) {
	f := newFixture(3, 8, "m")
	f.setSoftware("v1", "v1", "v1")
	for id, version := range map[string]uint64{"e0": 2, "e1": 3, "e2": 2} {
		u := f.upstreams[id]
		u.Models = []discovery.Model{{Name: "m", Version: version}}
		f.upstreams[id] = u
	}
	f.sync()
	f.add(9, dispatch.Task{Model: "m", MinVersion: 1, SingleVersion: true, ExpectedTokens: 100})
	f.generateFor(1_000, f.AssignTasks(f.now), fastBut("e0", hardwareEventMS))
	moves := f.PlanMoves(f.now)
	if len(moves) == 0 {
		t.Fatal("no run leaves the slower engine")
	}
	for _, m := range moves {
		if m.Target != "e2" || m.Anew {
			t.Errorf("move %+v, want moves with the text to e2, which serves the same version", m)
		}
	}
}
