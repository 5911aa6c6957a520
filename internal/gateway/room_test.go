package gateway

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// slotUpstreams has a number of slots in all and rejects requests beyond them.
type slotUpstreams struct {
	rollout.UpstreamClient
	slots                  int64
	running, sends, served atomic.Int64
	service                time.Duration
}

// SendRequest implements rollout.UpstreamClient.
func (u *slotUpstreams) SendRequest(ctx context.Context, _ rollout.UpstreamRequest) (rollout.UpstreamResponse, error) {
	u.sends.Add(1)
	defer u.running.Add(-1)
	if u.running.Add(1) > u.slots {
		return rollout.UpstreamResponse{Status: 503, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	select {
	case <-time.After(u.service):
	case <-ctx.Done():
		return rollout.UpstreamResponse{}, ctx.Err()
	}
	u.served.Add(1)
	return rollout.UpstreamResponse{Status: 200, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// sendMany sends requests at a time and returns their errors, or nil, in the order in
// which they end.
func sendMany(t *testing.T, g *Gateway, n int) <-chan error {
	t.Helper()
	errs := make(chan error, n)
	for range n {
		go func() {
			_, err := g.Do(t.Context(), crashingRequest())
			errs <- err
		}()
	}
	return errs
}

// Guards against requests that are refused although there is room for them soon: of a burst
// at upstreams with two slots, those wait that may, and the others get times to return.
// Before there were rooms, all beyond the slots were refused with 0.2 s.
func TestBurstWaitsForRoomOrIsToldWhenToReturn(t *testing.T) {
	u := &slotUpstreams{slots: 2, service: 20 * time.Millisecond}
	g := newGatewayWithUpstreams(t, newControlHost(t, crashableDocument(1_000)), u)
	for range 3 {
		errs := sendMany(t, g, 8)
		for range 8 {
			if err := <-errs; err != nil && (!rollout.AsError(err).NotRun || rollout.AsError(err).Kind != rollout.KindOverloaded || rollout.AsError(err).RetryAfter <= 0) {
				t.Fatalf("got error %v, want a refusal with a time to return", err)
			}
		}
	}
	if got := u.served.Load(); got < 14 {
		t.Fatalf("%d of 24 requests served, want 14 at least: two at once and the rest of each later burst in turn", got)
	}
}

// Guards against orders of control that outlive it: an entry that hears nothing from control
// forgets the large accounts after 3 s.
func TestEntryWithoutControlForgetsLargeAccounts(t *testing.T) {
	c := newControlHost(t, crashableDocument(1_000))
	c.large.Store(&view.LargeAccounts{Revision: 1, Accounts: []string{"farm"}})
	g := newFollowingGateway(t, c)
	if got := g.watcher.LargeAccounts(); len(got) != 1 {
		t.Fatalf("large accounts %v, want farm", got)
	}
	c.withheld.Store(true)
	time.Sleep(3_200 * time.Millisecond)
	if got := g.watcher.LargeAccounts(); len(got) != 0 {
		t.Fatalf("large accounts %v after 3.2 s without control, want none", got)
	}
}

// Guards against a room for requests that have none: streams and pools of engines.
func TestStreamsAndEnginesHaveNoRoom(t *testing.T) {
	g := newFollowingGateway(t, newControlHost(t, crashableDocument(1_000)))
	route := g.watcher.State().Index.Document.Routes[0]
	if !g.sharesRoom(route, "p") {
		t.Fatal("plain requests don't use the room of their pool")
	}
	route.Streaming = true
	if g.sharesRoom(route, "p") {
		t.Fatal("streams use the room of their pool")
	}
}
