package jobstore

import (
	"slices"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const (
	// eventSeparator separates the events of an output.
	eventSeparator = "\n"
	// saveThreshold is the number of unsaved events of an item at which they are
	// stored. An engine generates that many in about a second. Texts that have become longer
	// are stored in pieces of longTextSaveThreshold, as their job waits for them.
	saveThreshold         = 20
	longTextSaveThreshold = 8
)

// textBuffer holds the text of an item that is being generated: the chunks that
// are in the replicated state, and the events after them.
type textBuffer struct {
	chunks [][]byte
	// unsaved holds the events after chunks.
	unsaved  []string
	lastID   uint64
	versions []uint64
	// software is the version of the engines' software that generated the events, or empty
	// if it is unknown.
	software string
	// complete is true once the last event has been received.
	complete bool
	// received counts the events that this leader has received.
	received int
	// saving is true while a command that stores a piece is being committed.
	saving bool
	// rewrite is true if the state holds a text other than chunks, so that the next
	// piece must replace it.
	rewrite bool
	// discards counts how often the text was discarded. It tells the pieces of an
	// earlier text from those of the current one.
	discards int
}

// unsavedPiece is a piece that is to be stored.
type unsavedPiece struct {
	job.TextPiece
	// events is the number of unsaved events in the piece.
	events int
	// discards is the value of textBuffer.discards when the piece was taken.
	discards int
}

// newTextBuffer returns a buffer that continues a stored text.
func newTextBuffer(t job.GeneratedText) *textBuffer {
	return &textBuffer{chunks: t.Chunks, lastID: t.LastID, versions: t.Versions, software: t.Software, complete: t.Complete}
}

// add appends an event that was generated with a weight version by an engine of a
// software version. It ignores events that the text already includes.
func (t *textBuffer) add(e rollout.StreamEvent, version uint64, software string) {
	if e.ID <= t.lastID && t.lastID > 0 {
		return
	}
	if t.lastID == 0 {
		t.software = software
	}
	t.unsaved = append(t.unsaved, string(e.Data))
	t.lastID = e.ID
	t.received++
	if !slices.Contains(t.versions, version) {
		t.versions = append(slices.Clip(t.versions), version)
		slices.Sort(t.versions)
	}
}

// checkNext returns an error if an event cannot be the next of the text and of a run whose last
// event is last, or 0. An engine that repeats events is allowed. Engines number their events
// without gaps, so another one is missing, or the event is none of the text, like the text of an
// error.
func (t *textBuffer) checkNext(e rollout.StreamEvent, last uint64) error {
	if (t.lastID == 0 || (e.ID > 0 && e.ID <= t.lastID+1)) && (last == 0 || e.ID == last+1) {
		return nil
	}
	return rollout.NewError(rollout.KindUpstreamFailed, "event %d follows event %d of the run and %d of the text", e.ID, last, t.lastID)
}

// discardUnnumbered clears a text whose events have no IDs, as no run can go on with it.
func (t *textBuffer) discardUnnumbered() {
	if t.lastID == 0 && (len(t.unsaved) > 0 || len(t.chunks) > 0) {
		t.discard()
	}
}

// discardUnlessAllowed clears the text if a job does not allow the weight
// versions that generated it.
func (t *textBuffer) discardUnlessAllowed(minVersion uint64, single bool) {
	if !job.VersionsAllowed(t.versions, minVersion, single) {
		t.discard()
	}
}

// discardIfSoftwareUnknown clears a text that no engine may continue, because it is unknown
// which version of their software generated it.
func (t *textBuffer) discardIfSoftwareUnknown() {
	if t.lastID > 0 && t.software == "" && !t.complete {
		t.discard()
	}
}

// discard makes the text empty.
func (t *textBuffer) discard() {
	*t = textBuffer{rewrite: len(t.chunks) > 0 || t.rewrite || t.saving, saving: t.saving, discards: t.discards + 1}
}

// isSaveDue reports whether there is enough unsaved text to store.
func (t *textBuffer) isSaveDue() bool {
	threshold := saveThreshold
	if t.lastID > saveThreshold {
		threshold = longTextSaveThreshold
	}
	return !t.saving && len(t.unsaved) >= threshold
}

// markSaved records that a piece has been stored.
func (t *textBuffer) markSaved(p unsavedPiece) {
	if p.discards != t.discards {
		t.rewrite = true
		return
	}
	if p.From == 0 {
		t.chunks = nil
	}
	if len(p.Chunk) > 0 {
		t.chunks = append(slices.Clip(t.chunks), p.Chunk)
	}
	t.unsaved, t.rewrite = t.unsaved[p.events:], false
}

// unsavedPiece returns the piece that brings the stored text up to date.
func (t textBuffer) unsavedPiece(packer *pack.Packer) (unsavedPiece, error) {
	p := unsavedPiece{
		TextPiece: job.TextPiece{From: len(t.chunks), LastID: t.lastID, Versions: t.versions, Software: t.software},
		events:    len(t.unsaved), discards: t.discards,
	}
	events := t.unsaved
	if t.rewrite {
		p.From = 0
		if len(t.chunks) > 0 {
			stored, err := unpackOutput(packer, t.chunks)
			if err != nil {
				return p, err
			}
			events = append([]string{stored}, events...)
		}
	}
	if len(events) > 0 {
		p.Chunk = packer.Pack([]byte(strings.Join(events, eventSeparator)))
	}
	return p, nil
}

// unpackOutput decodes the output that is stored in chunks.
func unpackOutput(packer *pack.Packer, chunks [][]byte) (string, error) {
	parts := make([]string, 0, len(chunks))
	for _, c := range chunks {
		part, err := packer.Unpack(c)
		if err != nil {
			return "", err
		}
		parts = append(parts, string(part))
	}
	return strings.Join(parts, eventSeparator), nil
}
