package job

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// TextKey identifies the texts of an item.
type TextKey struct {
	Account, ItemID string
}

// GeneratedText is the text generated so far for an item. It is immutable.
type GeneratedText struct {
	// Chunks hold the events in order, encoded by the caller of this package.
	Chunks [][]byte
	// LastID is the ID of the last event, or 0 if there is none.
	LastID uint64
	// Versions are the weight versions that generated the events, sorted.
	Versions []uint64
	// Software is the version of the engines' software that generated the events, or empty
	// if it is unknown, as in records of releases that did not store it.
	Software string
	// Complete is true if the text includes its last event.
	Complete bool
	// Owner is the job to which the text belongs, or empty if all jobs with the item share
	// it, as in records of releases that had no owner.
	Owner string `json:",omitempty"`
	// Request is the digest of the request that the text answers, or empty if it is unknown.
	Request []byte `json:",omitempty"`
	// JobID is the job that wrote the text last.
	JobID string
	// UsedMS is the submission time of the last job that wrote the text.
	UsedMS rollout.Millis
}

// TextPiece is a part of a generated text that follows the chunks already stored.
type TextPiece struct {
	// From is the number of chunks before the piece. A piece with From 0
	// replaces the whole text.
	From int
	// Chunk is empty if the piece only marks the text as complete.
	Chunk  []byte
	LastID uint64
	// Versions are the weight versions of the whole text up to the end of the
	// piece.
	Versions []uint64
	// Software is the version of the engines' software that generated the whole text.
	Software string `json:",omitempty"`
	// Request is the digest of the request that the text answers.
	Request []byte `json:",omitempty"`
}

// VersionsAllowed reports whether a job may use text that these weight versions
// generated. The oldest must be at least minVersion, and single allows only one
// version.
func VersionsAllowed(versions []uint64, minVersion uint64, single bool) bool {
	return len(versions) == 0 || (versions[0] >= minVersion && (!single || len(versions) == 1))
}

// With returns the text with a piece appended. It returns an error if the piece
// does not follow the last chunk.
func (t GeneratedText) With(p TextPiece) (GeneratedText, error) {
	if p.From == 0 {
		t.Chunks = nil
	}
	if p.From != len(t.Chunks) {
		return t, rollout.NewError(rollout.KindConflict, "%d chunks are stored, but the piece follows %d", len(t.Chunks), p.From)
	}
	if len(p.Chunk) > 0 {
		t.Chunks = append(slices.Clip(t.Chunks), p.Chunk)
	}
	t.LastID, t.Versions, t.Software, t.Request, t.Complete = p.LastID, p.Versions, p.Software, p.Request, false
	return t, nil
}
