package replica

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// A host that wakes up from a freeze asks for its lease before its own thread
// has run again.
func TestLeaseEndsByTheClockAlone(t *testing.T) {
	now := clock.NewManual(1_000)
	r := &Replica{opts: Options{Clock: now}}
	r.status.Store(&Status{Term: 3})
	r.leaseUntil.Store(2_000)
	if term, leads := r.Leading(999); !leads || term != 3 {
		t.Fatalf("term %d, leads %v before its end", term, leads)
	}
	if _, leads := r.Leading(1_000); leads {
		t.Fatal("leads with less to spare than asked")
	}
	now.Advance(1_000)
	if _, leads := r.Leading(0); leads {
		t.Fatal("leads after the end of the lease")
	}
}
