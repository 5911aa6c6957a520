package quorum

import "github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"

// Step takes a message from a peer.
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
	if m.Term > n.hard.Term {
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

func (n *Node) becomeFollower(now rollout.Millis, term uint64, lead MemberID) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
		n.saveHard()
	}
	n.role = follower
	n.leader = lead
	n.peers = nil
	n.roundSent = nil
	n.handOverUntil = 0
	n.resetElection(now)
}

func (n *Node) becomeLeader(now rollout.Millis) {
	n.role = leader
	n.leader = n.cfg.ID
	n.leadSince = now
	n.peers = make(map[MemberID]*progress)
	n.round = 0
	n.roundSent = make(map[uint64]rollout.Millis)
	n.termStart = n.appendEntry(EntryEmpty, nil).Index
	n.startRound(now)
}

func (n *Node) campaign(now rollout.Millis, force bool) {
	n.role = candidate
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.cfg.ID}
	n.saveHard()
	n.leader = ""
	n.resetElection(now)
	n.requestVotes(now, MessageVote, n.hard.Term, force)
}

func (n *Node) granted() int {
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
		if m.Term > n.hard.Term {
			n.becomeFollower(now, m.Term, "")
		}
		return
	}
	if n.role != preCandidate || m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = true
	if n.granted() >= n.members.Quorum() {
		n.campaign(now, false)
	}
}

// handleVote answers a vote or a pre-vote. A voter that has heard a leader
// within ElectionMS refuses and keeps its term, so that the lease of the
// leader holds.
func (n *Node) handleVote(now rollout.Millis, m Message) {
	reply := Message{Type: MessageVoteReply, To: m.From, Term: m.Term}
	if m.Type == MessagePreVote {
		reply.Type = MessagePreVoteReply
	}
	if n.withholdsVote(now) && !m.Force {
		reply.Reject, reply.Term = true, n.hard.Term
		n.send(reply)
		return
	}
	if m.Type == MessageVote && m.Term > n.hard.Term {
		n.becomeFollower(now, m.Term, "")
	}
	if !n.mayVote(m) {
		reply.Reject, reply.Term = true, n.hard.Term
		n.send(reply)
		return
	}
	if m.Type == MessageVote {
		n.hard.Vote = m.From
		n.saveHard()
		n.resetElection(now)
	} else {
		// The other is about to stand; two at a time would split the votes.
		n.electionAt = max(n.electionAt, now+n.cfg.ElectionMS/preVoteSpread)
	}
	n.send(reply)
}

// handleTransfer begins an election at once. A transfer of an earlier term
// comes too late and is ignored.
func (n *Node) handleTransfer(now rollout.Millis, m Message) {
	if m.Term != n.hard.Term || n.role == leader || !n.members.IsVoter(n.cfg.ID) {
		return
	}
	n.campaign(now, true)
}

func (n *Node) handleVoteReply(now rollout.Millis, m Message) {
	if n.role != candidate || m.Term != n.hard.Term || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.granted() >= n.members.Quorum() {
		n.becomeLeader(now)
	}
}

// mayVote tells whether the log of a candidate is complete and its term is
// free.
func (n *Node) mayVote(m Message) bool {
	complete := m.PrevTerm > n.log.lastTerm() ||
		(m.PrevTerm == n.log.lastTerm() && m.PrevIndex >= n.log.lastIndex())
	if !complete || m.Term < n.hard.Term {
		return false
	}
	if m.Type == MessagePreVote {
		return m.Term > n.hard.Term
	}
	return n.hard.Vote == "" || n.hard.Vote == m.From
}

func (n *Node) requestVotes(now rollout.Millis, t MessageType, term uint64, force bool) {
	n.votes = map[MemberID]bool{n.cfg.ID: true}
	if n.granted() >= n.members.Quorum() {
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
	// A pre-vote binds nobody, so the next may follow soon: voters that have
	// just started withhold theirs until their wait is over.
	n.electionAt = now + n.cfg.ElectionMS/preVoteSpread + n.spread(preVoteSpread)
	n.requestVotes(now, MessagePreVote, n.hard.Term+1, false)
}

func (n *Node) withholdsVote(now rollout.Millis) bool {
	return n.role == leader || now < n.holdUntil
}
