package replica

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// A host that resumes after a suspension may check its lease before the loop of
// the replica has run again. Leading must then compare the lease with the clock
// instead of relying on the loop to reset it.
func TestLeaseExpiresWithoutLoop(t *testing.T) {
	now := clock.NewManual(1_000)
	r := &Replica{opts: Options{Clock: now}}
	r.status.Store(&Status{Term: 3})
	r.leaseUntil.Store(2_000)
	if term, leads := r.Leading(999); !leads || term != 3 {
		t.Fatalf("term %d, leads %v before the end of the lease", term, leads)
	}
	if _, leads := r.Leading(1_000); leads {
		t.Fatal("leads although the lease ends within the margin")
	}
	now.Advance(1_000)
	if _, leads := r.Leading(0); leads {
		t.Fatal("leads after the end of the lease")
	}
}
