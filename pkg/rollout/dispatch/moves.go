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
	// moveShare is the share of the time until it is due that a run must still take to leave an
	// engine that is not slow. A step does not wait for shorter ones.
	moveShare = 0.2
)

// run is a task running on an engine.
type run struct {
	task      Task
	engine    string
	startedMS rollout.Millis
	// version is the weight version with which the run started.
	version uint64
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
	s.findPressingRuns(now)
	var moves []Move
	var candidates []*run
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
		case now-r.startedMS > minRunBeforeMoveMS && (s.slowness(now, e) > 1 || s.mayDelayStep(now, r, e)):
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

// mayDelayStep reports whether the step of a run may wait for it, so that it is worth a move
// from an engine that is not slow.
func (s *Scheduler) mayDelayStep(now rollout.Millis, r *run, e *engine) bool {
	return takesShare(moveShare, now, r.task, s.eventsLeft(r), s.pace(now, e))
}

// textEvents returns the number of events in the text so far.
func (r *run) textEvents() float64 { return float64(r.task.TextEvents) + float64(r.events) }

// eventsLeft returns how many more events a run is expected to generate.
func (s *Scheduler) eventsLeft(r *run) float64 { return s.lengths.left(r.task, r.textEvents()) }

// remainder returns the task that continues the text of a run on an engine.
func (r *run) remainder(e *engine) Task {
	t := r.task
	if r.events > 0 {
		t.Software = e.Software
	}
	if r.events > 0 && t.SingleVersion {
		t.OnlyVersion = cmp.Or(t.OnlyVersion, r.version)
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
