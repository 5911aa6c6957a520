package discovery_test

import (
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// drainMS is the time after which a leaving upstream must get nothing, the smallest of the
// deployments.
const drainMS rollout.Millis = 2_000

func twoEngines() map[string]discovery.Upstream {
	return map[string]discovery.Upstream{
		"a": {ID: "a", Pool: "p", Born: 1, State: discovery.StateReady},
		"b": {ID: "b", Pool: "p", Born: 1, State: discovery.StateReady},
	}
}

// assertStateInLog checks the state of an upstream in the view that a log gives.
func assertStateInLog(t *testing.T, l *discovery.LeavingLog, now rollout.Millis, us map[string]discovery.Upstream, id string, want discovery.State) {
	t.Helper()
	if got, _ := l.Apply(now, us); got[id].State != want {
		t.Fatalf("%s at %d ms is %s, want %s", id, now, got[id].State, want)
	}
}

func TestLeavingUpstreamDrainsAtOnceBesideAnother(t *testing.T) {
	l, us := discovery.NewLeavingLog(), twoEngines()
	if !l.Mark(0, discovery.Incarnation{ID: "a", Born: 1}) || l.Mark(5, discovery.Incarnation{ID: "a", Born: 1}) {
		t.Fatal("only the first mark is news")
	}
	assertStateInLog(t, l, 0, us, "a", discovery.StateDraining)
	assertStateInLog(t, l, 0, us, "b", discovery.StateReady)
	if us["a"].State != discovery.StateReady {
		t.Fatal("Apply changed its input")
	}
}

func TestLastUpstreamIsUsedUntilItsDrainMustEnd(t *testing.T) {
	l, us := discovery.NewLeavingLog(), twoEngines()
	l.Mark(0, discovery.Incarnation{ID: "a", Born: 1})
	l.Mark(0, discovery.Incarnation{ID: "b", Born: 1})
	assertStateInLog(t, l, 0, us, "a", discovery.StateReady)
	_, until := l.Apply(0, us)
	if until <= 0 || until >= drainMS {
		t.Fatalf("used until %d ms, want a time before %d ms", until, drainMS)
	}
	assertStateInLog(t, l, until, us, "a", discovery.StateDraining)
	assertStateInLog(t, l, until, us, "b", discovery.StateDraining)
}

func TestNextIncarnationIsNotShunned(t *testing.T) {
	for name, next := range map[string]discovery.Upstream{
		"same ID":      {ID: "a", Pool: "p", Address: "x", Born: 2, State: discovery.StateReady},
		"same address": {ID: "c", Pool: "p", Address: "x", Born: 2, State: discovery.StateReady},
	} {
		t.Run(name, func(t *testing.T) {
			l, us := discovery.NewLeavingLog(), twoEngines()
			l.Mark(0, discovery.Incarnation{ID: "a", Born: 1})
			before, _ := l.Report()
			delete(us, "a")
			us[next.ID] = next
			assertStateInLog(t, l, 0, us, next.ID, discovery.StateReady)
			after, marked := l.Report()
			if next.ID == "a" && (after == before || len(marked) != 0) {
				t.Fatalf("revision %d, marked %v; want another revision than %d and none", after, marked, before)
			}
		})
	}
}

// An announcement of an incarnation that has left may arrive late, at a leader of control
// that doesn't know that it has left.
func TestLeavingUpstreamThatComesBackIsShunned(t *testing.T) {
	l, us := discovery.NewLeavingLog(), twoEngines()
	l.Mark(0, discovery.Incarnation{ID: "a", Born: 1})
	left := twoEngines()
	delete(left, "a")
	l.Apply(5_000, left)
	assertStateInLog(t, l, 6_000, us, "a", discovery.StateDraining)
	if _, marked := l.Report(); len(marked) != 1 {
		t.Fatalf("marked %v, want a", marked)
	}
	l.Apply(1_000_000, left)
	if _, marked := l.Report(); len(marked) != 0 {
		t.Fatalf("marked %v long after it left, want none", marked)
	}
}

func TestReportListsIncarnations(t *testing.T) {
	l := discovery.NewLeavingLog()
	want := []discovery.Incarnation{{ID: "a", Born: 1}, {ID: "b", Born: 7}}
	for _, i := range slices.Backward(want) {
		l.Mark(0, i)
	}
	if _, got := l.Report(); !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func TestDrainOfIncarnation(t *testing.T) {
	table := discovery.New(1_000)
	table.Announce(0, discovery.Upstream{ID: "a", Address: "a", Born: 2, Seq: 1, State: discovery.StateReady})
	if table.Drain("a", 1) || table.Drain("none", 2) {
		t.Fatal("another incarnation was drained")
	}
	if !table.Drain("a", 2) || table.Drain("a", 2) {
		t.Fatal("only the first drain changes the table")
	}
	table.Announce(1, discovery.Upstream{ID: "a", Address: "a", Born: 2, Seq: 2, State: discovery.StateReady})
	if us := table.ChangedSince(0); len(us) != 1 || us[0].State != discovery.StateDraining {
		t.Fatalf("got %+v, want it draining also after a late announcement", us)
	}
	table.Announce(2, discovery.Upstream{ID: "a", Address: "a", Born: 3, Seq: 1, State: discovery.StateReady})
	if us := table.ChangedSince(0); us[0].State != discovery.StateReady {
		t.Fatalf("got %+v, want the next incarnation ready", us)
	}
}
