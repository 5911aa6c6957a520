// Package roster decides which hosts are the members of a quorum: it brings
// the voters up to the wanted number, replaces lost and retiring ones, and
// makes one change at a time.
package roster

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

const (
	// SilentMS is how long a voter may be unheard before a caught-up learner
	// takes its place. It exceeds a restart of a process.
	SilentMS rollout.Millis = 1_500
	// CandidateExpiryMS is how long a host counts after its last request to
	// join.
	CandidateExpiryMS rollout.Millis = 3_000
)

// Candidate is a host that has asked to join.
type Candidate struct {
	Member quorum.Member
	// FailureDomain is where the host stands.
	FailureDomain string
	// SeenMS is when it last asked.
	SeenMS rollout.Millis
}

// View is what the leader knows.
type View struct {
	Self    quorum.MemberID
	Members quorum.Members
	// TargetVoters is the number of voters to reach.
	TargetVoters int
	// Candidates are the hosts that asked to join, members included.
	Candidates map[quorum.MemberID]Candidate
	// Retiring holds the addresses of hosts that are to hold nothing.
	Retiring map[string]bool
	// CaughtUp tells whether a peer holds all that is committed.
	CaughtUp func(quorum.MemberID) bool
	// LastContact returns when a peer last answered.
	LastContact func(quorum.MemberID) rollout.Millis
}

// Change is one step.
type Change struct {
	Reason  string
	Member  quorum.Member
	Members quorum.Members
	// TransferLeadership is true when the leader is to give the lead away; the members
	// stay.
	TransferLeadership bool
}

// Next returns the next change and whether there is one.
func Next(now rollout.Millis, v View) (Change, bool) {
	unfit := v.unfitVoters(now)
	surplus := len(v.Members.Voters) - v.TargetVoters
	if surplus > 0 {
		return v.removeVoter(unfit)
	}
	if surplus == 0 && len(unfit) == 0 {
		return v.removeLearner()
	}
	if surplus == 0 && len(unfit) == len(v.Members.Voters) {
		return Change{}, false
	}
	for _, l := range v.Members.Learners {
		if v.CaughtUp(l.ID) && now-v.LastContact(l.ID) < SilentMS && !v.Retiring[l.Address] {
			return Change{Reason: "MemberPromoted", Member: l, Members: v.Members.WithVoter(l)}, true
		}
	}
	for _, l := range v.Members.Learners {
		if now-v.LastContact(l.ID) > CandidateExpiryMS || v.Retiring[l.Address] {
			return Change{Reason: "LearnerRemoved", Member: l, Members: v.Members.Without(l.ID)}, true
		}
	}
	if len(v.Members.Learners) > 0 {
		return Change{}, false
	}
	return v.addLearner(now, unfit)
}

// addLearner takes the candidate whose failure domain has the fewest fit
// voters.
func (v View) addLearner(now rollout.Millis, unfit []quorum.Member) (Change, bool) {
	inDomain := make(map[string]int)
	for _, m := range v.Members.Voters {
		if !slices.Contains(unfit, m) {
			inDomain[v.Candidates[m.ID].FailureDomain]++
		}
	}
	var best *Candidate
	for _, id := range sortedIDs(v.Candidates) {
		c := v.Candidates[id]
		if _, ok := v.Members.Find(id); ok || now-c.SeenMS > CandidateExpiryMS || v.Retiring[c.Member.Address] || v.successor(now, c.Member) {
			continue
		}
		if best == nil || inDomain[c.FailureDomain] < inDomain[best.FailureDomain] {
			best = &c
		}
	}
	if best == nil {
		return Change{}, false
	}
	return Change{Reason: "LearnerAdded", Member: best.Member, Members: v.Members.WithLearner(best.Member)}, true
}

// removeLearner drops a learner that nobody needs.
func (v View) removeLearner() (Change, bool) {
	if len(v.Members.Learners) == 0 {
		return Change{}, false
	}
	l := v.Members.Learners[0]
	return Change{Reason: "LearnerRemoved", Member: l, Members: v.Members.Without(l.ID)}, true
}

// removeVoter drops an unfit voter, or else one whose failure domain has
// another voter. A leader that is to go gives the lead away first, for its
// removal would leave the quorum without one until an election.
func (v View) removeVoter(unfit []quorum.Member) (Change, bool) {
	if len(unfit) > 0 && unfit[0].ID == v.Self {
		return Change{Reason: "LeadHandedOver", Member: unfit[0], Members: v.Members, TransferLeadership: true}, true
	}
	if len(unfit) > 0 {
		return Change{Reason: "VoterRemoved", Member: unfit[0], Members: v.Members.Without(unfit[0].ID)}, true
	}
	inDomain := make(map[string]int)
	for _, m := range v.Members.Voters {
		inDomain[v.Candidates[m.ID].FailureDomain]++
	}
	for _, m := range slices.Backward(v.Members.Voters) {
		if m.ID != v.Self && inDomain[v.Candidates[m.ID].FailureDomain] > 1 {
			return Change{Reason: "VoterRemoved", Member: m, Members: v.Members.Without(m.ID)}, true
		}
	}
	for _, m := range slices.Backward(v.Members.Voters) {
		if m.ID != v.Self {
			return Change{Reason: "VoterRemoved", Member: m, Members: v.Members.Without(m.ID)}, true
		}
	}
	return Change{}, false
}

// unfitVoters returns the voters to replace: those whose address has a new
// member, the silent and the retiring, the surest first.
func (v View) unfitVoters(now rollout.Millis) []quorum.Member {
	var wiped, silent, retiring []quorum.Member
	for _, m := range v.Members.Voters {
		switch {
		case m.ID != v.Self && v.successor(now, m):
			wiped = append(wiped, m)
		case m.ID != v.Self && now-v.LastContact(m.ID) > SilentMS:
			silent = append(silent, m)
		case v.Retiring[m.Address]:
			retiring = append(retiring, m)
		}
	}
	return slices.Concat(wiped, silent, retiring)
}

// successor tells whether a host has come to the address of a member under
// another ID, as after the loss of its disk.
func (v View) successor(now rollout.Millis, m quorum.Member) bool {
	for id, c := range v.Candidates {
		if id != m.ID && c.Member.Address == m.Address && c.SeenMS > v.Candidates[m.ID].SeenMS && now-c.SeenMS <= CandidateExpiryMS {
			return true
		}
	}
	return false
}

func sortedIDs(cs map[quorum.MemberID]Candidate) []quorum.MemberID {
	ids := make([]quorum.MemberID, 0, len(cs))
	for id := range cs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
