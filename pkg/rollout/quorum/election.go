package quorum

import "github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"

// Step processes a message from a peer. Messages for another member are ignored.
func (n *Node) Step(now rollout.Millis, m Message) {
	if m.To != n.cfg.ID {
		return
	}
	switch m.Type {
	case MessagePreVote, MessageVote:
		n.handleVote(now, m)
		return
	case MessagePreVoteReply:
		n.handlePreVoteReply(now, m)
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(now, m.Term, "")
	}
	switch m.Type {
	case MessageVoteReply:
		n.handleVoteReply(now, m)
	case MessageAppend:
		n.handleAppend(now, m)
	case MessageAppendReply:
		n.handleAppendReply(now, m)
	case MessageSnapshot:
		n.handleSnapshot(now, m)
	case MessageTransfer:
		n.handleTransfer(now, m)
	}
}

func (n *Node) becomeFollower(now rollout.Millis, term uint64, leaderID MemberID) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
		n.emitHardState()
	}
	n.role = follower
	n.leader = leaderID
	n.peers = nil
	n.roundSentAt = nil
	n.transferUntil = 0
	n.resetElectionTimeout(now)
}

func (n *Node) becomeLeader(now rollout.Millis) {
	n.role = leader
	n.leader = n.cfg.ID
	n.recordLeader(n.cfg.ID)
	n.leaderSince = now
	n.peers = make(map[MemberID]*progress)
	n.round = 0
	n.roundSentAt = make(map[uint64]rollout.Millis)
	n.termStart = n.appendEntry(EntryEmpty, nil).Index
	n.startHeartbeatRound(now)
}

// campaign starts an election for the next term.
func (n *Node) campaign(now rollout.Millis, force bool) {
	n.role = candidate
	n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.cfg.ID}
	n.emitHardState()
	n.leader = ""
	n.resetElectionTimeout(now)
	n.requestVotes(now, MessageVote, n.hardState.Term, force)
}

// grantedVotes returns the number of current voters that granted their vote.
func (n *Node) grantedVotes() int {
	count := 0
	for id, ok := range n.votes {
		if ok && n.members.IsVoter(id) {
			count++
		}
	}
	return count
}

func (n *Node) handlePreVoteReply(now rollout.Millis, m Message) {
	if m.Reject {
		if m.Term > n.hardState.Term {
			n.becomeFollower(now, m.Term, "")
		}
		// A member that is not just starting may soon replace the former leader.
		n.electionAt = max(n.electionAt, n.fullWaitUntil)
		return
	}
	if n.role != preCandidate || m.Term != n.hardState.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.grantedVotes() >= n.members.Quorum() {
		n.campaign(now, false)
	}
}

// recordLeader makes the leader of the current term part of the persisted state.
func (n *Node) recordLeader(id MemberID) {
	if n.hardState.Leader != id {
		n.hardState.Leader = id
		n.emitHardState()
	}
}

// handleVote answers a vote or pre-vote request. A voter that had contact with
// a leader within ElectionMS rejects the request and keeps its term, so that
// the leader's lease remains valid.
func (n *Node) handleVote(now rollout.Millis, m Message) {
	reply := Message{Type: MessageVoteReply, To: m.From, Term: m.Term}
	if m.Type == MessagePreVote {
		reply.Type = MessagePreVoteReply
	}
	if n.withholdsVote(now, m) && !m.Force {
		reply.Reject, reply.Term = true, n.hardState.Term
		n.send(reply)
		return
	}
	if m.Type == MessageVote && m.Term > n.hardState.Term {
		n.becomeFollower(now, m.Term, "")
	}
	if !n.canGrantVote(m) {
		reply.Reject, reply.Term = true, n.hardState.Term
		n.send(reply)
		return
	}
	if m.Type == MessageVote {
		n.hardState.Vote = m.From
		n.emitHardState()
		n.resetElectionTimeout(now)
	} else {
		// The requester is about to start an election. A concurrent election by
		// this voter would split the votes.
		n.electionAt = max(n.electionAt, now+n.cfg.ElectionMS/preVoteDivisor)
	}
	n.send(reply)
}

// handleTransfer starts an election immediately. A transfer from an earlier
// term is stale and is ignored.
func (n *Node) handleTransfer(now rollout.Millis, m Message) {
	if m.Term != n.hardState.Term || n.role == leader || !n.members.IsVoter(n.cfg.ID) {
		return
	}
	n.campaign(now, true)
}

func (n *Node) handleVoteReply(now rollout.Millis, m Message) {
	if n.role != candidate || m.Term != n.hardState.Term || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.grantedVotes() >= n.members.Quorum() {
		n.becomeLeader(now)
	}
}

// canGrantVote reports whether the log of a candidate is at least as up to date
// as the local one and no other member has the vote in its term.
func (n *Node) canGrantVote(m Message) bool {
	upToDate := m.PrevTerm > n.log.lastTerm() ||
		(m.PrevTerm == n.log.lastTerm() && m.PrevIndex >= n.log.lastIndex())
	if !upToDate || m.Term < n.hardState.Term {
		return false
	}
	if m.Type == MessagePreVote {
		return m.Term > n.hardState.Term
	}
	return n.hardState.Vote == "" || n.hardState.Vote == m.From
}

func (n *Node) requestVotes(now rollout.Millis, t MessageType, term uint64, force bool) {
	n.votes = map[MemberID]bool{n.cfg.ID: true}
	if n.grantedVotes() >= n.members.Quorum() {
		if t == MessagePreVote {
			n.campaign(now, false)
		} else {
			n.becomeLeader(now)
		}
		return
	}
	for _, v := range n.members.Voters {
		if v.ID == n.cfg.ID {
			continue
		}
		n.send(Message{
			Type: t, To: v.ID, Term: term, Force: force,
			PrevIndex: n.log.lastIndex(), PrevTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) startPreVote(now rollout.Millis) {
	n.role = preCandidate
	n.leader = ""
	// A pre-vote does not bind voters, so it can be repeated after a short
	// delay. This matters after a restart of all voters, which reject pre-votes
	// until ElectionMS has passed since their start.
	n.electionAt = now + n.cfg.ElectionMS/preVoteDivisor + n.electionJitter(preVoteDivisor)
	n.requestVotes(now, MessagePreVote, n.hardState.Term+1, false)
}

func (n *Node) withholdsVote(now rollout.Millis, m Message) bool {
	return n.role == leader || (now < n.noVoteUntil && !n.isFormerLeader(m))
}

// isFormerLeader reports whether the sender of a vote request led the term for which this
// member withholds its vote. Its request shows that it no longer does, so that it holds no
// lease. This is for the loss of all power: a member that has heard from a leader since its
// start withholds its vote, as another voter replaces a single lost leader sooner than that
// leader restarts.
func (n *Node) isFormerLeader(m Message) bool {
	return !n.heardLeader && m.From == n.hardState.Leader && m.Term > n.hardState.Term
}
