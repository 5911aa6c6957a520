package jobstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// testTimeout ends a test that hangs. A passing test does not depend on it.
const testTimeout = time.Minute

const eventsPerItem = 5

// fakeEngines generates eventsPerItem events for each item and acts as the
// scorer.
type fakeEngines struct {
	mu sync.Mutex
	// runs counts the runs of each item and the calls with each scorer ID.
	runs map[string]int
	// resumedAfter holds the event ID after which the last run of each item
	// resumed.
	resumedAfter map[string]string
	// faultFor returns the fault of a run, or nil. It may be nil itself.
	faultFor func(x rollout.UpstreamRequest, run int) *fault
	orders   []rollout.WeightOrder
	// scorerCalls is the number of calls to the scorer that run, and
	// mostScorerCalls the largest such number.
	scorerCalls, mostScorerCalls int
	// scoreDelay is how long a call to the scorer takes.
	scoreDelay time.Duration
	// changeVersionOnce makes the weight version change within the first run of
	// each item.
	changeVersionOnce bool
}

// fault replaces the normal response of an upstream.
type fault struct {
	status int
	notRun bool
	// misdirected is true if the engine serves another weight version or is
	// another one.
	misdirected bool
	// leaving makes the engine say that it leaves, beside a normal response if there
	// is no status.
	leaving bool
	err     error
	// breakAfter is the number of events after which the stream breaks, or 0 for
	// no stream.
	breakAfter int
	// ids are those of the events of the stream, or nil. It ends as complete unless breakAfter
	// is set.
	ids []uint64
}

// fakeStream is the body of a fake response: the events from first to last.
type fakeStream struct {
	io.ReadCloser
	first, last    int
	broken         bool
	changesVersion bool
	ids            []uint64
}

func (f *fakeEngines) SendRequest(_ context.Context, x rollout.UpstreamRequest) (rollout.UpstreamResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[x.AttemptID]++
	f.resumedAfter[x.AttemptID] = x.ResumeAfter
	body := fakeStream{ReadCloser: io.NopCloser(strings.NewReader("")), first: 1, last: eventsPerItem}
	if x.ResumeAfter != "" {
		after, _ := strconv.Atoi(x.ResumeAfter)
		body.first = after + 1
	}
	if f.faultFor != nil {
		if ft := f.faultFor(x, f.runs[x.AttemptID]); ft != nil {
			if ft.err != nil {
				return rollout.UpstreamResponse{}, ft.err
			}
			if ft.ids != nil {
				body.ids, body.broken = ft.ids, ft.breakAfter > 0
				return rollout.UpstreamResponse{Status: 200, Streaming: true, WeightVersion: 1, Body: body}, nil
			}
			if ft.breakAfter > 0 {
				body.last, body.broken = ft.breakAfter, true
				return rollout.UpstreamResponse{Status: 200, Streaming: true, WeightVersion: 1, Body: body}, nil
			}
			if ft.leaving {
				return rollout.UpstreamResponse{Status: 200, Streaming: true, WeightVersion: 1, Leaving: true, Body: body}, nil
			}
			return rollout.UpstreamResponse{Status: ft.status, NotRun: ft.notRun, Misdirected: ft.misdirected, Body: body}, nil
		}
	}
	if strings.HasPrefix(x.AttemptID, "score-") {
		f.waitForScore()
		return rollout.UpstreamResponse{Status: 200, Stamp: "signed " + x.AttemptID, Body: body}, nil
	}
	if f.changeVersionOnce && f.runs[x.AttemptID] == 1 {
		body.changesVersion = true
	}
	return rollout.UpstreamResponse{Status: 200, Streaming: true, WeightVersion: max(1, x.WeightVersion), Body: body}, nil
}

// waitForScore takes scoreDelay. The caller holds f.mu, which is released
// meanwhile.
func (f *fakeEngines) waitForScore() {
	f.scorerCalls++
	f.mostScorerCalls = max(f.mostScorerCalls, f.scorerCalls)
	f.mu.Unlock()
	time.Sleep(f.scoreDelay)
	f.mu.Lock()
	f.scorerCalls--
}

