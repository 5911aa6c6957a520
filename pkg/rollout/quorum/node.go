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

// progress is the replication state that a leader tracks for a peer.
type progress struct {
	// match is the highest index known to be persisted at the peer.
	match uint64
	// next is the index of the next entry to send. next > match.
	next uint64
	// ackedSentAt is the send time of the newest heartbeat round that the peer
	// answered.
	ackedSentAt rollout.Millis
	// snapshotSentAt is the time at which a snapshot was last sent.
	snapshotSentAt rollout.Millis
	// inFlight is true while an append with entries is unanswered.
	inFlight bool
	// inFlightSince is the send time of that append.
	inFlightSince rollout.Millis
}

// Node is the state machine of a quorum member. It is not safe for concurrent
// use.
type Node struct {
	cfg  Config
	rand rollout.Random

	hardState HardState
	log       memoryLog
	// commit is the last committed index known here. commit <= log.lastIndex().
	commit uint64
	// delivered is the last index returned by TakeOutput as committed.
	// delivered <= commit.
	delivered uint64
	// leaderCommit is the highest commit index received from a leader. It
	// exceeds commit while entries are missing here.
	leaderCommit uint64
	// persisted is the last index synced to the local disk.
	persisted uint64
	// members is the newest membership in the log, committed or not.
	members Members
	// membersIndex is the index of the entry or snapshot that set members.
	membersIndex uint64
	// membersHistory holds earlier memberships with their indexes. They are
	// restored when the log is truncated.
	membersHistory []indexedMembers
	snapshot       *Snapshot

	role   role
	leader MemberID
	// noVoteUntil is the time before which no vote is granted.
	noVoteUntil rollout.Millis
	// fullWaitUntil is when a restarted former leader would have started its first election as
	// another voter, or 0.
	fullWaitUntil rollout.Millis
	// heardLeader is true once this member has heard from a leader since its start.
	heardLeader bool
	// electionAt is the time at which a voter that is not the leader starts a
	// pre-vote.
	electionAt rollout.Millis

	votes map[MemberID]bool

	peers           map[MemberID]*progress
	round           uint64
	roundSentAt     map[uint64]rollout.Millis
	nextHeartbeatAt rollout.Millis
	// termStart is the index of the empty entry that starts the leader's term.
	termStart   uint64
	leaderSince rollout.Millis
	// transferUntil is the time until which proposals are rejected, so that a
	// voter can catch up with the whole log and take over leadership.
	transferUntil rollout.Millis

	pending Output
}

type indexedMembers struct {
	index   uint64
	members Members
}

// SavedState is the persisted state from which a member restarts.
type SavedState struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// New returns a node that starts from its saved state. It grants no vote and
// starts no election until ElectionMS has passed, because a leader that it had
// contact with before the restart may still hold its lease. The leader of the saved
// term does not wait: its own lease ended with its former process.
func New(cfg Config, saved SavedState, now rollout.Millis, random rollout.Random) *Node {
	n := &Node{cfg: cfg, rand: random, hardState: saved.HardState}
	if s := saved.Snapshot; s != nil {
		n.log.reset(s.Index, s.Term)
		n.snapshot = s
		n.commit, n.delivered = s.Index, s.Index
		n.members, n.membersIndex = s.Members, s.Index
	}
	n.log.append(saved.Entries...)
	for _, e := range saved.Entries {
		n.adoptMembers(e)
	}
	n.persisted = n.log.lastIndex()
	n.noVoteUntil = now + cfg.ElectionMS
	n.electionAt = n.noVoteUntil + n.electionJitter(restartJitterDivisor)
	if saved.HardState.Leader == cfg.ID && cfg.ID != "" {
		n.noVoteUntil, n.fullWaitUntil = now, n.electionAt
		n.electionAt = now + cfg.ElectionMS/formerLeaderDivisor
	}
	return n
}

// Bootstrap returns the initial state of the first member of a new quorum.
func Bootstrap(members Members) SavedState {
	data, _ := json.Marshal(members)
	return SavedState{
		HardState: HardState{Term: 1},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: EntryMembers, Data: data}},
	}
}

// CaughtUp reports whether this member is the leader and knows that the peer
// holds all committed entries.
func (n *Node) CaughtUp(id MemberID) bool {
	p := n.peers[id]
	return n.role == leader && p != nil && p.match >= n.commit
}

// CommitIndex returns the last committed index.
func (n *Node) CommitIndex() uint64 { return n.commit }

// Compact replaces the log up to an applied index with a snapshot. If data is
// nil, the caller adds the data when the snapshot is sent. Compact returns nil
// if the index is unknown or not yet applied.
func (n *Node) Compact(index uint64, data []byte) *Snapshot {
	term, ok := n.log.term(index)
	if !ok || index > n.delivered {
		return nil
	}
	s := &Snapshot{Index: index, Term: term, Members: n.membersAt(index), Data: data}
	n.snapshot = s
	n.log.compact(index)
	n.trimMembersHistory(index)
	return s
}

