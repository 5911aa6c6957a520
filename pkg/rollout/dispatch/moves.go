package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

const (
	// newestIntervalWeight is the weight of the newest event in the moving
	// average of the event interval.
	newestIntervalWeight = 0.25
	// eventIntervalMaxAgeMS is how long a measured interval is valid. After that,
	// a slow engine is tried again.
	eventIntervalMaxAgeMS rollout.Millis = 4_000
	// slowThreshold is the ratio to the pool's median interval from which an
	// engine counts as slow. It leaves a margin over a full batch, which is about
	// a third slower than a single request.
	slowThreshold = 1.6
	// maxSlowness is the upper bound of the slowness of an engine.
	maxSlowness = 6.0
	// newestLengthWeight is the weight of the newest task in the moving average
	// of the length. maxRelativeLength bounds the length of a task as a multiple
	// of that average, because estimates are often far off.
	newestLengthWeight = 0.02
	maxRelativeLength  = 4.0
	// stallTimeoutMS is the time without an event, weight loads excluded, after
	// which a run counts as stalled.
	stallTimeoutMS rollout.Millis = 1_500
	// minRunBeforeMoveMS is how long a run stays on a slow engine before it may be
	// moved.
	minRunBeforeMoveMS rollout.Millis = 250
	// moveTargetFill is the fraction of its slots up to which an engine has
	// capacity for moved runs.
	moveTargetFill = 0.8
)

// eventInterval is the moving average of the time between two stream events of a
// run, in ms, and the time of its last update.
type eventInterval struct {
	ms float64
	at rollout.Millis
}

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
	// Stalled is true if the run has had no events for stallTimeoutMS.
	Stalled bool
	// Anew is true if the text must be discarded, because no engine of its software version
	// has capacity.
	Anew bool
}

// EventReceived records a stream event of a run and updates the event interval of its
// engine.
func (s *Scheduler) EventReceived(now rollout.Millis, t Task) {
	r := s.running[t.runKey()]
	if r == nil {
		return
	}
	s.countEvent(now, r.task.Model)
	gap := now - r.lastEventMS
	r.lastEventMS = now
	r.events++
	e := s.engines[r.engine]
	if e == nil || r.events == 1 || now-gap < e.loadEndsAt {
		return
	}
	if e.eventInterval.ms == 0 || now-e.eventInterval.at > eventIntervalMaxAgeMS {
		e.eventInterval.ms = float64(gap)
	} else {
		e.eventInterval.ms += newestIntervalWeight * (float64(gap) - e.eventInterval.ms)
	}
	e.eventInterval.at = now
}

// PlanMoves returns the runs to move to other engines and marks them as moving:
// stalled runs, and runs on slow engines while other engines have capacity.
func (s *Scheduler) PlanMoves(now rollout.Millis) []Move {
	var moves []Move
	capacity := moveCapacity{s, now, make(map[requirements]int)}
	for _, k := range s.sortedRunKeys() {
		r := s.running[k]
		e := s.engines[r.engine]
		if r.movePending || e == nil {
			continue
		}
		stalled := now-max(r.lastEventMS, e.loadEndsAt) > stallTimeoutMS
		slow := s.slowness(now, e) > slowThreshold && now-r.startedMS > minRunBeforeMoveMS
		if !stalled && !slow {
			continue
		}
		m := Move{JobID: r.task.JobID, ItemID: r.task.ItemID, Engine: r.engine, Stalled: stalled}
		if !stalled {
			t := r.remainder(e)
			switch {
			case capacity.take(t):
			case s.freeCapacity(now, t) <= 0 && s.isFasterAnew(now, e, r) && capacity.take(t.withoutText()):
				m.Anew = true
			default:
				continue
			}
		}
		r.movePending = true
		moves = append(moves, m)
	}
	return moves
}

// moveCapacity counts how many moved runs engines can still take, by the requirements of
// their tasks.
type moveCapacity struct {
	scheduler *Scheduler
	now       rollout.Millis
	left      map[requirements]int
}