func (f *fakeEngines) ReadEvents(body io.Reader, handle func(rollout.StreamEvent)) error {
	s := body.(fakeStream)
	if s.ids != nil {
		for _, id := range s.ids {
			handle(rollout.StreamEvent{ID: id, Data: []byte(fmt.Sprintf("e%d", id))})
		}
		if s.broken {
			return errors.New("reset")
		}
		return nil
	}
	for id := s.first; id <= s.last; id++ {
		e := rollout.StreamEvent{ID: uint64(id), Data: []byte(fmt.Sprintf("e%d", id))}
		if s.changesVersion && id == s.last {
			e.WeightVersion = 2
		}
		handle(e)
	}
	if s.broken {
		return errors.New("reset")
	}
	return nil
}

// ReadRawEvents implements rollout.UpstreamClient. The store does not use it.
func (f *fakeEngines) ReadRawEvents(io.Reader, func(uint64, []byte) error) error { return nil }

func (f *fakeEngines) SendWeightOrder(_ context.Context, o rollout.WeightOrder) (rollout.WeightOrderReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return rollout.WeightOrderReply{Outcome: rollout.WeightOrderStarted}, nil
}

// IsListening implements rollout.UpstreamClient. All engines keep running.
func (f *fakeEngines) IsListening(context.Context, string) (bool, error) { return true, nil }

func (f *fakeEngines) FetchReport(context.Context, string) (rollout.EngineReport, error) {
	return rollout.EngineReport{}, nil
}

// newLeader returns the leader of a quorum of one member, with two engines and
// one scorer.
func newLeader(t *testing.T, faultFor func(x rollout.UpstreamRequest, run int) *fault) (*Store, *fakeEngines) {
	t.Helper()
	t.Parallel()
	engines := newFakeEngines(faultFor)
	s, _ := startLeader(t, t.TempDir(), engines)
	return s, engines
}

func newFakeEngines(faultFor func(x rollout.UpstreamRequest, run int) *fault) *fakeEngines {
	return &fakeEngines{runs: make(map[string]int), resumedAfter: make(map[string]string), faultFor: faultFor}
}

