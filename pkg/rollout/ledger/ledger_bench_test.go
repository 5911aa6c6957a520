package ledger

import (
	"fmt"
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/claim"
)

// BenchmarkSnapshot measures the encoding of a snapshot by the number of claims.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprint(claims), func(b *testing.B) {
			s := New()
			for i := range claims {
				s.Apply(uint64(i+1), []Command{{AtMS: rollout.Millis(i), TakeClaim: &claim.Take{Claim: claim.Claim{
					Account: "account-1", RequestID: fmt.Sprintf("order-%d", i), Digest: strings.Repeat("d", 64),
					Attempt: fmt.Sprintf("%024d", i), Upstream: "engine-1", Address: "10.0.0.1:7000", Incarnation: "0123456789abcdef",
				}}}})
			}
			size := 0
			for b.Loop() {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(claims), "bytes/claim")
		})
	}
}
