package job_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

func newBook(t *testing.T) *job.StateMachine {
	t.Helper()
	b := job.NewStateMachine()
	mustApply(t, b, submit("j", "a", "i1", "i2"))
	return b
}

func submit(id, account string, items ...string) job.Command {
	s := job.Spec{ID: id, Account: account, SubmittedMS: 1_000}
	for _, it := range items {
		s.Items = append(s.Items, job.Item{ID: it})
	}
	return job.Command{Submit: &s}
}

func extend(item string, from int, events ...string) job.Command {
	p := job.Piece{From: from, Chunk: []byte(strings.Join(events, "\n")), LastID: uint64(from + len(events)), Versions: []uint64{3}}
	return job.Command{Extend: &job.Extend{JobID: "j", ItemID: item, Piece: p}}
}

func finish(item string, from int, events ...string) job.Command {
	e := extend(item, from, events...).Extend
	return job.Command{Finish: &job.Finish{JobID: "j", Result: job.Result{ItemID: item, State: job.StateCompleted, Score: "s"}, Piece: e.Piece}}
}

func mustApply(t *testing.T, b *job.StateMachine, cs ...job.Command) {
	t.Helper()
	for _, c := range cs {
		if err := b.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
}

func assertKind(t *testing.T, err error, want rollout.Kind) {
	t.Helper()
	if err == nil || rollout.AsError(err).Kind != want {
		t.Fatalf("error %v, want %v", err, want)
	}
}

func assertOutputs(t *testing.T, b *job.StateMachine, id string, want ...string) {
	t.Helper()
	var got []string
	for _, r := range b.Jobs[id].Results {
		got = append(got, string(bytes.Join(r.Chunks, []byte("\n"))))
	}
	if strings.Join(got, "|") != strings.Join(want, "|") {
		t.Fatalf("outputs %q, want %q", got, want)
	}
}

func TestResubmittedJobChangesNothing(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, finish("i1", 0, "x"), submit("j", "a", "i1", "i2"))
	assertOutputs(t, b, "j", "x")
	assertKind(t, b.Apply(submit("j", "other")), rollout.KindConflict)
}

func TestFirstResultOfAnItemStands(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, finish("i1", 0, "first"), finish("i1", 0, "second"))
	assertOutputs(t, b, "j", "first")
}

// A leader that has lost its place lists a result after its successor has
// kept other text.
func TestPieceMustFollowWhatIsKept(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, extend("i1", 0, "1", "2"), extend("i1", 1, "3"))
	assertKind(t, b.Apply(extend("i1", 1, "x")), rollout.KindConflict)
	assertKind(t, b.Apply(finish("i1", 3, "x")), rollout.KindConflict)
	mustApply(t, b, finish("i1", 2, "4"))
	assertOutputs(t, b, "j", "1\n2\n3\n4")
}

func TestPieceFromTheStartReplacesText(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, extend("i1", 0, "1", "2"), finish("i1", 0, "a", "b"))
	assertOutputs(t, b, "j", "a\nb")
}

func TestTextOutlivesItsJob(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, extend("i1", 0, "1", "2"), finish("i2", 0, "x", "y"), job.Command{End: &job.End{JobID: "j", Account: "a"}}, submit("k", "a", "i1", "i2"))
	if got := b.Texts[job.TextKey{Account: "a", ItemID: "i1"}]; got.Complete || len(got.Chunks) != 1 {
		t.Fatalf("text %+v, want one chunk", got)
	}
	if got := b.Texts[job.TextKey{Account: "a", ItemID: "i2"}]; !got.Complete {
		t.Fatalf("text %+v, want a complete one", got)
	}
}

func TestRestoredBookIsTheSame(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, extend("i1", 0, "1"), finish("i2", 0, "x"))
	var data bytes.Buffer
	frozen := b.Freeze()
	mustApply(t, b, extend("i1", 1, "later"))
	if err := frozen(&data); err != nil {
		t.Fatal(err)
	}
	restored := job.NewStateMachine()
	if err := restored.Restore(&data); err != nil {
		t.Fatal(err)
	}
	mustApply(t, restored, finish("i2", 0, "again"), finish("i1", 1, "2"))
	assertOutputs(t, restored, "j", "x", "1\n2")
}

