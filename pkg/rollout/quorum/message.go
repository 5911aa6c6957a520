// Package quorum implements a Raft-style replicated log with leader election,
// pre-votes, a leader lease, snapshots and membership changes of one voter at a
// time. It does no I/O: the caller passes in the time and received messages,
// and gets back the state to persist, the messages to send and the committed
// entries to apply.
package quorum

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// MemberID identifies a member. It is bound to one data directory: a host that
// lost its disk rejoins under a new ID.
type MemberID string

// Member is a voter or learner of the quorum.
type Member struct {
	ID      MemberID
	Address string
}

// Members is the set of voters and learners. It is immutable.
type Members struct {
	Voters   []Member
	Learners []Member
}

// EntryKind is the kind of data that an entry carries.
type EntryKind uint8

// Entry kinds. A new leader appends an EntryEmpty to commit an entry of its
// term.
const (
	EntryCommand EntryKind = iota
	EntryMembers
	EntryEmpty
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is the command, or the JSON-encoded Members for EntryMembers.
	Data []byte
}

// HardState is the state that a member must persist before it sends a reply.
type HardState struct {
	Term uint64
	// Vote is the member voted for in Term, or empty.
	Vote MemberID
	// Leader is the leader of Term, or empty while it is unknown.
	Leader MemberID
}

// Snapshot replaces the log entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// MessageType is the type of a request or reply between members.
type MessageType uint8

// Message types.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	// MessageTransfer asks a voter to start an election immediately. The sender
	// has already given up leadership and its lease.
	MessageTransfer
)

// Message is a request or reply sent between members.
type Message struct {
	Type MessageType
	From MemberID
	To   MemberID
	Term uint64
	// PrevIndex and PrevTerm identify the entry before Entries, or in a vote
	// request the last entry of the candidate.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	// Round is the number of the leader's heartbeat round. A reply carries the
	// round that it answers.
	Round uint64
	// Force marks a vote request that follows a leadership transfer. A voter may
	// grant it despite recent contact with the leader, because that leader has
	// stepped down.
	Force bool
	// Reject is true in a reply that rejects the request.
	Reject bool
	// Match is the last index up to which the log is known to match the
	// leader's. In a rejection it is the index after which the leader resumes
	// sending.
	Match    uint64
	Snapshot *Snapshot
}

// EntryBytes returns the size of the data of the entries.
func (m Message) EntryBytes() int {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

// Output lists the pending work of the caller. The caller must, in this order,
// persist and sync Snapshot, HardState and Entries; call Persisted; send
// Messages; and apply Snapshot and Committed.
type Output struct {
	Snapshot  *Snapshot
	HardState *HardState
	// Entries replaces all persisted entries from Entries[0].Index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// Unreadable is set if the log holds a membership that cannot be decoded. The
	// member must stop, since it would count votes of a former membership.
	Unreadable error
}

// Empty reports whether there is no pending work.
func (o Output) Empty() bool {
	return o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && o.Unreadable == nil
}

// Config holds the settings of a Node.
type Config struct {
	ID MemberID
	// HeartbeatMS is the interval between heartbeat rounds.
	HeartbeatMS rollout.Millis
	// ElectionMS is how long a voter withholds its vote after contact with a
	// leader, and the minimum election timeout. It must exceed LeaseMS by the
	// maximum clock rate difference between two hosts, so that no other leader
	// is elected while a lease is valid.
	ElectionMS rollout.Millis
	// LeaseMS is the duration of the leader lease, counted from the send time
	// of the newest heartbeat round that a majority answered.
	LeaseMS rollout.Millis
	// MaxAppendBytes limits the entry data of one append message. An append
	// carries at least one entry.
	MaxAppendBytes int
}

// DefaultConfig returns settings for a quorum within one region.
func DefaultConfig(id MemberID) Config {
	return Config{ID: id, HeartbeatMS: 100, ElectionMS: 800, LeaseMS: 640, MaxAppendBytes: 1 << 20}
}

// Find returns the member with the given ID. It returns false if there is none.
func (m Members) Find(id MemberID) (Member, bool) {
	for _, v := range slices.Concat(m.Voters, m.Learners) {
		if v.ID == id {
			return v, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the member is a voter.
func (m Members) IsVoter(id MemberID) bool { return contains(m.Voters, id) }

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// WithLearner returns a copy with a learner added.
func (m Members) WithLearner(l Member) Members {
	return Members{Voters: m.Voters, Learners: append(slices.Clone(without(m.Learners, l.ID)), l)}
}

// WithVoter returns a copy with a voter added. A learner with the same ID is
// promoted.
func (m Members) WithVoter(v Member) Members {
	return Members{
		Voters:   append(slices.Clone(without(m.Voters, v.ID)), v),
		Learners: without(m.Learners, v.ID),
	}
}

// Without returns a copy without the given member.
func (m Members) Without(id MemberID) Members {
	return Members{Voters: without(m.Voters, id), Learners: without(m.Learners, id)}
}

func contains(ms []Member, id MemberID) bool {
	return slices.ContainsFunc(ms, func(m Member) bool { return m.ID == id })
}

func without(ms []Member, id MemberID) []Member {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.ID == id })
}
