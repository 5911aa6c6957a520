// Package quorum is a replicated log with leader choice by quorum, a leader
// lease, snapshots and change of members one at a time. It does no I/O: the
// caller passes in the time and messages, and takes out what to persist, what
// to send and what is committed.
package quorum

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// MemberID names a member. It belongs to one data folder: a host whose disk
// is lost comes back under a new ID.
type MemberID string

// Member is a member of the quorum.
type Member struct {
	ID      MemberID
	Address string
}

// Members is the set of members. It is immutable.
type Members struct {
	Voters   []Member
	Learners []Member
}

// EntryKind tells what an entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota
	EntryMembers
	EntryEmpty
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is the command, or the encoded members for EntryMembers.
	Data []byte
}

// HardState is what a member must persist before it answers.
type HardState struct {
	Term uint64
	// Vote is the member voted for in Term. Empty when none.
	Vote MemberID
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// MessageType tells what a message asks or answers.
type MessageType uint8

// The types of messages.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	// MessageTransfer asks a voter to take the lead at once. Its sender has
	// given up the lead and the lease.
	MessageTransfer
)

// Message travels between members.
type Message struct {
	Type MessageType
	From MemberID
	To   MemberID
	Term uint64
	// PrevIndex and PrevTerm name the entry before Entries, or the last entry
	// of a candidate.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	// Round numbers the heartbeat rounds of a leader. A reply carries the
	// round that it answers.
	Round uint64
	// Force marks a vote request that follows a transfer. It is granted in
	// spite of a leader heard lately, since that leader has given up.
	Force bool
	// Reject is true when a reply refuses.
	Reject bool
	// Match is the last index known to be the same as the leader's, or after
	// a reject the index from which to try again.
	Match    uint64
	Snapshot *Snapshot
}

// Output is what the caller must do, in this order: persist Snapshot,
// HardState and Entries and sync them; report Persisted; send Messages; apply
// Snapshot and Committed.
type Output struct {
	Snapshot  *Snapshot
	HardState *HardState
	// Entries replace all persisted entries from Entries[0].Index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
}

// Empty tells whether there is nothing to do.
func (o Output) Empty() bool {
	return o.Snapshot == nil && o.HardState == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0
}

// Config sets up a Node.
type Config struct {
	ID MemberID
	// HeartbeatMS is the time between heartbeat rounds.
	HeartbeatMS rollout.Millis
	// ElectionMS is how long a voter withholds its vote after it has heard a
	// leader, and the shortest election timeout. It must exceed LeaseMS by
	// the worst clock rate difference of two hosts.
	ElectionMS rollout.Millis
	// LeaseMS is how long a leader is in charge, counted from the sending of
	// a heartbeat round that a majority answered.
	LeaseMS rollout.Millis
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
}

// DefaultConfig returns the settings for a quorum within one region.
func DefaultConfig(id MemberID) Config {
	return Config{ID: id, HeartbeatMS: 100, ElectionMS: 800, LeaseMS: 640, MaxAppendBytes: 1 << 20}
}

// Find returns the member with the ID and whether there is one.
func (m Members) Find(id MemberID) (Member, bool) {
	for _, v := range slices.Concat(m.Voters, m.Learners) {
		if v.ID == id {
			return v, true
		}
	}
	return Member{}, false
}

// IsVoter tells whether the member votes.
func (m Members) IsVoter(id MemberID) bool { return contains(m.Voters, id) }

// Quorum returns the number of voters that make a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// WithLearner returns the members with a learner added.
func (m Members) WithLearner(l Member) Members {
	return Members{Voters: m.Voters, Learners: append(slices.Clone(without(m.Learners, l.ID)), l)}
}

// WithVoter returns the members with a learner made a voter.
func (m Members) WithVoter(v Member) Members {
	return Members{
		Voters:   append(slices.Clone(without(m.Voters, v.ID)), v),
		Learners: without(m.Learners, v.ID),
	}
}

// Without returns the members less one.
func (m Members) Without(id MemberID) Members {
	return Members{Voters: without(m.Voters, id), Learners: without(m.Learners, id)}
}

func contains(ms []Member, id MemberID) bool {
	return slices.ContainsFunc(ms, func(m Member) bool { return m.ID == id })
}

func without(ms []Member, id MemberID) []Member {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.ID == id })
}
