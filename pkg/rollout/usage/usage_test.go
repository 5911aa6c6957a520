package usage

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// TestWindowsAddUpToMeteredTotal guards against usage that is lost or counted
// twice. It delivers the reports of several runs late, repeatedly and out of
// order, closes windows in between, and checks that the windows add up to the
// metered total and that closed windows do not change.
func TestWindowsAddUpToMeteredTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := New()
		meters := make(map[string]*Meter)
		var sent []Report
		closed := make(map[uint64]string)
		now := rollout.Millis(1)
		var metered uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now++
			run := fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "run"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if meters[run] == nil {
					meters[run] = NewMeter()
				}
				n := rapid.Uint64Range(1, 9).Draw(t, "tokens")
				metered += n
				meters[run].Add(Subject{"a" + run, "p"}, Figures{Requests: 1, OutputTokens: n})
				sent = append(sent, Report{Agent: "agent", Incarnation: run, Lines: meters[run].Lines()})
			case 1, 2:
				if len(sent) > 0 {
					state.Add(now, rapid.SampledFrom(sent).Draw(t, "report"))
				}
			case 3:
				if w, ok := state.CloseWindow(CloseWindow{Number: state.NextWindow, ToMS: now}); ok {
					closed[w.Number] = fmt.Sprint(w.Lines)
				}
			}
		}
		for _, r := range sent {
			state.Add(now, r)
		}
		total := tokens(state.Open)
		for _, w := range state.Windows {
			total += tokens(w.Lines)
			if was, ok := closed[w.Number]; ok && was != fmt.Sprint(w.Lines) {
				t.Fatalf("closed window %d changed from %s to %v", w.Number, was, w.Lines)
			}
		}
		if total != metered {
			t.Fatalf("windows hold %d tokens, want %d", total, metered)
		}
	})
}

func TestWindowClosesOnce(t *testing.T) {
	state := New()
	state.Add(1, Report{Agent: "a", Incarnation: "1", Lines: []Line{{Subject{"x", "p"}, Figures{Requests: 1}}}})
	if _, ok := state.CloseWindow(CloseWindow{Number: 1, ToMS: 10}); !ok {
		t.Fatal("window 1 did not close")
	}
	if _, ok := state.CloseWindow(CloseWindow{Number: 1, ToMS: 20}); ok {
		t.Fatal("window 1 closed twice")
	}
	if got := state.Unreported(); len(got) != 1 || got[0].Number != 1 {
		t.Fatalf("unreported windows are %+v", got)
	}
	state.MarkReported(1)
	if got := state.Unreported(); len(got) != 0 {
		t.Fatalf("unreported windows are %+v", got)
	}
}

// tokens returns the sum of the output tokens of all lines.
func tokens(lines []Line) uint64 {
	var n uint64
	for _, l := range slices.All(lines) {
		n += l.OutputTokens
	}
	return n
}
