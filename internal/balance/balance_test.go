package balance_test

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// behavior is how a fake upstream handles a request.
type behavior struct {
	status int
	notRun bool
	err    error
	limit  rollout.RateLimit
	// ended makes the upstream accept no connections.
	ended bool
	// delay is the time before the response.
	delay time.Duration
	// hang blocks until the context ends.
	hang bool
	// bytes is the length of the body, or 0 for the ID of the upstream.
	bytes int
	// leaving makes the upstream say that it leaves.
	leaving bool
}

// fakeUpstreams simulates upstreams by ID and records the attempts.
type fakeUpstreams struct {
	rollout.UpstreamClient
	behaviors map[string]behavior

	mu    sync.Mutex
	sends []string
	// running counts the attempts that run, and maxRunning is the most at once.
	running, maxRunning int
}

func (f *fakeUpstreams) SendRequest(ctx context.Context, req rollout.UpstreamRequest) (rollout.UpstreamResponse, error) {
	f.mu.Lock()
	f.sends = append(f.sends, req.Instance)
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running--
	}()
	r := f.behaviors[req.Instance]
	if r.hang {
		<-ctx.Done()
		return rollout.UpstreamResponse{}, ctx.Err()
	}
	time.Sleep(r.delay)
	if r.err != nil {
		return rollout.UpstreamResponse{Leaving: r.leaving}, r.err
	}
	body := req.Instance
	if r.bytes > 0 {
		body = strings.Repeat("x", r.bytes)
	}
	return rollout.UpstreamResponse{Status: r.status, NotRun: r.notRun, Leaving: r.leaving, Limit: r.limit, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// IsListening implements rollout.UpstreamClient. Addresses are the IDs.
func (f *fakeUpstreams) IsListening(_ context.Context, address string) (bool, error) {
	return !f.behaviors[address].ended, nil
}

func (f *fakeUpstreams) countSends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sends)
}

func newBalancer(behaviors map[string]behavior) (*balance.Balancer, *fakeUpstreams) {
	f := &fakeUpstreams{behaviors: behaviors}
	b := balance.New(f, clock.Boottime{}, "d", zap.NewNop())
	b.Sync(readyUpstreams(behaviors))
	return b, f
}

func readyUpstreams(behaviors map[string]behavior) map[string]discovery.Upstream {
	us := make(map[string]discovery.Upstream)
	for id := range behaviors {
		us[id] = discovery.Upstream{ID: id, Pool: "p", Address: id, FailureDomain: "d", State: discovery.StateReady, Slots: 4, Born: 1}
	}
	return us
}

func request(repeatable bool, attempts int) balance.Request {
	return balance.Request{Pool: "p", Repeatable: repeatable, MaxAttempts: attempts, Deadline: time.Now().Add(time.Minute)}
}

func assertSends(t *testing.T, f *fakeUpstreams, want int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sends) != want {
		t.Fatalf("sent to upstreams %v, want %d attempts", f.sends, want)
	}
}

// assertError checks that a request failed and whether it is known not to have run.
func assertError(t *testing.T, err error, notRun bool) {
	t.Helper()
	if err == nil || rollout.AsError(err).NotRun != notRun {
		t.Fatalf("got error %v, want one with NotRun %v", err, notRun)
	}
}

var (
	succeeds    = behavior{status: 200}
	overloaded  = behavior{status: 503, notRun: true}
	crashes     = behavior{err: errors.New("connection reset"), ended: true}
	disconnects = behavior{err: errors.New("connection reset")}
	fails       = behavior{status: 500}
)

func TestResponseOfUpstreamIsReturned(t *testing.T) {
	b, _ := newBalancer(map[string]behavior{"a": succeeds})
	response, err := b.Do(t.Context(), request(true, 1))
	if err != nil || string(response.Body) != "a" || response.Upstream != "a" {
		t.Fatalf("got response %+v, error %v", response, err)
	}
}

func TestRequestThatDidNotRunIsSentToOtherUpstreams(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		b, f := newBalancer(map[string]behavior{"a": overloaded, "b": overloaded, "c": overloaded})
		_, err := b.Do(t.Context(), request(repeatable, 1))
		assertError(t, err, true)
		assertSends(t, f, 3)
	}
}

