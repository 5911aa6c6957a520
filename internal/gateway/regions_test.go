package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/jobstore"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// testRegions has two regions of one failure domain each, and w2 in the region of the entry.
var testRegions = map[string]string{"e1": "east", "n1": "north", "w1": "west", "w2": "west"}

// newRegionGateway returns an entry in the failure domain w1 that follows a control host.
func newRegionGateway(t *testing.T, c *controlHost, u rollout.UpstreamClient, log *zap.Logger) *Gateway {
	t.Helper()
	g := New(Options{
		Log: log, Registry: prometheus.NewRegistry(), WindowMS: 1_000, ApplyMS: testApplyMS, FailureDomain: "w1", Regions: testRegions,
		Controls: func() []string { return []string{c.address} }, Upstreams: u,
	})
	runUntilEnd(t, func(ctx context.Context) { _ = g.Run(ctx) })
	for !g.Ready() {
		time.Sleep(time.Millisecond)
	}
	return g
}

// regionDocument has a route and an account with the given regions.
func regionDocument(route, account []string) document.Document {
	return document.Document{
		Version:  1,
		Pools:    []document.Pool{{Name: "p"}, {Name: "q"}},
		Accounts: []document.Account{{Name: "farm", Keys: []string{"key"}, Regions: account}},
		Routes: []document.Route{{
			Name: "chat", Host: "h", Prefix: "/", Streaming: true, Resumable: true, MaxAttempts: 4, Regions: route,
			Split: []document.Share{{Pool: "p", Weight: 1}},
		}},
	}
}

// regionUpstreams returns an upstream of a pool in each of some failure domains, whose name
// is its ID.
func regionUpstreams(pool string, domains ...string) []discovery.Upstream {
	var us []discovery.Upstream
	for _, d := range domains {
		us = append(us, discovery.Upstream{
			ID: d, Pool: pool, Address: d, FailureDomain: d, State: discovery.StateReady, Slots: 4, Born: 1, Software: "v1", Revision: 1, RoutingRevision: 1,
		})
	}
	return us
}

func (c *controlHost) setUpstreams(us []discovery.Upstream) { c.upstreams.Store(&us) }

var regionRequest = Inbound{AttemptID: "r", Host: "h", Path: "/x", Key: "key", BudgetMS: 60_000, Body: []byte("body of the caller")}

// doNow sends the request of the tests.
func doNow(t *testing.T, g *Gateway) (Response, error) {
	in := regionRequest
	in.Received = time.Now()
	return g.Do(t.Context(), in)
}

func (u *scriptedStreams) assertOnlyRanAt(t *testing.T, ids ...string) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.runs {
		if !slices.Contains(ids, r.upstream) {
			t.Fatalf("runs %v, want runs at some of %v only", u.runs, ids)
		}
	}
}

// Guards against an entry that serves a request in a region that its route or its account
// does not allow, or waits for an upstream in one that they do.
func TestRequestWithoutAllowedRegionIsRefused(t *testing.T) {
	for name, tc := range map[string]struct{ route, account []string }{
		"route":         {route: []string{"north"}},
		"account":       {account: []string{"north"}},
		"both":          {route: []string{"north", "east"}, account: []string{"west", "north"}},
		"none together": {route: []string{"east"}, account: []string{"west"}},
		"unknown":       {route: []string{"south"}},
	} {
		t.Run(name, func(t *testing.T) {
			logs, observed := observer.New(zapcore.InfoLevel)
			u := &scriptedStreams{body: breakingOnce}
			c := newControlHost(t, regionDocument(tc.route, tc.account))
			c.setUpstreams(regionUpstreams("p", "w1", "w2", "e1", "without-region"))
			g := newRegionGateway(t, c, u, zap.New(logs))
			started := time.Now()
			_, err := doNow(t, g)
			assertKind(t, err, rollout.KindRegionNotAllowed)
			if took := time.Since(started); took > time.Second || rollout.AsError(err).RetryDelay() <= 0 {
				t.Fatalf("refused after %v with a retry delay of %d ms, want at once and a delay", took, rollout.AsError(err).RetryDelay())
			}
			u.assertRuns(t, 0)
			assertNoContentLogged(t, observed)
			if n := observed.FilterMessage("RegionRefused").Len(); n != 1 {
				t.Fatalf("%d log events RegionRefused, want 1", n)
			}
		})
	}
}

