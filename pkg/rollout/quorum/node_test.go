package quorum

import (
	"flag"
	"fmt"
	"testing"
)

var (
	seeds     = flag.Int("seeds", 40, "number of seeds of the cluster test")
	firstSeed = flag.Int("first-seed", 1, "first seed of the cluster test")
)

// TestClusterUnderFaults brings about loss, delay, repetition, reordering,
// one-way cuts, freezes, crashes between any two steps and lost disks, with
// clocks that differ by up to 4%.
func TestClusterUnderFaults(t *testing.T) {
	const faultyMS = 15_000
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		for _, size := range []int{3, 5} {
			t.Run(fmt.Sprintf("seed=%d/size=%d", seed, size), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, uint64(seed), size)
				for range faultyMS {
					c.step()
				}
				c.heal()
			})
		}
	}
}
