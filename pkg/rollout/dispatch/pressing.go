package dispatch

import "github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"

const (
	// pressingShare is the share of the time until a task is due from which its expected run
	// time makes it pressing.
	pressingShare = 0.5
	// pressingFill is the fraction of its slots up to which an engine with a pressing run
	// gets tasks that are not pressing. A full engine is slower.
	pressingFill = 0.5
)

// isPressing reports whether a task that is to generate some more events at a pace takes most of
// the time that is left until it is due.
func isPressing(now rollout.Millis, t Task, events, pace float64) bool {
	return events*pace >= pressingShare*float64(t.DueMS-now)
}

// isPressingTask reports whether a queued task is pressing at the median pace of its pool.
func (s *Scheduler) isPressingTask(now rollout.Millis, t Task) bool {
	left := max(s.lengths.events(t)-float64(t.TextEvents), float64(t.TextEvents))
	return isPressing(now, t, left, s.medianInterval(now, t.Pool))
}

// findPressingRuns records which engines have a pressing run.
func (s *Scheduler) findPressingRuns(now rollout.Millis) {
	for _, e := range s.engines {
		e.hasPressingRun = false
	}
	for _, r := range s.running {
		if e := s.engines[r.engine]; e != nil && !e.hasPressingRun {
			e.hasPressingRun = isPressing(now, r.task, s.eventsLeft(r), s.pace(now, e))
		}
	}
}

// leavesRoom reports whether an engine has a slot for a task that leaves its pressing runs
// enough room.
func leavesRoom(e *engine, pressing bool) bool {
	return pressing || !e.hasPressingRun || float64(e.running) < pressingFill*float64(e.Slots)
}
