package quorum

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Guards against service that stays away after a loss of all power for as long as the voters
// wait for a leader whose lease ended with its process.
func TestFormerLeaderLeadsSoonAfterLossOfAllPower(t *testing.T) {
	const offMS, spreadMS = 1_000, 100
	// Without the former leader no voter grants a vote earlier.
	bound := DefaultConfig("").ElectionMS
	for _, size := range []int{3, 5, 7} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d hosts, seed %d", size, seed), func(t *testing.T) {
				c := newCluster(t, seed, size)
				c.faultsEnabled = false
				c.stepUntil(c.holdsLease)
				for range 500 {
					c.step()
				}
				// The leader of the cluster may be transferring its leadership.
				c.stepUntil(c.holdsLease)
				for _, h := range c.hosts {
					h.node, h.downUntil = nil, c.now+offMS+rollout.Millis(c.rand.IntN(spreadMS))
				}
				c.inTransit = nil
				if took := c.stepUntil(c.holdsLease) - offMS; took >= bound {
					t.Errorf("a lease %d ms after the first start, want less than %d", took, bound)
				}
			})
		}
	}
}

// restartedVoter returns voter a, which knows b as the leader of term 5 from before its start.
func restartedVoter(leader MemberID) (*Node, rollout.Millis) {
	saved := Bootstrap(threeVoters)
	saved.HardState = HardState{Term: 5, Leader: leader}
	return newTestNode(saved)
}

// Guards against two leases: a restarted voter may only ignore the lease of a leader that
// itself says that it leads no more.
func TestRestartedVoterWaitsUnlessFormerLeaderAsks(t *testing.T) {
	request := func(from MemberID, term uint64) Message {
		return Message{Type: MessageVote, From: from, To: "a", Term: term, PrevIndex: 1, PrevTerm: 1}
	}
	heartbeat := Message{Type: MessageAppend, From: "b", To: "a", Term: 5, PrevIndex: 1, PrevTerm: 1}
	for name, c := range map[string]struct {
		leader  MemberID
		before  []Message
		request Message
		reject  bool
	}{
		"former leader":                        {leader: "b", request: request("b", 6)},
		"another voter":                        {leader: "b", request: request("c", 6), reject: true},
		"leader unknown":                       {request: request("b", 6), reject: true},
		"request from before the term it led":  {leader: "b", request: request("b", 5), reject: true},
		"leader heard since the start":         {leader: "b", before: []Message{heartbeat}, request: request("b", 6), reject: true},
		"next term begun since, no leader yet": {leader: "b", before: []Message{request("b", 6)}, request: request("b", 7), reject: true},
	} {
		t.Run(name, func(t *testing.T) {
			n, wait := restartedVoter(c.leader)
			for _, m := range c.before {
				n.Step(wait-2, m)
			}
			n.TakeOutput()
			n.Step(wait-1, c.request)
			assertSingleReply(t, n, c.reject)
		})
	}
}

// Guards against a leader that crashes again and again and gets the lead back each time, ahead of
// the voters that were about to replace it.
func TestFormerLeaderWaitsIfVotersAreRunning(t *testing.T) {
	for name, rejects := range map[string]bool{"voters start with it": false, "a voter was running": true} {
		t.Run(name, func(t *testing.T) {
			n, wait := restartedVoter("a")
			first := preVoteTimes(n, 0, wait)[0]
			n, _ = restartedVoter("a")
			n.Tick(first)
			n.TakeOutput()
			if rejects {
				n.Step(first+1, Message{Type: MessagePreVoteReply, From: "b", To: "a", Term: 5, Reject: true})
			}
			if early := len(preVoteTimes(n, first+1, wait)) > 0; early == rejects {
				t.Errorf("asks again within the wait of a start: %v, want %v", early, !rejects)
			}
		})
	}
}

// Guards against a leader that is unknown to a restarted voter: it must be on disk before the
// voter answers the leader.
func TestLeaderIsPersistedWithFirstReply(t *testing.T) {
	n, now := newTestNode(Bootstrap(threeVoters))
	n.Step(now, Message{Type: MessageAppend, From: "b", To: "a", Term: 2, PrevIndex: 1, PrevTerm: 1})
	if h := assertSingleReply(t, n, false); h.Leader != "b" || h.Term != 2 {
		t.Fatalf("persisted %+v, want leader b of term 2", h)
	}
	n.Step(now, Message{Type: MessageVote, From: "c", To: "a", Term: 3, PrevIndex: 1, PrevTerm: 1, Force: true})
	if h := assertSingleReply(t, n, false); h.Leader != "" {
		t.Fatalf("persisted %+v, want no leader of a term that has none yet", h)
	}
}
