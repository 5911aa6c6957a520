package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

const (
	// paceWeight is the weight of the newest event in the mean pace.
	paceWeight = 0.25
	// paceFreshMS is how long a pace counts. A slow engine is tried again
	// after it.
	paceFreshMS rollout.Millis = 4_000
	// slowFactor is how far a pace must exceed the median of the pool to count
	// as slow; a full batch is about a third slower than a single request.
	slowFactor = 1.6
	maxSlow    = 6.0
	// lengthWeight is the weight of the newest task in the mean length, and
	// maxLength the largest length in means that counts: estimates are often
	// far off.
	lengthWeight = 0.02
	maxLength    = 4.0
	// stallMS is the longest silence of a run that is not explained by a
	// change of weights.
	stallMS rollout.Millis = 1_500
	// moveAfterMS is how long a run stays on an engine before it may be moved.
	moveAfterMS rollout.Millis = 250
	// roomShare is the part of its slots below which an engine has room for
	// moved runs.
	roomShare = 0.8
)

// pace is the smoothed time between two events of a run.
type pace struct {
	ms float64
	at rollout.Millis
}

// run is a task that runs on an engine.
type run struct {
	task      Task
	engine    string
	startedMS rollout.Millis
	// lastMS is when the last event came.
	lastMS rollout.Millis
	events int
	moving bool
}

// Move asks for a run to be broken off and go on at another engine.
type Move struct {
	JobID, ItemID string
	Engine        string
	// Stalled is true when the engine has gone silent.
	Stalled bool
}

// Progress notes an event of a run.
func (s *Scheduler) Progress(now rollout.Millis, t Task) {
	r := s.running[t.key()]
	if r == nil {
		return
	}
	s.noteWork(now, r.task.Model)
	gap := now - r.lastMS
	r.lastMS = now
	r.events++
	e := s.engines[r.engine]
	if e == nil || r.events == 1 || now-gap < e.loadedAt {
		return
	}
	if e.pace.ms == 0 || now-e.pace.at > paceFreshMS {
		e.pace.ms = float64(gap)
	} else {
		e.pace.ms += paceWeight * (float64(gap) - e.pace.ms)
	}
	e.pace.at = now
}

// PlanMoves returns the runs that are better off elsewhere: those on engines that
// have gone silent, and those on slow engines while others have room.
func (s *Scheduler) PlanMoves(now rollout.Millis) []Move {
	var moves []Move
	room := make(map[string]int)
	for _, k := range s.sortedRuns() {
		r := s.running[k]
		e := s.engines[r.engine]
		if r.moving || e == nil {
			continue
		}
		stalled := now-max(r.lastMS, e.loadedAt) > stallMS
		slow := s.slowness(now, e) > slowFactor && now-r.startedMS > moveAfterMS
		if !stalled && !slow {
			continue
		}
		if !stalled {
			if _, known := room[r.task.Pool+r.task.Model]; !known {
				room[r.task.Pool+r.task.Model] = s.room(now, r.task)
			}
			if room[r.task.Pool+r.task.Model] <= 0 {
				continue
			}
			room[r.task.Pool+r.task.Model]--
		}
		r.moving = true
		moves = append(moves, Move{JobID: r.task.JobID, ItemID: r.task.ItemID, Engine: r.engine, Stalled: stalled})
	}
	return moves
}

// room returns how many runs the engines that are not slow can take.
func (s *Scheduler) room(now rollout.Millis, t Task) int {
	total := 0
	for _, e := range s.engines {
		if s.usable(now, e, t) && s.slowness(now, e) <= slowFactor {
			total += max(0, int(roomShare*float64(e.Slots))-e.running)
		}
	}
	return total
}

// slowness returns the pace of an engine over the median of its pool, at
// least 1.
func (s *Scheduler) slowness(now rollout.Millis, e *engine) float64 {
	if e.pace.ms == 0 || now-e.pace.at > paceFreshMS {
		return 1
	}
	ratio := e.pace.ms / max(s.medianPace(now, e.Pool), 1)
	if ratio < slowFactor {
		return 1
	}
	return min(ratio, maxSlow)
}

// noteLength takes the length of a task into the mean.
func (s *Scheduler) noteLength(t Task) {
	if t.ExpectedTokens <= 0 {
		return
	}
	if s.meanTokens == 0 {
		s.meanTokens = float64(t.ExpectedTokens)
	}
	s.meanTokens += lengthWeight * (float64(t.ExpectedTokens) - s.meanTokens)
}

// delay returns the cost of the time that a task takes longer on an engine
// than on most others. Engines of a pool may differ in their make; the longest
// items, which a step waits for in the end, belong on the fast ones.
func (s *Scheduler) delay(now rollout.Millis, e *engine, t Task) float64 {
	median := s.medianPace(now, e.Pool)
	if e.pace.ms == 0 || median == 0 || s.meanTokens == 0 {
		return 0
	}
	length := min(float64(t.ExpectedTokens)/s.meanTokens, maxLength)
	ratio := min(e.pace.ms/median, slowFactor)
	return costPace * length * (ratio - 1)
}

// medianPace returns the median pace of the engines of a pool.
func (s *Scheduler) medianPace(now rollout.Millis, pool string) float64 {
	if s.mediansAt != now {
		s.mediansAt, s.medians = now, make(map[string]float64)
	}
	if m, known := s.medians[pool]; known {
		return m
	}
	var paces []float64
	for _, e := range s.engines {
		if e.Pool == pool && e.State != discovery.StateGone && e.pace.ms > 0 {
			paces = append(paces, e.pace.ms)
		}
	}
	slices.Sort(paces)
	if len(paces) > 0 {
		s.medians[pool] = paces[len(paces)/2]
	}
	return s.medians[pool]
}

func (s *Scheduler) sortedRuns() []key {
	keys := make([]key, 0, len(s.running))
	for k := range s.running {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(compareTasks(s.running[a].task, s.running[b].task), cmp.Compare(a.itemID, b.itemID))
	})
	return keys
}
