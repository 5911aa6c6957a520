package dispatch

import (
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
	// minPaceRatio is the ratio between the event intervals of two engines from which the
	// difference is not only that of the runs that they have.
	minPaceRatio = 1.12
)

// The parameters of a paceMeter. Samples are some time apart, as all runs of an engine wait for
// a prompt that it reads.
const (
	// paceSamples is the maximum number of samples, and minPaceSamples the number from which a
	// pace is known.
	paceSamples    = 64
	minPaceSamples = 4
	// The newest pace is that of the last moments.
	newestPaceSamples  = 16
	newestPaceQuantile = 0.25
	newestPaceMS       = rollout.Millis(15)
	// The lasting pace is that of the hardware. Its samples span some seconds, in which an
	// engine has many runs and few.
	lastingPaceQuantile = 0.1
	lastingPaceMS       = rollout.Millis(100)
)

// eventInterval is the moving average of the time between two stream events of a
// run, in ms, and the time of its last update.
type eventInterval struct {
	ms float64
	at rollout.Millis
}

// paceMeter measures a low quantile of the event intervals of an engine, which leaves out the
// reading of prompts.
type paceMeter struct {
	samples [paceSamples]float64
	// count is the number of samples so far, and at the time of the last one.
	count int
	at    rollout.Millis
	// ms is the pace, or 0 while it is not known.
	ms float64
}

// add adds an interval unless the last sample is more recent than everyMS. The pace is taken
// from the newest samples.
func (m *paceMeter) add(now rollout.Millis, ms float64, everyMS rollout.Millis, newest int, quantile float64) {
	if m.count > 0 && now-m.at < everyMS {
		return
	}
	m.samples[m.count%newest] = ms
	m.count++
	m.at = now
	known := min(m.count, newest)
	if known < minPaceSamples {
		return
	}
	sorted := m.samples
	slices.Sort(sorted[:known])
	m.ms = sorted[int(quantile*float64(known))]
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
	e.newestPace.add(now, float64(gap), newestPaceMS, newestPaceSamples, newestPaceQuantile)
	e.lastingPace.add(now, float64(gap), lastingPaceMS, paceSamples, lastingPaceQuantile)
	if e.eventInterval.ms == 0 || now-e.eventInterval.at > eventIntervalMaxAgeMS {
		e.eventInterval.ms = float64(gap)
	} else {
		e.eventInterval.ms += newestIntervalWeight * (float64(gap) - e.eventInterval.ms)
	}
	e.eventInterval.at = now
}

// pace returns the event interval that a run has on an engine, in ms: that of the last events
// while the engine is slow, else that of the engine without prompts to read, or the median of
// its pool if it is not known.
func (s *Scheduler) pace(now rollout.Millis, e *engine) float64 {
	switch {
	case s.slowness(now, e) > 1:
		return e.eventInterval.ms
	case e.newestPace.ms > 0:
		return e.newestPace.ms
	}
	return s.medianInterval(now, e.Pool)
}

// isSlowerThan reports whether one engine is slower than another for reasons that last longer
// than its load: it is slow now, or its hardware is, as far as that is known.
func (s *Scheduler) isSlowerThan(now rollout.Millis, e, other *engine) bool {
	if s.slowness(now, e) > 1 {
		return true
	}
	if e.lastingPace.ms > 0 && other.lastingPace.ms > 0 && e.lastingPace.ms < minPaceRatio*other.lastingPace.ms {
		return false
	}
	return s.pace(now, e) >= minPaceRatio*s.pace(now, other)
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

// slowEngineCost returns the cost of the additional time that a task takes on an
// engine compared with the median one. Engines of a pool may run on different
// hardware, and a step waits for its longest items, so these should run on the
// fast engines.
func (s *Scheduler) slowEngineCost(now rollout.Millis, e *engine, t Task) float64 {
	median := s.medianInterval(now, e.Pool)
	if e.eventInterval.ms == 0 || median == 0 {
		return 0
	}
	ratio := min(e.eventInterval.ms/median, slowThreshold)
	return costSlowEngine * s.lengths.relative(t) * (ratio - 1)
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
