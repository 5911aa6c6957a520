package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// newRouter returns a router with upstreams u0, u1, ... in failure domains d0 to
// d2. Upstream ui holds version i of group g.
func newRouter(upstreams int, change func(i int, u *catalog.Upstream)) *Router {
	r := New(DefaultConfig("d0"), rand.New(rand.NewPCG(1, 1)))
	c := catalog.New()
	for i := range upstreams {
		u := catalog.Upstream{
			ID: fmt.Sprintf("u%d", i), Pool: "p", FailureDomain: fmt.Sprintf("d%d", i%3), Slots: 8, Incarnation: "1",
			Versions: map[string]uint64{"g": uint64(i)},
		}
		if change != nil {
			change(i, &u)
		}
		c.Upstreams[u.ID] = u
	}
	r.Sync(c)
	return r
}

func pick(t *testing.T, r *Router, now rollout.Millis, q Query) Choice {
	t.Helper()
	q.Pool = "p"
	c, ok := r.Pick(now, q)
	if !ok {
		t.Fatal("Pick() found no upstream")
	}
	return c
}

func assertNoChoice(t *testing.T, r *Router, now rollout.Millis, q Query) {
	t.Helper()
	q.Pool = "p"
	if c, ok := r.Pick(now, q); ok {
		t.Fatalf("Pick() = %s, want none", c.Upstream.ID)
	}
}

func TestOnlyEligibleUpstreamsAreChosen(t *testing.T) {
	t.Run("leaving", func(t *testing.T) {
		r := newRouter(3, func(i int, u *catalog.Upstream) { u.Leaving = i != 1 })
		for range 20 {
			if c := pick(t, r, 0, Query{}); c.Upstream.ID != "u1" {
				t.Fatalf("Pick() = %s, want u1", c.Upstream.ID)
			}
		}
	})
	t.Run("version below minimum", func(t *testing.T) {
		r := newRouter(5, nil)
		for range 20 {
			if c := pick(t, r, 0, Query{Group: "g", MinVersion: 4, Prefix: 7}); c.Upstream.ID != "u4" {
				t.Fatalf("Pick() = %s, want u4", c.Upstream.ID)
			}
		}
		assertNoChoice(t, r, 0, Query{Group: "g", MinVersion: 5})
	})
	t.Run("excluded upstreams", func(t *testing.T) {
		assertNoChoice(t, newRouter(2, nil), 0, Query{Exclude: []string{"u0", "u1"}})
	})
}

// TestEvacuatedUpstreamsGetNoRequests guards against each way by which a request
// could still reach an evacuated upstream.
func TestEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	for name, q := range map[string]Query{
		"load": {}, "prefix": {Prefix: 7}, "retry": {Exclude: []string{"u1"}}, "group": {Group: "g", MinVersion: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(6, func(_ int, u *catalog.Upstream) { u.Evacuated = u.FailureDomain != "d1" })
			for range 20 {
				c := pick(t, r, 0, q)
				if c.Upstream.FailureDomain != "d1" || !slices.Equal(c.Evacuated, []string{"d0", "d2"}) {
					t.Fatalf("Pick() = %s with evacuated domains %v, want one of d1 and domains d0, d2", c.Upstream.ID, c.Evacuated)
				}
			}
		})
	}
	t.Run("by ID", func(t *testing.T) {
		r := newRouter(2, func(i int, u *catalog.Upstream) { u.Evacuated = i == 0 })
		if c, ok := r.PickUpstream(0, "u0", Query{Pool: "p"}); ok {
			t.Fatalf("PickUpstream() = %s, want none", c.Upstream.ID)
		}
	})
	t.Run("all, and one is leaving", func(t *testing.T) {
		r := newRouter(3, func(i int, u *catalog.Upstream) { u.Evacuated, u.Leaving = i != 1, i == 1 })
		assertNoChoice(t, r, 0, Query{})
		if domains, all := r.Evacuated("p"); !all || !slices.Equal(domains, []string{"d0", "d2"}) {
			t.Fatalf("Evacuated() = %v, %v, want d0, d2 and all", domains, all)
		}
	})
	t.Run("taken back", func(t *testing.T) {
		r := newRouter(1, func(_ int, u *catalog.Upstream) { u.Evacuated = true })
		c := catalog.New()
		c.Upstreams["u0"] = catalog.Upstream{ID: "u0", Pool: "p", Slots: 8, Incarnation: "1"}
		r.Sync(c)
		if got := pick(t, r, 0, Query{}); len(got.Evacuated) > 0 {
			t.Fatalf("evacuated domains %v, want none", got.Evacuated)
		}
	})
}