func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	for name, r := range map[string]behavior{"lost response": disconnects, "failure": fails} {
		t.Run(name, func(t *testing.T) {
			b, f := newBalancer(map[string]behavior{"a": r, "b": r, "c": r})
			response, err := b.Do(t.Context(), request(false, 3))
			if r.err != nil {
				assertError(t, err, false)
			} else if response.Head.Status != 500 {
				t.Fatalf("got response %+v, error %v", response, err)
			}
			assertSends(t, f, 1)
		})
	}
}

func TestRepeatableRequestIsRetriedUpToMaxAttempts(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": disconnects, "b": disconnects, "c": disconnects, "d": disconnects})
	_, err := b.Do(t.Context(), request(true, 3))
	assertError(t, err, false)
	assertSends(t, f, 3)
}

func TestFailureIsReturnedAfterLastAttempt(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": fails, "b": fails, "c": fails})
	response, err := b.Do(t.Context(), request(true, 2))
	if err != nil || response.Head.Status != 500 {
		t.Fatalf("got response %+v, error %v", response, err)
	}
	assertSends(t, f, 2)
}

func TestPoolWithoutUpstreamsFails(t *testing.T) {
	b, _ := newBalancer(nil)
	_, err := b.Do(t.Context(), request(true, 2))
	assertError(t, err, true)
}

func TestHungUpstreamIsHedged(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": {hang: true}, "b": {hang: true}, "c": succeeds})
	req := request(true, 3)
	req.HedgeAfter = time.Millisecond
	for range 20 {
		response, err := b.Do(t.Context(), req)
		if err == nil && response.Upstream != "c" {
			t.Fatalf("got the response of upstream %s, want c", response.Upstream)
		}
		if len(f.sends) > 1 {
			return
		}
	}
	t.Fatal("no request was hedged in 20 tries")
}

func TestNonRepeatableRequestIsNotHedged(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": {hang: true}, "b": {hang: true}})
	req := request(false, 3)
	req.HedgeAfter = time.Millisecond
	req.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err := b.Do(t.Context(), req)
	assertError(t, err, false)
	assertSends(t, f, 1)
}

func TestCancelledCallEnds(t *testing.T) {
	b, _ := newBalancer(map[string]behavior{"a": {hang: true}})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := b.Do(ctx, request(true, 2))
	assertError(t, err, false)
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": succeeds})
	b.Sync(map[string]discovery.Upstream{"a": {ID: "a", Pool: "p", State: discovery.StateDraining, Slots: 4, Born: 1}})
	_, err := b.Do(t.Context(), request(true, 2))
	assertError(t, err, true)
	assertSends(t, f, 0)
}

func TestOnStartedIsCalledOnce(t *testing.T) {
	b, _ := newBalancer(map[string]behavior{"a": disconnects, "b": fails, "c": overloaded})
	calls := 0
	req := request(true, 3)
	req.OnStarted = func() { calls++ }
	_, _ = b.Do(t.Context(), req)
	if calls != 1 {
		t.Fatalf("OnStarted was called %d times, want 1", calls)
	}
}

func assertBrokenConnections(t *testing.T, b *balance.Balancer, want int) {
	t.Helper()
	if _, connections := b.BrokenConnections(); len(connections) != want {
		t.Fatalf("got broken connections %v, want %d", connections, want)
	}
}

func TestBrokenConnectionsAreClearedByResponse(t *testing.T) {
	b, _ := newBalancer(map[string]behavior{"a": disconnects, "b": disconnects})
	_, err := b.Do(t.Context(), request(true, 2))
	assertError(t, err, false)
	assertBrokenConnections(t, b, 2)
	b.Sync(map[string]discovery.Upstream{"c": {ID: "c", Pool: "p", FailureDomain: "d", State: discovery.StateReady, Slots: 4}})
	other := request(true, 1)
	other.UpstreamRequest.Body = []byte("other")
	for _, req := range []balance.Request{other, request(true, 1)} {
		assertBrokenConnections(t, b, 2)
		_, _ = b.Do(t.Context(), req)
	}
	assertBrokenConnections(t, b, 0)
}

