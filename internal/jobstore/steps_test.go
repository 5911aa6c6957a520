package jobstore

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/triage"
)

// waitingRunner returns the runner of a leader whose engines turn all items away.
func waitingRunner(t *testing.T) (*Store, *runner) {
	t.Helper()
	s, _ := newLeader(t, func(rollout.UpstreamRequest, int) *fault { return &fault{status: 503, notRun: true} })
	r, err := s.leadingRunner()
	if err != nil {
		t.Fatal(err)
	}
	return s, r
}

// Guards against a leader that takes over and counts results, abandoned items or stored texts
// as work that is left.
func TestNewLeaderKnowsWhatIsLeftOfAStep(t *testing.T) {
	s, r := waitingRunner(t)
	spec := newSpec("j", 1, "done", "given-up", "begun", "new")
	for i := range spec.Items {
		spec.Items[i].Group, spec.Items[i].ExpectedTokens = "g", 10
	}
	spec.Desired = 1
	s.mu.Lock()
	for _, c := range []job.Command{
		{Submit: &spec},
		{Finish: &job.FinishItem{Writer: r.writer, JobID: "j", Result: job.Result{ItemID: "done", State: job.StateCompleted}}},
		{Finish: &job.FinishItem{Writer: r.writer, JobID: "j", Result: job.Result{ItemID: "given-up", State: job.StateAbandoned}}},
		{Extend: &job.ExtendText{Writer: r.writer, JobID: "j", ItemID: "begun", Piece: job.TextPiece{
			Chunk: s.packer.Pack([]byte("e1\ne2\ne3")), LastID: 3, Versions: []uint64{1}, Software: "v1",
		}}},
	} {
		if err := s.state.Apply(c); err != nil {
			t.Error(err)
		}
	}
	s.mu.Unlock()
	r.openJob("j", 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	got := r.stepOf("j", r.jobs["j"])
	want := []triage.Item{
		{Group: "g", State: triage.StateComplete},
		{Group: "g", State: triage.StateAbandoned},
		{Group: "g", ExpectedTokens: 10, TextTokens: 3},
		{Group: "g", ExpectedTokens: 10},
	}
	if got.Desired != 1 || !got.HasDeadline || got.Pool != "engines" || len(got.Items) != len(want) {
		t.Fatalf("step %+v, want the items %+v", got, want)
	}
	for i := range want {
		// An engine that is about to turn the item away counts as running it.
		if got.Items[i].State == triage.StateRunning {
			got.Items[i].State = triage.StateWaiting
		}
		if got.Items[i] != want[i] {
			t.Errorf("item %d is %+v, want %+v", i, got.Items[i], want[i])
		}
	}
}

// Guards against steps that can't be met and are not reported, or with each ranking.
func TestUnattainableStepIsReportedOnce(t *testing.T) {
	s, r := waitingRunner(t)
	v := testView(nil)
	doc := v.Index.Document
	doc.Version, doc.Routes[0].ResultDeadlineMS = 2, 1
	v.Index = document.NewIndex(doc)
	s.applyView(v)
	if _, err := s.submit(t.Context(), newSpec("j", 1, "i1")); err != nil {
		t.Fatal(err)
	}
	reported := func() float64 {
		families, err := s.opts.Registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for _, f := range families {
			if f.GetName() == "coltsfootspoke_job_unattainable_steps_total" {
				for _, m := range f.GetMetric() {
					sum += m.GetCounter().GetValue()
				}
			}
		}
		return sum
	}
	eventually(t, "a report", func() bool { return reported() > 0 })
	for range 3 {
		r.mu.Lock()
		r.steps.stale = true
		r.rankSteps(s.clock.Now())
		r.mu.Unlock()
	}
	if got := reported(); got != 1 {
		t.Errorf("%v reports of one step, want 1", got)
	}
}
