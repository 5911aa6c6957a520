package quorum

import (
	"encoding/json"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// progress is what a leader knows of a peer.
type progress struct {
	// match is the highest index known to be persisted at the peer.
	match uint64
	// next is the index of the next entry to send. next > match.
	next uint64
	// ackedSent is the send time of the newest round that the peer answered.
	ackedSent rollout.Millis
	// snapshotSent is when a snapshot was last sent.
	snapshotSent rollout.Millis
	// waiting is true while an append with entries is not yet answered.
	waiting bool
	// waitingSince is when that append was sent.
	waitingSince rollout.Millis
}

// Node is one member of the quorum. It is used by one thread.
type Node struct {
	cfg  Config
	rand rollout.Random

	hard HardState
	log  memoryLog
	// commit <= log.lastIndex().
	commit uint64
	// taken is the last index handed out as committed. taken <= commit.
	taken uint64
	// leaderCommit is what the leader last told to be committed. It may exceed
	// commit while entries are missing.
	leaderCommit uint64
	// persisted is the last index known to be on the own disk.
	persisted uint64
	// members is the newest in the log, committed or not.
	members Members
	// membersIndex is the index of the entry that set members.
	membersIndex uint64
	// membersLog holds older members with their index, for truncation.
	membersLog []indexedMembers
	snapshot   *Snapshot

	role   role
	leader MemberID
	// holdUntil is the time before which no vote is given.
	holdUntil rollout.Millis
	// electionAt is when a follower begins a pre-vote.
	electionAt rollout.Millis

	votes map[MemberID]bool

	peers       map[MemberID]*progress
	round       uint64
	roundSent   map[uint64]rollout.Millis
	heartbeatAt rollout.Millis
	// termStart is the index of the empty entry of the leader's term.
	termStart uint64
	leadSince rollout.Millis
	// handOverUntil is until when no command is taken, so that a voter comes
	// to hold the whole log and is given the lead.
	handOverUntil rollout.Millis

	out Output
}

type indexedMembers struct {
	index   uint64
	members Members
}

// SavedState is what a member had persisted.
type SavedState struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// New returns a node that starts from its saved state. It gives no vote and
// begins no election until one full ElectionMS has passed.
func New(cfg Config, saved SavedState, now rollout.Millis, random rollout.Random) *Node {
	n := &Node{cfg: cfg, rand: random, hard: saved.HardState}
	if s := saved.Snapshot; s != nil {
		n.log.reset(s.Index, s.Term)
		n.snapshot = s
		n.commit, n.taken = s.Index, s.Index
		n.members, n.membersIndex = s.Members, s.Index
	}
	n.log.append(saved.Entries...)
	for _, e := range saved.Entries {
		n.adoptMembers(e)
	}
	n.persisted = n.log.lastIndex()
	n.holdUntil = now + cfg.ElectionMS
	n.electionAt = n.holdUntil + n.spread(restartSpread)
	return n
}

// Bootstrap returns the saved state of the first member of a new quorum.
func Bootstrap(members Members) SavedState {
	data, _ := json.Marshal(members)
	return SavedState{
		HardState: HardState{Term: 1},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: data}},
	}
}

// CaughtUp tells whether the leader knows a peer to hold all that is
// committed.
func (n *Node) CaughtUp(id MemberID) bool {
	p := n.peers[id]
	return n.role == leader && p != nil && p.match >= n.commit
}

// Commit returns the last committed index.
func (n *Node) Commit() uint64 { return n.commit }

// Compact drops the log up to an applied index in favour of a snapshot. Without
// data the caller fills it in when the snapshot is sent.
func (n *Node) Compact(index uint64, data []byte) *Snapshot {
	term, ok := n.log.term(index)
	if !ok || index > n.taken {
		return nil
	}
	s := &Snapshot{Index: index, Term: term, Members: n.membersAt(index), Data: data}
	n.snapshot = s
	n.log.compact(index)
	return s
}

