package quorum

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// snapshotResendMS is the minimum interval between two snapshots sent to the
	// same peer.
	snapshotResendMS = 1_500
	// maxTrackedRounds limits the number of heartbeat rounds whose send time is
	// kept.
	maxTrackedRounds = 64
)

// advanceCommit commits the entries that a majority of voters has persisted.
// It advances only to an entry of the current term. Followers receive the new
// commit index with the next append or heartbeat. A leader that has committed
// its own removal steps down.
func (n *Node) advanceCommit(now rollout.Millis) {
	matches := make([]uint64, 0, len(n.members.Voters))
	for _, v := range n.members.Voters {
		matches = append(matches, n.matchIndex(v.ID))
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.members.Quorum()]
	term, ok := n.log.term(index)
	if !ok || index <= n.commit || term != n.hardState.Term {
		return
	}
	n.commit = index
	if n.membersIndex <= n.commit && !n.members.IsVoter(n.cfg.ID) {
		n.broadcast(now)
		n.becomeFollower(now, n.hardState.Term, "")
	}
}

// broadcast sends each peer the entries that it lacks.
func (n *Node) broadcast(now rollout.Millis) {
	for _, m := range slices.Concat(n.members.Voters, n.members.Learners) {
		if m.ID != n.cfg.ID {
			n.sendAppend(now, m.ID, false)
		}
	}
}

func (n *Node) handleAppend(now rollout.Millis, m Message) {
	reply := Message{Type: MessageAppendReply, To: m.From, Term: n.hardState.Term, Round: m.Round}
	if m.Term < n.hardState.Term {
		reply.Reject = true
		n.send(reply)
		return
	}
	n.recordLeaderContact(now, m)
	// Heartbeats sent while a snapshot is in flight carry a commit index of 0.
	n.leaderCommit = max(n.leaderCommit, m.Commit)
	if term, ok := n.log.term(m.PrevIndex); m.PrevIndex > n.log.snapIndex && (!ok || term != m.PrevTerm) {
		reply.Reject = true
		reply.Match = min(m.PrevIndex-1, n.log.lastIndex())
		n.send(reply)
		return
	}
	n.mergeEntries(m.Entries)
	last := m.PrevIndex + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, last))
	reply.Match = last
	n.send(reply)
}

func (n *Node) handleAppendReply(now rollout.Millis, m Message) {
	if n.role != leader || m.Term != n.hardState.Term {
		return
	}
	p := n.progressOf(m.From)
	p.ackedSentAt = max(p.ackedSentAt, n.roundSentAt[m.Round])
	p.inFlight = false
	if m.Reject {
		p.next = max(p.match, m.Match) + 1
		n.sendAppend(now, m.From, false)
		return
	}
	if m.Match > p.match {
		p.match = m.Match
		p.next = max(p.next, m.Match+1)
		n.advanceCommit(now)
	}
	if n.role == leader && now < n.transferUntil && n.tryTransfer(now) {
		return
	}
	if n.role == leader && p.next <= n.log.lastIndex() {
		n.sendAppend(now, m.From, false)
	}
}

func (n *Node) handleSnapshot(now rollout.Millis, m Message) {
	reply := Message{Type: MessageAppendReply, To: m.From, Term: n.hardState.Term, Round: m.Round}
	if m.Term < n.hardState.Term || m.Snapshot == nil {
		reply.Reject = true
		n.send(reply)
		return
	}
	n.recordLeaderContact(now, m)
	s := m.Snapshot
	n.leaderCommit = max(n.leaderCommit, s.Index)
	if s.Index > n.commit {
		n.log.reset(s.Index, s.Term)
		n.snapshot = s
		n.members, n.membersIndex, n.membersHistory = s.Members, s.Index, nil
		n.commit, n.delivered, n.persisted = s.Index, s.Index, s.Index
		n.pending.Snapshot = s
		n.pending.Entries = nil
		n.pending.Committed = nil
	}
	reply.Match = n.commit
	n.send(reply)
}

// recordLeaderContact follows the leader of the term, withholds votes for
// ElectionMS and resets the election timeout.
func (n *Node) recordLeaderContact(now rollout.Millis, m Message) {
	if n.role != follower || n.leader != m.From {
		n.becomeFollower(now, m.Term, m.From)
	}
	n.recordLeader(m.From)
	n.heardLeader = true
	n.noVoteUntil = now + n.cfg.ElectionMS
	n.resetElectionTimeout(now)
}

