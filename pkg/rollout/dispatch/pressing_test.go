package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

// addDue queues n tasks that are due after some time.
func (f *fixture) addDue(job string, n, expectedTokens int, dueAfter rollout.Millis) {
	for i := range n {
		f.Add(dispatch.Task{
			JobID: job, ItemID: fmt.Sprint(i), Pool: pool, Model: "m", ExpectedTokens: expectedTokens,
			DueMS: f.now + dueAfter, QueuedMS: f.now, Order: uint64(i),
		})
	}
}

// A burst of short texts beside the longest text of a step: the engine of the long one keeps
// half of its slots free for a moment. Steps that arrive together after an outage, each with a
// long text at every engine, must not wait for slots that stay empty.
func TestBurstLeavesRoomBesidePressingRun(t *testing.T) {
	const slots, dueMS, longTokens, shortTokens, yieldMS = 8, 7_500, 140, 10, 500
	newBurst := func(t *testing.T) (*fixture, string) {
		t.Helper()
		f := newFixture(3, slots, "m")
		f.addDue("short", 3, shortTokens, dueMS)
		f.generateFor(400, f.AssignTasks(f.now), fastBut("", 0))
		f.addDue("long", 1, longTokens, dueMS)
		as := f.AssignTasks(f.now)
		if len(as) != 1 {
			t.Fatalf("%d long texts start, want 1", len(as))
		}
		f.addDue("burst", 3*slots, shortTokens, dueMS)
		return f, as[0].Engine
	}
	t.Run("burst", func(t *testing.T) {
		f, engine := newBurst(t)
		as := f.AssignTasks(f.now)
		if got := runsOn(as, engine); got > slots/2 {
			t.Errorf("%d short texts start beside the long one, want at most %d", got, slots/2)
		}
		for _, other := range []string{"e0", "e1", "e2"} {
			if other != engine && runsOn(as, other) < slots-2 {
				t.Errorf("%d short texts start on %s, want its free slots to be filled", runsOn(as, other), other)
			}
		}
	})
	t.Run("burst that has waited", func(t *testing.T) {
		f, engine := newBurst(t)
		_ = f.AssignTasks(f.now)
		f.now += yieldMS + 1
		before := f.Waiting()
		if got := runsOn(f.AssignTasks(f.now), engine); got == 0 || before == 0 {
			t.Errorf("%d of %d waiting texts start beside the long one, want some", got, before)
		}
	})
	t.Run("burst without time", func(t *testing.T) {
		f, engine := newBurst(t)
		f.DropJob("burst")
		f.addDue("late", slots, shortTokens, shortTokens*eventMS)
		f.addDue("late too", 2*slots, shortTokens, shortTokens*eventMS)
		if got := runsOn(f.AssignTasks(f.now), engine); got <= slots/2 {
			t.Errorf("%d texts that are due at once start beside the long one, want all free slots to be used", got)
		}
	})
}
