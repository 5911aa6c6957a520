package wire

import (
	"encoding/json"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// FromEntries translates entries of the quorum's log.
func FromEntries(es []quorum.Entry) []*LogEntry {
	out := make([]*LogEntry, 0, len(es))
	for _, e := range es {
		out = append(out, &LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	return out
}

// FromSnapshot translates a snapshot.
func FromSnapshot(s *quorum.Snapshot) (*Snapshot, error) {
	members, err := json.Marshal(s.Members)
	if err != nil {
		return nil, err
	}
	return &Snapshot{Index: s.Index, Term: s.Term, Members: members, Data: s.Data}, nil
}

// ToEntries translates entries of the quorum's log back.
func ToEntries(es []*LogEntry) []quorum.Entry {
	var out []quorum.Entry
	for _, e := range es {
		out = append(out, quorum.Entry{Index: e.Index, Term: e.Term, Kind: quorum.EntryKind(e.Kind), Data: e.Data})
	}
	return out
}

// ToSnapshot translates a snapshot back.
func ToSnapshot(w *Snapshot) (*quorum.Snapshot, error) {
	s := &quorum.Snapshot{Index: w.Index, Term: w.Term, Data: w.Data}
	if err := json.Unmarshal(w.Members, &s.Members); err != nil {
		return nil, err
	}
	return s, nil
}