// Guards against a stream that goes on in a region that is not allowed, although an idle
// upstream there has its software version and is near.
func TestStreamGoesOnInAllowedRegions(t *testing.T) {
	logs, observed := observer.New(zapcore.DebugLevel)
	u := &scriptedStreams{body: breakingOnce}
	c := newControlHost(t, regionDocument([]string{"east", "north"}, nil))
	c.setUpstreams(regionUpstreams("p", "w1", "w2", "e1", "n1"))
	r, err := doNow(t, newRegionGateway(t, c, u, zap.New(logs)))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	got, err := copyAll(r)
	if err != nil {
		t.Fatal(err)
	}
	assertEvents(t, got, 6)
	u.assertRuns(t, 2)
	u.assertOnlyRanAt(t, "e1", "n1")
	assertNoContentLogged(t, observed)
}

// assertNoContentLogged fails if a log line holds the body of the tests' request, as log
// lines leave the region.
func assertNoContentLogged(t *testing.T, observed *observer.ObservedLogs) {
	t.Helper()
	for _, line := range observed.All() {
		if text := fmt.Sprint(line.Message, line.ContextMap()); strings.Contains(text, string(regionRequest.Body)) {
			t.Errorf("the body is logged: %s", text)
		}
	}
}

// Guards against a stream that goes on where it may no longer, after a change of the
// configuration.
func TestStreamBreaksOffWhenNoAllowedUpstreamIsLeft(t *testing.T) {
	c := newControlHost(t, regionDocument(nil, nil))
	c.setUpstreams(regionUpstreams("p", "w1", "e1"))
	u := &scriptedStreams{body: breakingOnce}
	g := newRegionGateway(t, c, u, zap.NewNop())
	r, err := doNow(t, g)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	next := regionDocument(nil, []string{"north"})
	next.Version = 2
	c.document.Store(&next)
	for g.watcher.State().Index.Document.Version < 2 {
		time.Sleep(time.Millisecond)
	}
	changed := time.Now()
	if _, err := copyAll(r); err == nil {
		t.Fatal("the stream went on")
	}
	if took := time.Since(changed); took > continueTimeout/2 {
		t.Fatalf("the stream waited %v for an upstream that it may not use", took)
	}
	u.assertRuns(t, 1)
}

// Guards against a refusal by chance while another pool of the route has an upstream in an
// allowed region.
func TestRequestGoesToPoolWithAllowedUpstream(t *testing.T) {
	d := regionDocument([]string{"east"}, nil)
	d.Routes[0].Split = append(d.Routes[0].Split, document.Share{Pool: "q", Weight: 1})
	c := newControlHost(t, d)
	c.setUpstreams(append(regionUpstreams("p", "w1"), regionUpstreams("q", "e1")...))
	u := &scriptedStreams{body: func(context.Context, int, rollout.UpstreamRequest) io.ReadCloser { return io.NopCloser(events(1, 6)) }}
	g := newRegionGateway(t, c, u, zap.NewNop())
	for range 20 {
		r, err := doNow(t, g)
		if err != nil {
			t.Fatal(err)
		}
		r.Close()
	}
	u.assertOnlyRanAt(t, "e1")
}

// fakeStore is a member of a job store on loopback.
type fakeStore struct {
	address string
	// err is the answer to each job.
	err error

	mu   sync.Mutex
	jobs []job.Spec
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func newFakeStore(t *testing.T, err error) *fakeStore {
	t.Helper()
	listener := listen(t)
	s := &fakeStore{address: listener.Addr().String(), err: err}
	mux := fabric.NewMux(nil)
	fabric.Handle(mux, jobstore.MethodSubmit, s.submit)
	runUntilEnd(t, func(ctx context.Context) { _ = link.NewServer(listener, "", mux, zap.NewNop()).Serve(ctx) })
	return s
}

func (s *fakeStore) submit(_ context.Context, spec job.Spec) (jobstore.Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = append(s.jobs, spec)
	return jobstore.Empty{}, s.err
}

func (s *fakeStore) assertJobs(t *testing.T, want int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.jobs) != want {
		t.Fatalf("%d jobs sent, want %d", len(s.jobs), want)
	}
}

