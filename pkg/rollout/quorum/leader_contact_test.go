package quorum

import (
	"math/rand/v2"
	"testing"
)

func newFollower() *Node {
	members := Members{Voters: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	return New(DefaultConfig("a"), Bootstrap(members), 1_000, rand.New(rand.NewPCG(1, 1)))
}

func newAppend(prev, commit uint64, entries ...Entry) Message {
	return Message{Type: MessageAppend, From: "b", To: "a", Term: 1, PrevIndex: prev, PrevTerm: 1, Commit: commit, Entries: entries}
}

// A restarted host receives heartbeats from the leader long before it has caught
// up. Until then it must not answer for the newest state.
func TestLastLeaderContactIsZeroWhileEntriesAreMissing(t *testing.T) {
	n := newFollower()
	n.Step(1_100, newAppend(1, 1))
	if n.LastLeaderContact() != 1_100 {
		t.Fatalf("last leader contact %d, want 1100", n.LastLeaderContact())
	}
	n.Step(1_200, newAppend(5, 3))
	if n.LastLeaderContact() != 0 {
		t.Fatalf("last leader contact %d while entries are missing, want 0", n.LastLeaderContact())
	}
	n.Step(1_250, newAppend(0, 0))
	if n.LastLeaderContact() != 0 {
		t.Fatalf("last leader contact %d after a heartbeat sent with a snapshot in flight, want 0", n.LastLeaderContact())
	}
	n.Step(1_300, newAppend(1, 3, Entry{Index: 2, Term: 1}))
	if n.LastLeaderContact() != 0 {
		t.Fatalf("last leader contact %d while an entry is missing, want 0", n.LastLeaderContact())
	}
	n.Step(1_400, newAppend(2, 3, Entry{Index: 3, Term: 1}))
	if n.LastLeaderContact() != 1_400 {
		t.Fatalf("last leader contact %d, want 1400", n.LastLeaderContact())
	}
}