// startLeader starts the leader of a quorum of one member on a data directory. The returned
// function stops it.
func startLeader(t *testing.T, dir string, engines *fakeEngines) (*Store, func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := New(ctx, Options{
		Host: "h", Dir: dir, Address: l.Addr().String(), FailureDomain: "d", Regions: testRegions,
		Controls: func() []string { return []string{"127.0.0.1:1"} }, Upstreams: engines, RetentionMS: 1_000, Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	// No control host confirms the view of the test.
	s.confirmCopy = func(context.Context, rollout.Millis) error { return nil }
	var wait sync.WaitGroup
	wait.Go(func() { _ = s.Serve(ctx, l) })
	stop := func() {
		cancel()
		wait.Wait()
	}
	t.Cleanup(stop)
	// A blank store whose member ID is among the founders founds the quorum, even
	// if an earlier process of the host was killed before it learned of this.
	s.applyView(view.State{Facts: view.Facts{Founders: []quorum.Member{{ID: s.replica.Status().Member, Address: l.Addr().String()}}}})
	eventually(t, "the store leads and is the writer", func() bool {
		r, err := s.leadingRunner()
		if err != nil {
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.isWriter
	})
	s.applyView(testView(nil))
	return s, stop
}

// testView returns a view with two engines, one scorer and the given target
// versions.
func testView(targets map[string]uint64) view.State {
	models := []discovery.Model{{Name: "m", Version: 1}}
	v := view.State{Upstreams: map[string]discovery.Upstream{
		"a": {ID: "a", Pool: "engines", Address: "a", State: discovery.StateReady, Slots: 4, Born: 1, Software: "v1", Models: models},
		"b": {ID: "b", Pool: "engines", Address: "b", State: discovery.StateReady, Slots: 4, Born: 1, Software: "v1", Models: models},
		"s": {ID: "s", Pool: "scorers", Address: "s", State: discovery.StateReady, Slots: 4, Born: 1},
	}}
	v.Facts.Versions = targets
	v.Index = document.NewIndex(document.Document{
		Version: 1,
		Pools:   []document.Pool{{Name: "engines", Models: []string{"m"}}, {Name: "scorers"}},
		Routes: []document.Route{
			{Name: "jobs", Host: "h", Prefix: "/j/", Kind: document.RouteJob, MaxAttempts: 2, ResultDeadlineMS: 60_000, MaxQueueMS: 120_000, Split: []document.Share{{Pool: "engines", Weight: 1}}},
			{Name: "single", Host: "h", Prefix: "/o/", Kind: document.RouteJob, SingleVersion: true, MaxAttempts: 2, ResultDeadlineMS: 60_000, MaxQueueMS: 120_000, Split: []document.Share{{Pool: "engines", Weight: 1}}},
			{Name: "scores", Host: "h", Prefix: "/s/", Kind: document.RouteIdempotent, MaxAttempts: 2, Split: []document.Share{{Pool: "scorers", Weight: 1}}},
		},
	})
	return v
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
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

// submitJob submits a job, again if there is no leader, as entries do: the lease lapses when the
// test process is not scheduled for some time.
func submitJob(t *testing.T, s *Store, spec job.Spec) {
	t.Helper()
	eventually(t, "the job is accepted", func() bool {
		_, err := s.submit(t.Context(), spec)
		if err != nil && !slices.Contains([]rollout.Kind{rollout.KindNotLeader, rollout.KindUnavailable}, rollout.AsError(err).Kind) {
			t.Fatal(err)
		}
		return err == nil
	})
}

// runJob submits a job and returns its results by item ID once all items have
// one.
func runJob(t *testing.T, s *Store, spec job.Spec) map[string]Result {
	t.Helper()
	submitJob(t, s, spec)
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
		t.Fatalf("result %+v, want completed with all events and the score", r)
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
	for id, r := range runJob(t, s, newSpec("j", 1, "i1", "i2", "i3")) {
		assertCompleted(t, r)
		assertRuns(t, f, id, 1)
	}
}

// startNextRunner starts another runner of a store, as after its lease has lapsed.
func startNextRunner(t *testing.T, s *Store) (next *runner) {
	t.Helper()
	first, err := s.leadingRunner()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { s.runAsLeader(ctx, first.term) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	eventually(t, "the next runner is the writer", func() bool {
		if next, err = s.leadingRunner(); err != nil || next == first {
			return false
		}
		next.mu.Lock()
		defer next.mu.Unlock()
		return next.isWriter
	})
	return next
}

// Guards against a step that ends late because the next leader puts its longest texts on slower
// hardware: it must know the paces that the former one has measured.
func TestNextRunnerKnowsPacesOfEngines(t *testing.T) {
	s, _ := newLeader(t, nil)
	first, err := s.leadingRunner()
	if err != nil {
		t.Fatal(err)
	}
	want := dispatch.Paces{{ID: "a", Born: 1}: 48, {ID: "b", Born: 1}: 64}
	first.recordPaces(t.Context(), want)
	next := startNextRunner(t, s)
	eventually(t, "the next runner has the engines", func() bool {
		next.mu.Lock()
		defer next.mu.Unlock()
		return len(next.upstreams) > 0
	})
	next.mu.Lock()
	defer next.mu.Unlock()
	if got := next.sched.Paces(); got.DiffersFrom(want) {
		t.Fatalf("paces %v, want %v", got, want)
	}
}

// Guards against items that are never placed: the lease of a leader lapses, and the same host
// leads again without a change of its view.
func TestNextRunnerOfHostRunsItems(t *testing.T) {
	s, _ := newLeader(t, nil)
	startNextRunner(t, s)
	for _, r := range runJob(t, s, newSpec("j", 1, "i1", "i2")) {
		assertCompleted(t, r)
	}
}

// The items of a step end in bursts. Their calls to the scorer must leave slots
// for callers, who use the same upstreams.
func TestLookupsKeepSlotsBesideScorerBursts(t *testing.T) {
	s, f := newLeader(t, nil)
	f.scoreDelay = 20 * time.Millisecond
	var items []string
	for i := range 16 {
		items = append(items, fmt.Sprintf("i%d", i))
	}
	for _, r := range runJob(t, s, newSpec("j", 1, items...)) {
		assertCompleted(t, r)
	}
	const slots = 4
	if f.mostScorerCalls > slots/2 {
		t.Fatalf("%d of %d slots were taken by calls to the scorer, want at most %d", f.mostScorerCalls, slots, slots/2)
	}
}

func TestBrokenStreamIsResumed(t *testing.T) {
	s, f := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
		if x.AttemptID == "i1" && run == 1 {
			return &fault{breakAfter: 3}
		}
		return nil
	})
	assertCompleted(t, runJob(t, s, newSpec("j", 1, "i1"))["i1"])
	if f.resumedAfter["i1"] != "3" {
		t.Fatalf("resumed after %q, want 3", f.resumedAfter["i1"])
	}
}

func TestItemIsAbandonedAfterMaxAttempts(t *testing.T) {
	s, f := newLeader(t, func(x rollout.UpstreamRequest, _ int) *fault {
		if x.AttemptID == "i1" {
			return &fault{status: 500}
		}
		return nil
	})
	if r := runJob(t, s, newSpec("j", 1, "i1"))["i1"]; r.State != job.StateAbandoned {
		t.Fatalf("result %+v, want abandoned", r)
	}
	assertRuns(t, f, "i1", 2)
}

func TestUnprocessableItemIsAbandonedAtOnce(t *testing.T) {
	s, f := newLeader(t, func(x rollout.UpstreamRequest, _ int) *fault {
		if x.AttemptID == "i1" {
			return &fault{status: 422}
		}
		return nil
	})
	if r := runJob(t, s, newSpec("j", 1, "i1"))["i1"]; r.State != job.StateAbandoned {
		t.Fatalf("result %+v, want abandoned", r)
	}
	assertRuns(t, f, "i1", 1)
}

func TestRejectedRunsDoNotCountAsFailures(t *testing.T) {
	s, _ := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
		if x.AttemptID == "i1" && run <= 4 {
			return &fault{status: 503, notRun: true}
		}
		return nil
	})
	assertCompleted(t, runJob(t, s, newSpec("j", 1, "i1"))["i1"])
}

func TestFailedScorerCallIsRetried(t *testing.T) {
	s, _ := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
		if x.AttemptID == "score-i1" && run == 1 {
			return &fault{status: 500}
		}
		return nil
	})
	assertCompleted(t, runJob(t, s, newSpec("j", 1, "i1"))["i1"])
}

