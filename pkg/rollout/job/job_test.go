package job_test

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

func newStateMachine(t *testing.T) *job.StateMachine {
	t.Helper()
	m := job.NewStateMachine()
	mustApply(t, m, submit("j", "a", "i1", "i2"))
	return m
}

func submit(id, account string, items ...string) job.Command {
	s := job.Spec{ID: id, Account: account, SubmittedMS: 1_000, OwnTexts: true}
	for _, it := range items {
		s.Items = append(s.Items, job.Item{ID: it})
	}
	return job.Command{Submit: &s}
}

// sharing changes a submission to one of a release whose jobs shared the texts of items.
func sharing(c job.Command) job.Command {
	c.Submit.OwnTexts = false
	return c
}

// ofJob changes a piece of text to one of another job.
func ofJob(id string, c job.Command) job.Command {
	if c.Extend != nil {
		c.Extend.JobID = id
	}
	if c.Finish != nil {
		c.Finish.JobID = id
	}
	return c
}

func extendText(item string, from int, events ...string) job.Command {
	p := job.TextPiece{
		From: from, Chunk: []byte(strings.Join(events, "\n")), LastID: uint64(from + len(events)), Versions: []uint64{3},
		Request: job.RequestDigest(&job.Spec{}, &job.Item{ID: item}),
	}
	return job.Command{Extend: &job.ExtendText{JobID: "j", ItemID: item, Piece: p}}
}

func finishItem(item string, from int, events ...string) job.Command {
	e := extendText(item, from, events...).Extend
	return job.Command{Finish: &job.FinishItem{JobID: "j", Result: job.Result{ItemID: item, State: job.StateCompleted, Score: "s"}, Piece: e.Piece}}
}

func mustApply(t *testing.T, m *job.StateMachine, cs ...job.Command) {
	t.Helper()
	for _, c := range cs {
		if err := m.Apply(c); err != nil {
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

func assertOutputs(t *testing.T, m *job.StateMachine, id string, want ...string) {
	t.Helper()
	var got []string
	for _, r := range m.Jobs[id].Results {
		got = append(got, string(bytes.Join(r.Chunks, []byte("\n"))))
	}
	if strings.Join(got, "|") != strings.Join(want, "|") {
		t.Fatalf("outputs %q, want %q", got, want)
	}
}

func TestResubmittedJobChangesNothing(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, finishItem("i1", 0, "x"), submit("j", "a", "i1", "i2"))
	assertOutputs(t, m, "j", "x")
	assertKind(t, m.Apply(submit("j", "other")), rollout.KindConflict)
}

func TestFirstResultOfAnItemIsKept(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, finishItem("i1", 0, "first"), finishItem("i1", 0, "second"))
	assertOutputs(t, m, "j", "first")
}

// A deposed leader adds a result after its successor has stored other text of
// the item.
func TestPieceMustFollowStoredChunks(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, extendText("i1", 0, "1", "2"), extendText("i1", 1, "3"))
	assertKind(t, m.Apply(extendText("i1", 1, "x")), rollout.KindConflict)
	assertKind(t, m.Apply(finishItem("i1", 3, "x")), rollout.KindConflict)
	mustApply(t, m, finishItem("i1", 2, "4"))
	assertOutputs(t, m, "j", "1\n2\n3\n4")
}

func TestPieceFromTheStartReplacesText(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, extendText("i1", 0, "1", "2"), finishItem("i1", 0, "a", "b"))
	assertOutputs(t, m, "j", "a\nb")
}

func TestTextIsKeptAfterItsJobEnds(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, extendText("i1", 0, "1", "2"), finishItem("i2", 0, "x", "y"), job.Command{End: &job.End{JobID: "j", Account: "a"}}, submit("k", "a", "i1", "i2"))
	if got := m.Text(m.Jobs["k"], "i1"); got.Complete || len(got.Chunks) != 1 {
		t.Fatalf("text %+v, want one chunk", got)
	}
	if got := m.Text(m.Jobs["k"], "i2"); !got.Complete {
		t.Fatalf("text %+v, want a complete one", got)
	}
}

