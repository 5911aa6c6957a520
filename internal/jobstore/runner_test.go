package jobstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// patience ends a test that hangs; no verdict depends on it.
const patience = time.Minute

const eventsPerItem = 5

// fakeEngines generates eventsPerItem events for an item and scores texts.
type fakeEngines struct {
	mu sync.Mutex
	// runs counts the runs of each item and the calls of each scorer.
	runs map[string]int
	// resumed holds the event that the last run of an item went on after.
	resumed map[string]string
	// misbehave is asked before each run. It may return nil.
	misbehave func(x rollout.Exchange, run int) *behaviour
	orders    []rollout.WeightOrder
	// changeOnce lets the version change within the first run of each item.
	changeOnce bool
}

// behaviour replaces that of a sound upstream.
type behaviour struct {
	status int
	notRun bool
	err    error
	// breakAfter is the number of events after which the stream breaks.
	breakAfter int
}

// stream is the body of a fake answer: the events from first to last.
type stream struct {
	io.ReadCloser
	first, last int
	broken      bool
	changes     bool
}

func (f *fakeEngines) Open(_ context.Context, x rollout.Exchange) (rollout.ExchangeResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[x.AttemptID]++
	f.resumed[x.AttemptID] = x.ResumeAfter
	body := stream{ReadCloser: io.NopCloser(strings.NewReader("")), first: 1, last: eventsPerItem}
	if x.ResumeAfter != "" {
		after, _ := strconv.Atoi(x.ResumeAfter)
		body.first = after + 1
	}
	if f.misbehave != nil {
		if b := f.misbehave(x, f.runs[x.AttemptID]); b != nil {
			if b.err != nil {
				return rollout.ExchangeResponse{}, b.err
			}
			if b.breakAfter > 0 {
				body.last, body.broken = b.breakAfter, true
				return rollout.ExchangeResponse{Status: 200, Streaming: true, WeightVersion: 1, Body: body}, nil
			}
			return rollout.ExchangeResponse{Status: b.status, NotRun: b.notRun, Body: body}, nil
		}
	}
	if strings.HasPrefix(x.AttemptID, "score-") {
		return rollout.ExchangeResponse{Status: 200, Stamp: "signed " + x.AttemptID, Body: body}, nil
	}
	if f.changeOnce && f.runs[x.AttemptID] == 1 {
		body.changes = true
	}
	return rollout.ExchangeResponse{Status: 200, Streaming: true, WeightVersion: max(1, x.WeightVersion), Body: body}, nil
}

func (f *fakeEngines) Events(body io.Reader, take func(rollout.StreamEvent)) error {
	s := body.(stream)
	for id := s.first; id <= s.last; id++ {
		e := rollout.StreamEvent{ID: uint64(id), Data: []byte(fmt.Sprintf("e%d", id))}
		if s.changes && id == s.last {
			e.WeightVersion = 2
		}
		take(e)
	}
	if s.broken {
		return errors.New("reset")
	}
	return nil
}

func (f *fakeEngines) Order(_ context.Context, o rollout.WeightOrder) (rollout.OrderOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return rollout.OrderStarted, nil
}

func (f *fakeEngines) Report(context.Context, string) (rollout.EngineReport, error) {
	return rollout.EngineReport{}, nil
}

