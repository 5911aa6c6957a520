package job

import (
	"slices"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// eventSeparator stands between the events of an output.
const eventSeparator = "\n"

// TextKey names the text of an item.
type TextKey struct {
	Account, ItemID string
}

// MarshalText implements encoding.TextMarshaler.
func (k TextKey) MarshalText() ([]byte, error) { return []byte(k.ItemID + " " + k.Account), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *TextKey) UnmarshalText(data []byte) error {
	item, account, ok := strings.Cut(string(data), " ")
	if !ok {
		return rollout.NewError(rollout.KindStorage, "name of a text: %q", data)
	}
	k.ItemID, k.Account = item, account
	return nil
}

// Text is what has been generated for an item. It is immutable.
type Text struct {
	Events []string
	// LastID is the ID of the last event.
	LastID uint64
	// Versions are those that made the events, sorted.
	Versions []uint64
	// Complete is true once the last event is there.
	Complete bool
	// UsedMS is when the newest job with the item was submitted.
	UsedMS rollout.Millis
}

// Piece is a part of a text that follows its first events.
type Piece struct {
	// From is the number of events before the piece. A piece from 0 replaces
	// the whole text.
	From   int
	Events []string
	LastID uint64
	// Versions are those of the whole text up to the end of the piece.
	Versions []uint64
}

// Fits tells whether the text may be used by a job with these bounds.
func (t Text) Fits(minVersion uint64, single bool) bool {
	return len(t.Versions) == 0 || (t.Versions[0] >= minVersion && (!single || len(t.Versions) == 1))
}

// Since returns the piece that follows the first events.
func (t Text) Since(from int) Piece {
	return Piece{From: from, Events: t.Events[from:], LastID: t.LastID, Versions: t.Versions}
}

// With returns the text with a piece. A piece that does not follow what is
// there is refused.
func (t Text) With(p Piece) (Text, error) {
	if p.From == 0 {
		t.Events = nil
	}
	if p.From != len(t.Events) {
		return t, rollout.NewError(rollout.KindConflict, "%d events are kept, the piece follows %d", len(t.Events), p.From)
	}
	t.Events = append(slices.Clip(t.Events), p.Events...)
	t.LastID, t.Versions, t.Complete = p.LastID, p.Versions, false
	return t, nil
}

// WithEvent returns the text with one more event. Events that are there
// already change nothing.
func (t Text) WithEvent(e rollout.StreamEvent, version uint64) Text {
	if e.ID <= t.LastID && t.LastID > 0 {
		return t
	}
	t.Events = append(t.Events, string(e.Data))
	t.LastID = e.ID
	if !slices.Contains(t.Versions, version) {
		t.Versions = append(slices.Clip(t.Versions), version)
		slices.Sort(t.Versions)
	}
	return t
}
