package catalog

import (
	"encoding/json"
	"fmt"
	"testing"
)

func withUpstreams(n int) *Catalog {
	c := New()
	for i := range n {
		c.Put(uint64(i+1), KindUpstream, fmt.Sprintf("engine-%d", i), upstream(i, 1))
	}
	return c
}

func upstream(i int, version uint64) Upstream {
	return Upstream{
		ID: fmt.Sprintf("engine-%d", i), Kind: UpstreamEngine, Pool: "redactor", FailureDomain: "paraiso", Host: fmt.Sprintf("host-%d", i/2),
		Agent: fmt.Sprintf("agent-%d", i/2), Incarnation: "0123456789abcdef", Address: "10.0.0.1:7000", Slots: 32, SinceMS: 1_800_000_000_000,
		Versions: map[string]uint64{"drafts": version, "junctions": version, "convoys": version},
	}
}

// BenchmarkFollow applies one change of an upstream as a daemon does: a clone,
// then the change. It reports the bytes of the change.
func BenchmarkFollow(b *testing.B) {
	for _, size := range []int{68, 340, 680} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			leader := withUpstreams(size)
			view := New()
			if err := view.Apply(leader.Since(0, EntryInterest())); err != nil {
				b.Fatal(err)
			}
			bytes := 0
			b.ReportAllocs()
			for i := range b.N {
				leader.Put(leader.Version+1, KindVersions, fmt.Sprintf("engine-%d", i%size), upstream(i%size, uint64(i)).Versions)
				u := leader.Since(view.Version, EntryInterest())
				data, _ := json.Marshal(u)
				bytes += len(data)
				next := view.Clone()
				if err := next.Apply(u); err != nil {
					b.Fatal(err)
				}
				view = next
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/change")
		})
	}
}