// submitTo sends a job that only the region east allows from the region west, to a job store
// that a leader and the member m of the given failure domains form.
func submitTo(t *testing.T, leader *fakeStore, d document.Document, leaderDomain string, m, domain string) error {
	t.Helper()
	c := newControlHost(t, d)
	f := view.Facts{StoreLeader: leader.address, Stores: []string{leader.address, m}, StoreDomains: map[string]string{leader.address: leaderDomain, m: domain}}
	c.facts.Store(&f)
	g := newRegionGateway(t, c, &scriptedStreams{}, zap.NewNop())
	return g.SubmitJob(t.Context(), job.Spec{ID: "j", Account: "farm"}, jobItems(job.Item{ID: "i", Body: []byte("text")}), d.Routes[0])
}

// Guards against jobs whose bodies reach a member of the job store in a region that is
// neither allowed nor that of the entry, or in an unknown one.
func TestJobIsRefusedIfAMemberMayNotKeepIt(t *testing.T) {
	d := regionDocument([]string{"east", "north"}, []string{"east"})
	for name, domain := range map[string]string{"other region": "n1", "no region": "without-region", "unknown domain": ""} {
		t.Run(name, func(t *testing.T) {
			leader := newFakeStore(t, nil)
			started := time.Now()
			assertKind(t, submitTo(t, leader, d, "e1", "m", domain), rollout.KindRegionNotAllowed)
			if took := time.Since(started); took > time.Second {
				t.Fatalf("refused after %v, want at once", took)
			}
			leader.assertJobs(t, 0)
		})
	}
	t.Run("no member known", func(t *testing.T) {
		g := newRegionGateway(t, newControlHost(t, d), &scriptedStreams{}, zap.NewNop())
		assertKind(t, g.SubmitJob(t.Context(), job.Spec{ID: "j", Account: "farm"}, jobItems(), d.Routes[0]), rollout.KindRegionNotAllowed)
	})
}

// Guards against jobs refused although all members are in allowed regions or in that of the
// entry, and against a job store that is not told of the policy.
func TestJobIsSentIfAllMembersMayKeepIt(t *testing.T) {
	leader := newFakeStore(t, nil)
	if err := submitTo(t, leader, regionDocument([]string{"east"}, []string{"east"}), "e1", "m", "w2"); err != nil {
		t.Fatal(err)
	}
	leader.assertJobs(t, 1)
	r := leader.jobs[0].Residency
	if r == nil || r.DocumentVersion != 1 || r.EntryDomain != "w1" || !slices.Equal(r.RouteRegions, []string{"east"}) || !slices.Equal(r.AccountRegions, []string{"east"}) {
		t.Fatalf("the job store got residency %+v", r)
	}
	free := newFakeStore(t, nil)
	if err := submitTo(t, free, regionDocument(nil, nil), "n1", "m", ""); err != nil || free.jobs[0].Residency != nil {
		t.Fatalf("got error %v, residency %+v, want a job without restriction", err, free.jobs[0].Residency)
	}
}

// Guards against a refusal by the leader of the job store that the entry takes for a failure,
// so that it sends the job to the other members.
func TestRefusalByStoreLeaderIsFinal(t *testing.T) {
	leader := newFakeStore(t, rollout.NewError(rollout.KindRegionNotAllowed, "member in region north"))
	other := newFakeStore(t, nil)
	assertKind(t, submitTo(t, leader, regionDocument([]string{"east"}, nil), "e1", other.address, "e1"), rollout.KindRegionNotAllowed)
	leader.assertJobs(t, 1)
	other.assertJobs(t, 0)
}

// Guards against a redirect that leads a job to a host of which the entry knows no region.
func TestRestrictedJobIsNotRedirectedToUnknownHosts(t *testing.T) {
	unknown := newFakeStore(t, nil)
	leader := newFakeStore(t, rollout.NewError(rollout.KindNotLeader, "leader is %s", unknown.address))
	assertKind(t, submitTo(t, leader, regionDocument([]string{"east"}, nil), "e1", "m", "e1"), rollout.KindRegionNotAllowed)
	unknown.assertJobs(t, 0)
}

// jobItems returns items as an entry decodes them.
func jobItems(items ...job.Item) JobItems {
	return JobItems{Count: len(items), All: func(yield func(job.Item, error) bool) {
		for _, it := range items {
			if !yield(it, nil) {
				return
			}
		}
	}}
}
