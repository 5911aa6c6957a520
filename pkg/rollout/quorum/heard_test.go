package quorum

import (
	"math/rand/v2"
	"testing"
)

func newFollower() *Node {
	members := Members{Voters: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	return New(DefaultConfig("a"), Bootstrap(members), 1_000, rand.New(rand.NewPCG(1, 1)))
}

func appendOf(prev, commit uint64, entries ...Entry) Message {
	return Message{Type: MessageAppend, From: "b", To: "a", Term: 1, PrevIndex: prev, PrevTerm: 1, Commit: commit, Entries: entries}
}

// A host that comes back hears the leader at once, long before it has caught
// up; it must not pass for one that knows all.
func TestFollowerThatLacksEntriesHasNotHeardTheLeader(t *testing.T) {
	n := newFollower()
	n.Step(1_100, appendOf(1, 1))
	if n.LastLeaderContact() != 1_100 {
		t.Fatalf("heard at %d, want 1100", n.LastLeaderContact())
	}
	n.Step(1_200, appendOf(5, 3))
	if n.LastLeaderContact() != 0 {
		t.Fatalf("heard at %d though entries are missing", n.LastLeaderContact())
	}
	n.Step(1_250, appendOf(0, 0))
	if n.LastLeaderContact() != 0 {
		t.Fatalf("heard at %d by a heartbeat beside a snapshot", n.LastLeaderContact())
	}
	n.Step(1_300, appendOf(1, 3, Entry{Index: 2, Term: 1}))
	if n.LastLeaderContact() != 0 {
		t.Fatalf("heard at %d though an entry is missing", n.LastLeaderContact())
	}
	n.Step(1_400, appendOf(2, 3, Entry{Index: 3, Term: 1}))
	if n.LastLeaderContact() != 1_400 {
		t.Fatalf("heard at %d, want 1400", n.LastLeaderContact())
	}
}
