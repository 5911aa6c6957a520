package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

// syncCold passes the upstreams to a balancer, of which some are cold.
func syncCold(b *balance.Balancer, behaviors map[string]behavior, cold ...string) map[string]discovery.Upstream {
	us := readyUpstreams(behaviors)
	for _, id := range cold {
		u := us[id]
		u.ColdLimit = 10
		us[id] = u
	}
	b.Sync(us)
	return us
}

func TestWarmUpstreamsGoFirst(t *testing.T) {
	f := map[string]behavior{"a": succeeds, "b": succeeds}
	b, _ := newBalancer(f)
	syncCold(b, f, "a")
	grant(b, "a", 20)
	for range 20 {
		if response, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil || response.Upstream != "b" {
			t.Fatalf("got response of %s, error %v, want one of b", response.Upstream, err)
		}
	}
}

// Guards against requests that reach a cold upstream without a permit, and against waits that
// go on when it is warm.
func TestColdUpstreamGetsOnlyPermits(t *testing.T) {
	f := map[string]behavior{"a": succeeds}
	b, upstreams := newBalancer(f)
	syncCold(b, f, "a")
	grant(b, "a", 2)
	for range 2 {
		if _, err := b.Do(t.Context(), patientRequest(100*time.Millisecond)); err != nil {
			t.Fatal(err)
		}
	}
	started := time.Now()
	_, err := b.Do(t.Context(), patientRequest(100*time.Millisecond))
	assertError(t, err, true)
	if e := rollout.AsError(err); e.RetryDelay() < 500 || time.Since(started) > 50*time.Millisecond {
		t.Fatalf("got error %v with retry after %d ms, after %v; want it at once, with the time until the next permit", err, e.RetryDelay(), time.Since(started))
	}
	assertSends(t, upstreams, 2)
	done := make(chan error)
	go func() {
		_, err := b.Do(t.Context(), patientRequest(5*time.Second))
		done <- err
	}()
	for wants, _ := b.Limits().Ask(); len(wants) == 0; wants, _ = b.Limits().Ask() {
		time.Sleep(time.Millisecond)
	}
	b.Sync(readyUpstreams(f))
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against requests that are refused because all attempts went to warm upstreams without
// room, although a cold one could serve them.
func TestColdUpstreamServesWhenWarmOnesHaveNoRoom(t *testing.T) {
	f := map[string]behavior{"cold": succeeds}
	for i := range 10 {
		f[fmt.Sprint("warm-", i)] = overloaded
	}
	b, _ := newBalancer(f)
	syncCold(b, f, "cold")
	grant(b, "cold", 1)
	if response, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil || response.Upstream != "cold" {
		t.Fatalf("got response of %s, error %v, want one of the cold upstream", response.Upstream, err)
	}
}

// Guards against a hedge that uses up the little that a cold upstream takes.
func TestHedgeAvoidsColdUpstreams(t *testing.T) {
	f := map[string]behavior{"a": {status: 200, delay: 50 * time.Millisecond}, "b": succeeds}
	b, upstreams := newBalancer(f)
	syncCold(b, f, "b")
	grant(b, "b", 1)
	req := patientRequest(time.Second)
	req.HedgeAfter = 10 * time.Millisecond
	if response, err := b.Do(t.Context(), req); err != nil || response.Upstream != "a" {
		t.Fatalf("got response of %s, error %v, want one of a", response.Upstream, err)
	}
	assertSends(t, upstreams, 1)
}

// Guards against a host that has lost control and sends all it has to upstreams that may have
// become cold since.
func TestHostWithoutControlSendsItsShareOnly(t *testing.T) {
	const share = 4.0
	f := map[string]behavior{"a": succeeds}
	b, upstreams := newBalancer(f)
	confirmedMS := clock.Boottime{}.Now() - limit.OwnShareAfterMS - 1
	b.Limits().Follow(func() limit.Contact {
		return limit.Contact{ConfirmedMS: confirmedMS, Share: limit.Share{Hosts: 1}}
	})
	b.Limits().SetShareRates(map[string]float64{"p": share})
	b.Sync(readyUpstreams(f))
	started := time.Now()
	for range 4 {
		if _, err := b.Do(t.Context(), patientRequest(5*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(started); took < 600*time.Millisecond {
		t.Fatalf("4 requests took %v, want three turns of 250 ms at least", took)
	}
	assertSends(t, upstreams, 4)
}
