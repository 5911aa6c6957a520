package roster_test

import (
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/roster"
)

// cluster applies the changes that Next returns to a View. Learners catch up
// immediately unless they are unreachable.
type cluster struct {
	roster.View
	now         rollout.Millis
	unreachable map[quorum.MemberID]bool
	steps       []string
}

func newCluster(targetVoters int, voters ...string) *cluster {
	c := &cluster{now: 100_000, unreachable: make(map[quorum.MemberID]bool)}
	c.View = roster.View{
		Self: quorum.MemberID(voters[0]), TargetVoters: targetVoters,
		JoinCandidates: make(map[quorum.MemberID]roster.JoinCandidate), Retiring: make(map[string]bool),
		CaughtUp: func(id quorum.MemberID) bool { return !c.unreachable[id] },
		LastContact: func(id quorum.MemberID) rollout.Millis {
			if c.unreachable[id] {
				return c.now - 10*roster.MemberTimeoutMS
			}
			return c.now
		},
	}
	for _, v := range voters {
		c.join(v, "address-"+v, "domain-"+v[:1])
		c.Members.Voters = append(c.Members.Voters, quorum.Member{ID: quorum.MemberID(v), Address: "address-" + v})
	}
	return c
}

func (c *cluster) join(id, address, domain string) {
	m := quorum.Member{ID: quorum.MemberID(id), Address: address}
	c.JoinCandidates[m.ID] = roster.JoinCandidate{Member: m, FailureDomain: domain, SeenMS: c.now}
}

// runToCompletion applies changes until Next returns none.
func (c *cluster) runToCompletion(t *testing.T) {
	t.Helper()
	for range 20 {
		change, ok := roster.Next(c.now, c.View)
		if !ok {
			return
		}
		c.steps = append(c.steps, change.Reason)
		if change.TransferLeadership {
			c.Self = c.transferTarget()
			continue
		}
		if !change.Members.IsVoter(c.Self) {
			t.Fatalf("change removes the current leader; steps: %v", c.steps)
		}
		c.Members = change.Members
	}
	t.Fatalf("changes still pending after 20 steps: %v", c.steps)
}

// transferTarget returns the voter to which the leader transfers leadership.
func (c *cluster) transferTarget() quorum.MemberID {
	for _, m := range c.Members.Voters {
		if m.ID != c.Self && !c.Retiring[m.Address] {
			return m.ID
		}
	}
	return c.Self
}

func assertVoters(t *testing.T, c *cluster, want ...string) {
	t.Helper()
	var got []string
	for _, v := range c.Members.Voters {
		got = append(got, string(v.ID))
	}
	slices.Sort(got)
	if !slices.Equal(got, want) || len(c.Members.Learners) != 0 {
		t.Fatalf("members %+v after %v, want voters %v", c.Members, c.steps, want)
	}
}

func TestHealthyQuorumIsUnchanged(t *testing.T) {
	c := newCluster(3, "a1", "b1", "c1")
	c.join("a2", "address-a2", "domain-a")
	c.runToCompletion(t)
	assertVoters(t, c, "a1", "b1", "c1")
}

func TestHostWithLostDiskRejoinsUnderNewID(t *testing.T) {
	c := newCluster(3, "a1", "b1", "c1")
	c.now += 500
	c.unreachable["b1"] = true
	c.join("b1new", "address-b1", "domain-b")
	c.runToCompletion(t)
	assertVoters(t, c, "a1", "b1new", "c1")
	if !slices.Equal(c.steps, []string{"LearnerAdded", "MemberPromoted", "VoterRemoved"}) {
		t.Fatalf("steps %v", c.steps)
	}
}

func TestLostHostWithoutReplacementStaysVoter(t *testing.T) {
	c := newCluster(3, "a1", "b1", "c1")
	c.unreachable["b1"] = true
	c.runToCompletion(t)
	assertVoters(t, c, "a1", "b1", "c1")
}

func TestLostHostIsReplacedInItsFailureDomain(t *testing.T) {
	c := newCluster(3, "a1", "b1", "c1")
	c.unreachable["b1"] = true
	c.join("a2", "address-a2", "domain-a")
	c.join("b2", "address-b2", "domain-b")
	c.runToCompletion(t)
	assertVoters(t, c, "a1", "b2", "c1")
}

func TestRetiringHostIsReplaced(t *testing.T) {
	c := newCluster(3, "a1", "b1", "c1")
	c.Retiring["address-c1"] = true
	c.join("c2", "address-c2", "domain-c")
	c.runToCompletion(t)
	assertVoters(t, c, "a1", "b1", "c2")
}

func TestRetiringLeaderIsReplaced(t *testing.T) {
	c := newCluster(3, "a1", "b1", "c1")
	c.Retiring["address-a1"] = true
	c.join("a2", "address-a2", "domain-a")
	c.runToCompletion(t)
	assertVoters(t, c, "a2", "b1", "c1")
}

func TestRetiringHostIsNotAdded(t *testing.T) {
	c := newCluster(3, "a1", "b1", "c1")
	c.unreachable["b1"] = true
	c.join("b2", "address-b2", "domain-b")
	c.Retiring["address-b2"] = true
	c.runToCompletion(t)
	assertVoters(t, c, "a1", "b1", "c1")
}

func TestQuorumGrowsToTargetVoters(t *testing.T) {
	c := newCluster(5, "a1", "b1", "c1")
	c.join("a2", "address-a2", "domain-a")
	c.join("b2", "address-b2", "domain-b")
	c.runToCompletion(t)
	assertVoters(t, c, "a1", "a2", "b1", "b2", "c1")
}

func TestExpiredJoinCandidateIsNotAdded(t *testing.T) {
	c := newCluster(3, "a1", "b1", "c1")
	c.unreachable["b1"] = true
	c.join("b2", "address-b2", "domain-b")
	c.now += roster.JoinCandidateTimeoutMS + 1
	c.runToCompletion(t)
	assertVoters(t, c, "a1", "b1", "c1")
}

func TestLostLearnerIsReplaced(t *testing.T) {
	c := newCluster(3, "a1", "b1", "c1")
	c.unreachable["b1"] = true
	c.join("b2", "address-b2", "domain-b")
	change, _ := roster.Next(c.now, c.View)
	c.Members = change.Members
	c.unreachable["b2"] = true
	delete(c.JoinCandidates, "b2")
	c.join("c2", "address-c2", "domain-c")
	c.runToCompletion(t)
	assertVoters(t, c, "a1", "c1", "c2")
}
