package dispatch

import "github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"

const (
	// pressingShare is the share of the time until a task is due from which its expected run
	// time makes it pressing.
	pressingShare = 0.5
	// pressingFill is the fraction of its slots up to which an engine with a pressing run
	// gets tasks that yield. A full engine is slower.
	pressingFill = 0.5
	// maxYieldMS is how long a task yields to pressing runs. In that time they gain no more
	// than the step of the task may lose.
	maxYieldMS rollout.Millis = 500
)

// isPressing reports whether a task that is to generate some more events at a pace takes most of
// the time that is left until it is due.
func isPressing(now rollout.Millis, t Task, events, pace float64) bool {
	return t.DueMS > 0 && takesShare(pressingShare, now, t, events, pace)
}

// takesShare reports whether some events at a pace take a share of the time until a task is due.
func takesShare(share float64, now rollout.Millis, t Task, events, pace float64) bool {
	return events*pace >= share*float64(t.DueMS-now)
}

// yields reports whether a queued task leaves room beside pressing runs.
func (s *Scheduler) yields(now rollout.Millis, t Task) bool {
	return now-t.QueuedMS <= maxYieldMS && !s.isPressingTask(now, t)
}

// isPressingTask reports whether a queued task is pressing at the median pace of its pool.
func (s *Scheduler) isPressingTask(now rollout.Millis, t Task) bool {
	return isPressing(now, t, s.lengths.left(t, float64(t.TextEvents)), s.medianInterval(now, t.Pool))
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

// hasRoom reports whether an engine has a slot for a task beside its pressing runs.
func hasRoom(e *engine, yields bool) bool {
	return !yields || !e.hasPressingRun || float64(e.running) < pressingFill*float64(e.Slots)
}
