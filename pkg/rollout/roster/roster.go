// Package roster plans the membership of a quorum. It brings the number of
// voters to the target, replaces lost and retiring voters and makes one
// membership change at a time.
package roster

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

const (
	// MemberTimeoutMS is the time since the last contact after which a voter
	// counts as lost and may be replaced by a caught-up learner. It is longer
	// than a process restart takes.
	MemberTimeoutMS rollout.Millis = 1_500
	// JoinCandidateTimeoutMS is how long a host remains a join candidate after its
	// last join request. A learner without contact for longer is removed.
	JoinCandidateTimeoutMS rollout.Millis = 3_000
)

// JoinCandidate is a host that has sent a join request.
type JoinCandidate struct {
	Member quorum.Member
	// FailureDomain is the failure domain of the host.
	FailureDomain string
	// SeenMS is the time of the last join request.
	SeenMS rollout.Millis
}

// View is the state from which the leader plans membership changes.
type View struct {
	Self    quorum.MemberID
	Members quorum.Members
	// TargetVoters is the desired number of voters.
	TargetVoters int
	// JoinCandidates holds the hosts that sent a join request, including members.
	JoinCandidates map[quorum.MemberID]JoinCandidate
	// Retiring holds the addresses of hosts that are being taken out of service
	// and must not be members.
	Retiring map[string]bool
	// CaughtUp reports whether a peer holds all committed entries.
	CaughtUp func(quorum.MemberID) bool
	// LastContact returns the send time of the newest heartbeat round that a
	// peer answered.
	LastContact func(quorum.MemberID) rollout.Millis
}

// Change is a single membership change or a leadership transfer.
type Change struct {
	// Reason is the name of the log event for the change.
	Reason string
	// Member is the member that is added, promoted, removed or to be replaced as
	// the leader.
	Member quorum.Member
	// Members is the membership after the change.
	Members quorum.Members
	// TransferLeadership is true when the leader must transfer leadership. The
	// members do not change.
	TransferLeadership bool
}

// Next returns the next change. It returns false when no change is needed or
// possible.
func Next(now rollout.Millis, v View) (Change, bool) {
	toReplace := v.votersToReplace(now)
	surplus := len(v.Members.Voters) - v.TargetVoters
	if surplus > 0 {
		return v.removeVoter(toReplace)
	}
	if surplus == 0 && len(toReplace) == 0 {
		return v.removeLearner()
	}
	if surplus == 0 && len(toReplace) == len(v.Members.Voters) {
		return Change{}, false
	}
	for _, l := range v.Members.Learners {
		if v.CaughtUp(l.ID) && now-v.LastContact(l.ID) < MemberTimeoutMS && !v.Retiring[l.Address] {
			return Change{Reason: "MemberPromoted", Member: l, Members: v.Members.WithVoter(l)}, true
		}
	}
	for _, l := range v.Members.Learners {
		if now-v.LastContact(l.ID) > JoinCandidateTimeoutMS || v.Retiring[l.Address] {
			return Change{Reason: "LearnerRemoved", Member: l, Members: v.Members.Without(l.ID)}, true
		}
	}
	if len(v.Members.Learners) > 0 {
		return Change{}, false
	}
	return v.addLearner(now, toReplace)
}

// addLearner adds the join candidate whose failure domain has the fewest voters,
// not counting those to replace.
func (v View) addLearner(now rollout.Millis, toReplace []quorum.Member) (Change, bool) {
	votersByDomain := make(map[string]int)
	for _, m := range v.Members.Voters {
		if !slices.Contains(toReplace, m) {
			votersByDomain[v.JoinCandidates[m.ID].FailureDomain]++
		}
	}
	var best *JoinCandidate
	for _, id := range sortedIDs(v.JoinCandidates) {
		c := v.JoinCandidates[id]
		if _, ok := v.Members.Find(id); ok || now-c.SeenMS > JoinCandidateTimeoutMS || v.Retiring[c.Member.Address] || v.hasSuccessor(now, c.Member) {
			continue
		}
		if best == nil || votersByDomain[c.FailureDomain] < votersByDomain[best.FailureDomain] {
			best = &c
		}
	}
	if best == nil {
		return Change{}, false
	}
	return Change{Reason: "LearnerAdded", Member: best.Member, Members: v.Members.WithLearner(best.Member)}, true
}

// removeLearner removes the first learner. It is called when no voter needs
// replacing.
func (v View) removeLearner() (Change, bool) {
	if len(v.Members.Learners) == 0 {
		return Change{}, false
	}
	l := v.Members.Learners[0]
	return Change{Reason: "LearnerRemoved", Member: l, Members: v.Members.Without(l.ID)}, true
}

// removeVoter removes the first voter to replace or, if there is none, a voter
// whose failure domain has another voter. A leader that is to be removed
// transfers leadership first, because its removal would leave the quorum
// without a leader until an election.
func (v View) removeVoter(toReplace []quorum.Member) (Change, bool) {
	if len(toReplace) > 0 && toReplace[0].ID == v.Self {
		return Change{Reason: "LeadershipTransferRequested", Member: toReplace[0], Members: v.Members, TransferLeadership: true}, true
	}
	if len(toReplace) > 0 {
		return Change{Reason: "VoterRemoved", Member: toReplace[0], Members: v.Members.Without(toReplace[0].ID)}, true
	}
	votersByDomain := make(map[string]int)
	for _, m := range v.Members.Voters {
		votersByDomain[v.JoinCandidates[m.ID].FailureDomain]++
	}
	for _, m := range slices.Backward(v.Members.Voters) {
		if m.ID != v.Self && votersByDomain[v.JoinCandidates[m.ID].FailureDomain] > 1 {
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

// votersToReplace returns the voters whose address has a new member, then
// those without recent contact, then those on retiring hosts. Voters that are
// most certainly lost come first.
func (v View) votersToReplace(now rollout.Millis) []quorum.Member {
	var superseded, lost, retiring []quorum.Member
	for _, m := range v.Members.Voters {
		switch {
		case m.ID != v.Self && v.hasSuccessor(now, m):
			superseded = append(superseded, m)
		case m.ID != v.Self && now-v.LastContact(m.ID) > MemberTimeoutMS:
			lost = append(lost, m)
		case v.Retiring[m.Address]:
			retiring = append(retiring, m)
		}
	}
	return slices.Concat(superseded, lost, retiring)
}

// hasSuccessor reports whether a join candidate with a different ID has recently
// joined from the address of a member, as after the loss of the host's disk.
func (v View) hasSuccessor(now rollout.Millis, m quorum.Member) bool {
	for id, c := range v.JoinCandidates {
		if id != m.ID && c.Member.Address == m.Address && c.SeenMS > v.JoinCandidates[m.ID].SeenMS && now-c.SeenMS <= JoinCandidateTimeoutMS {
			return true
		}
	}
	return false
}

func sortedIDs(cs map[quorum.MemberID]JoinCandidate) []quorum.MemberID {
	ids := make([]quorum.MemberID, 0, len(cs))
	for id := range cs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
