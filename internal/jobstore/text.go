package jobstore

import (
	"slices"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// eventSeparator stands between the events of an output.
const eventSeparator = "\n"

// text is the text of an item that is being generated: chunks that the book
// holds, and the events after them.
type text struct {
	chunks   [][]byte
	events   []string
	lastID   uint64
	versions []uint64
	// complete is true once the last event is there.
	complete bool
	// total counts the events that this leader has read.
	total int
	// keeping is true while a piece is on its way to the book.
	keeping bool
	// rewrite is true when the book holds other text than chunks.
	rewrite bool
}

// newText returns the text that the book holds.
func newText(t job.Text) *text {
	return &text{chunks: t.Chunks, lastID: t.LastID, versions: t.Versions, complete: t.Complete}
}

// add takes an event made under a version. Events that are there already are
// dropped.
func (t *text) add(e rollout.StreamEvent, version uint64) {
	if e.ID <= t.lastID && t.lastID > 0 {
		return
	}
	t.events = append(t.events, string(e.Data))
	t.lastID = e.ID
	t.total++
	if !slices.Contains(t.versions, version) {
		t.versions = append(slices.Clip(t.versions), version)
		slices.Sort(t.versions)
	}
}

// fit drops text that the bounds of a job do not allow.
func (t *text) fit(minVersion uint64, single bool) {
	if !job.VersionsAllowed(t.versions, minVersion, single) {
		*t = text{rewrite: len(t.chunks) > 0 || t.rewrite}
	}
}

// kept notes that the book holds a piece with so many of the new events.
func (t *text) kept(p job.Piece, events int) {
	if events > len(t.events) {
		// The text was dropped while the piece was on its way.
		t.rewrite = true
		return
	}
	if p.From == 0 {
		t.chunks = nil
	}
	if len(p.Chunk) > 0 {
		t.chunks = append(slices.Clip(t.chunks), p.Chunk)
	}
	t.events, t.rewrite = t.events[events:], false
}

// piece returns what the book lacks.
func (t text) piece(packer *pack.Packer) (job.Piece, error) {
	p := job.Piece{From: len(t.chunks), LastID: t.lastID, Versions: t.versions}
	events := t.events
	if t.rewrite {
		p.From = 0
		if len(t.chunks) > 0 {
			before, err := unpackOutput(packer, t.chunks)
			if err != nil {
				return p, err
			}
			events = append([]string{before}, events...)
		}
	}
	if len(events) > 0 {
		p.Chunk = packer.Pack([]byte(strings.Join(events, eventSeparator)))
	}
	return p, nil
}

// unpackOutput returns the output that chunks hold.
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
