package limit

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// electionMS is the least time for which no host leads control when its leader changes.
const electionMS rollout.Millis = 600

// Guards against a new leader of control that grants again what the former one has granted.
func TestLimitHoldsWhileLeaderChanges(t *testing.T) {
	for _, hosts := range []int{8, 100} {
		for _, limit := range []float64{0.5, 2.4, 10, 50} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, limit), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(6, limit, demandOf(hosts, limit, false))
				var back rollout.Millis
				s.atStep = func(now rollout.Millis) {
					if now%7_000 == 0 {
						back = now + electionMS + rollout.Millis(s.rand.Int64N(3_000))
						for _, h := range s.hosts {
							h.reachable = false
						}
					}
					if now >= back && back > 0 {
						back = 0
						s.divider = NewDivider()
						s.divider.SetLimit(now, engine, limit)
						for _, h := range s.hosts {
							h.reachable = true
						}
					}
				}
				s.run()
				assertWithin(t, s, limit)
			})
		}
	}
}