func TestSnapshotRestoresTheState(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, extendText("i1", 0, "1"), finishItem("i2", 0, "x"))
	var data bytes.Buffer
	frozen := m.Freeze()
	mustApply(t, m, extendText("i1", 1, "later"))
	if err := frozen(&data); err != nil {
		t.Fatal(err)
	}
	restored := job.NewStateMachine()
	if err := restored.Restore(&data); err != nil {
		t.Fatal(err)
	}
	mustApply(t, restored, finishItem("i2", 0, "again"), finishItem("i1", 1, "2"))
	assertOutputs(t, restored, "j", "x", "1\n2")
}

// Guards against a next leader that does not know the paces of engines or the last claim to
// weight orders, or knows those of a leader that was replaced.
func TestPacesAndClaimsAreKeptForTheNextLeader(t *testing.T) {
	m := newStateMachine(t)
	paces := []job.Pace{{Engine: "e", Born: 3, IntervalMS: 48}}
	mustApply(t, m, job.Command{Paces: &job.SetPaces{Writer: m.Writer, Paces: paces}})
	for _, host := range []string{"h1", "h2", "h1"} {
		mustApply(t, m, job.Command{Orders: &job.ClaimOrders{Writer: m.Writer, Host: host}})
	}
	assertKind(t, m.Apply(job.Command{Paces: &job.SetPaces{Writer: "former"}}), rollout.KindNoAuthority)
	assertKind(t, m.Apply(job.Command{Orders: &job.ClaimOrders{Writer: "former", Host: "h3"}}), rollout.KindNoAuthority)
	var data bytes.Buffer
	if err := m.Freeze()(&data); err != nil {
		t.Fatal(err)
	}
	restored := job.NewStateMachine()
	if err := restored.Restore(&data); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(m.Paces, paces) || !slices.Equal(restored.Paces, paces) {
		t.Errorf("paces %v, restored %v, want %v", m.Paces, restored.Paces, paces)
	}
	if want := []string{"h2", "h1"}; !slices.Equal(restored.OrderHosts, want) {
		t.Errorf("restored claims %v, want %v", restored.OrderHosts, want)
	}
	for host, want := range map[string]bool{"h1": false, "h2": true, "new": false} {
		if got := restored.MayHaveBeenReplaced(host); got != want {
			t.Errorf("host %s may have been replaced: %v, want %v", host, got, want)
		}
	}
}

func TestOtherAccountCannotEndAJob(t *testing.T) {
	m := newStateMachine(t)
	assertKind(t, m.Apply(job.Command{End: &job.End{JobID: "j", Account: "other"}}), rollout.KindNotFound)
	if m.Jobs["j"].Ended {
		t.Fatal("the job has ended")
	}
}

func TestUnknownItemsAreRefused(t *testing.T) {
	m := newStateMachine(t)
	assertKind(t, m.Apply(finishItem("i9", 0, "x")), rollout.KindNotFound)
}

func TestPageSizeIsLimited(t *testing.T) {
	m := newStateMachine(t)
	big := strings.Repeat("x", 600<<10)
	mustApply(t, m, finishItem("i1", 0, big), finishItem("i2", 0, big))
	if got := len(m.Jobs["j"].Page(0)); got != 1 {
		t.Fatalf("%d results in a page, want 1", got)
	}
	if got := len(m.Jobs["j"].Page(1)); got != 1 {
		t.Fatalf("%d results from position 1, want 1", got)
	}
	if got := m.Jobs["j"].Page(2); got != nil {
		t.Fatalf("results after the last: %v", got)
	}
}