func TestOthersDoNotEndAJob(t *testing.T) {
	b := newBook(t)
	assertKind(t, b.Apply(job.Command{End: &job.End{JobID: "j", Account: "other"}}), rollout.KindNotFound)
	if b.Jobs["j"].Ended {
		t.Fatal("the job has ended")
	}
}

func TestUnknownItemsAreRefused(t *testing.T) {
	b := newBook(t)
	assertKind(t, b.Apply(finish("i9", 0, "x")), rollout.KindNotFound)
}

func TestPagesAreBounded(t *testing.T) {
	b := newBook(t)
	big := strings.Repeat("x", 600<<10)
	mustApply(t, b, finish("i1", 0, big), finish("i2", 0, big))
	if got := len(b.Jobs["j"].Page(0)); got != 1 {
		t.Fatalf("%d results in a page, want 1", got)
	}
	if got := len(b.Jobs["j"].Page(1)); got != 1 {
		t.Fatalf("%d results from position 1, want 1", got)
	}
	if got := b.Jobs["j"].Page(2); got != nil {
		t.Fatalf("results after the last: %v", got)
	}
}

func TestOnlyOldEndedJobsAreForgotten(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, submit("k", "a", "i3"), job.Command{End: &job.End{JobID: "k", Account: "a"}}, job.Command{Forget: &job.Forget{BeforeMS: 2_000}})
	if b.Jobs["j"] == nil || b.Jobs["k"] != nil {
		t.Fatalf("jobs %v, want only the open one", b.Jobs)
	}
}

func TestTextOfOlderVersionsDoesNotFit(t *testing.T) {
	versions := []uint64{3, 4}
	if !job.VersionsAllowed(versions, 3, false) || job.VersionsAllowed(versions, 4, false) || job.VersionsAllowed(versions, 3, true) {
		t.Fatal("bounds on versions do not hold")
	}
}

// A piece of an earlier lead of the same host comes into the log after the
// next lead has begun; the first kept piece of both begins the text.
func TestPieceOfAnEarlierLeadIsRefused(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, job.Command{Write: &job.SetWriter{Writer: "second"}})
	own := extend("i1", 0, "1", "2", "3")
	own.Extend.Writer = "second"
	mustApply(t, b, own)
	late := extend("i1", 0, "1", "2")
	late.Extend.Writer = "first"
	assertKind(t, b.Apply(late), rollout.KindNoAuthority)
	end := finish("i1", 1, "4")
	end.Finish.Writer = "first"
	assertKind(t, b.Apply(end), rollout.KindNoAuthority)
	end.Finish.Writer = "second"
	mustApply(t, b, end)
	assertOutputs(t, b, "j", "1\n2\n3\n4")
}

// A replica that was restored and one that was not must agree on results that
// come after the end.
func TestEndedJobTakesNoMoreResults(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, finish("i1", 0, "x"), job.Command{End: &job.End{JobID: "j", Account: "a"}})
	assertKind(t, b.Apply(finish("i2", 0, "y")), rollout.KindNotFound)
	assertOutputs(t, b, "j", "x")
	if b.Jobs["j"].Total != 2 {
		t.Fatalf("total %d, want 2", b.Jobs["j"].Total)
	}
}

// The last piece of an ended job is late, and the item runs in the next job.
func TestLatePieceOfAnEndedJobDoesNotJoinNewText(t *testing.T) {
	b := newBook(t)
	mustApply(t, b, extend("i1", 0, "old"), job.Command{End: &job.End{JobID: "j", Account: "a"}}, submit("k", "a", "i1"))
	fresh := extend("i1", 0, "new")
	fresh.Extend.JobID = "k"
	mustApply(t, b, fresh)
	assertKind(t, b.Apply(extend("i1", 1, "late")), rollout.KindConflict)
	if got := b.Texts[job.TextKey{Account: "a", ItemID: "i1"}]; len(got.Chunks) != 1 || string(got.Chunks[0]) != "new" {
		t.Fatalf("text %q", got.Chunks)
	}
}