func TestFailingUpstreamIsEjectedAndProbed(t *testing.T) {
	r := newRouter(1, nil)
	cfg := DefaultConfig("")
	for range cfg.EjectAfter {
		pick(t, r, 0, Query{})
		r.Finished(0, "u0", Outcome{Failed: true, Running: -1})
	}
	assertNoChoice(t, r, cfg.EjectMS-1, Query{})
	pick(t, r, cfg.EjectMS, Query{})
	assertNoChoice(t, r, cfg.EjectMS, Query{})
	r.Finished(cfg.EjectMS, "u0", Outcome{Failed: true, Running: -1})
	assertNoChoice(t, r, cfg.EjectMS+2*cfg.EjectMS-1, Query{})
	pick(t, r, 3*cfg.EjectMS, Query{})
	r.Finished(3*cfg.EjectMS, "u0", Outcome{Running: -1})
	pick(t, r, 3*cfg.EjectMS, Query{})
	pick(t, r, 3*cfg.EjectMS, Query{})
}

func TestAffinityYieldsToLoad(t *testing.T) {
	r := newRouter(4, nil)
	first := pick(t, r, 0, Query{Prefix: 99}).Upstream.ID
	counts := map[string]int{first: 1}
	for range 31 {
		counts[pick(t, r, 0, Query{Prefix: 99}).Upstream.ID]++
	}
	for id, n := range counts {
		if n > 10+1 {
			t.Errorf("upstream %s got %d of 32 requests, want at most 11", id, n)
		}
	}
	if len(counts) < 3 {
		t.Errorf("requests by upstream %v, want at least 3 upstreams", counts)
	}
}

func TestOwnFailureDomainIsPreferred(t *testing.T) {
	r := newRouter(9, nil)
	for range 6 {
		if c := pick(t, r, 0, Query{}); c.Upstream.FailureDomain != "d0" {
			t.Fatalf("Pick() = %s of another failure domain", c.Upstream.ID)
		}
	}
}

// A host with many calls at once would fill the few upstreams of its own failure
// domain while those of the others are idle.
func TestBurstSpreadsBeyondOwnFailureDomain(t *testing.T) {
	const upstreams, slots, burst = 24, 6, 72
	r := newRouter(upstreams, func(_ int, u *catalog.Upstream) { u.Slots = slots })
	r.cfg.LocalLoadLimit = 0.5
	counts := make(map[string]int)
	for range burst {
		counts[pick(t, r, 0, Query{Pool: "p"}).Upstream.ID]++
	}
	for id, n := range counts {
		if n > slots {
			t.Fatalf("%s got %d requests at once, want at most %d", id, n, slots)
		}
	}
}

func TestSlowUpstreamGetsFewerRequests(t *testing.T) {
	r := newRouter(3, func(_ int, u *catalog.Upstream) { u.FailureDomain = "d0" })
	counts := make(map[string]int)
	for range 600 {
		id := pick(t, r, 0, Query{}).Upstream.ID
		counts[id]++
		took := rollout.Millis(100)
		if id == "u0" {
			took = 300
		}
		r.Finished(0, id, Outcome{Running: 0, TookMS: took, Tokens: 10})
	}
	if counts["u0"] > 150 {
		t.Fatalf("requests by upstream %v, want at most 150 of 600 at the slow u0", counts)
	}
}

