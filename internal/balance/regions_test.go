package balance_test

import (
	"slices"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// newRegionBalancer returns a balancer whose upstreams are in the failure domains that the
// first letters of their IDs name. Those of its own failure domain, d, are preferred.
func newRegionBalancer(behaviors map[string]behavior) (*balance.Balancer, *fakeUpstreams, map[string]discovery.Upstream) {
	b, f := newBalancer(behaviors)
	us := readyUpstreams(behaviors)
	for id, u := range us {
		u.FailureDomain = id[:1]
		us[id] = u
	}
	b.Sync(us)
	return b, f, us
}

// restrictedTo returns a repeatable request that may go to the given failure domains only.
func restrictedTo(domains ...string) balance.Request {
	r := request(true, 3)
	r.Restrict = func() balance.Restriction {
		return func(domain string) bool { return slices.Contains(domains, domain) }
	}
	return r
}

// assertOnlySentTo checks that a request was sent, and to no other than the given upstreams.
func assertOnlySentTo(t *testing.T, f *fakeUpstreams, ids ...string) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sends) == 0 || slices.ContainsFunc(f.sends, func(id string) bool { return !slices.Contains(ids, id) }) {
		t.Fatalf("sent to %v, want some of %v only", f.sends, ids)
	}
}

func assertRegionRefused(t *testing.T, err error) {
	t.Helper()
	assertError(t, err, true)
	if e := rollout.AsError(err); e.Kind != rollout.KindRegionNotAllowed || e.RetryDelay() <= 0 {
		t.Fatalf("got error %v with a retry delay of %d ms, want RegionNotAllowed with a delay", err, e.RetryDelay())
	}
}

// Guards against first attempts and retries in a region that is not allowed, although the
// upstreams there are idle, near and ready.
func TestRetriesStayWhereTheRequestIsAllowed(t *testing.T) {
	for name, r := range map[string]behavior{"crash": disconnects, "failure": fails, "rejection": overloaded} {
		t.Run(name, func(t *testing.T) {
			b, f, _ := newRegionBalancer(map[string]behavior{"d1": succeeds, "d2": succeeds, "e1": r, "e2": r})
			response, err := b.Do(t.Context(), restrictedTo("e"))
			if err == nil && response.Head.Status < 500 {
				t.Fatalf("answered by %s", response.Upstream)
			}
			assertSends(t, f, 2)
			assertOnlySentTo(t, f, "e1", "e2")
		})
	}
}

// Guards against a hedge in a region that is not allowed.
func TestHedgesStayWhereTheRequestIsAllowed(t *testing.T) {
	b, f, _ := newRegionBalancer(map[string]behavior{"d1": succeeds, "e1": {status: 200, delay: 60 * time.Millisecond}})
	r := restrictedTo("e")
	r.HedgeAfter = 5 * time.Millisecond
	response, err := b.Do(t.Context(), r)
	if err != nil || response.Upstream != "e1" {
		t.Fatalf("got response of %q, error %v, want that of e1", response.Upstream, err)
	}
	assertOnlySentTo(t, f, "e1")
}

// Guards against a retry at an upstream outside that has permits left.
func TestLimitedUpstreamsOutsideAreNotUsed(t *testing.T) {
	b, f, us := newRegionBalancer(map[string]behavior{"d1": limitedTo(1)})
	if _, err := b.Do(t.Context(), patientRequest(time.Second)); err != nil {
		t.Fatal(err)
	}
	grant(b, "d1", 1)
	f.behaviors["e1"] = overloaded
	e1 := us["d1"]
	e1.ID, e1.Address, e1.FailureDomain = "e1", "e1", "e"
	us["e1"] = e1
	b.Sync(us)
	f.sends = nil
	r := restrictedTo("e")
	r.LimitPatience = time.Second
	_, err := b.Do(t.Context(), r)
	assertError(t, err, true)
	assertOnlySentTo(t, f, "e1")
}

// Guards against a wait, or a fallback to another region, when no allowed region has an
// upstream.
func TestRequestWithoutAllowedUpstreamIsRefusedAtOnce(t *testing.T) {
	b, f, us := newRegionBalancer(map[string]behavior{"d1": succeeds, "e1": succeeds})
	for _, domains := range [][]string{nil, {"x"}} {
		_, err := b.Do(t.Context(), restrictedTo(domains...))
		assertRegionRefused(t, err)
	}
	u := us["e1"]
	u.State = discovery.StateDraining
	us["e1"] = u
	b.Sync(us)
	_, err := b.Do(t.Context(), restrictedTo("e"))
	assertRegionRefused(t, err)
	assertSends(t, f, 0)
}

// Guards against attempts that follow a configuration that is no longer in force.
func TestRestrictionIsThatOfEachAttempt(t *testing.T) {
	b, f, _ := newRegionBalancer(map[string]behavior{"d1": succeeds, "e1": fails, "e2": fails})
	r := restrictedTo("e")
	before := r.Restrict
	r.Restrict = func() balance.Restriction {
		if f.countSends() == 0 {
			return before()
		}
		return func(string) bool { return false }
	}
	if response, err := b.Do(t.Context(), r); err != nil || response.Head.Status != 500 {
		t.Fatalf("got response %+v, error %v, want the failure of the first attempt", response, err)
	}
	assertSends(t, f, 1)
}

// Guards against streams that wait to go on at an upstream outside.
func TestUpstreamsOutsideCannotContinueStreams(t *testing.T) {
	b, _, us := newRegionBalancer(map[string]behavior{"d1": succeeds, "e1": succeeds})
	for id, u := range us {
		u.Software = "v1"
		us[id] = u
	}
	b.Sync(us)
	inE := restrictedTo("e").Restrict()
	if !b.HasUpstream("p", "v1", inE) || b.HasUpstream("p", "v1", inE, "e1") || !b.HasUpstream("p", "v1", nil, "e1") {
		t.Fatal("want e1 alone within the restriction, and d1 too without one")
	}
}
