package view

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

// newTestWatcher returns a watcher whose target is the first seed.
func newTestWatcher(seeds ...string) *Watcher {
	w := NewWatcher(Options{Seeds: func() []string { return seeds }, Clock: clock.Boottime{}, Log: zap.NewNop()})
	w.target = seeds[0]
	return w
}

// testHosts are the control hosts of the tests of searchPlan.
var testHosts = []string{"a", "b", "c"}

func newTestPlan() *searchPlan { return &searchPlan{pending: make(map[string]pendingCall)} }

// assertAsked checks which host is asked next.
func assertAsked(t *testing.T, p *searchPlan, at time.Time, preferred, want string, wantAgain bool) {
	t.Helper()
	if got, again := p.next(at, preferred, testHosts); got != want || again != wantAgain {
		t.Fatalf("asked %q, again %v; want %q, %v", got, again, want, wantAgain)
	}
}

func TestTargetIsNamedLeader(t *testing.T) {
	assertAsked(t, newTestPlan(), time.Now(), "c", "c", false)
	assertAsked(t, newTestPlan(), time.Now(), "host that is no seed", "host that is no seed", false)
}

// If the leader hangs, the other hosts name it as the leader until they elect a new
// one. The search must not wait for it.
func TestUnresponsiveLeaderIsSkipped(t *testing.T) {
	p, now := newTestPlan(), time.Now()
	assertAsked(t, p, now, "a", "a", false)
	for range 6 {
		address, _ := p.next(now, "a", testHosts)
		if address == "a" || address == "" {
			t.Fatalf("asked %q while a has not replied, want b or c", address)
		}
		delete(p.pending, address)
	}
}

func TestUnresponsiveHostIsTriedIfAllAreUnresponsive(t *testing.T) {
	p, now := newTestPlan(), time.Now()
	for _, host := range []string{"b", "c", "a"} {
		assertAsked(t, p, now, "", host, false)
	}
	assertAsked(t, p, now, "", "", false)
	now = now.Add(firstPatience)
	assertAsked(t, p, now, "", "b", true)
	assertAsked(t, p, now, "b", "c", true)
	assertAsked(t, p, now.Add(2*firstPatience), "b", "b", true)
}

func TestBrokenConnectionsAreSentOncePerLeader(t *testing.T) {
	w := newTestWatcher("a")
	revision := uint64(0)
	w.opts.BrokenConnections = func() BrokenConnections {
		return BrokenConnections{Revision: revision, Connections: []poison.BrokenConnection{{Fingerprint: "f"}}}
	}
	for _, step := range []struct {
		name            string
		revision, epoch uint64
		sent            bool
	}{
		{"no broken connection", 0, 1, false},
		{"first broken connection", 1, 1, true},
		{"same leader", 1, 1, false},
		{"new leader", 1, 2, true},
		{"cleared", 2, 2, true},
		{"same leader again", 2, 2, false},
	} {
		revision = step.revision
		req := Request{Epoch: step.epoch}
		w.sent = w.addReports(&req)
		if sent := req.BrokenConnections != nil; sent != step.sent {
			t.Errorf("%s: broken connections sent: %v, want %v", step.name, sent, step.sent)
		}
	}
}

// Guards against refusals from a copy that no leader has ever confirmed.
func TestCopyThatWasNeverConfirmedIsNotConfirmed(t *testing.T) {
	w := newTestWatcher("a")
	started := time.Now()
	err := w.Confirm(t.Context(), 1_000)
	if err == nil || rollout.AsError(err).Kind != rollout.KindNoAuthority || time.Since(started) > 500*time.Millisecond {
		t.Fatalf("got error %v after %v, want NoAuthority at once", err, time.Since(started))
	}
}

// Guards against a host that counts as ready, or refuses requests, by a configuration whose
// upstreams its balancer does not have yet.
func TestStateIsReturnedAfterOnChange(t *testing.T) {
	w := newTestWatcher("a")
	called := false
	w.opts.OnChange = func(next State) {
		called = true
		if next.Index == nil || len(next.Upstreams) != 1 {
			t.Errorf("OnChange got %+v, want a configuration and an upstream", next)
		}
		if w.State().Index != nil {
			t.Error("State returned the configuration before OnChange had its upstreams")
		}
	}
	w.apply(w.State(), Reply{Document: &document.Document{Version: 1}, Upstreams: []discovery.Upstream{{ID: "e", State: discovery.StateReady}}})
	if !called || w.State().Index == nil {
		t.Fatalf("OnChange called: %v, state %+v", called, w.State())
	}
}
