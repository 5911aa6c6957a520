package replica

import "github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"

// tenure is the lead of this replica in one term.
type tenure struct {
	term uint64
	// heldAt is when the lease was last known to be valid.
	heldAt rollout.Millis
}

// ended reports whether the lead is over: the replica is not the leader of the
// term any more, or its lease has lapsed for lapse or longer. As long as it is
// the leader of the term, no other replica can have committed anything in it.
func (t tenure) ended(now rollout.Millis, term uint64, isLeader bool, lapse rollout.Millis) bool {
	if !isLeader || term != t.term {
		return true
	}
	return now > t.heldAt && now-t.heldAt >= lapse
}
