package registry

import (
	"maps"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// MaxDepartures bounds the departures that are kept. A release replaces a whole fleet
	// while late announcements may arrive.
	MaxDepartures = 2_048
	// presumedDepartureMS is how long a departure without a start time refuses announcements.
	// They arrive seconds late; one that comes much later is that of an upstream that runs.
	presumedDepartureMS rollout.Millis = 30_000
)

// RecordDepartures records what upstreams have said of their ends.
type RecordDepartures struct {
	Departures []Departure
}

// Departure is the end of an incarnation of an upstream, or that it drains.
type Departure struct {
	ID string
	// Born identifies the incarnation. Earlier ones have ended as well.
	Born int64
	// Ended is false while the incarnation drains.
	Ended bool `json:",omitempty"`
	// Presumed is true if the incarnation is unknown. Born is AtMS then.
	Presumed bool `json:",omitempty"`
	// AtMS is the wall clock time of the leader.
	AtMS rollout.Millis
	// Order numbers the departures.
	Order uint64 `json:",omitempty"`
}

// includes reports whether a departure says all that another one does.
func (d Departure) includes(other Departure) bool {
	if other.Presumed && d.Presumed && other.AtMS-d.AtMS > presumedDepartureMS {
		return false
	}
	return d.Born > other.Born || (d.Born == other.Born && (d.Ended || !other.Ended)) || (d.Presumed && other.Presumed)
}

// Departed returns the departure of an incarnation of an upstream, if it drains or has ended
// at a wall clock time.
func (s *State) Departed(id string, born int64, now rollout.Millis) (Departure, bool) {
	d, ok := s.Departures[id]
	if !ok || born > d.Born || (d.Presumed && now-d.AtMS > presumedDepartureMS) {
		return Departure{}, false
	}
	d.Ended = d.Ended || born < d.Born
	return d, true
}

// HasDeparture reports whether a departure would change nothing.
func (s *State) HasDeparture(d Departure) bool {
	known, ok := s.Departures[d.ID]
	return ok && known.includes(d)
}

// recordDepartures adds departures. If there are too many, the oldest are removed.
func (s *State) recordDepartures(departures []Departure) {
	next := maps.Clone(s.Departures)
	if next == nil {
		next = make(map[string]Departure)
	}
	for _, d := range departures {
		if known, ok := next[d.ID]; ok && known.includes(d) {
			continue
		}
		s.LastDeparture++
		d.Order = s.LastDeparture
		next[d.ID] = d
	}
	for len(next) > MaxDepartures {
		oldest := ""
		for id, d := range next {
			if oldest == "" || d.Order < next[oldest].Order {
				oldest = id
			}
		}
		delete(next, oldest)
	}
	s.Departures = next
}
