package wire

import (
	"encoding/json"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// FromEntries converts entries of the quorum log to messages.
func FromEntries(es []quorum.Entry) []*LogEntry {
	out := make([]*LogEntry, 0, len(es))
	for _, e := range es {
		out = append(out, &LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	return out
}

// FromSnapshot converts a snapshot to a message.
func FromSnapshot(s *quorum.Snapshot) (*Snapshot, error) {
	members, err := json.Marshal(s.Members)
	if err != nil {
		return nil, err
	}
	return &Snapshot{Index: s.Index, Term: s.Term, Members: members, Data: s.Data}, nil
}

// ToEntries converts messages to entries of the quorum log.
func ToEntries(es []*LogEntry) []quorum.Entry {
	var out []quorum.Entry
	for _, e := range es {
		out = append(out, quorum.Entry{Index: e.Index, Term: e.Term, Kind: quorum.EntryKind(e.Kind), Data: e.Data})
	}
	return out
}

// ToSnapshot converts a message to a snapshot.
func ToSnapshot(w *Snapshot) (*quorum.Snapshot, error) {
	s := &quorum.Snapshot{Index: w.Index, Term: w.Term, Data: w.Data}
	if err := json.Unmarshal(w.Members, &s.Members); err != nil {
		return nil, err
	}
	return s, nil
}
