package dispatch

import (
	"math"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// minPaceChange is the relative change of a pace from which it is worth recording again. It is
// below minPaceRatio, from which decisions depend on the difference.
const minPaceChange = 0.05

// Paces holds the event intervals, in ms, that the hardware of engines allows.
type Paces map[discovery.Incarnation]float64

// DiffersFrom reports whether an engine is in only one of two maps or its pace has changed.
func (p Paces) DiffersFrom(other Paces) bool {
	if len(p) != len(other) {
		return true
	}
	for engine, ms := range p {
		if before, known := other[engine]; !known || math.Abs(ms-before) > minPaceChange*before {
			return true
		}
	}
	return false
}

// Paces returns the paces of all engines of which they are known.
func (s *Scheduler) Paces() Paces {
	known := make(Paces)
	for id, e := range s.engines {
		if e.lastingPace.ms > 0 {
			known[discovery.Incarnation{ID: id, Born: e.Born}] = e.lastingPace.ms
		}
	}
	return known
}

// SetKnownPaces sets the paces that a former scheduler measured. It must be called before the
// first Sync. An engine has its known pace until this scheduler has measured it.
func (s *Scheduler) SetKnownPaces(p Paces) { s.knownPaces = p }

// adoptKnownPace gives a new engine its known pace.
func (s *Scheduler) adoptKnownPace(e *engine) {
	ms := s.knownPaces[discovery.Incarnation{ID: e.ID, Born: e.Born}]
	e.lastingPace.ms, e.newestPace.ms, e.eventInterval.ms = ms, ms, ms
}
