package dispatch

import "github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"

// reservationMS is how long a slot is kept for a run that is interrupted to move.
const reservationMS rollout.Millis = 500

// reservation is a slot that is kept for a moving run.
type reservation struct {
	engine *engine
	until  rollout.Millis
}

// takeReservation releases the slot that is kept for a task and returns its engine if it may
// still run the task, or else nil.
func (s *Scheduler) takeReservation(now rollout.Millis, t Task) *engine {
	kept, ok := s.reservations[t.runKey()]
	if !ok {
		return nil
	}
	s.release(t.runKey(), kept)
	if s.engines[kept.engine.ID] != kept.engine || !s.eligible(now, kept.engine, t) {
		return nil
	}
	return kept.engine
}

func (s *Scheduler) release(k runKey, kept reservation) {
	delete(s.reservations, k)
	kept.engine.running = max(0, kept.engine.running-1)
}

// releaseReservations releases the slots of runs that have not been queued again in time.
func (s *Scheduler) releaseReservations(now rollout.Millis) {
	for k, kept := range s.reservations {
		if now > kept.until {
			s.release(k, kept)
		}
	}
}
