// Package hedge decides when a straggler of a group gets a second attempt.
package hedge

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Config sets up a Policy.
type Config struct {
	// DoneShare is the share of the group that must be finished before any
	// straggler is hedged.
	DoneShare float64
	// Quantile and Factor bound the patience: a sample is a straggler once it
	// has taken Factor times the Quantile of the finished ones.
	Quantile, Factor float64
	// Budget is the largest share of the group that is hedged.
	Budget float64
}

// DefaultConfig returns a policy that costs at most 5% more attempts.
func DefaultConfig() Config {
	return Config{DoneShare: 0.5, Quantile: 0.9, Factor: 1.5, Budget: 0.05}
}

// Group follows the samples of one step. It is used by one thread at a time.
type Group struct {
	cfg  Config
	size int
	// finished holds the durations of the finished samples, sorted.
	finished []rollout.Millis
	hedged   int
}

// New returns a group of a size.
func New(cfg Config, size int) *Group { return &Group{cfg: cfg, size: size} }

// Finished notes how long a sample took.
func (g *Group) Finished(took rollout.Millis) {
	i, _ := slices.BinarySearch(g.finished, took)
	g.finished = slices.Insert(g.finished, i, took)
}

// Patience returns after how long a running sample counts as a straggler, and
// false while that is not known.
func (g *Group) Patience() (rollout.Millis, bool) {
	n := len(g.finished)
	if n == 0 || float64(n) < g.cfg.DoneShare*float64(g.size) {
		return 0, false
	}
	q := g.finished[min(int(g.cfg.Quantile*float64(n)), n-1)]
	return rollout.Millis(g.cfg.Factor * float64(q)), true
}

// Take spends one hedge on a sample that has run for a time. It returns false
// when the sample is no straggler or the budget is spent.
func (g *Group) Take(running rollout.Millis) bool {
	patience, ok := g.Patience()
	if !ok || running <= patience || g.hedged >= g.budget() {
		return false
	}
	g.hedged++
	return true
}

func (g *Group) budget() int { return max(1, int(g.cfg.Budget*float64(g.size))) }