func TestForgetDeletesOnlyOldEndedJobs(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, submit("k", "a", "i3"), job.Command{End: &job.End{JobID: "k", Account: "a"}}, job.Command{Forget: &job.Forget{BeforeMS: 2_000}})
	if m.Jobs["j"] == nil || m.Jobs["k"] != nil {
		t.Fatalf("jobs %v, want only the open one", m.Jobs)
	}
}

func TestVersionsAllowed(t *testing.T) {
	versions := []uint64{3, 4}
	if !job.VersionsAllowed(versions, 3, false) || job.VersionsAllowed(versions, 4, false) || job.VersionsAllowed(versions, 3, true) {
		t.Fatal("VersionsAllowed does not respect minVersion or single")
	}
}

// A host leads twice. A piece from its first term as leader is committed after
// its second term has begun. Both pieces start the text with From 0, so the late
// one would replace the newer one.
func TestPieceOfAnEarlierWriterIsRefused(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, job.Command{Write: &job.SetWriter{Writer: "second"}})
	own := extendText("i1", 0, "1", "2", "3")
	own.Extend.Writer = "second"
	mustApply(t, m, own)
	late := extendText("i1", 0, "1", "2")
	late.Extend.Writer = "first"
	assertKind(t, m.Apply(late), rollout.KindNoAuthority)
	end := finishItem("i1", 1, "4")
	end.Finish.Writer = "first"
	assertKind(t, m.Apply(end), rollout.KindNoAuthority)
	end.Finish.Writer = "second"
	mustApply(t, m, end)
	assertOutputs(t, m, "j", "1\n2\n3\n4")
}

// A replica restored from a snapshot and one that applied the log must treat a
// result after the end of the job alike.
func TestEndedJobAcceptsNoResults(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, finishItem("i1", 0, "x"), job.Command{End: &job.End{JobID: "j", Account: "a"}})
	assertKind(t, m.Apply(finishItem("i2", 0, "y")), rollout.KindNotFound)
	assertOutputs(t, m, "j", "x")
	if m.Jobs["j"].Total != 2 {
		t.Fatalf("total %d, want 2", m.Jobs["j"].Total)
	}
}

// The last piece of an ended job is applied after a new job has started the same
// item, and must not be appended to the new text.
func TestLatePieceOfAnEndedJobIsRefused(t *testing.T) {
	m := newStateMachine(t)
	mustApply(t, m, extendText("i1", 0, "old"), job.Command{End: &job.End{JobID: "j", Account: "a"}}, submit("k", "a", "i1"))
	fresh := extendText("i1", 0, "new")
	fresh.Extend.JobID = "k"
	mustApply(t, m, fresh)
	assertKind(t, m.Apply(extendText("i1", 1, "late")), rollout.KindConflict)
	if got := m.Text(m.Jobs["k"], "i1"); len(got.Chunks) != 1 || string(got.Chunks[0]) != "new" {
		t.Fatalf("text %q", got.Chunks)
	}
}

func TestTextOfUnknownItemIsRefused(t *testing.T) {
	m := newStateMachine(t)
	assertKind(t, m.Apply(extendText("unknown", 0, "e1")), rollout.KindNotFound)
	if len(m.Texts) != 0 {
		t.Fatalf("%d texts are stored, want none", len(m.Texts))
	}
}

// An item may come again in a later job while its earlier job still saves text.
// The text would be forgotten too early if its time of use went back.
func TestTimeOfUseOfTextNeverGoesBack(t *testing.T) {
	m := job.NewStateMachine()
	mustApply(t, m, sharing(submit("j", "a", "i1")))
	later := sharing(submit("k", "a", "i1"))
	later.Submit.SubmittedMS = 5_000
	piece := extendText("i1", 0, "e1")
	piece.Extend.JobID = "k"
	mustApply(t, m, later, piece, extendText("i1", 1, "e2"))
	if got := m.Text(m.Jobs["k"], "i1").UsedMS; got != 5_000 {
		t.Fatalf("text was last used at %d, want 5000", got)
	}
}
