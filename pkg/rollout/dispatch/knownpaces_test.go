package dispatch_test

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

// measuredPaces returns the paces of three engines, of which e0 runs on slower hardware.
func measuredPaces() dispatch.Paces {
	f := newFixture(3, 8, "m")
	f.add(12, dispatch.Task{Model: "m", ExpectedTokens: 400})
	f.generateFor(1_200, f.AssignTasks(f.now), fastBut("e0", hardwareEventMS))
	return f.Paces()
}

// restart replaces the scheduler by that of a next leader, which knows paces.
func (f *fixture) restart(p dispatch.Paces) {
	f.Scheduler = dispatch.New(dispatch.DefaultConfig("d0"))
	f.SetKnownPaces(p)
	f.sync()
}

// Guards against a step that ends late after a change of the leader: its longest texts went on
// at any engine, and those on slower hardware took a third more.
func TestLongTextsGoOnAtFastEnginesAfterChangeOfLeader(t *testing.T) {
	long := dispatch.Task{Model: "m", ExpectedTokens: 10, TextEvents: 60, Begun: true}
	f := newFixture(3, 8, "m")
	f.restart(measuredPaces())
	f.add(2, long)
	if as := f.AssignTasks(f.now); runsOn(as, "e0") != 0 {
		t.Errorf("%d of %d texts go on at the slower engine, want none", runsOn(as, "e0"), len(as))
	}
}

// Guards against a pace that outlives its reason: that of hardware which another incarnation of
// the engine has left, and that of an engine that a former leader saw in a slow spell.
func TestKnownPaceIsReplaced(t *testing.T) {
	slow := dispatch.Paces{{ID: "e0", Born: 1}: 3 * eventMS, {ID: "e1", Born: 1}: eventMS, {ID: "e2", Born: 1}: eventMS}
	t.Run("engine started again", func(t *testing.T) {
		f := newFixture(3, 8, "m")
		u := f.upstreams["e0"]
		u.Born = 2
		f.upstreams["e0"] = u
		f.restart(slow)
		if p := f.Paces(); len(p) != 2 {
			t.Errorf("known paces %v, want those of e1 and e2", p)
		}
	})
	t.Run("measured again", func(t *testing.T) {
		f := newFixture(3, 8, "m")
		f.restart(slow)
		f.add(12, dispatch.Task{Model: "m"})
		f.generateFor(1_200, f.AssignTasks(f.now), fastBut("", 0))
		p := f.Paces()
		if got := p[discovery.Incarnation{ID: "e0", Born: 1}]; got != eventMS || !p.DiffersFrom(slow) {
			t.Errorf("pace of e0 %v ms, want %v", got, eventMS)
		}
	})
}
