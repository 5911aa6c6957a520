package director

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

// inheritTable makes a director the leader after one that recorded departures in the log.
func inheritTable(d *Director, departures ...registry.Departure) {
	for i := range departures {
		departures[i].AtMS = wallClockMS()
	}
	d.state.Apply(registry.Command{Depart: &registry.RecordDepartures{Departures: departures}})
	d.inheritDepartures()
}

func readyEngine(born int64, seq uint64) discovery.Upstream {
	return discovery.Upstream{ID: "e", Address: "a", Pool: "p", Slots: 4, Born: born, Seq: seq, State: discovery.StateReady}
}

func assertState(t *testing.T, us map[string]discovery.Upstream, want discovery.State) {
	t.Helper()
	if got := us["e"].State; got != want {
		t.Fatalf("the engine is %q, want %q", got, want)
	}
}

// Guards against requests to an engine whose end was acknowledged: the leader of control that
// had it in its memory is lost, and the table of the next one holds the engine as ready.
func TestNextLeaderKnowsAcknowledgedEnd(t *testing.T) {
	for name, c := range map[string]struct {
		departure registry.Departure
		want      discovery.State
	}{
		"ended":    {registry.Departure{ID: "e", Born: 1, Ended: true}, ""},
		"drains":   {registry.Departure{ID: "e", Born: 1}, discovery.StateDraining},
		"the next": {registry.Departure{ID: "e", Born: 2}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := newLocalDirector()
			d.recordAnnouncement(readyEngine(1, 3))
			entry := view.State{}.With(view.Reply{Epoch: 1, Whole: true, Upstreams: d.table.RoutingChangedSince(0)})
			assertState(t, entry.Upstreams, discovery.StateReady)
			inheritTable(d, c.departure)
			entry = entry.With(view.Reply{Epoch: 2, Whole: true, Upstreams: d.table.RoutingChangedSince(0)})
			assertState(t, entry.Upstreams, c.want)
			accepted, _ := d.recordAnnouncement(readyEngine(1, 4))
			if accepted != (c.want == discovery.StateDraining) {
				t.Errorf("the late announcement was accepted: %v", accepted)
			}
			entry = entry.With(view.Reply{Epoch: 2, Upstreams: d.table.RoutingChangedSince(0)})
			assertState(t, entry.Upstreams, c.want)
		})
	}
}

// Guards against the same when all control hosts are lost, so that the next leader knows no
// upstream, and against hosts that go on with the engine because no leader names it.
func TestEndIsKnownAfterAllControlHostsWereLost(t *testing.T) {
	entry := view.State{Upstreams: map[string]discovery.Upstream{"e": readyEngine(1, 3)}}
	d := newLocalDirector()
	inheritTable(d, registry.Departure{ID: "e", Born: 1, Ended: true})
	entry = entry.With(view.Reply{Epoch: 2, Whole: true, Upstreams: d.table.RoutingChangedSince(0)})
	assertState(t, entry.Upstreams, "")
	if accepted, _ := d.recordAnnouncement(readyEngine(1, 4)); accepted {
		t.Error("the late announcement was accepted")
	}
	if accepted, _ := d.recordAnnouncement(readyEngine(2, 1)); !accepted {
		t.Error("the announcement of the next incarnation was not accepted")
	}
}

func TestEndOfEarlierIncarnationLeavesTheNextOneInUse(t *testing.T) {
	entry := view.State{Upstreams: map[string]discovery.Upstream{"e": readyEngine(2, 1)}}
	d := newLocalDirector()
	inheritTable(d, registry.Departure{ID: "e", Born: 1, Ended: true})
	entry = entry.With(view.Reply{Epoch: 2, Whole: true, Upstreams: d.table.RoutingChangedSince(0)})
	assertState(t, entry.Upstreams, discovery.StateReady)
}

// Guards against a late announcement of an engine that left without naming its incarnation while
// the leader knew none.
func TestEndOfUnknownIncarnationRefusesEarlierOnes(t *testing.T) {
	d := newLocalDirector()
	departure := d.departureOf(Departure{ID: "e"})
	inheritTable(d, departure)
	if accepted, _ := d.recordAnnouncement(readyEngine(departure.Born-1, 4)); accepted {
		t.Error("the late announcement was accepted")
	}
	if accepted, _ := d.recordAnnouncement(readyEngine(departure.Born+1, 1)); !accepted {
		t.Error("the announcement of the next incarnation was not accepted")
	}
}
