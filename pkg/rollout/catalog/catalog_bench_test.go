package catalog

import (
	"encoding/json"
	"fmt"
	"testing"
)

func newCatalogWithUpstreams(n int) *Catalog {
	c := New()
	for i := range n {
		c.Put(uint64(i+1), KindUpstream, fmt.Sprintf("engine-%d", i), newUpstream(i, 1))
	}
	return c
}

func newUpstream(i int, version uint64) Upstream {
	return Upstream{
		ID: fmt.Sprintf("engine-%d", i), Kind: UpstreamEngine, Pool: "redactor", FailureDomain: "paraiso", Host: fmt.Sprintf("host-%d", i/2),
		Agent: fmt.Sprintf("agent-%d", i/2), Incarnation: "0123456789abcdef", Address: "10.0.0.1:7000", Slots: 32, SinceMS: 1_800_000_000_000,
		Versions: map[string]uint64{"drafts": version, "junctions": version, "convoys": version},
	}
}

// BenchmarkFollow measures how a daemon applies the change of one upstream: it
// clones its catalog and applies the update. It reports the encoded size of the
// update.
func BenchmarkFollow(b *testing.B) {
	for _, size := range []int{68, 340, 680} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			leader := newCatalogWithUpstreams(size)
			follower := New()
			if err := follower.Apply(leader.Since(0, EntryInterest())); err != nil {
				b.Fatal(err)
			}
			bytes := 0
			b.ReportAllocs()
			for i := range b.N {
				leader.Put(leader.Version+1, KindVersions, fmt.Sprintf("engine-%d", i%size), newUpstream(i%size, uint64(i)).Versions)
				u := leader.Since(follower.Version, EntryInterest())
				data, _ := json.Marshal(u)
				bytes += len(data)
				next := follower.Clone()
				if err := next.Apply(u); err != nil {
					b.Fatal(err)
				}
				follower = next
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/change")
		})
	}
}
