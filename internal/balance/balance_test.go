package balance_test

import (
	"context"
	"errors"
	"io"
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

// reply is what a fake upstream does with a request.
type reply struct {
	status int
	notRun bool
	err    error
	// hang waits for the end of the context.
	hang bool
}

// fakeUpstreams answers by upstream ID and counts the sends.
type fakeUpstreams struct {
	rollout.Upstreams
	replies map[string]reply

	mu    sync.Mutex
	sends []string
}

func (f *fakeUpstreams) Open(ctx context.Context, x rollout.Exchange) (rollout.ExchangeResponse, error) {
	f.mu.Lock()
	f.sends = append(f.sends, x.Instance)
	f.mu.Unlock()
	r := f.replies[x.Instance]
	if r.hang {
		<-ctx.Done()
		return rollout.ExchangeResponse{}, ctx.Err()
	}
	if r.err != nil {
		return rollout.ExchangeResponse{}, r.err
	}
	return rollout.ExchangeResponse{Status: r.status, NotRun: r.notRun, Body: io.NopCloser(strings.NewReader(x.Instance))}, nil
}

func newBalancer(replies map[string]reply) (*balance.Balancer, *fakeUpstreams) {
	f := &fakeUpstreams{replies: replies}
	b := balance.New(f, clock.Boottime{}, "d", zap.NewNop())
	us := make(map[string]discovery.Upstream)
	for id := range replies {
		us[id] = discovery.Upstream{ID: id, Pool: "p", FailureDomain: "d", State: discovery.StateReady, Slots: 4, Born: 1}
	}
	b.Sync(us)
	return b, f
}

func request(repeatable bool, attempts int) balance.Request {
	return balance.Request{Pool: "p", Repeatable: repeatable, MaxAttempts: attempts, Deadline: time.Now().Add(time.Minute)}
}

func assertSends(t *testing.T, f *fakeUpstreams, want int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sends) != want {
		t.Fatalf("sent to %v, want %d sends", f.sends, want)
	}
}

func assertRefused(t *testing.T, err error, notRun bool) {
	t.Helper()
	if err == nil || rollout.AsError(err).NotRun != notRun {
		t.Fatalf("error %v, want NotRun %v", err, notRun)
	}
}

var (
	good   = reply{status: 200}
	full   = reply{status: 503, notRun: true}
	broken = reply{err: errors.New("reset")}
	failed = reply{status: 500}
)

func TestAnswerOfTheUpstreamComesBack(t *testing.T) {
	b, _ := newBalancer(map[string]reply{"a": good})
	answer, err := b.Do(t.Context(), request(true, 1))
	if err != nil || string(answer.Body) != "a" || answer.Upstream != "a" {
		t.Fatalf("%+v, %v", answer, err)
	}
}

func TestRequestThatDidNotRunGoesElsewhere(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		b, f := newBalancer(map[string]reply{"a": full, "b": full, "c": full})
		_, err := b.Do(t.Context(), request(repeatable, 1))
		assertRefused(t, err, true)
		assertSends(t, f, 3)
	}
}

func TestUnrepeatableRequestIsSentOnce(t *testing.T) {
	for name, r := range map[string]reply{"lost answer": broken, "failure": failed} {
		t.Run(name, func(t *testing.T) {
			b, f := newBalancer(map[string]reply{"a": r, "b": r, "c": r})
			answer, err := b.Do(t.Context(), request(false, 3))
			if r.err != nil {
				assertRefused(t, err, false)
			} else if answer.Head.Status != 500 {
				t.Fatalf("answer %+v, %v", answer, err)
			}
			assertSends(t, f, 1)
		})
	}
}

func TestRepeatableRequestIsTriedWithinItsAttempts(t *testing.T) {
	b, f := newBalancer(map[string]reply{"a": broken, "b": broken, "c": broken, "d": broken})
	_, err := b.Do(t.Context(), request(true, 3))
	assertRefused(t, err, false)
	assertSends(t, f, 3)
}

