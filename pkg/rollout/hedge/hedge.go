// Package hedge decides when a straggler of a group gets a second attempt. A
// straggler is detected by its throughput: it generates far fewer tokens per
// second than the others of its group. The slower of the two attempts is
// cancelled, so a hedge costs little more than the tokens of the faster one.
package hedge

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Config holds the hedging parameters of a Group.
type Config struct {
	// MinElapsedMS is the minimum run time before an attempt can be a straggler.
	MinElapsedMS rollout.Millis
	// MinSucceeded is how many attempts must have finished before any is hedged.
	MinSucceeded int
	// MinRateRatio is the fraction of the group's median token rate below which
	// an attempt is a straggler.
	MinRateRatio float64
	// Budget is the maximum fraction of the group that is hedged.
	Budget float64
}

// DefaultConfig returns the settings for groups of tens to hundreds of samples.
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
	// rates holds the tokens per millisecond of the finished attempts, in ascending order.
	rates  []float64
	hedged int
}

// New returns a group of size samples.
func New(cfg Config, size int) *Step { return &Step{cfg: cfg, size: size} }

// RecordSuccess records an attempt that succeeded.
func (g *Step) RecordSuccess(a Attempt) {
	r := a.rate()
	i, _ := slices.BinarySearch(g.rates, r)
	g.rates = slices.Insert(g.rates, i, r)
}

// TryHedge reports whether the attempt is to be hedged, and counts the hedge
// against the budget. It returns false when the attempt is not a straggler or
// the budget is used up.
func (g *Step) TryHedge(a Attempt) bool {
	if !g.isStraggler(a) || g.hedged >= max(1, int(g.cfg.Budget*float64(g.size))) {
		return false
	}
	g.hedged++
	return true
}

func (g *Step) isStraggler(a Attempt) bool {
	if a.ElapsedMS < g.cfg.MinElapsedMS || len(g.rates) < g.cfg.MinSucceeded {
		return false
	}
	median := g.rates[len(g.rates)/2]
	return a.rate() < g.cfg.MinRateRatio*median
}

// rate returns the tokens per millisecond.
func (a Attempt) rate() float64 { return float64(a.Tokens) / float64(max(a.ElapsedMS, 1)) }