// SnapshotAt returns the metadata of a snapshot at an applied index, without
// data. The caller may later compact up to this index.
func (n *Node) SnapshotAt(index uint64) Snapshot {
	term, _ := n.log.term(index)
	return Snapshot{Index: index, Term: term, Members: n.membersAt(index)}
}

// ID returns the ID of this member.
func (n *Node) ID() MemberID { return n.cfg.ID }

// IsLeader reports whether this member is the leader of its term, with or
// without a lease.
func (n *Node) IsLeader() bool { return n.role == leader }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Leader returns the ID of the known leader, or an empty ID.
func (n *Node) Leader() MemberID { return n.leader }

// LeaseUntil returns the time at which the leader lease of this member expires.
// Until then no other member can hold a lease. It returns zero when the member
// has no lease or has not yet committed an entry of its term.
func (n *Node) LeaseUntil() rollout.Millis {
	if n.role != leader || n.commit < n.termStart {
		return 0
	}
	sent := n.quorumAckedSentAt()
	if sent == 0 {
		return 0
	}
	return sent + n.cfg.LeaseMS
}

// Members returns the newest membership in the log, committed or not.
func (n *Node) Members() Members { return n.members }

// Persisted notifies the node that its log is synced to disk up to an index.
func (n *Node) Persisted(now rollout.Millis, index uint64) {
	if index > n.persisted {
		n.persisted = min(index, n.log.lastIndex())
	}
	if n.role == leader {
		n.advanceCommit(now)
	}
}

// Propose appends a command to the log and returns the index and term of its
// entry. It fails if this member is not the leader or is transferring
// leadership.
func (n *Node) Propose(now rollout.Millis, data []byte) (index, term uint64, err error) {
	if n.role != leader || now < n.transferUntil {
		return 0, 0, rollout.NewError(rollout.KindNotLeader, "leader is %q", n.leader)
	}
	e := n.appendEntry(EntryCommand, data)
	n.broadcast(now)
	return e.Index, e.Term, nil
}

// ProposeMembers proposes a membership that adds or removes at most one voter.
// It fails while an earlier change is uncommitted, or before the leader has
// committed an entry of its term.
func (n *Node) ProposeMembers(now rollout.Millis, m Members) error {
	if n.role != leader {
		return rollout.NewError(rollout.KindNotLeader, "leader is %q", n.leader)
	}
	if n.commit < n.termStart || n.membersIndex > n.commit {
		return rollout.NewError(rollout.KindUnavailable, "membership change refused: the membership at index %d or the first entry of the term at index %d is not yet committed, commit index is %d",
			n.membersIndex, n.termStart, n.commit)
	}
	if changes := countVoterChanges(n.members, m); changes > 1 {
		return rollout.NewError(rollout.KindInvalidInput, "membership change adds or removes %d voters, want at most 1", changes)
	}
	if len(m.Voters) == 0 {
		return rollout.NewError(rollout.KindInvalidInput, "membership change leaves no voters")
	}
	data, err := json.Marshal(m)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode members").WithCause(err)
	}
	n.appendEntry(EntryMembers, data)
	n.broadcast(now)
	return nil
}

// StepDown gives up leadership, for instance when the disk is full.
func (n *Node) StepDown(now rollout.Millis) {
	if n.role == leader {
		n.becomeFollower(now, n.hardState.Term, "")
	}
}

// TakeOutput returns and clears the work that is pending since the last call.
func (n *Node) TakeOutput() Output {
	out := n.pending
	n.pending = Output{}
	if n.commit > n.delivered {
		out.Committed = n.newlyCommitted()
		n.delivered = n.commit
	}
	return out
}

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Tick advances the timers. The caller must call it at least once per
// HeartbeatMS.
func (n *Node) Tick(now rollout.Millis) {
	if n.role == leader {
		n.tickLeader(now)
		return
	}
	if now < n.electionAt || now < n.noVoteUntil {
		return
	}
	if n.members.IsVoter(n.cfg.ID) {
		n.startPreVote(now)
		return
	}
	n.resetElectionTimeout(now)
}

// TransferLeadership transfers leadership to a voter that holds the whole log.
// The lease is given up before the message is sent. If no voter holds the whole
// log, as is usual under load, it returns false and proposals are rejected until
// a voter does or ElectionMS has passed.
func (n *Node) TransferLeadership(now rollout.Millis) bool {
	if n.role != leader {
		return false
	}
	n.transferUntil = now + n.cfg.ElectionMS
	return n.tryTransfer(now)
}