func TestFailureOfTheLastUpstreamComesBack(t *testing.T) {
	b, f := newBalancer(map[string]reply{"a": failed, "b": failed, "c": failed})
	answer, err := b.Do(t.Context(), request(true, 2))
	if err != nil || answer.Head.Status != 500 {
		t.Fatalf("%+v, %v", answer, err)
	}
	assertSends(t, f, 2)
}

func TestPoolWithoutUpstreamsRefusesAtOnce(t *testing.T) {
	b, _ := newBalancer(nil)
	_, err := b.Do(t.Context(), request(true, 2))
	assertRefused(t, err, true)
}

func TestHungUpstreamIsHedged(t *testing.T) {
	b, f := newBalancer(map[string]reply{"a": {hang: true}, "b": {hang: true}, "c": good})
	req := request(true, 3)
	req.HedgeAfter = time.Millisecond
	for range 20 {
		answer, err := b.Do(t.Context(), req)
		if err == nil && answer.Upstream != "c" {
			t.Fatalf("answer of %s", answer.Upstream)
		}
		if len(f.sends) > 1 {
			return
		}
	}
	t.Fatal("never hedged")
}

func TestUnrepeatableRequestIsNotHedged(t *testing.T) {
	b, f := newBalancer(map[string]reply{"a": {hang: true}, "b": {hang: true}})
	req := request(false, 3)
	req.HedgeAfter = time.Millisecond
	req.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err := b.Do(t.Context(), req)
	assertRefused(t, err, false)
	assertSends(t, f, 1)
}

func TestLeavingCallerCancelsTheAttempt(t *testing.T) {
	b, _ := newBalancer(map[string]reply{"a": {hang: true}})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := b.Do(ctx, request(true, 2))
	assertRefused(t, err, false)
}

func TestDrainingUpstreamsGetNothing(t *testing.T) {
	b, f := newBalancer(map[string]reply{"a": good})
	b.Sync(map[string]discovery.Upstream{"a": {ID: "a", Pool: "p", State: discovery.StateDraining, Slots: 4, Born: 1}})
	_, err := b.Do(t.Context(), request(true, 2))
	assertRefused(t, err, true)
	assertSends(t, f, 0)
}

func TestBeganIsCalledOnceForARequestThatRan(t *testing.T) {
	b, _ := newBalancer(map[string]reply{"a": broken, "b": failed, "c": full})
	began := 0
	req := request(true, 3)
	req.OnStarted = func() { began++ }
	_, _ = b.Do(t.Context(), req)
	if began != 1 {
		t.Fatalf("began %d times", began)
	}
}

func assertSightings(t *testing.T, b *balance.Balancer, want int) {
	t.Helper()
	if _, sightings := b.Crashes(); len(sightings) != want {
		t.Fatalf("sightings %v, want %d", sightings, want)
	}
}

func TestBrokenConnectionsAreNotedUntilAnAnswer(t *testing.T) {
	b, _ := newBalancer(map[string]reply{"a": broken, "b": broken})
	_, err := b.Do(t.Context(), request(true, 2))
	assertRefused(t, err, false)
	assertSightings(t, b, 2)
	b.Sync(map[string]discovery.Upstream{"c": {ID: "c", Pool: "p", FailureDomain: "d", State: discovery.StateReady, Slots: 4}})
	other := request(true, 1)
	other.Exchange.Body = []byte("other")
	for _, req := range []balance.Request{other, request(true, 1)} {
		assertSightings(t, b, 2)
		_, _ = b.Do(t.Context(), req)
	}
	assertSightings(t, b, 0)
}

func TestRefusalsAndTimeoutsAreNoSightings(t *testing.T) {
	for name, r := range map[string]reply{"full": full, "failure": failed, "hang": {hang: true}} {
		t.Run(name, func(t *testing.T) {
			b, _ := newBalancer(map[string]reply{"a": r})
			req := request(true, 1)
			req.Deadline = time.Now().Add(20 * time.Millisecond)
			_, _ = b.Do(t.Context(), req)
			assertSightings(t, b, 0)
		})
	}
}
