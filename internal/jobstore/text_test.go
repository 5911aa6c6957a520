package jobstore

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

func addEvents(t *text, from, to uint64, version uint64) {
	for id := from; id <= to; id++ {
		t.add(rollout.StreamEvent{ID: id, Data: []byte{byte('a' + id)}}, version)
	}
}

// keepIn sends the piece of a text to a book's text.
func keepIn(t *testing.T, tx *text, held job.Text) (job.Text, error) {
	t.Helper()
	p, err := tx.piece(pack.New())
	if err != nil {
		t.Fatal(err)
	}
	next, err := held.With(p)
	if err == nil {
		tx.kept(p, len(tx.events))
	}
	return next, err
}

func assertOutput(t *testing.T, held job.Text, want string) {
	t.Helper()
	if got, err := unpackOutput(pack.New(), held.Chunks); err != nil || got != want {
		t.Fatalf("output %q, %v, want %q", got, err, want)
	}
}

func TestPiecesMakeTheWholeOutput(t *testing.T) {
	tx := newText(job.Text{})
	var held job.Text
	var err error
	for id := uint64(1); id <= 3; id++ {
		addEvents(tx, id, id, 1)
		if held, err = keepIn(t, tx, held); err != nil {
			t.Fatal(err)
		}
	}
	assertOutput(t, held, "b\nc\nd")
}

func TestRepeatedEventsAreDropped(t *testing.T) {
	tx := newText(job.Text{})
	addEvents(tx, 1, 3, 1)
	addEvents(tx, 2, 4, 2)
	if len(tx.events) != 4 || tx.lastID != 4 || len(tx.versions) != 2 {
		t.Fatalf("text %+v", tx)
	}
}

func TestTextThatTheBookLacksIsWrittenAnew(t *testing.T) {
	tx := newText(job.Text{})
	addEvents(tx, 1, 1, 1)
	if _, err := keepIn(t, tx, job.Text{}); err != nil {
		t.Fatal(err)
	}
	addEvents(tx, 2, 2, 1)
	other := job.Text{Chunks: [][]byte{{0, 'x'}, {0, 'y'}}}
	if _, err := keepIn(t, tx, other); rollout.AsError(err).Kind != rollout.KindConflict {
		t.Fatalf("error %v, want a conflict", err)
	}
	tx.rewrite = true
	held, err := keepIn(t, tx, other)
	if err != nil {
		t.Fatal(err)
	}
	assertOutput(t, held, "b\nc")
}

func TestUnfitTextIsReplacedInTheBook(t *testing.T) {
	tx := newText(job.Text{Chunks: [][]byte{{0, 'x'}}, LastID: 9, Versions: []uint64{3}, Complete: true})
	tx.fit(4, false)
	if tx.lastID != 0 || tx.complete {
		t.Fatalf("text %+v is kept", tx)
	}
	addEvents(tx, 1, 2, 4)
	held, err := keepIn(t, tx, job.Text{Chunks: [][]byte{{0, 'x'}}})
	if err != nil {
		t.Fatal(err)
	}
	assertOutput(t, held, "b\nc")
}

func TestTextDroppedWhileAPieceIsOnItsWayIsWrittenAnew(t *testing.T) {
	tx := newText(job.Text{})
	addEvents(tx, 1, 3, 3)
	p, err := tx.piece(pack.New())
	if err != nil {
		t.Fatal(err)
	}
	tx.fit(4, false)
	tx.kept(p, 3)
	if !tx.rewrite {
		t.Fatal("the book's text is taken for this one")
	}
}
