package limit

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// electionMS is the least time for which no host leads control when its leader changes.
	electionMS rollout.Millis = 600
	// leaderChangeSeeds is the number of seeds for each case.
	leaderChangeSeeds = 10
)

// Guards against a new leader of control that grants again what the former one has granted.
func TestLimitHoldsWhileLeaderChanges(t *testing.T) {
	for _, hosts := range []int{8, 100} {
		for _, limit := range []float64{0.5, 2.4, 10, 50} {
			for seed := uint64(1); seed <= leaderChangeSeeds; seed++ {
				t.Run(fmt.Sprintf("%d hosts, %g a second, seed %d", hosts, limit, seed), func(t *testing.T) {
					t.Parallel()
					s := newSimulation(seed, limit, demandOf(hosts, limit, false))
					s.atStep = s.changeLeaders(limit)
					s.run()
					assertWithin(t, s, limit)
				})
			}
		}
	}
}

// changeLeaders returns a function that, called before each step, replaces the divider every
// seven seconds by one that knows nothing, after a time for which no host reaches one.
func (s *simulation) changeLeaders(limit float64) func(rollout.Millis) {
	var back rollout.Millis
	return func(now rollout.Millis) {
		if now%7_000 == 0 {
			back = now + electionMS + rollout.Millis(s.rand.Int64N(3_000))
			for _, h := range s.hosts {
				h.reachable = false
			}
		}
		if now >= back && back > 0 {
			back = 0
			s.divider = NewSuccessor(now)
			s.divider.SetLimit(now, engine, limit)
			for _, h := range s.hosts {
				h.reachable = true
			}
		}
	}
}
