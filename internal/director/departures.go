package director

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

// recentDepartureMS is how long a new leader tells the hosts of a departure that its table does
// not hold, as it may be that no host has heard of it.
const recentDepartureMS rollout.Millis = 60_000

func wallClockMS() rollout.Millis { return rollout.Millis(time.Now().UnixMilli()) }

// commitDepartures replicates departures, so that the next leader knows them. An upstream that
// has an acknowledgement gets no more requests, whichever host it came from.
func (d *Director) commitDepartures(ctx context.Context, departures []registry.Departure) error {
	now := wallClockMS()
	d.mu.Lock()
	for i := range departures {
		departures[i].AtMS = now
	}
	departures = slices.DeleteFunc(departures, d.state.HasDeparture)
	d.mu.Unlock()
	if len(departures) == 0 {
		return nil
	}
	err := d.propose(ctx, registry.Command{Depart: &registry.RecordDepartures{Departures: departures}})
	if err != nil {
		d.opts.Log.Warn("DeparturesNotReplicated", zap.Int("Departures", len(departures)), zap.Error(err))
	}
	return err
}

// departureOf returns the end that an upstream has reported. If it named no incarnation, it is
// the one that is known; if none is, every incarnation that began before has ended. The caller
// holds mu.
func (d *Director) departureOf(dep Departure) registry.Departure {
	departure := registry.Departure{ID: dep.ID, Born: cmp.Or(dep.Born, d.table.BornOf(dep.ID)), Ended: true}
	if departure.Born == 0 {
		departure.Born, departure.Presumed = int64(wallClockMS()), true
	}
	return departure
}

// announceToTable records an announcement in the table, unless the log has the end of its
// incarnation. The caller holds mu.
func (d *Director) announceToTable(u discovery.Upstream) (accepted, changed bool) {
	now := d.clock.Now()
	if departure, left := d.state.Departed(u.ID, u.Born, wallClockMS()); left {
		if departure.Ended {
			return false, d.table.Leave(now, u.ID, u.Born)
		}
		u.State = discovery.StateDraining
	}
	return d.table.Announce(now, u)
}

// inheritDepartures applies the departures in the log to the table of a new leader. Its
// predecessor may have ended before it told any host of them. The caller holds mu.
func (d *Director) inheritDepartures() {
	wall := wallClockMS()
	for _, departure := range slices.SortedFunc(maps.Values(d.state.Departures), func(a, b registry.Departure) int { return cmp.Compare(a.Order, b.Order) }) {
		d.inheritDeparture(departure, wall)
	}
}

// inheritDeparture applies a departure at a wall clock time. The caller holds mu.
func (d *Director) inheritDeparture(departure registry.Departure, wall rollout.Millis) {
	now, known := d.clock.Now(), d.table.BornOf(departure.ID)
	if known == 0 {
		if departure.Ended && !departure.Presumed && wall-departure.AtMS < recentDepartureMS {
			d.table.Leave(now, departure.ID, departure.Born)
		}
		return
	}
	current, left := d.state.Departed(departure.ID, known, wall)
	switch {
	case !left:
	case current.Ended:
		d.table.Leave(now, departure.ID, known)
	default:
		d.table.Drain(departure.ID, known)
	}
}