// SnapshotAt describes a snapshot of an applied index, without its data. The
// caller may later compact up to the index.
func (n *Node) SnapshotAt(index uint64) Snapshot {
	term, _ := n.log.term(index)
	return Snapshot{Index: index, Term: term, Members: n.membersAt(index)}
}

// ID returns the ID of the member.
func (n *Node) ID() MemberID { return n.cfg.ID }

// IsLeader tells whether the member leads its term, with or without a lease.
func (n *Node) IsLeader() bool { return n.role == leader }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Leader returns the known leader, or an empty ID.
func (n *Node) Leader() MemberID { return n.leader }

// LeaseUntil returns the time until which the member is the only one in
// charge. It is zero when it has no lease, or has not yet committed an entry
// of its term.
func (n *Node) LeaseUntil() rollout.Millis {
	if n.role != leader || n.commit < n.termStart {
		return 0
	}
	sent := n.quorumSent()
	if sent == 0 {
		return 0
	}
	return sent + n.cfg.LeaseMS
}

// Members returns the members in force.
func (n *Node) Members() Members { return n.members }

// Persisted tells the node that its log is synced up to an index.
func (n *Node) Persisted(now rollout.Millis, index uint64) {
	if index > n.persisted {
		n.persisted = min(index, n.log.lastIndex())
	}
	if n.role == leader {
		n.advanceCommit(now)
	}
}

// Propose appends a command. It returns the index and the term of the entry.
func (n *Node) Propose(now rollout.Millis, data []byte) (index, term uint64, err error) {
	if n.role != leader || now < n.handOverUntil {
		return 0, 0, rollout.NewError(rollout.KindNotLeader, "leader is %q", n.leader)
	}
	e := n.appendEntry(EntryCommand, data)
	n.broadcast(now)
	return e.Index, e.Term, nil
}

// ProposeMembers changes the members by one. It refuses while another change
// is not committed, or before the leader has committed an entry of its term.
func (n *Node) ProposeMembers(now rollout.Millis, m Members) error {
	if n.role != leader {
		return rollout.NewError(rollout.KindNotLeader, "leader is %q", n.leader)
	}
	if n.commit < n.termStart || n.membersIndex > n.commit {
		return rollout.NewError(rollout.KindUnavailable, "another change of members is not yet committed")
	}
	if voterChanges(n.members, m) > 1 {
		return rollout.NewError(rollout.KindInvalidInput, "more than one voter changes")
	}
	if len(m.Voters) == 0 {
		return rollout.NewError(rollout.KindInvalidInput, "no voter would be left")
	}
	data, err := json.Marshal(m)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode members").WithCause(err)
	}
	n.appendEntry(EntryMembers, data)
	n.broadcast(now)
	return nil
}

// StepDown gives up the lead, for instance when the disk is full.
func (n *Node) StepDown(now rollout.Millis) {
	if n.role == leader {
		n.becomeFollower(now, n.hard.Term, "")
	}
}

// TakeOutput returns what is to be done since the last call.
func (n *Node) TakeOutput() Output {
	out := n.out
	n.out = Output{}
	if n.commit > n.taken {
		out.Committed = n.committed()
		n.taken = n.commit
	}
	return out
}

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Tick lets time pass. It is called at least once per HeartbeatMS.
func (n *Node) Tick(now rollout.Millis) {
	if n.role == leader {
		n.tickLeader(now)
		return
	}
	if now < n.electionAt || now < n.holdUntil {
		return
	}
	if n.members.IsVoter(n.cfg.ID) {
		n.startPreVote(now)
		return
	}
	n.resetElection(now)
}

// TransferLeadership gives the lead to a voter that holds the whole log. The lease is
// given up before the message goes out. While there is no such voter it
// returns false, and takes no command until there is one or an election
// timeout has passed.
func (n *Node) TransferLeadership(now rollout.Millis) bool {
	if n.role != leader {
		return false
	}
	n.handOverUntil = now + n.cfg.ElectionMS
	return n.giveLead(now)
}

