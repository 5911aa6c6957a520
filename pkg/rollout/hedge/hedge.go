// Package hedge decides when a straggler of a group gets a second attempt. A
// straggler is known by its pace: it makes far fewer tokens a second than the
// others of its group. The loser of the two is cancelled, so that a hedge costs
// little more than the tokens of the faster one.
package hedge

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Config sets up a Policy.
type Config struct {
	// MinElapsedMS is how long an attempt must have run before its pace counts.
	MinElapsedMS rollout.Millis
	// MinKnown is how many attempts must have finished before any is hedged.
	MinKnown int
	// PaceShare is the share of the median pace below which an attempt is a
	// straggler.
	PaceShare float64
	// Budget is the largest share of the group that is hedged.
	Budget float64
}

// DefaultConfig returns the settings for groups of tens to hundreds.
func DefaultConfig() Config {
	return Config{MinElapsedMS: 1_000, MinKnown: 3, PaceShare: 0.5, Budget: 0.1}
}

// Attempt is an attempt that runs.
type Attempt struct {
	// ElapsedMS is how long it has run, without the time in queues.
	ElapsedMS rollout.Millis
	// Tokens counts what it has made.
	Tokens int
}

// Group follows the samples of one step. It is used by one thread at a time.
type Group struct {
	cfg  Config
	size int
	// paces holds the tokens per millisecond of the finished attempts, sorted.
	paces  []float64
	hedged int
}

// New returns a group of a size.
func New(cfg Config, size int) *Group { return &Group{cfg: cfg, size: size} }

// Finished notes an attempt that has ended well.
func (g *Group) Finished(a Attempt) {
	p := a.pace()
	i, _ := slices.BinarySearch(g.paces, p)
	g.paces = slices.Insert(g.paces, i, p)
}

// TryHedge spends one hedge on an attempt. It returns false when the attempt is no
// straggler or the budget is spent.
func (g *Group) TryHedge(a Attempt) bool {
	if !g.isStraggler(a) || g.hedged >= max(1, int(g.cfg.Budget*float64(g.size))) {
		return false
	}
	g.hedged++
	return true
}

func (g *Group) isStraggler(a Attempt) bool {
	if a.ElapsedMS < g.cfg.MinElapsedMS || len(g.paces) < g.cfg.MinKnown {
		return false
	}
	median := g.paces[len(g.paces)/2]
	return a.pace() < g.cfg.PaceShare*median
}

// pace returns the tokens per millisecond.
func (a Attempt) pace() float64 { return float64(a.Tokens) / float64(max(a.ElapsedMS, 1)) }
