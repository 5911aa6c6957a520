package job

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// TextKey names the text of an item.
type TextKey struct {
	Account, ItemID string
}

// Text is what has been generated for an item. It is immutable.
type Text struct {
	// Chunks hold the events in order, as the caller encoded them.
	Chunks [][]byte
	// LastID is the ID of the last event, or 0 when there is none.
	LastID uint64
	// Versions are those that made the events, sorted.
	Versions []uint64
	// Complete is true once the last event is there.
	Complete bool
	// JobID is the job that wrote last.
	JobID string
	// UsedMS is when the newest job with the item was submitted.
	UsedMS rollout.Millis
}

// Piece is a part of a text that follows its first chunks.
type Piece struct {
	// From is the number of chunks before the piece. A piece from 0 replaces
	// the whole text.
	From int
	// Chunk is empty when the piece only completes the text.
	Chunk  []byte
	LastID uint64
	// Versions are those of the whole text up to the end of the piece.
	Versions []uint64
}

// VersionsAllowed tells whether text of these versions may be used by a job with these
// bounds.
func VersionsAllowed(versions []uint64, minVersion uint64, single bool) bool {
	return len(versions) == 0 || (versions[0] >= minVersion && (!single || len(versions) == 1))
}

// With returns the text with a piece. A piece that does not follow what is
// there is refused.
func (t Text) With(p Piece) (Text, error) {
	if p.From == 0 {
		t.Chunks = nil
	}
	if p.From != len(t.Chunks) {
		return t, rollout.NewError(rollout.KindConflict, "%d chunks are kept, the piece follows %d", len(t.Chunks), p.From)
	}
	if len(p.Chunk) > 0 {
		t.Chunks = append(slices.Clip(t.Chunks), p.Chunk)
	}
	t.LastID, t.Versions, t.Complete = p.LastID, p.Versions, false
	return t, nil
}
