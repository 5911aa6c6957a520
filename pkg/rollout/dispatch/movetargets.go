package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// moveMS is what a move costs a run: a connection, the prompt and the text read again,
	// and the event that was being generated.
	moveMS = 100.0
	// minMoveGainMS is how much earlier a run must be expected to end elsewhere.
	minMoveGainMS = 150.0
	// fullEngineSlowdown is how much longer the interval of a full engine is assumed to be
	// than that of an idle one.
	fullEngineSlowdown = 0.1
	// moveTargetFill is the fraction of its slots up to which an engine has
	// capacity for moved runs that are not pressing.
	moveTargetFill = 0.8
)

// moveTargets chooses the engines of moved runs during one look for moves.
type moveTargets struct {
	scheduler *Scheduler
	now       rollout.Millis
	// engines holds the engines with capacity, as far as fastest has been asked.
	engines map[moveRequirements][]*engine
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
		if gain := left*here - events*m.scheduler.pace(m.now, e); gain >= best && m.scheduler.isSlowerThan(m.now, from, e) {
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
	engines = slices.DeleteFunc(engines, func(e *engine) bool { return !m.hasCapacity(e, pressing) || !hasRoom(e, !pressing) })
	m.engines[k] = engines
	if len(engines) == 0 {
		return nil
	}
	return slices.MinFunc(engines, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(m.expectedPace(a), m.expectedPace(b)), cmp.Compare(a.ID, b.ID))
	})
}

func (m moveTargets) hasCapacity(e *engine, pressing bool) bool {
	slots := int(moveTargetFill * float64(e.Slots))
	if pressing {
		slots = e.Slots
	}
	return e.running < slots && m.scheduler.startsLeft(m.now, e) > 0
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