func TestItemIsAbandonedAfterMaxScorerFailures(t *testing.T) {
	s, f := newLeader(t, func(x rollout.UpstreamRequest, _ int) *fault {
		if x.AttemptID == "score-i1" {
			return &fault{status: 500}
		}
		return nil
	})
	if r := runJob(t, s, newSpec("j", 1, "i1"))["i1"]; r.State != job.StateAbandoned {
		t.Fatalf("result %+v, want abandoned", r)
	}
	assertRuns(t, f, "score-i1", 2)
}

func TestResubmittedItemReusesText(t *testing.T) {
	s, f := newLeader(t, nil)
	_ = runJob(t, s, newSpec("j", 1, "i1"))
	assertCompleted(t, runJob(t, s, newSpec("k", 1, "i1"))["i1"])
	assertRuns(t, f, "i1", 1)
}

func TestResubmittedItemRunsAgainForNewerVersion(t *testing.T) {
	s, f := newLeader(t, nil)
	_ = runJob(t, s, newSpec("j", 1, "i1"))
	s.applyView(testView(map[string]uint64{"m": 2}))
	r := runJob(t, s, newSpec("k", 2, "i1"))["i1"]
	assertCompleted(t, r)
	if len(r.Versions) != 1 || r.Versions[0] != 2 {
		t.Fatalf("versions %v, want 2", r.Versions)
	}
	assertRuns(t, f, "i1", 2)
}

