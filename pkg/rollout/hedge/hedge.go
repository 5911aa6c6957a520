// Package hedge decides when a straggler among the samples of a step gets a second
// attempt. A straggler is detected by its throughput: it generates far fewer
// tokens per second than the other samples of the step. The slower of the two
// attempts is cancelled, so a hedge costs little more than the tokens of the faster
// one.
package hedge

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Config holds the hedging parameters of a Group.
type Config struct {
	// MinElapsedMS is the minimum run time before an attempt can be a straggler.
	MinElapsedMS rollout.Millis
	// MinSucceeded is how many attempts must have succeeded before any is hedged.
	MinSucceeded int
	// MinRateRatio is the fraction of the step's median token rate below which
	// an attempt is a straggler.
	MinRateRatio float64
	// Budget is the maximum fraction of the samples that are hedged.
	Budget float64
}

// DefaultConfig returns the settings for steps of tens to hundreds of samples.
func DefaultConfig() Config {
	return Config{MinElapsedMS: 1_000, MinSucceeded: 3, MinRateRatio: 0.5, Budget: 0.1}
}

// Attempt is the progress of one attempt at a sample.
type Attempt struct {
	// ElapsedMS is the run time, excluding time in queues.
	ElapsedMS rollout.Millis
	// Tokens is the number of tokens generated so far.
	Tokens int
}

// Step tracks the samples of one step. It is not safe for concurrent use.
type Step struct {
	cfg  Config
	size int
	// rates holds the tokens per millisecond of the succeeded attempts, in
	// ascending order.
	rates  []float64
	hedged int
}

// New returns a step of size samples.
func New(cfg Config, size int) *Step { return &Step{cfg: cfg, size: size} }

// RecordSuccess records an attempt that succeeded.
func (s *Step) RecordSuccess(a Attempt) {
	r := a.rate()
	i, _ := slices.BinarySearch(s.rates, r)
	s.rates = slices.Insert(s.rates, i, r)
}

// TryHedge reports whether the attempt is to be hedged, and counts the hedge
// against the budget. It returns false when the attempt is not a straggler or
// the budget is used up.
func (s *Step) TryHedge(a Attempt) bool {
	if !s.isStraggler(a) || s.hedged >= max(1, int(s.cfg.Budget*float64(s.size))) {
		return false
	}
	s.hedged++
	return true
}

func (s *Step) isStraggler(a Attempt) bool {
	if a.ElapsedMS < s.cfg.MinElapsedMS || len(s.rates) < s.cfg.MinSucceeded {
		return false
	}
	median := s.rates[len(s.rates)/2]
	return a.rate() < s.cfg.MinRateRatio*median
}

// rate returns the tokens per millisecond.
func (a Attempt) rate() float64 { return float64(a.Tokens) / float64(max(a.ElapsedMS, 1)) }
