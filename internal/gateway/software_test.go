package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
)

// fakeNews is what control knows, for a gateway that follows no control host. The gateway is in
// step unless ageMS is set.
type fakeNews struct {
	upstreams atomic.Pointer[map[string]discovery.Upstream]
	ageMS     atomic.Int64
	// unreachable makes control answer nothing.
	unreachable atomic.Bool
	// confirmed is closed once the copy has been confirmed. It is nil if it always is.
	confirmed chan struct{}
}

func (f *fakeNews) CopyInfo() view.CopyInfo {
	return view.CopyInfo{AgeMS: rollout.Millis(f.ageMS.Load())}
}

func (f *fakeNews) Confirm(_ context.Context, maxAge rollout.Millis) error {
	if !f.CopyInfo().IsRecent(maxAge) {
		return rollout.NewError(rollout.KindNoAuthority, "the copy is %d ms old", f.ageMS.Load()).WithNotRun()
	}
	return nil
}

func (f *fakeNews) ConfirmSince(ctx context.Context, _ rollout.Millis) error {
	if f.confirmed == nil {
		return nil
	}
	select {
	case <-f.confirmed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeNews) Latest(context.Context) (view.State, error) {
	if f.unreachable.Load() {
		return view.State{}, rollout.NewError(rollout.KindNoAuthority, "control is unreachable")
	}
	return view.State{Upstreams: *f.upstreams.Load()}, nil
}

// syncUpstreams makes upstreams known to control and to a gateway that follows no control host.
func syncUpstreams(g *Gateway, us map[string]discovery.Upstream) {
	f, ok := g.news.(*fakeNews)
	if !ok {
		f = &fakeNews{}
		g.news = f
	}
	f.upstreams.Store(&us)
	g.balancer.Sync(us)
}

func engines(born int64, software map[string]string) map[string]discovery.Upstream {
	us := make(map[string]discovery.Upstream)
	for id, v := range software {
		us[id] = discovery.Upstream{ID: id, Pool: "p", Address: id, State: discovery.StateReady, Slots: 4, Born: born, Software: v}
	}
	return us
}

// newOutdatedGateway returns a gateway that knows engines of version v1 which have started again
// under their IDs with version v2.
func newOutdatedGateway(u *scriptedStreams) (*Gateway, *fakeNews) {
	g := newTestGatewayWith(u)
	syncUpstreams(g, engines(1, map[string]string{"a": "v1", "b": "v1"}))
	f := g.news.(*fakeNews)
	now := engines(2, map[string]string{"a": "v2", "b": "v2"})
	f.upstreams.Store(&now)
	return g, f
}

func takeUpOf(attempt, after string) Inbound {
	return Inbound{AttemptID: "r", Received: time.Now(), BudgetMS: 60_000, Resumes: []string{attempt}, LastEventID: []string{after}}
}

var chatRoute = document.Route{Name: "chat", Streaming: true, Resumable: true, MaxAttempts: 4, Split: []document.Share{{Pool: "p", Weight: 1}}}

// Guards against streams that go on at an engine of another software version, because the entry
// where they are taken up is out of step: it was cut off or stood still during a release.
func TestStreamIsNotTakenUpByAnOutdatedCopy(t *testing.T) {
	for name, tc := range map[string]struct {
		ageMS       int64
		unreachable bool
		runs        int
	}{
		"copy is old":                 {5_000, false, 0},
		"copy is wrong for a moment":  {10, false, 1},
		"control is just unreachable": {10, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			u := &scriptedStreams{body: func(ctx context.Context, _ int, _ rollout.UpstreamRequest) io.ReadCloser {
				return &lineBody{events(4, 6), ctx, io.EOF}
			}}
			g, f := newOutdatedGateway(u)
			f.ageMS.Store(tc.ageMS)
			f.unreachable.Store(tc.unreachable)
			g.origins.Record(t.Context(), origin.Record{Key: origin.Key{Account: "farm", Attempt: "first"}, Origin: origin.Origin{Pool: "p", Software: "v1"}})
			resp, err := g.forward(t.Context(), takeUpOf("first", "3"), chatRoute, "farm")
			if err == nil {
				resp.Close()
				t.Fatal("the stream goes on at another version")
			}
			if notRun := rollout.AsError(err).NotRun; notRun != (tc.runs == 0) {
				t.Errorf("error %v says not run: %v", err, notRun)
			}
			u.assertRuns(t, tc.runs)
		})
	}
}

// Guards against the same within one response.
func TestStreamDoesNotGoOnByAnOutdatedCopy(t *testing.T) {
	for name, tc := range map[string]struct{ ageMS int64 }{"copy is old": {5_000}, "copy is wrong for a moment": {10}} {
		t.Run(name, func(t *testing.T) {
			u := &scriptedStreams{body: breakingOnce}
			resp := openStream(t, u, map[string]string{"a": "v1", "b": "v1"}, 4)
			f := resp.stream.gateway.news.(*fakeNews)
			now := engines(2, map[string]string{"a": "v2", "b": "v2"})
			f.upstreams.Store(&now)
			f.ageMS.Store(tc.ageMS)
			got, err := copyAll(resp)
			if err == nil {
				t.Fatal("the stream looks complete")
			}
			assertEvents(t, got, 3)
		})
	}
}

// Guards against a wrong record of where a stream began, by an entry that is out of step.
func TestStreamThatBeganAtAnUnknownVersionIsNotTakenUp(t *testing.T) {
	for name, ageMS := range map[string]int64{"copy is old": 5_000, "copy is wrong for a moment": 10} {
		t.Run(name, func(t *testing.T) {
			u := &scriptedStreams{body: breakingOnce}
			g, f := newOutdatedGateway(u)
			f.ageMS.Store(ageMS)
			f.confirmed = make(chan struct{})
			resp, err := g.forward(t.Context(), Inbound{AttemptID: "first", Received: time.Now(), BudgetMS: 60_000}, chatRoute, "farm")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			syncUpstreams(g, *f.upstreams.Load())
			close(f.confirmed)
			if got, err := copyAll(resp); err == nil {
				t.Fatal("the stream looks complete")
			} else {
				assertEvents(t, got, 3)
			}
			key := origin.Key{Account: "farm", Attempt: "first"}
			for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
				found, err := g.origins.Find(t.Context(), key)
				if err != nil {
					return
				}
				if time.Now().After(end) {
					t.Fatalf("the stream is on record with %+v", found)
				}
			}
		})
	}
}

func newTestGatewayWith(u rollout.UpstreamClient) *Gateway {
	return New(Options{Log: zap.NewNop(), Registry: prometheus.NewRegistry(), WindowMS: 1_000, Controls: func() []string { return nil }, Upstreams: u})
}
