package jobstore

import (
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

func addEvents(t *textBuffer, from, to uint64, version uint64) {
	for id := from; id <= to; id++ {
		t.add(rollout.StreamEvent{ID: id, Data: []byte{byte('a' + id)}}, version, "")
	}
}

// saveTo appends the unsaved piece of a buffer to a stored text.
func saveTo(t *testing.T, tx *textBuffer, stored job.GeneratedText) (job.GeneratedText, error) {
	t.Helper()
	p, err := tx.unsavedPiece(pack.New())
	if err != nil {
		t.Fatal(err)
	}
	next, err := stored.With(p.TextPiece)
	if err == nil {
		tx.markSaved(p)
	}
	return next, err
}

func assertOutput(t *testing.T, stored job.GeneratedText, want string) {
	t.Helper()
	if got, err := unpackOutput(pack.New(), stored.Chunks); err != nil || got != want {
		t.Fatalf("output %q, %v, want %q", got, err, want)
	}
}

func TestPiecesFormCompleteOutput(t *testing.T) {
	tx := newTextBuffer(job.GeneratedText{})
	var stored job.GeneratedText
	var err error
	for id := uint64(1); id <= 3; id++ {
		addEvents(tx, id, id, 1)
		if stored, err = saveTo(t, tx, stored); err != nil {
			t.Fatal(err)
		}
	}
	assertOutput(t, stored, "b\nc\nd")
}

func TestRepeatedEventsAreIgnored(t *testing.T) {
	tx := newTextBuffer(job.GeneratedText{})
	addEvents(tx, 1, 3, 1)
	addEvents(tx, 2, 4, 2)
	if len(tx.unsaved) != 4 || tx.lastID != 4 || len(tx.versions) != 2 {
		t.Fatalf("text %+v, want 4 events up to ID 4 of 2 versions", tx)
	}
}

func TestRewriteReplacesConflictingText(t *testing.T) {
	tx := newTextBuffer(job.GeneratedText{})
	addEvents(tx, 1, 1, 1)
	if _, err := saveTo(t, tx, job.GeneratedText{}); err != nil {
		t.Fatal(err)
	}
	addEvents(tx, 2, 2, 1)
	other := job.GeneratedText{Chunks: [][]byte{{0, 'x'}, {0, 'y'}}}
	if _, err := saveTo(t, tx, other); rollout.AsError(err).Kind != rollout.KindConflict {
		t.Fatalf("error %v, want a conflict", err)
	}
	tx.rewrite = true
	stored, err := saveTo(t, tx, other)
	if err != nil {
		t.Fatal(err)
	}
	assertOutput(t, stored, "b\nc")
}

func TestDisallowedTextIsReplaced(t *testing.T) {
	tx := newTextBuffer(job.GeneratedText{Chunks: [][]byte{{0, 'x'}}, LastID: 9, Versions: []uint64{3}, Complete: true})
	tx.discardUnlessAllowed(4, false)
	if tx.lastID != 0 || tx.complete {
		t.Fatalf("text %+v was not discarded", tx)
	}
	addEvents(tx, 1, 2, 4)
	stored, err := saveTo(t, tx, job.GeneratedText{Chunks: [][]byte{{0, 'x'}}})
	if err != nil {
		t.Fatal(err)
	}
	assertOutput(t, stored, "b\nc")
}

func TestTextDiscardedDuringSaveIsRewritten(t *testing.T) {
	tx := newTextBuffer(job.GeneratedText{})
	addEvents(tx, 1, 3, 3)
	p, err := tx.unsavedPiece(pack.New())
	if err != nil {
		t.Fatal(err)
	}
	tx.discardUnlessAllowed(4, false)
	tx.markSaved(p)
	if !tx.rewrite {
		t.Fatal("rewrite is false after the discarded text was stored")
	}
}

func TestPieceOfDiscardedTextNeverCountsAsNewText(t *testing.T) {
	tx := newTextBuffer(job.GeneratedText{})
	addEvents(tx, 1, 3, 3)
	tx.saving = true
	old, err := tx.unsavedPiece(pack.New())
	if err != nil {
		t.Fatal(err)
	}
	tx.discardUnlessAllowed(4, false)
	if !tx.saving {
		t.Fatal("saving is false while the old piece is being committed")
	}
	addEvents(tx, 1, 3, 4)
	stored, err := job.GeneratedText{}.With(old.TextPiece)
	if err != nil {
		t.Fatal(err)
	}
	tx.markSaved(old)
	if !tx.rewrite || len(tx.unsaved) != 3 {
		t.Fatalf("rewrite %v, %d unsaved events, want true, 3", tx.rewrite, len(tx.unsaved))
	}
	addEvents(tx, 4, 4, 4)
	if stored, err = saveTo(t, tx, stored); err != nil {
		t.Fatal(err)
	}
	assertOutput(t, stored, "b\nc\nd\ne")
	if !slices.Equal(stored.Versions, []uint64{4}) {
		t.Fatalf("versions %v, want [4]", stored.Versions)
	}
}

func TestTextDiscardedDuringSaveIsRewrittenIfSaveFails(t *testing.T) {
	tx := newTextBuffer(job.GeneratedText{})
	addEvents(tx, 1, 3, 3)
	tx.saving = true
	tx.discardUnlessAllowed(4, false)
	if !tx.rewrite {
		t.Fatal("rewrite is false although the outcome of the save is unknown")
	}
}

// The leader of the job store is lost while a step waits for its longest text: what is not
// stored by then is generated again.
func TestLongTextLosesFewEventsWithItsLeader(t *testing.T) {
	const short, long = 20, 100
	tx := newTextBuffer(job.GeneratedText{})
	var stored job.GeneratedText
	for id := uint64(1); id <= long; id++ {
		addEvents(tx, id, id, 1)
		if tx.isSaveDue() {
			var err error
			if stored, err = saveTo(t, tx, stored); err != nil {
				t.Fatal(err)
			}
		}
		lost, limit := len(tx.unsaved), short
		if id > short {
			limit = long / 10
		}
		if lost >= limit {
			t.Fatalf("%d of %d events would be lost, want less than %d", lost, id, limit)
		}
	}
}
