package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

// The steps of two trainers that arrive together: any text of the one with long texts may
// become the longest, whatever its estimate, so none waits for texts of the other, whose step
// has seconds to spare. A step that has waited for those seconds goes first.
func TestStepWithLongerTextsStartsFirst(t *testing.T) {
	const slots, longMS, shortMS, dueMS = 4, 4_000, 400, 7_500
	f := newFixture(1, slots, "long", "short")
	for model, ms := range map[string]rollout.Millis{"long": longMS, "short": shortMS} {
		f.Add(dispatch.Task{JobID: "earlier", ItemID: model, Pool: pool, Model: model, QueuedMS: f.now})
		as := f.AssignTasks(f.now)
		f.generateFor(ms, as, fastBut("", 0))
		f.RunEnded(f.now, as[0], dispatch.OutcomeDone)
	}
	addStep := func(model string, expectedTokens int, due rollout.Millis) {
		for i := range slots {
			f.Add(dispatch.Task{
				JobID: model, ItemID: fmt.Sprint(model, i), Pool: pool, Model: model, ExpectedTokens: expectedTokens,
				DueMS: due, QueuedMS: f.now,
			})
		}
	}
	for name, tc := range map[string]struct {
		shortDue rollout.Millis
		first    string
	}{
		"due together":              {dueMS, "long"},
		"short texts due far ahead": {dueMS - longMS, "short"},
	} {
		t.Run(name, func(t *testing.T) {
			addStep("short", 1_000, f.now+tc.shortDue)
			addStep("long", 1, f.now+dueMS)
			as := f.AssignTasks(f.now)
			for _, a := range as {
				if a.Task.Model != tc.first {
					t.Errorf("item %s starts first, want those of the step with %s texts", a.Task.ItemID, tc.first)
				}
				f.RunEnded(f.now, a, dispatch.OutcomeCancelled)
			}
			f.DropJob("short")
			f.DropJob("long")
		})
	}
}