// matchIndex returns the highest index known to be persisted at a member.
func (n *Node) matchIndex(id MemberID) uint64 {
	if id == n.cfg.ID {
		return n.persisted
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// mergeEntries appends entries from the leader and discards conflicting local
// entries.
func (n *Node) mergeEntries(es []Entry) {
	for i, e := range es {
		if e.Index <= n.log.snapIndex {
			continue
		}
		if term, ok := n.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			n.truncateLog(e.Index)
		}
		rest := es[i:]
		n.log.append(rest...)
		n.pending.Entries = append(n.pending.Entries, rest...)
		for _, r := range rest {
			n.adoptMembers(r)
		}
		return
	}
}

// truncateLog discards the entries from index on and the memberships that they
// set.
func (n *Node) truncateLog(index uint64) {
	n.log.truncate(index)
	n.truncateMembers(index)
	n.persisted = min(n.persisted, index-1)
	n.pending.Entries = slices.DeleteFunc(n.pending.Entries, func(e Entry) bool { return e.Index >= index })
}

func (n *Node) progressOf(id MemberID) *progress {
	p := n.peers[id]
	if p == nil {
		p = &progress{next: n.log.lastIndex() + 1}
		n.peers[id] = p
	}
	return p
}

// quorumAckedSentAt returns the send time of the newest heartbeat round that a
// majority of voters has answered, or zero.
func (n *Node) quorumAckedSentAt() rollout.Millis {
	sent := make([]rollout.Millis, 0, len(n.members.Voters))
	for _, v := range n.members.Voters {
		switch p := n.peers[v.ID]; {
		case v.ID == n.cfg.ID:
			sent = append(sent, n.roundSentAt[n.round])
		case p != nil:
			sent = append(sent, p.ackedSentAt)
		default:
			sent = append(sent, 0)
		}
	}
	slices.Sort(sent)
	return sent[len(sent)-n.members.Quorum()]
}

// sendAppend sends a peer the entries that it lacks, or a heartbeat. While an
// append with entries is in flight, only heartbeats are sent. An append that is
// unanswered for ElectionMS counts as lost.
func (n *Node) sendAppend(now rollout.Millis, to MemberID, heartbeat bool) {
	p := n.progressOf(to)
	if p.inFlight && now-p.inFlightSince > n.cfg.ElectionMS {
		p.inFlight = false
		p.next = p.match + 1
	}
	if p.inFlight && !heartbeat {
		return
	}
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(now, to, p, heartbeat)
		return
	}
	m := Message{
		Type: MessageAppend, To: to, Term: n.hardState.Term, Round: n.round,
		PrevIndex: p.next - 1, PrevTerm: prevTerm, Commit: n.commit,
	}
	if !p.inFlight {
		m.Entries = n.log.slice(p.next, n.cfg.MaxAppendBytes)
	}
	if len(m.Entries) > 0 {
		p.inFlight, p.inFlightSince = true, now
		p.next += uint64(len(m.Entries))
	}
	n.send(m)
}

// sendSnapshot sends the latest snapshot, or an empty heartbeat while one is in
// flight.
func (n *Node) sendSnapshot(now rollout.Millis, to MemberID, p *progress, heartbeat bool) {
	if n.snapshot == nil || (p.snapshotSentAt > 0 && now-p.snapshotSentAt < snapshotResendMS) {
		if heartbeat {
			n.send(Message{Type: MessageAppend, To: to, Term: n.hardState.Term, Round: n.round})
		}
		return
	}
	p.snapshotSentAt = now
	p.next = n.snapshot.Index + 1
	n.send(Message{Type: MessageSnapshot, To: to, Term: n.hardState.Term, Round: n.round, Snapshot: n.snapshot})
}

func (n *Node) startHeartbeatRound(now rollout.Millis) {
	n.round++
	n.roundSentAt[n.round] = now
	delete(n.roundSentAt, n.round-maxTrackedRounds)
	n.nextHeartbeatAt = now + n.cfg.HeartbeatMS
	for _, m := range slices.Concat(n.members.Voters, n.members.Learners) {
		if m.ID != n.cfg.ID {
			n.sendAppend(now, m.ID, true)
		}
	}
}

// tickLeader sends heartbeats and steps down when no majority has answered
// for twice ElectionMS.
func (n *Node) tickLeader(now rollout.Millis) {
	sinceContact := now - max(n.quorumAckedSentAt(), n.leaderSince)
	if sinceContact > 2*n.cfg.ElectionMS {
		n.becomeFollower(now, n.hardState.Term, "")
		return
	}
	if now >= n.nextHeartbeatAt {
		n.startHeartbeatRound(now)
	}
}
