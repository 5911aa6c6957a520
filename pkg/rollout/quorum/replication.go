package quorum

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// snapshotResendMS is the time after which an unanswered snapshot is sent
	// again.
	snapshotResendMS = 1_500
	// roundsKept bounds the heartbeat rounds whose send time is remembered.
	roundsKept = 64
)

// advanceCommit commits what a majority of voters has persisted. Only entries
// of the own term are counted. Followers learn of it with the next append or
// heartbeat.
func (n *Node) advanceCommit(now rollout.Millis) {
	matches := make([]uint64, 0, len(n.members.Voters))
	for _, v := range n.members.Voters {
		matches = append(matches, n.matchOf(v.ID))
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.members.Quorum()]
	term, ok := n.log.term(index)
	if !ok || index <= n.commit || term != n.hard.Term {
		return
	}
	n.commit = index
	if n.membersIndex <= n.commit && !n.members.IsVoter(n.cfg.ID) {
		n.broadcast(now)
		n.becomeFollower(now, n.hard.Term, "")
	}
}

// broadcast sends what each peer lacks.
func (n *Node) broadcast(now rollout.Millis) {
	for _, m := range slices.Concat(n.members.Voters, n.members.Learners) {
		if m.ID != n.cfg.ID {
			n.sendAppend(now, m.ID, false)
		}
	}
}

func (n *Node) handleAppend(now rollout.Millis, m Message) {
	reply := Message{Type: MessageAppendReply, To: m.From, Term: n.hard.Term, Round: m.Round}
	if m.Term < n.hard.Term {
		reply.Reject = true
		n.send(reply)
		return
	}
	n.hearLeader(now, m)
	// Heartbeats beside a snapshot carry no commit.
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
	if n.role != leader || m.Term != n.hard.Term {
		return
	}
	p := n.progressOf(m.From)
	p.ackedSent = max(p.ackedSent, n.roundSent[m.Round])
	p.waiting = false
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
	if n.role == leader && now < n.handOverUntil && n.giveLead(now) {
		return
	}
	if n.role == leader && p.next <= n.log.lastIndex() {
		n.sendAppend(now, m.From, false)
	}
}

func (n *Node) handleSnapshot(now rollout.Millis, m Message) {
	reply := Message{Type: MessageAppendReply, To: m.From, Term: n.hard.Term, Round: m.Round}
	if m.Term < n.hard.Term || m.Snapshot == nil {
		reply.Reject = true
		n.send(reply)
		return
	}
	n.hearLeader(now, m)
	s := m.Snapshot
	n.leaderCommit = max(n.leaderCommit, s.Index)
	if s.Index > n.commit {
		n.log.reset(s.Index, s.Term)
		n.snapshot = s
		n.members, n.membersIndex, n.membersLog = s.Members, s.Index, nil
		n.commit, n.taken, n.persisted = s.Index, s.Index, s.Index
		n.out.Snapshot = s
		n.out.Entries = nil
		n.out.Committed = nil
	}
	reply.Match = n.commit
	n.send(reply)
}

// hearLeader notes that the leader of the term is alive and withholds votes.
func (n *Node) hearLeader(now rollout.Millis, m Message) {
	if n.role != follower || n.leader != m.From {
		n.becomeFollower(now, m.Term, m.From)
	}
	n.holdUntil = now + n.cfg.ElectionMS
	n.resetElection(now)
}

func (n *Node) matchOf(id MemberID) uint64 {
	if id == n.cfg.ID {
		return n.persisted
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// mergeEntries adds entries from the leader and drops own ones that differ.
func (n *Node) mergeEntries(es []Entry) {
	for i, e := range es {
		if e.Index <= n.log.snapIndex {
			continue
		}
		if term, ok := n.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			n.dropFrom(e.Index)
		}
		rest := es[i:]
		n.log.append(rest...)
		n.out.Entries = append(n.out.Entries, rest...)
		for _, r := range rest {
			n.adoptMembers(r)
		}
		return
	}
}

func (n *Node) dropFrom(index uint64) {
	n.log.truncate(index)
	n.truncateMembers(index)
	n.persisted = min(n.persisted, index-1)
	n.out.Entries = slices.DeleteFunc(n.out.Entries, func(e Entry) bool { return e.Index >= index })
}

func (n *Node) progressOf(id MemberID) *progress {
	p := n.peers[id]
	if p == nil {
		p = &progress{next: n.log.lastIndex() + 1}
		n.peers[id] = p
	}
	return p
}

// quorumSent returns the newest send time that a majority of voters has
// answered.
func (n *Node) quorumSent() rollout.Millis {
	sent := make([]rollout.Millis, 0, len(n.members.Voters))
	for _, v := range n.members.Voters {
		switch p := n.peers[v.ID]; {
		case v.ID == n.cfg.ID:
			sent = append(sent, n.roundSent[n.round])
		case p != nil:
			sent = append(sent, p.ackedSent)
		default:
			sent = append(sent, 0)
		}
	}
	slices.Sort(sent)
	return sent[len(sent)-n.members.Quorum()]
}

// sendAppend sends a peer the entries that it lacks, or a heartbeat. While an
// append with entries is on its way, only heartbeats are sent.
func (n *Node) sendAppend(now rollout.Millis, to MemberID, heartbeat bool) {
	p := n.progressOf(to)
	if p.waiting && now-p.waitingSince > n.cfg.ElectionMS {
		p.waiting = false
		p.next = p.match + 1
	}
	if p.waiting && !heartbeat {
		return
	}
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(now, to, p, heartbeat)
		return
	}
	m := Message{
		Type: MessageAppend, To: to, Term: n.hard.Term, Round: n.round,
		PrevIndex: p.next - 1, PrevTerm: prevTerm, Commit: n.commit,
	}
	if !p.waiting {
		m.Entries = n.log.slice(p.next, n.cfg.MaxAppendBytes)
	}
	if len(m.Entries) > 0 {
		p.waiting, p.waitingSince = true, now
		p.next += uint64(len(m.Entries))
	}
	n.send(m)
}

// sendSnapshot sends the snapshot, or an empty heartbeat while one is on its
// way.
func (n *Node) sendSnapshot(now rollout.Millis, to MemberID, p *progress, heartbeat bool) {
	if n.snapshot == nil || (p.snapshotSent > 0 && now-p.snapshotSent < snapshotResendMS) {
		if heartbeat {
			n.send(Message{Type: MessageAppend, To: to, Term: n.hard.Term, Round: n.round})
		}
		return
	}
	p.snapshotSent = now
	p.next = n.snapshot.Index + 1
	n.send(Message{Type: MessageSnapshot, To: to, Term: n.hard.Term, Round: n.round, Snapshot: n.snapshot})
}

func (n *Node) startRound(now rollout.Millis) {
	n.round++
	n.roundSent[n.round] = now
	delete(n.roundSent, n.round-roundsKept)
	n.heartbeatAt = now + n.cfg.HeartbeatMS
	for _, m := range slices.Concat(n.members.Voters, n.members.Learners) {
		if m.ID != n.cfg.ID {
			n.sendAppend(now, m.ID, true)
		}
	}
}

// tickLeader sends heartbeats, and steps down when no majority has answered
// for two election timeouts.
func (n *Node) tickLeader(now rollout.Millis) {
	silent := now - max(n.quorumSent(), n.leadSince)
	if silent > 2*n.cfg.ElectionMS {
		n.becomeFollower(now, n.hard.Term, "")
		return
	}
	if now >= n.heartbeatAt {
		n.startRound(now)
	}
}