func TestRejectionsAndTimeoutsAreNotBrokenConnections(t *testing.T) {
	for name, r := range map[string]behavior{"overloaded": overloaded, "failure": fails, "hang": {hang: true}} {
		t.Run(name, func(t *testing.T) {
			b, _ := newBalancer(map[string]behavior{"a": r})
			req := request(true, 1)
			req.Deadline = time.Now().Add(20 * time.Millisecond)
			_, _ = b.Do(t.Context(), req)
			assertBrokenConnections(t, b, 0)
		})
	}
}

func TestLongResponseIsPassedWholeOrRefused(t *testing.T) {
	const limit = 8 << 20
	b, _ := newBalancer(map[string]behavior{"a": {status: 200, bytes: limit}})
	if response, err := b.Do(t.Context(), request(true, 1)); err != nil || len(response.Body) != limit {
		t.Fatalf("got %d bytes, error %v, want %d bytes", len(response.Body), err, limit)
	}
	b, _ = newBalancer(map[string]behavior{"a": {status: 200, bytes: limit + 1}})
	response, err := b.Do(t.Context(), request(true, 1))
	assertError(t, err, false)
	if rollout.AsError(err).Kind != rollout.KindTruncated || len(response.Body) != 0 {
		t.Fatalf("got %d bytes, error %v, want a truncated response", len(response.Body), err)
	}
}

// Callers who leave would otherwise eject the upstreams that work for them.
func TestCallersWhoLeaveDoNotEjectUpstream(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": {hang: true}})
	for range 4 {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := b.Do(ctx, request(true, 1))
			ended <- err
		}()
		time.Sleep(5 * time.Millisecond)
		cancel()
		assertError(t, <-ended, false)
	}
	assertSends(t, f, 4)
}

// Guards against requests that reach an upstream after it has said that it leaves (DRAIN).
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	for name, leaves := range map[string]behavior{
		"success":  {status: 200, leaving: true},
		"failure":  {status: 500, leaving: true},
		"refusal":  {status: 503, notRun: true, leaving: true},
		"no reply": {err: errors.New("invalid response"), leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			b, f := newBalancer(map[string]behavior{"a": leaves})
			_, _ = b.Do(t.Context(), request(true, 2))
			f.behaviors["b"] = succeeds
			b.Sync(readyUpstreams(f.behaviors))
			for range 40 {
				_, _ = b.Do(t.Context(), request(true, 2))
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			toA := 0
			for _, id := range f.sends {
				if id == "a" {
					toA++
				}
			}
			if toA != 1 {
				t.Fatalf("%d of %d requests went to the leaving upstream, want the first only", toA, len(f.sends))
			}
		})
	}
}

func TestLastLeavingUpstreamIsUsedForAMoment(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": {status: 200, leaving: true}})
	for range 2 {
		if _, err := b.Do(t.Context(), request(false, 1)); err != nil {
			t.Fatal(err)
		}
	}
	// drainMs of the deployments is 2 s at least.
	time.Sleep(2 * time.Second)
	_, err := b.Do(t.Context(), request(false, 1))
	assertError(t, err, true)
	assertSends(t, f, 2)
}

// Guards against evidence of crashes that is forgotten when another upstream answers with
// a failure: only a response that shows that the request can be served clears it.
func TestFailureKeepsBrokenConnections(t *testing.T) {
	for name, c := range map[string]struct {
		answer behavior
		want   int
	}{
		"500":     {behavior{status: 500}, 1},
		"502":     {behavior{status: 502}, 1},
		"504":     {behavior{status: 504}, 1},
		"success": {succeeds, 0},
		"404":     {behavior{status: 404}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, f := newBalancer(map[string]behavior{"a": disconnects})
			_, _ = b.Do(t.Context(), request(true, 1))
			f.behaviors = map[string]behavior{"b": c.answer}
			b.Sync(readyUpstreams(f.behaviors))
			if _, err := b.Do(t.Context(), request(true, 1)); err != nil {
				t.Fatal(err)
			}
			if _, connections := b.BrokenConnections(); len(connections) != c.want {
				t.Fatalf("%d broken connections after the response, want %d", len(connections), c.want)
			}
		})
	}
}

