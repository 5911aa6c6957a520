package balance_test

import (
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

// grant gives a host permits for an upstream.
func grant(b *balance.Balancer, id string, permits int) {
	u := discovery.Incarnation{ID: id, Born: 1}
	wants, _ := b.Limits().Ask()
	b.Limits().Apply(clock.Boottime{}.Now(), wants, []limit.Grant{{Upstream: u, Permits: permits, NextMS: 700, IntervalMS: 700}}, 2)
}

// limitedTo makes an upstream name a limit in its responses.
func limitedTo(perSecond float64) behavior {
	return behavior{status: 200, limit: rollout.RateLimit{Limited: true, PerSecond: perSecond}}
}

func patientRequest(patience time.Duration) balance.Request {
	req := request(true, 2)
	req.LimitPatience = patience
	return req
}

func TestUpstreamsWithoutLimitGoFirst(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": limitedTo(1)})
	if _, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil {
		t.Fatal(err)
	}
	f.behaviors["b"] = succeeds
	b.Sync(readyUpstreams(f.behaviors))
	for range 20 {
		if response, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil || response.Upstream != "b" {
			t.Fatalf("got response of %s, error %v, want one of b", response.Upstream, err)
		}
	}
}

// Guards against callers that wait for a limit that lets them through after their patience.
func TestRequestBeyondLimitIsRefusedAtOnce(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": limitedTo(1)})
	if _, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil {
		t.Fatal(err)
	}
	grant(b, "a", 0)
	started := time.Now()
	_, err := b.Do(t.Context(), patientRequest(100*time.Millisecond))
	assertError(t, err, true)
	e := rollout.AsError(err)
	if e.Kind != rollout.KindOverloaded || e.RetryDelay() < 500 || e.RetryDelay() > 700 || time.Since(started) > 50*time.Millisecond {
		t.Fatalf("got error %v with retry after %d ms, after %v; want Overloaded at once, with the time until the next permit", err, e.RetryDelay(), time.Since(started))
	}
	assertSends(t, f, 1)
}

func TestPermitLetsRequestThrough(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": limitedTo(1)})
	if _, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() {
		_, err := b.Do(t.Context(), patientRequest(5*time.Second))
		done <- err
	}()
	<-b.Limits().Wake()
	<-b.Limits().Wake()
	assertSends(t, f, 1)
	grant(b, "a", 1)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	assertSends(t, f, 2)
}

// A response without the header ends the limit.
func TestLimitEndsWhenUpstreamNamesNone(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"a": limitedTo(1)})
	if _, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil {
		t.Fatal(err)
	}
	f.behaviors["a"] = succeeds
	grant(b, "a", 1)
	for range 10 {
		if _, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestHedgeAvoidsUpstreamsWithLimit(t *testing.T) {
	b, f := newBalancer(map[string]behavior{"b": limitedTo(1)})
	if _, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil {
		t.Fatal(err)
	}
	f.behaviors["a"] = behavior{status: 200, delay: 50 * time.Millisecond}
	b.Sync(readyUpstreams(f.behaviors))
	req := patientRequest(time.Second)
	req.HedgeAfter = 10 * time.Millisecond
	if response, err := b.Do(t.Context(), req); err != nil || response.Upstream != "a" {
		t.Fatalf("got response of %s, error %v, want one of a", response.Upstream, err)
	}
	assertSends(t, f, 2)
}