func BenchmarkPick680(b *testing.B) {
	for _, size := range []int{68, 340, 680} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := newRouter(size, nil)
			b.ReportAllocs()
			for i := range b.N {
				c, _ := r.Pick(rollout.Millis(i), Query{Pool: "p", Prefix: uint64(i%997) * 0x9e3779b97f4a7c15})
				r.Finished(rollout.Millis(i), c.Upstream.ID, Outcome{Running: 1, TookMS: 10, Tokens: 5})
			}
		})
	}
}

func TestNewerVersionsArePreferredUntilBusy(t *testing.T) {
	r := newRouter(2, func(i int, u *catalog.Upstream) {
		u.FailureDomain, u.Versions = "d0", map[string]uint64{"g": uint64(9 + i)}
	})
	q := Query{Group: "g", MinVersion: 8, NewestVersion: 10}
	counts := make(map[string]int)
	for range 14 {
		counts[pick(t, r, 0, q).Upstream.ID]++
	}
	if counts["u1"] <= counts["u0"]+3 || counts["u0"] == 0 {
		t.Fatalf("requests by upstream %v, want most at u1 with the newer version and some at u0", counts)
	}
}

func TestOutcomeOfEarlierIncarnationIsIgnored(t *testing.T) {
	r := newRouter(1, nil)
	pick(t, r, 0, Query{})
	c := catalog.New()
	c.Upstreams["u0"] = catalog.Upstream{ID: "u0", Pool: "p", FailureDomain: "d0", Slots: 8, Incarnation: "2"}
	r.Sync(c)
	placed := pick(t, r, 0, Query{})
	r.Finished(0, "u0", Outcome{Incarnation: "1", Failed: true, Running: -1})
	if got := r.candidates["u0"]; got.outstanding != 1 || got.failures != 0 {
		t.Fatalf("%d outstanding and %d failures after an end of an earlier incarnation, want 1, 0", got.outstanding, got.failures)
	}
	r.Finished(0, "u0", Outcome{Incarnation: placed.Upstream.Incarnation, Running: -1})
	if got := r.candidates["u0"]; got.outstanding != 0 {
		t.Fatalf("%d outstanding after the end, want 0", got.outstanding)
	}
}

// The last upstream of a pool may be leaving while its requests end.
func TestPaceStaysFiniteWhenPoolEmpties(t *testing.T) {
	r := newRouter(1, nil)
	pick(t, r, 0, Query{})
	pick(t, r, 0, Query{})
	c := catalog.New()
	c.Upstreams["u0"] = catalog.Upstream{ID: "u0", Pool: "p", FailureDomain: "d0", Slots: 8, Incarnation: "1", Leaving: true}
	r.Sync(c)
	for _, tookMS := range []rollout.Millis{100, 300} {
		r.Finished(0, "u0", Outcome{Running: -1, TookMS: tookMS, Tokens: 10})
	}
	if pace := r.pools["p"].msPerToken; math.IsNaN(pace) || math.IsInf(pace, 0) || pace > 30 {
		t.Fatalf("pace of the pool is %v ms a token, want 10 to 30", pace)
	}
}

// Many hosts with few requests each would open a connection for most lookups.
func TestSparseLookupsReuseConnection(t *testing.T) {
	r := newRouter(24, nil)
	r.cfg.ReuseMS = 10_000
	now := rollout.Millis(1_000)
	first := pick(t, r, now, Query{}).Upstream.ID
	r.Finished(now, first, Outcome{Running: -1})
	for range 5 {
		now += 4_000
		if c := pick(t, r, now, Query{}); c.Upstream.ID != first || c.Reason != ReasonReuse {
			t.Fatalf("Pick() = %s for %s, want %s again", c.Upstream.ID, c.Reason, first)
		}
		r.Finished(now, first, Outcome{Running: -1})
	}
	busy := pick(t, r, now, Query{}).Upstream.ID
	if second := pick(t, r, now, Query{}).Upstream.ID; second == busy {
		t.Fatalf("a second request at the same time went to %s too", second)
	}
	r.Finished(now, first, Outcome{Running: -1, Failed: true})
	if c := pick(t, r, now, Query{}); c.Reason == ReasonReuse && c.Upstream.ID == first {
		t.Fatalf("Pick() = %s right after its failure", first)
	}
}
