package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// stallTimeoutMS is the time without an event, weight loads excluded, after
	// which a run counts as stalled.
	stallTimeoutMS rollout.Millis = 1_500
	// minRunBeforeMoveMS is how long a run stays on an engine before it may be moved to
	// a faster one.
	minRunBeforeMoveMS rollout.Millis = 250
	// moveMS is what a move costs a run: a connection, the prompt and the text read again,
	// and the event that was being generated.
	moveMS = 100.0
	// minMoveGainMS is how much earlier a run must be expected to end elsewhere.
	minMoveGainMS = 150.0
	// minPaceRatio is the ratio between the event intervals of two engines from which the
	// difference is not only that of the runs that they have.
	minPaceRatio = 1.12
	// fullEngineSlowdown is how much longer the interval of a full engine is assumed to be
	// than that of an idle one.
	fullEngineSlowdown = 0.1
	// moveTargetFill is the fraction of its slots up to which an engine has
	// capacity for moved runs.
	moveTargetFill = 0.8
	// reservationMS is how long a slot is kept for a run that is interrupted to move.
	reservationMS rollout.Millis = 500
)

// run is a task running on an engine.
type run struct {
	task      Task
	engine    string
	startedMS rollout.Millis
	// lastEventMS is the time of the last stream event, or of the start.
	lastEventMS rollout.Millis
	events      int
	movePending bool
}

// Move is a request to interrupt a run and continue it on another engine.
type Move struct {
	JobID, ItemID string
	Engine        string
	// Target is the engine with a slot reserved for the run, or empty if it is stalled.
	Target string
	// Stalled is true if the run has had no events for stallTimeoutMS.
	Stalled bool
	// Anew is true if the text must be discarded, because it ends earlier where it cannot be
	// continued.
	Anew bool
}

// PlanMoves returns the runs to move to other engines, marks them as moving and reserves
// their slots: stalled runs, and runs that are expected to end earlier elsewhere. Of a job,
// those with the most left come first.
func (s *Scheduler) PlanMoves(now rollout.Millis) []Move {
	s.releaseReservations(now)
	var moves []Move
	var candidates []*run
	s.findPressingRuns(now)
	targets := moveTargets{s, now, make(map[moveRequirements][]*engine), make(map[string]bool)}
	for _, k := range s.sortedRunKeys() {
		r := s.running[k]
		e := s.engines[r.engine]
		if e == nil {
			continue
		}
		stalled := now-max(r.lastEventMS, e.loadEndsAt) > stallTimeoutMS
		targets.stalled[e.ID] = targets.stalled[e.ID] || stalled
		switch {
		case r.movePending:
		case stalled:
			r.movePending = true
			moves = append(moves, Move{JobID: r.task.JobID, ItemID: r.task.ItemID, Engine: r.engine, Stalled: true})
		case now-r.startedMS > minRunBeforeMoveMS && s.eventsLeft(r)*s.pace(now, e) > minMoveGainMS:
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.task.latestStartMS, b.task.latestStartMS), cmp.Compare(s.eventsLeft(b), s.eventsLeft(a)))
	})
	for _, r := range candidates {
		target, anew := targets.choose(r)
		if target == nil {
			continue
		}
		targets.reserve(r, target)
		r.movePending = true
		moves = append(moves, Move{JobID: r.task.JobID, ItemID: r.task.ItemID, Engine: r.engine, Target: target.ID, Anew: anew})
	}
	return moves
}

// moveTargets holds the engines with capacity for moved runs by the requirements of their
// tasks, in the order of the pace that a moved run is expected to have.
type moveTargets struct {
	scheduler *Scheduler
	now       rollout.Millis
	engines   map[moveRequirements][]*engine
	// stalled holds the engines with a stalled run.
	stalled map[string]bool
}

// moveRequirements are the requirements of a run that may move, and whether it is pressing.
type moveRequirements struct {
	requirements
	pressing bool
}

// choose returns the engine on which a run is expected to end earliest, and whether its text
// must be generated anew there. It returns nil unless that is early enough to be worth a move.
func (m moveTargets) choose(r *run) (target *engine, anew bool) {
	from := m.scheduler.engines[r.engine]
	here := m.scheduler.pace(m.now, from)
	left := m.scheduler.eventsLeft(r)
	best := moveMS + minMoveGainMS
	pressing := isPressing(m.now, r.task, left, here)
	consider := func(t Task, events float64, discards bool) {
		e := m.fastest(t, pressing)
		if e == nil || e == from {
			return
		}
		there := m.scheduler.pace(m.now, e)
		if gain := left*here - events*there; here >= minPaceRatio*there && gain >= best {
			target, anew, best = e, discards, gain
		}
	}
	if r.textEvents() == 0 || from.Software != "" {
		consider(r.remainder(from), left, false)
	}
	consider(r.task.withoutText(), left+r.textEvents(), true)
	return target, anew && r.textEvents() > 0
}

// fastest returns the engine with capacity on which a task would run fastest, or nil if there
// is none.
func (m moveTargets) fastest(t Task, pressing bool) *engine {
	k := moveRequirements{t.requirements(), pressing}
	engines, known := m.engines[k]
	if !known {
		for _, e := range m.scheduler.pools[t.Pool] {
			if m.scheduler.eligible(m.now, e, t) && !m.stalled[e.ID] {
				engines = append(engines, e)
			}
		}
	}
	engines = slices.DeleteFunc(engines, func(e *engine) bool { return !m.hasCapacity(e) || !leavesRoom(e, pressing) })
	m.engines[k] = engines
	if len(engines) == 0 {
		return nil
	}
	return slices.MinFunc(engines, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(m.expectedPace(a), m.expectedPace(b)), cmp.Compare(a.ID, b.ID))
	})
}

func (m moveTargets) hasCapacity(e *engine) bool {
	return e.running < int(moveTargetFill*float64(e.Slots)) && m.scheduler.startsLeft(m.now, e) > 0
}

// expectedPace returns the event interval of an engine with one more run.
func (m moveTargets) expectedPace(e *engine) float64 {
	return m.scheduler.pace(m.now, e) * (1 + fullEngineSlowdown*float64(e.running+1)/float64(e.Slots))
}

// reserve keeps a slot of an engine for a run until it is assigned again.
func (m moveTargets) reserve(r *run, e *engine) {
	e.running++
	e.hasPressingRun = e.hasPressingRun || isPressing(m.now, r.task, m.scheduler.eventsLeft(r), m.scheduler.pace(m.now, e))
	m.scheduler.reservations[r.task.runKey()] = reservation{e, m.now + reservationMS}
}

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

// textEvents returns the number of events in the text so far.
func (r *run) textEvents() float64 { return float64(r.task.TextEvents) + float64(r.events) }

// eventsLeft returns how many more events a run is expected to generate. A text without an
// estimate, or that exceeds its estimate, is expected to double, as lengths have long tails.
func (s *Scheduler) eventsLeft(r *run) float64 {
	there := r.textEvents()
	return cmp.Or(max(s.lengths.events(r.task)-there, 0), there)
}

// remainder returns the task that continues the text of a run on an engine.
func (r *run) remainder(e *engine) Task {
	t := r.task
	if r.events > 0 {
		t.Software = e.Software
	}
	return t
}

func (s *Scheduler) sortedRunKeys() []runKey {
	keys := make([]runKey, 0, len(s.running))
	for k := range s.running {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		return cmp.Or(compareTasks(s.running[a].task, s.running[b].task), cmp.Compare(a.itemID, b.itemID))
	})
	return keys
}