func TestMixedVersionSampleRunsAgainOnSingleVersionRoute(t *testing.T) {
	for route, runs := range map[string]int{"jobs": 1, "single": 2} {
		t.Run(route, func(t *testing.T) {
			s, f := newLeader(t, nil)
			f.mu.Lock()
			f.changeVersionOnce = true
			f.mu.Unlock()
			spec := newSpec("j", 1, "i1")
			spec.Route = route
			r := runJob(t, s, spec)["i1"]
			assertCompleted(t, r)
			assertRuns(t, f, "i1", runs)
			if route == "single" && len(r.Versions) != 1 {
				t.Fatalf("versions %v, want one", r.Versions)
			}
		})
	}
}

func TestEndedJobIsRemovedFromQueue(t *testing.T) {
	s, f := newLeader(t, func(x rollout.UpstreamRequest, _ int) *fault {
		if x.AttemptID == "i1" {
			return &fault{status: 503, notRun: true}
		}
		return nil
	})
	submitJob(t, s, newSpec("j", 1, "i1"))
	eventually(t, "a run of the item", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["i1"] > 0 })
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
		t.Fatalf("%d queued tasks and %d open jobs after the end, want none", r.sched.Waiting(), len(r.jobs))
	}
}

func TestOrdersIncludeHolderAndTerm(t *testing.T) {
	s, f := newLeader(t, nil)
	s.applyView(testView(map[string]uint64{"m": 2}))
	eventually(t, "orders to both engines", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.orders) == 2 })
	for _, o := range f.orders {
		if o.Holder != "h" || o.Fencing != s.replica.Status().Term || o.Version != 2 {
			t.Fatalf("order %+v, want version 2 with the holder and term of the leader", o)
		}
	}
}

func TestUnknownJobsAndOtherAccountsAreNotFound(t *testing.T) {
	s, _ := newLeader(t, nil)
	_ = runJob(t, s, newSpec("j", 1, "i1"))
	for _, req := range []ReadRequest{{JobID: "none", Account: "acc"}, {JobID: "j", Account: "other"}} {
		if _, err := s.read(t.Context(), req); err == nil || rollout.AsError(err).Kind != rollout.KindNotFound {
			t.Fatalf("%+v: error %v, want not found", req, err)
		}
	}
	if _, err := s.body(t.Context(), BodyRequest{JobID: "j", Account: "acc", ItemID: "none"}); err == nil {
		t.Fatal("body of an unknown item returned no error")
	}
}

func TestItemWithoutScorerRouteIsAbandonedAfterMaxQueue(t *testing.T) {
	s, f := newLeader(t, nil)
	v := testView(nil)
	v.Index.Document.Version++
	v.Index.Document.Routes[0].MaxQueueMS = 400
	v.Index = document.NewIndex(v.Index.Document)
	s.applyView(v)
	spec := newSpec("j", 1, "i1")
	spec.Items[0].Scorer.Path = "/none/x"
	if r := runJob(t, s, spec)["i1"]; r.State != job.StateAbandoned {
		t.Fatalf("result %+v, want abandoned", r)
	}
	assertRuns(t, f, "score-i1", 0)
}

// withoutRoute returns a view without a route.
func withoutRoute(v view.State, name string) view.State {
	d := v.Index.Document
	d.Version--
	d.Routes = slices.DeleteFunc(slices.Clone(d.Routes), func(r document.Route) bool { return r.Name == name })
	v.Index = document.NewIndex(d)
	return v
}