// take reports whether an engine can take one more moved run, and counts it, also for tasks
// without a text, which may go to the same engines.
func (c moveCapacity) take(t Task) bool {
	if c.leftFor(t) <= 0 {
		return false
	}
	c.left[t.requirements()]--
	if fresh := t.withoutText(); fresh.requirements() != t.requirements() {
		c.left[fresh.requirements()] = c.leftFor(fresh) - 1
	}
	return true
}

func (c moveCapacity) leftFor(t Task) int {
	k := t.requirements()
	if _, known := c.left[k]; !known {
		c.left[k] = c.scheduler.freeCapacity(c.now, t)
	}
	return c.left[k]
}

// isFasterAnew reports whether a run on a slow engine would end earlier if an engine of
// median speed generated its text from the start. The length of a text without an estimate,
// or that exceeds its estimate, is taken as twice what there is.
func (s *Scheduler) isFasterAnew(now rollout.Millis, e *engine, r *run) bool {
	there := float64(r.task.TextEvents) + float64(r.events)
	length := float64(r.task.ExpectedTokens)
	if length <= there {
		length = 2 * there
	}
	return length < (length-there)*s.slowness(now, e)
}

// remainder returns the task that continues the text of a run on an engine.
func (r *run) remainder(e *engine) Task {
	t := r.task
	if r.events > 0 {
		t.Software = e.Software
	}
	return t
}

// freeCapacity returns how many moved runs the eligible engines that are not slow
// can take.
func (s *Scheduler) freeCapacity(now rollout.Millis, t Task) int {
	total := 0
	for _, e := range s.pools[t.Pool] {
		if s.eligible(now, e, t) && s.slowness(now, e) <= slowThreshold {
			total += max(0, min(int(moveTargetFill*float64(e.Slots))-e.running, s.startsLeft(now, e)))
		}
	}
	return total
}

// slowness returns the event interval of an engine divided by the median of its
// pool, at most maxSlowness. It is 1 below slowThreshold and for an engine
// without a recent interval.
func (s *Scheduler) slowness(now rollout.Millis, e *engine) float64 {
	if e.eventInterval.ms == 0 || now-e.eventInterval.at > eventIntervalMaxAgeMS {
		return 1
	}
	ratio := e.eventInterval.ms / max(s.medianInterval(now, e.Pool), 1)
	if ratio < slowThreshold {
		return 1
	}
	return min(ratio, maxSlowness)
}

// updateMeanTokens adds the expected length of a task to the moving average.
func (s *Scheduler) updateMeanTokens(t Task) {
	if t.ExpectedTokens <= 0 {
		return
	}
	if s.meanTokens == 0 {
		s.meanTokens = float64(t.ExpectedTokens)
	}
	s.meanTokens += newestLengthWeight * (float64(t.ExpectedTokens) - s.meanTokens)
}

// slowEngineCost returns the cost of the additional time that a task takes on an
// engine compared with the median one. Engines of a pool may run on different
// hardware, and a step waits for its longest items, so these should run on the
// fast engines.
func (s *Scheduler) slowEngineCost(now rollout.Millis, e *engine, t Task) float64 {
	median := s.medianInterval(now, e.Pool)
	if e.eventInterval.ms == 0 || median == 0 || s.meanTokens == 0 {
		return 0
	}
	length := min(float64(t.ExpectedTokens)/s.meanTokens, maxRelativeLength)
	ratio := min(e.eventInterval.ms/median, slowThreshold)
	return costSlowEngine * length * (ratio - 1)
}

// medianInterval returns the median event interval of the engines of a pool.
func (s *Scheduler) medianInterval(now rollout.Millis, pool string) float64 {
	if s.medianIntervalsAt != now {
		s.medianIntervalsAt, s.medianIntervals = now, make(map[string]float64)
	}
	if m, known := s.medianIntervals[pool]; known {
		return m
	}
	var intervals []float64
	for _, e := range s.pools[pool] {
		if e.State != discovery.StateGone && e.eventInterval.ms > 0 {
			intervals = append(intervals, e.eventInterval.ms)
		}
	}
	slices.Sort(intervals)
	s.medianIntervals[pool] = 0
	if len(intervals) > 0 {
		s.medianIntervals[pool] = intervals[len(intervals)/2]
	}
	return s.medianIntervals[pool]
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