// tryTransfer transfers leadership to a voter that holds the whole log. It
// returns false if there is none.
func (n *Node) tryTransfer(now rollout.Millis) bool {
	for _, v := range n.members.Voters {
		if v.ID == n.cfg.ID || n.matchIndex(v.ID) != n.log.lastIndex() {
			continue
		}
		n.becomeFollower(now, n.hardState.Term, "")
		n.send(Message{Type: MessageTransfer, To: v.ID, Term: n.hardState.Term})
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
		n.pending.Unreadable = rollout.NewError(rollout.KindStorage, "decode membership of %d bytes at index %d", len(e.Data), e.Index).WithCause(err)
		return
	}
	n.membersHistory = append(n.membersHistory, indexedMembers{n.membersIndex, n.members})
	n.members, n.membersIndex = m, e.Index
}

func (n *Node) appendEntry(kind EntryKind, data []byte) Entry {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	n.log.append(e)
	n.pending.Entries = append(n.pending.Entries, e)
	n.adoptMembers(e)
	return e
}

func (n *Node) newlyCommitted() []Entry {
	var es []Entry
	for i := n.delivered + 1; i <= n.commit; i++ {
		if i > n.log.snapIndex {
			es = append(es, n.log.entries[i-n.log.snapIndex-1])
		}
	}
	return es
}

// membersAt returns the membership in effect at an index, or the oldest one that
// is known if the index is before it.
func (n *Node) membersAt(index uint64) Members {
	if n.membersIndex <= index {
		return n.members
	}
	for _, old := range slices.Backward(n.membersHistory) {
		if old.index <= index {
			return old.members
		}
	}
	if len(n.membersHistory) > 0 {
		return n.membersHistory[0].members
	}
	return n.members
}

// trimMembersHistory drops the memberships that no log entry after an index can
// bring back. The one in effect at the index stays.
func (n *Node) trimMembersHistory(index uint64) {
	for len(n.membersHistory) > 0 {
		next := n.membersIndex
		if len(n.membersHistory) > 1 {
			next = n.membersHistory[1].index
		}
		if next > index {
			return
		}
		n.membersHistory = slices.Delete(n.membersHistory, 0, 1)
	}
}

const (
	// formerLeaderDivisor is the divisor of ElectionMS that gives the election delay of a
	// restarted leader. Voters that lost power with it have started by then.
	formerLeaderDivisor = 8
	// Divisors of ElectionMS that give the range of the random election delay:
	// after contact with a leader, after a start, and before the next attempt
	// when a pre-vote has failed. A voter that grants a pre-vote also delays
	// its own election by ElectionMS/preVoteDivisor.
	followerJitterDivisor = 2
	restartJitterDivisor  = 2
	preVoteDivisor        = 4
)

func (n *Node) resetElectionTimeout(now rollout.Millis) {
	n.electionAt = now + n.cfg.ElectionMS + n.electionJitter(followerJitterDivisor)
}

// electionJitter returns a random delay below ElectionMS/divisor, which makes
// simultaneous elections and split votes unlikely.
func (n *Node) electionJitter(divisor rollout.Millis) rollout.Millis {
	return rollout.Millis(n.rand.Int64N(int64(n.cfg.ElectionMS / divisor)))
}

func (n *Node) emitHardState() {
	h := n.hardState
	n.pending.HardState = &h
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	n.pending.Messages = append(n.pending.Messages, m)
}

// truncateMembers restores the membership in effect before an index.
func (n *Node) truncateMembers(from uint64) {
	for n.membersIndex >= from && len(n.membersHistory) > 0 {
		last := n.membersHistory[len(n.membersHistory)-1]
		n.membersHistory = n.membersHistory[:len(n.membersHistory)-1]
		n.members, n.membersIndex = last.members, last.index
	}
}

func countVoterChanges(old, next Members) int {
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

// LastContact returns the send time of the newest heartbeat round that a peer
// has answered, or the time at which this member became leader if there is none.
func (n *Node) LastContact(id MemberID) rollout.Millis {
	p := n.peers[id]
	if n.role != leader || p == nil {
		return n.leaderSince
	}
	return max(p.ackedSentAt, n.leaderSince)
}

// MembersCommitted reports whether the newest membership is committed.
func (n *Node) MembersCommitted() bool { return n.membersIndex <= n.commit }

// LastLeaderContact returns the time of the last message from the leader. It
// returns zero if this member follows no leader, or lacks entries that the leader
// has committed and so must not answer for the newest state.
func (n *Node) LastLeaderContact() rollout.Millis {
	if n.role != follower || n.leader == "" || n.commit < n.leaderCommit {
		return 0
	}
	return n.noVoteUntil - n.cfg.ElectionMS
}