// withPool returns a view in which a route leads to another pool, and an engine of it.
func withPool(v view.State, route, pool string) view.State {
	d := v.Index.Document
	d.Version++
	d.Pools = append(slices.Clone(d.Pools), document.Pool{Name: pool, Models: []string{"m"}})
	d.Routes = slices.Clone(d.Routes)
	for i := range d.Routes {
		if d.Routes[i].Name == route {
			d.Routes[i].Split = []document.Share{{Pool: pool, Weight: 1}}
		}
	}
	v.Index = document.NewIndex(d)
	v.Upstreams["new"] = discovery.Upstream{ID: "new", Pool: pool, Address: "new", State: discovery.StateReady, Slots: 4, Born: 1, Models: []discovery.Model{{Name: "m", Version: 1}}}
	return v
}

// Guards against items that are never placed: an entry with a newer copy of the
// configuration accepted the job, and the store's copy did not have its route yet.
func TestJobOfRouteThatArrivesLaterRuns(t *testing.T) {
	s, _ := newLeader(t, nil)
	s.applyView(withoutRoute(testView(nil), "jobs"))
	time.AfterFunc(200*time.Millisecond, func() { s.applyView(testView(nil)) })
	for id, r := range runJob(t, s, newSpec("j", 1, "i1", "i2")) {
		t.Run(id, func(t *testing.T) { assertCompleted(t, r) })
	}
}

// Guards against items that run at the pool of an old copy of the configuration.
func TestQueuedItemsFollowRouteToItsNewPool(t *testing.T) {
	var addresses sync.Map
	s, _ := newLeader(t, func(x rollout.UpstreamRequest, _ int) *fault {
		addresses.Store(x.AttemptID, x.Address)
		return nil
	})
	blocked := testView(nil)
	for id, u := range blocked.Upstreams {
		if u.Pool == "engines" {
			u.State = discovery.StateDraining
			blocked.Upstreams[id] = u
		}
	}
	s.applyView(blocked)
	time.AfterFunc(200*time.Millisecond, func() { s.applyView(withPool(testView(nil), "jobs", "new engines")) })
	for id := range runJob(t, s, newSpec("j", 1, "i1", "i2")) {
		if address, _ := addresses.Load(id); address != "new" {
			t.Errorf("item %s ran at %v, want the engine of the new pool", id, address)
		}
	}
}

// The steps of a trainer overlap. After a change of the leader, the items of an
// earlier step must still come before those of a later one.
func TestEarlierStepsStayFirstAfterChangeOfLeader(t *testing.T) {
	s, _ := newLeader(t, nil)
	s.mu.Lock()
	for id, submittedMS := range map[string]rollout.Millis{"late": 9_000, "early": 1_000, "middle": 5_000} {
		spec := newSpec(id, 1, "i-"+id)
		spec.SubmittedMS = submittedMS
		if err := s.state.Apply(job.Command{Submit: &spec}); err != nil {
			t.Fatal(err)
		}
	}
	s.mu.Unlock()
	ids, agesMS := s.openJobs()
	if !slices.Equal(ids, []string{"early", "middle", "late"}) || !slices.Equal(agesMS, []rollout.Millis{8_000, 4_000, 0}) {
		t.Fatalf("jobs %v of ages %v, want early, middle, late of 8000, 4000, 0", ids, agesMS)
	}
	r, err := s.leadingRunner()
	if err != nil {
		t.Fatal(err)
	}
	due := make(map[string]rollout.Millis)
	for i, id := range ids {
		r.openJob(id, agesMS[i])
		r.mu.Lock()
		due[id] = r.jobs[id][0].dueMS
		r.mu.Unlock()
	}
	if due["early"] >= due["middle"] || due["middle"] >= due["late"] {
		t.Fatalf("due at %v, want early before middle before late", due)
	}
}