// crash makes requests of an account crash upstreams, and returns the number of sends.
func crash(t *testing.T, b *balance.Balancer, f *fakeUpstreams, account string, attempts int) int {
	t.Helper()
	req := request(true, attempts)
	req.UpstreamRequest.Account = account
	req.HedgeAfter = 10 * time.Millisecond
	before := len(f.sends)
	_, err := b.Do(t.Context(), req)
	assertError(t, err, false)
	return len(f.sends) - before
}

// Guards against an entry that goes on sending a request although it has itself seen three
// upstreams crash under it, as while control has no leader.
func TestHostRefusesFromItsOwnCrashes(t *testing.T) {
	b, f := newBalancer(nil)
	fingerprint := balance.FingerprintOf(rollout.UpstreamRequest{Account: "farm"})
	for i, id := range []string{"a", "b", "c"} {
		if b.Refuses(fingerprint) {
			t.Fatalf("refused after %d crashes, want 3", i)
		}
		f.behaviors = map[string]behavior{id: crashes}
		b.Sync(readyUpstreams(f.behaviors))
		crash(t, b, f, "farm", 1)
	}
	if !b.Refuses(fingerprint) || b.Refuses(balance.FingerprintOf(rollout.UpstreamRequest{Account: "other"})) {
		t.Fatal("want the request of the account refused after three crashes, and no other one")
	}
}

// Guards against hedges of a request that may crash its upstreams: each would end another
// one before the first has ended.
func TestSuspectIsNotHedged(t *testing.T) {
	slowCrash := behavior{err: crashes.err, ended: true, delay: 50 * time.Millisecond}
	b, f := newBalancer(map[string]behavior{"a": crashes})
	crash(t, b, f, "farm", 1)
	f.behaviors = map[string]behavior{"b": slowCrash, "c": slowCrash, "d": slowCrash}
	b.Sync(readyUpstreams(f.behaviors))
	f.maxRunning = 0
	if sends := crash(t, b, f, "farm", 3); sends != 3 || f.maxRunning != 1 {
		t.Fatalf("a suspect was sent to %d upstreams and ran at %d at once, want 3 and 1", sends, f.maxRunning)
	}
}

// Guards against sound requests that follow a crashing one from upstream to upstream.
func TestSuspectsRunApart(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": crashes})
	for _, account := range []string{"boom", "sound"} {
		crash(t, b, f, account, 1)
	}
	f.behaviors = map[string]behavior{"b": {hang: true}, "c": {hang: true}}
	b.Sync(readyUpstreams(f.behaviors))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	for _, account := range []string{"boom", "sound"} {
		go func() {
			req := request(true, 1)
			req.UpstreamRequest.Account = account
			_, _ = b.Do(ctx, req)
			done <- struct{}{}
		}()
	}
	for f.countSends() < 4 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	<-done
	if last := f.sends[2:]; last[0] == last[1] {
		t.Fatalf("both suspects ran at %s, want one at each upstream", last[0])
	}
}

// Guards against statuses that promise that a request has not run, of upstreams that do not say
// so, and against such a response as the final one where another upstream may be tried.
func TestRefusalWithoutStatementMayHaveRun(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		refuses := behavior{status: status}
		t.Run(strconv.Itoa(status)+" once", func(t *testing.T) {
			b, f := newBalancer(map[string]behavior{"a": refuses, "b": succeeds})
			b.Sync(readyUpstreams(map[string]behavior{"a": refuses}))
			response, err := b.Do(t.Context(), request(false, 3))
			if err != nil || response.Head.Status != 502 || string(response.Body) != "a" {
				t.Errorf("got status %d, body %q, error %v, want 502 and the body", response.Head.Status, response.Body, err)
			}
			assertSends(t, f, 1)
		})
		t.Run(strconv.Itoa(status)+" repeatable", func(t *testing.T) {
			b, f := newBalancer(map[string]behavior{"a": refuses, "b": refuses, "c": refuses})
			if response, err := b.Do(t.Context(), request(true, 3)); err != nil || response.Head.Status != 502 {
				t.Errorf("got status %d, error %v, want 502", response.Head.Status, err)
			}
			assertSends(t, f, 3)
		})
	}
}