// giveLead gives the lead to a voter that holds the whole log.
func (n *Node) giveLead(now rollout.Millis) bool {
	for _, v := range n.members.Voters {
		if v.ID == n.cfg.ID || n.matchOf(v.ID) != n.log.lastIndex() {
			continue
		}
		n.becomeFollower(now, n.hard.Term, "")
		n.send(Message{Type: MessageTransfer, To: v.ID, Term: n.hard.Term})
		return true
	}
	return false
}

func (n *Node) adoptMembers(e Entry) {
	if e.Kind != EntryMembers {
		return
	}
	var m Members
	if err := json.Unmarshal(e.Data, &m); err != nil {
		return
	}
	n.membersLog = append(n.membersLog, indexedMembers{n.membersIndex, n.members})
	n.members, n.membersIndex = m, e.Index
}

func (n *Node) appendEntry(kind EntryKind, data []byte) Entry {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.append(e)
	n.out.Entries = append(n.out.Entries, e)
	n.adoptMembers(e)
	return e
}

func (n *Node) committed() []Entry {
	var es []Entry
	for i := n.taken + 1; i <= n.commit; i++ {
		if i > n.log.snapIndex {
			es = append(es, n.log.entries[i-n.log.snapIndex-1])
		}
	}
	return es
}

// membersAt returns the members in force at an index.
func (n *Node) membersAt(index uint64) Members {
	if n.membersIndex <= index {
		return n.members
	}
	for _, old := range slices.Backward(n.membersLog) {
		if old.index <= index {
			return old.members
		}
	}
	return n.members
}

const (
	// The spread of elections over voters, in parts of ElectionMS: that of
	// voters which have heard the same leader, that of voters which have just
	// started, and that of the next try after a pre-vote that failed.
	leaderSpread  = 2
	restartSpread = 2
	preVoteSpread = 4
)

func (n *Node) resetElection(now rollout.Millis) {
	n.electionAt = now + n.cfg.ElectionMS + n.spread(leaderSpread)
}

// spread returns a random part of ElectionMS, so that voters seldom stand at
// the same time.
func (n *Node) spread(parts rollout.Millis) rollout.Millis {
	return rollout.Millis(n.rand.Int64N(int64(n.cfg.ElectionMS / parts)))
}

func (n *Node) saveHard() {
	h := n.hard
	n.out.HardState = &h
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	n.out.Messages = append(n.out.Messages, m)
}

// truncateMembers goes back to the members before an index.
func (n *Node) truncateMembers(from uint64) {
	for n.membersIndex >= from && len(n.membersLog) > 0 {
		last := n.membersLog[len(n.membersLog)-1]
		n.membersLog = n.membersLog[:len(n.membersLog)-1]
		n.members, n.membersIndex = last.members, last.index
	}
}

func voterChanges(old, next Members) int {
	changes := 0
	for _, v := range old.Voters {
		if !next.IsVoter(v.ID) {
			changes++
		}
	}
	for _, v := range next.Voters {
		if !old.IsVoter(v.ID) {
			changes++
		}
	}
	return changes
}

// Entries returns the entries after the last snapshot.
func (n *Node) Entries() []Entry { return slices.Clone(n.log.entries) }

// SnapshotIndex returns the last index that the snapshot covers.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapIndex }

// LastContact returns the send time of the newest round that a peer has answered to
// this leader, or the beginning of the lead when there is none.
func (n *Node) LastContact(id MemberID) rollout.Millis {
	p := n.peers[id]
	if n.role != leader || p == nil {
		return n.leadSince
	}
	return max(p.ackedSent, n.leadSince)
}

// MembersCommitted tells whether the newest members are committed.
func (n *Node) MembersCommitted() bool { return n.membersIndex <= n.commit }

// LastLeaderContact returns when a follower last heard its leader, or zero when it
// follows none or lacks entries that the leader has committed.
func (n *Node) LastLeaderContact() rollout.Millis {
	if n.role != follower || n.leader == "" || n.commit < n.leaderCommit {
		return 0
	}
	return n.holdUntil - n.cfg.ElectionMS
}