// A trainer needs to know which versions made its samples. A run that broke off
// goes on at an engine that has loaded newer weights meanwhile.
func TestVersionsOfResumedRunAreThoseOfItsEvents(t *testing.T) {
	var loaded atomic.Bool
	s, f := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
		switch {
		case x.AttemptID != "i1":
			return nil
		case run == 1:
			return &fault{breakAfter: 2}
		case !loaded.Load():
			return &fault{status: 503, notRun: true}
		}
		return nil
	})
	submitJob(t, s, newSpec("j", 1, "i1"))
	eventually(t, "a run that breaks off", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["i1"] > 1 })
	s.applyView(testView(map[string]uint64{"m": 2}))
	// A job that allows only the new version makes both engines load it.
	_ = runJob(t, s, newSpec("other", 2, "i2"))
	eventually(t, "orders to both engines", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.orders) == 2 })
	loaded.Store(true)
	var page Page
	eventually(t, "the result", func() bool {
		var err error
		page, err = s.read(t.Context(), ReadRequest{JobID: "j", Account: "acc"})
		return err == nil && len(page.Results) == 1
	})
	assertCompleted(t, page.Results[0])
	if !slices.Equal(page.Results[0].Versions, []uint64{1, 2}) {
		t.Fatalf("versions %v, want 1 and 2", page.Results[0].Versions)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumedAfter["i1"] != "2" {
		t.Fatalf("resumed after %q, want 2", f.resumedAfter["i1"])
	}
}

// An engine whose weights have changed turns a run away. The item must neither
// fail for that nor stay at that engine.
func TestItemRunsElsewhereWhenEngineServesAnotherVersion(t *testing.T) {
	s, f := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
		if x.AttemptID == "i1" && run <= 3 {
			return &fault{status: 421, notRun: true, misdirected: true}
		}
		return nil
	})
	assertCompleted(t, runJob(t, s, newSpec("j", 1, "i1"))["i1"])
	assertRuns(t, f, "i1", 4)
}

// Guards against items that reach an engine after it has said that it leaves (DRAIN).
func TestLeavingEngineGetsNoMoreItems(t *testing.T) {
	var runsOfA atomic.Int32
	s, _ := newLeader(t, func(x rollout.UpstreamRequest, _ int) *fault {
		if x.Address != "a" {
			return nil
		}
		runsOfA.Add(1)
		return &fault{leaving: true}
	})
	for step := range 6 {
		for _, r := range runJob(t, s, newSpec(fmt.Sprintf("j%d", step), 1, fmt.Sprintf("i%d", step))) {
			assertCompleted(t, r)
		}
	}
	if got := runsOfA.Load(); got > 1 {
		t.Fatalf("%d items went to the leaving engine, want one at most", got)
	}
	if _, marked := s.balancer.Leaving().Report(); runsOfA.Load() == 1 && !slices.Equal(marked, []discovery.Incarnation{{ID: "a", Born: 1}}) {
		t.Fatalf("reported to control: %v, want a", marked)
	}
}

// Guards against a body that arrives cut, and against one that takes the memory of a host when it
// is read whole. Entries of earlier releases get it whole.
func TestBodyIsReadInParts(t *testing.T) {
	s, _ := newLeader(t, nil)
	spec := newSpec("j", 1, "i")
	spec.Items[0].Body = []byte(strings.Repeat("b", 2*bodyPartBytes+1))
	submitJob(t, s, spec)
	read := func(req BodyRequest) (body Body) {
		eventually(t, "the leader answers", func() bool {
			var err error
			body, err = s.body(t.Context(), req)
			return err == nil
		})
		return body
	}
	req := BodyRequest{JobID: "j", Account: spec.Account, ItemID: "i", InParts: true}
	var got []byte
	for range 4 {
		body := read(req)
		if len(body.Bytes) > bodyPartBytes || body.Total != len(spec.Items[0].Body) {
			t.Fatalf("part at %d: %d bytes of %d", req.Offset, len(body.Bytes), body.Total)
		}
		got = append(got, body.Bytes...)
		req.Offset = len(got)
	}
	if string(got) != string(spec.Items[0].Body) {
		t.Errorf("got %d bytes, want %d", len(got), len(spec.Items[0].Body))
	}
	if body := read(BodyRequest{JobID: "j", Account: spec.Account, ItemID: "i"}); len(body.Bytes) != len(got) {
		t.Errorf("got %d bytes for an earlier release, want %d", len(body.Bytes), len(got))
	}
}
