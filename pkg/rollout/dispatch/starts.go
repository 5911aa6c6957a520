package dispatch

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// startWindowMS is the time in which an engine that may be cold gets no more runs than
	// its bound allows. Bounds are for a second; the rest is for runs that are sent late
	// because a connection has to be opened first.
	startWindowMS rollout.Millis = 1_300
	// coldShare is the part of the bound of a cold engine that this scheduler uses. The rest
	// is for requests of callers.
	coldShare = 0.5
	// startMargin is the number of requests below the bound of an engine that is not known
	// to be cold. It leaves room for weight orders and reports.
	startMargin = 2
)

// SetColdBounds sets, for each pool whose engines can be cold, how many requests a cold one
// may get in a second from all hosts.
func (s *Scheduler) SetColdBounds(bounds map[string]float64) { s.coldBounds = bounds }

// startsLeft returns how many more runs may start at an engine now. An engine may become cold
// before it announces so, and the engines of pools without a bound never are.
func (s *Scheduler) startsLeft(now rollout.Millis, e *engine) int {
	bound, canBeCold := s.coldBounds[e.Pool]
	if !canBeCold {
		return e.Slots
	}
	allowed := max(1, int(bound)-startMargin)
	if e.ColdLimit > 0 {
		allowed = max(1, int(coldShare*bound))
	}
	if now-s.syncedFirstMS < startWindowMS {
		// The scheduler of the former leader may have used as much right before.
		allowed -= max(1, int(coldShare*bound))
	}
	e.starts = slices.DeleteFunc(e.starts, func(at rollout.Millis) bool { return now-at >= startWindowMS })
	return allowed - len(e.starts)
}

// recordStart records that a run starts at an engine.
func (s *Scheduler) recordStart(now rollout.Millis, e *engine) {
	if _, canBeCold := s.coldBounds[e.Pool]; canBeCold {
		e.starts = append(e.starts, now)
	}
}