// newLeader returns a store that is the only member of its quorum, with two
// engines and one scorer.
func newLeader(t *testing.T, misbehave func(x rollout.Exchange, run int) *behaviour) (*Store, *fakeEngines) {
	t.Helper()
	t.Parallel()
	engines := &fakeEngines{runs: make(map[string]int), resumed: make(map[string]string), misbehave: misbehave}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := New(ctx, Options{
		Host: "h", Dir: t.TempDir(), Address: l.Addr().String(), FailureDomain: "d",
		Controls: func() []string { return []string{"127.0.0.1:1"} }, Upstreams: engines, RetentionMS: 1_000, Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	wait.Go(func() { _ = s.Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	// A store founds whatever process it is, also one that was killed before it
	// heard of its founding.
	s.follow(view.Copy{Facts: view.Facts{Founders: []quorum.Member{{ID: s.replica.Status().Member, Address: l.Addr().String()}}}})
	// The watcher knows nothing here, so what follow brings must find a lead
	// that has begun to write.
	eventually(t, "the store leads and writes", func() bool {
		r, err := s.lead()
		if err != nil {
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.writing
	})
	s.follow(known(nil))
	return s, engines
}

// known is what control has decided.
func known(targets map[string]uint64) view.Copy {
	models := []discovery.Model{{Name: "m", Version: 1}}
	c := view.Copy{Upstreams: map[string]discovery.Upstream{
		"a": {ID: "a", Pool: "engines", Address: "a", State: discovery.StateReady, Slots: 4, Born: 1, Models: models},
		"b": {ID: "b", Pool: "engines", Address: "b", State: discovery.StateReady, Slots: 4, Born: 1, Models: models},
		"s": {ID: "s", Pool: "scorers", Address: "s", State: discovery.StateReady, Slots: 4, Born: 1},
	}}
	c.Facts.Versions = targets
	c.Index = document.NewIndex(document.Document{
		Version: 1,
		Pools:   []document.Pool{{Name: "engines", Models: []string{"m"}}, {Name: "scorers"}},
		Routes: []document.Route{
			{Name: "jobs", Host: "h", Prefix: "/j/", Kind: document.RouteJob, MaxAttempts: 2, ResultDeadlineMS: 60_000, MaxQueueMS: 120_000, Split: []document.Share{{Pool: "engines", Weight: 1}}},
			{Name: "single", Host: "h", Prefix: "/o/", Kind: document.RouteJob, SingleVersion: true, MaxAttempts: 2, ResultDeadlineMS: 60_000, MaxQueueMS: 120_000, Split: []document.Share{{Pool: "engines", Weight: 1}}},
			{Name: "scores", Host: "h", Prefix: "/s/", Kind: document.RouteIdempotent, MaxAttempts: 2, Split: []document.Share{{Pool: "scorers", Weight: 1}}},
		},
	})
	return c
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func newSpec(id string, minVersion uint64, items ...string) job.Spec {
	spec := job.Spec{ID: id, Account: "acc", Route: "jobs", Host: "h", Model: "m", MinVersion: minVersion, SubmittedMS: 1}
	for _, it := range items {
		spec.Items = append(spec.Items, job.Item{ID: it, Path: "/j/" + it, Scorer: &job.Scorer{ID: "score-" + it, Host: "h", Path: "/s/x"}})
	}
	return spec
}

// results submits a job and returns its results once all items have one.
func results(t *testing.T, s *Store, spec job.Spec) map[string]Result {
	t.Helper()
	if _, err := s.submit(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
	var page Page
	eventually(t, "all results", func() bool {
		var err error
		page, err = s.read(t.Context(), ReadRequest{JobID: spec.ID, Account: "acc"})
		return err == nil && len(page.Results) == len(spec.Items)
	})
	byItem := make(map[string]Result)
	for _, r := range page.Results {
		byItem[r.ItemID] = r
	}
	return byItem
}

func assertCompleted(t *testing.T, r Result) {
	t.Helper()
	if r.State != job.StateCompleted || r.Output != "e1\ne2\ne3\ne4\ne5" || r.Score != "signed score-"+r.ItemID {
		t.Fatalf("result %+v", r)
	}
}

func assertRuns(t *testing.T, f *fakeEngines, id string, want int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs[id] != want {
		t.Fatalf("%s ran %d times, want %d", id, f.runs[id], want)
	}
}

func TestItemsRunAndAreScored(t *testing.T) {
	s, f := newLeader(t, nil)
	for id, r := range results(t, s, newSpec("j", 1, "i1", "i2", "i3")) {
		assertCompleted(t, r)
		assertRuns(t, f, id, 1)
	}
}

func TestBrokenStreamIsResumed(t *testing.T) {
	s, f := newLeader(t, func(x rollout.Exchange, run int) *behaviour {
		if x.AttemptID == "i1" && run == 1 {
			return &behaviour{breakAfter: 3}
		}
		return nil
	})
	assertCompleted(t, results(t, s, newSpec("j", 1, "i1"))["i1"])
	if f.resumed["i1"] != "3" {
		t.Fatalf("went on after %q, want 3", f.resumed["i1"])
	}
}

func TestItemThatFailsAtEachRunIsAbandoned(t *testing.T) {
	s, f := newLeader(t, func(x rollout.Exchange, _ int) *behaviour {
		if x.AttemptID == "i1" {
			return &behaviour{status: 500}
		}
		return nil
	})
	if r := results(t, s, newSpec("j", 1, "i1"))["i1"]; r.State != job.StateAbandoned {
		t.Fatalf("result %+v", r)
	}
	assertRuns(t, f, "i1", 2)
}

func TestItemThatCanNeverBeDoneIsAbandonedAtOnce(t *testing.T) {
	s, f := newLeader(t, func(x rollout.Exchange, _ int) *behaviour {
		if x.AttemptID == "i1" {
			return &behaviour{status: 422}
		}
		return nil
	})
	if r := results(t, s, newSpec("j", 1, "i1"))["i1"]; r.State != job.StateAbandoned {
		t.Fatalf("result %+v", r)
	}
	assertRuns(t, f, "i1", 1)
}

func TestRefusalsDoNotCountAsFailures(t *testing.T) {
	s, _ := newLeader(t, func(x rollout.Exchange, run int) *behaviour {
		if x.AttemptID == "i1" && run <= 4 {
			return &behaviour{status: 503, notRun: true}
		}
		return nil
	})
	assertCompleted(t, results(t, s, newSpec("j", 1, "i1"))["i1"])
}

func TestScorerThatFailsIsAskedAgain(t *testing.T) {
	s, _ := newLeader(t, func(x rollout.Exchange, run int) *behaviour {
		if x.AttemptID == "score-i1" && run == 1 {
			return &behaviour{status: 500}
		}
		return nil
	})
	assertCompleted(t, results(t, s, newSpec("j", 1, "i1"))["i1"])
}

func TestItemWhoseScorerAlwaysFailsIsAbandoned(t *testing.T) {
	s, f := newLeader(t, func(x rollout.Exchange, _ int) *behaviour {
		if x.AttemptID == "score-i1" {
			return &behaviour{status: 500}
		}
		return nil
	})
	if r := results(t, s, newSpec("j", 1, "i1"))["i1"]; r.State != job.StateAbandoned {
		t.Fatalf("result %+v", r)
	}
	assertRuns(t, f, "score-i1", 2)
}

func TestItemThatComesAgainKeepsItsText(t *testing.T) {
	s, f := newLeader(t, nil)
	_ = results(t, s, newSpec("j", 1, "i1"))
	assertCompleted(t, results(t, s, newSpec("k", 1, "i1"))["i1"])
	assertRuns(t, f, "i1", 1)
}

func TestItemThatComesAgainForANewerVersionRunsAgain(t *testing.T) {
	s, f := newLeader(t, nil)
	_ = results(t, s, newSpec("j", 1, "i1"))
	s.follow(known(map[string]uint64{"m": 2}))
	r := results(t, s, newSpec("k", 2, "i1"))["i1"]
	assertCompleted(t, r)
	if len(r.Versions) != 1 || r.Versions[0] != 2 {
		t.Fatalf("versions %v, want 2", r.Versions)
	}
	assertRuns(t, f, "i1", 2)
}

func TestSampleOfTwoVersionsIsMadeAgainWhereOneIsAsked(t *testing.T) {
	for route, runs := range map[string]int{"jobs": 1, "single": 2} {
		t.Run(route, func(t *testing.T) {
			s, f := newLeader(t, nil)
			f.mu.Lock()
			f.changeOnce = true
			f.mu.Unlock()
			spec := newSpec("j", 1, "i1")
			spec.Route = route
			r := results(t, s, spec)["i1"]
			assertCompleted(t, r)
			assertRuns(t, f, "i1", runs)
			if route == "single" && len(r.Versions) != 1 {
				t.Fatalf("versions %v", r.Versions)
			}
		})
	}
}

func TestEndedJobRunsNoMore(t *testing.T) {
	s, f := newLeader(t, func(x rollout.Exchange, _ int) *behaviour {
		if x.AttemptID == "i1" {
			return &behaviour{status: 503, notRun: true}
		}
		return nil
	})
	if _, err := s.submit(t.Context(), newSpec("j", 1, "i1")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a run", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["i1"] > 0 })
	for range 2 {
		if _, err := s.end(t.Context(), EndRequest{JobID: "j", Account: "acc"}); err != nil {
			t.Fatal(err)
		}
	}
	s.mu.Lock()
	r := s.runner
	s.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sched.Waiting() != 0 || len(r.jobs) != 0 {
		t.Fatalf("%d tasks wait after the end", r.sched.Waiting())
	}
}

func TestOrdersCarryHolderAndTerm(t *testing.T) {
	s, f := newLeader(t, nil)
	s.follow(known(map[string]uint64{"m": 2}))
	eventually(t, "orders to both engines", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.orders) == 2 })
	for _, o := range f.orders {
		if o.Holder != "h" || o.Fencing != s.replica.Status().Term || o.Version != 2 {
			t.Fatalf("order %+v", o)
		}
	}
}

func TestUnknownJobsAndOtherAccountsAreNotFound(t *testing.T) {
	s, _ := newLeader(t, nil)
	_ = results(t, s, newSpec("j", 1, "i1"))
	for _, req := range []ReadRequest{{JobID: "none", Account: "acc"}, {JobID: "j", Account: "other"}} {
		if _, err := s.read(t.Context(), req); err == nil || rollout.AsError(err).Kind != rollout.KindNotFound {
			t.Fatalf("%+v: error %v", req, err)
		}
	}
	if _, err := s.body(t.Context(), BodyRequest{JobID: "j", Account: "acc", ItemID: "none"}); err == nil {
		t.Fatal("body of an unknown item")
	}
}
