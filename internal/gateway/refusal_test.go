package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

const testApplyMS rollout.Millis = 1_000

// controlHost is a leader of control on loopback whose replies can be withheld.
type controlHost struct {
	address  string
	document atomic.Pointer[document.Document]
	// facts and upstreams may be nil.
	facts     atomic.Pointer[view.Facts]
	upstreams atomic.Pointer[[]discovery.Upstream]
	withheld  atomic.Bool
}

func newControlHost(t *testing.T, d document.Document) *controlHost {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &controlHost{address: listener.Addr().String()}
	c.document.Store(&d)
	mux := fabric.NewMux(nil)
	fabric.Handle(mux, view.MethodWatch, c.watch)
	runUntilEnd(t, func(ctx context.Context) { _ = link.NewServer(listener, "", mux, zap.NewNop()).Serve(ctx) })
	return c
}

func (c *controlHost) watch(ctx context.Context, req view.Request) (view.Reply, error) {
	for c.withheld.Load() {
		select {
		case <-ctx.Done():
			return view.Reply{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	wait := time.Duration(min(req.WaitMS, 20)) * time.Millisecond
	time.Sleep(wait)
	reply := view.Reply{Epoch: 1, HeldMS: rollout.Millis(wait.Milliseconds()), Document: c.document.Load(), Facts: c.facts.Load()}
	if us := c.upstreams.Load(); us != nil {
		reply.Upstreams = *us
	}
	return reply, nil
}

// runUntilEnd runs a function until the test ends and waits for it.
func runUntilEnd(t *testing.T, run func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// newFollowingGateway returns a gateway that has the document of a control host.
func newFollowingGateway(t *testing.T, c *controlHost) *Gateway {
	t.Helper()
	g := New(Options{
		Log: zap.NewNop(), Registry: prometheus.NewRegistry(), WindowMS: 1_000, ApplyMS: testApplyMS,
		Controls: func() []string { return []string{c.address} },
	})
	runUntilEnd(t, func(ctx context.Context) { _ = g.Run(ctx) })
	for !g.Ready() {
		time.Sleep(time.Millisecond)
	}
	return g
}

func documentWithRoutes(version uint64, prefixes ...string) document.Document {
	d := document.Document{Version: version, Accounts: []document.Account{{Name: "farm", Keys: []string{"key"}}}}
	for _, p := range prefixes {
		d.Routes = append(d.Routes, document.Route{Name: p, Host: "h", Prefix: p})
	}
	return d
}

func assertKind(t *testing.T, err error, want rollout.Kind) {
	t.Helper()
	if err == nil || rollout.AsError(err).Kind != want || !rollout.AsError(err).NotRun {
		t.Fatalf("got error %v, want kind %v, not run", err, want)
	}
}

func TestRefusalFromRecentCopy(t *testing.T) {
	g := newFollowingGateway(t, newControlHost(t, documentWithRoutes(1, "/old/")))
	_, _, err := g.Resolve(t.Context(), Inbound{Host: "h", Path: "/new/x", Key: "key"})
	assertKind(t, err, rollout.KindNotFound)
	_, _, err = g.Resolve(t.Context(), Inbound{Host: "h", Path: "/old/x", Key: "other"})
	assertKind(t, err, rollout.KindUnauthenticated)
	_, err = g.AccountForKey(t.Context(), "other")
	assertKind(t, err, rollout.KindUnauthenticated)
}

// Guards against requests refused by an old copy (CONFIG): an entry that had lost the
// leader of control answered 404 and 401 from its copy, however old.
func TestEntryWithoutControlRefusesNothingFromOldCopy(t *testing.T) {
	c := newControlHost(t, documentWithRoutes(1, "/old/"))
	g := newFollowingGateway(t, c)
	c.withheld.Store(true)
	time.Sleep(time.Duration(testApplyMS) * time.Millisecond)
	for name, in := range map[string]Inbound{
		"unknown route": {Host: "h", Path: "/new/x", Key: "key"},
		"unknown key":   {Host: "h", Path: "/old/x", Key: "other"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := g.Resolve(t.Context(), in)
			assertKind(t, err, rollout.KindNoAuthority)
		})
	}
	t.Run("unknown key of a job", func(t *testing.T) {
		_, err := g.AccountForKey(t.Context(), "other")
		assertKind(t, err, rollout.KindNoAuthority)
	})
	t.Run("known route and key", func(t *testing.T) {
		if _, account, err := g.Resolve(t.Context(), Inbound{Host: "h", Path: "/old/x", Key: "key"}); err != nil || account != "farm" {
			t.Fatalf("got account %q, error %v; want farm, which every version allows", account, err)
		}
	})
}

// Guards against requests refused by an old copy (CONFIG): a confirmation that comes while
// the request waits decides about it.
func TestRequestWaitsForConfirmationOfItsRoute(t *testing.T) {
	c := newControlHost(t, documentWithRoutes(1, "/old/"))
	g := newFollowingGateway(t, c)
	c.withheld.Store(true)
	for g.watcher.CopyInfo().AgeMS <= testApplyMS/refusalAgeDivisor {
		time.Sleep(time.Millisecond)
	}
	d := documentWithRoutes(2, "/old/", "/new/")
	c.document.Store(&d)
	time.AfterFunc(100*time.Millisecond, func() { c.withheld.Store(false) })
	route, _, err := g.Resolve(t.Context(), Inbound{Host: "h", Path: "/new/x", Key: "key"})
	if err != nil || route.Name != "/new/" {
		t.Fatalf("got route %q, error %v; want /new/", route.Name, err)
	}
}
