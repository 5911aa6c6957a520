package replica

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// A leader whose followers are slow for a moment, as while they write snapshots,
// gets its lease back in the same term. Its runs must not be cut for that.
func TestShortLapseOfLeaseKeepsRuns(t *testing.T) {
	const heldAt, lapse = rollout.Millis(1_000), rollout.Millis(500)
	for _, tc := range []struct {
		name     string
		now      rollout.Millis
		term     uint64
		isLeader bool
		lapse    rollout.Millis
		want     bool
	}{
		{"LeaseHeld", heldAt, 3, true, lapse, false},
		{"ShortLapse", heldAt + lapse - 1, 3, true, lapse, false},
		{"LongLapse", heldAt + lapse, 3, true, lapse, true},
		{"NoLapseAllowed", heldAt + 1, 3, true, 0, true},
		{"NoLapseAllowedLeaseHeld", heldAt, 3, true, 0, false},
		{"OtherLeader", heldAt + 1, 3, false, lapse, true},
		{"LaterTerm", heldAt + 1, 4, true, lapse, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			held := tenure{term: 3, heldAt: heldAt}
			if got := held.ended(tc.now, tc.term, tc.isLeader, tc.lapse); got != tc.want {
				t.Fatalf("ended is %v, want %v", got, tc.want)
			}
		})
	}
}
