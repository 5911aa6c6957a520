package limit

import (
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

// coldRate is the limit of a cold upstream in these tests in requests a second.
const coldRate = 10.0

// syncEngine passes the engine with its limits to a gate.
func syncEngine(g *Gate, named, cold float64) {
	g.Sync(map[string]discovery.Upstream{engine.ID: {ID: engine.ID, Born: engine.Born, Pool: "p", Limit: named, ColdLimit: cold}})
}

// newColdGate returns a gate that knows that the engine is cold, and its clock.
func newColdGate() (*Gate, *clock.Manual) {
	c := clock.NewManual(1_000_000)
	g := NewGate(c)
	syncEngine(g, 0, coldRate)
	return g, c
}

// Guards against a cold upstream that gets all requests because its responses, or a reply
// that is older than the news, name no limit.
func TestOnlyControlEndsColdLimit(t *testing.T) {
	g, c := newColdGate()
	w := mustWait(t, g, Request{})
	g.Said(engine, rollout.RateLimit{})
	g.Said(engine, rollout.RateLimit{Limited: true, PerSecond: coldRate / 2})
	g.Said(engine, rollout.RateLimit{})
	wants, _ := g.Ask()
	g.Apply(c.Now(), wants, nil, 1)
	if g.Tick(); isAdmitted(w) || !g.IsCold(engine) {
		t.Fatal("the limit of a cold upstream ended without control")
	}
	syncEngine(g, 0, 0)
	if !isAdmitted(w) || g.IsCold(engine) {
		t.Fatal("a request still waits for an upstream that is warm again")
	}
}

// Guards against a limit that ends with the other one, or the higher of both.
func TestLowerOfNamedAndColdLimitHolds(t *testing.T) {
	g, _ := newColdGate()
	g.Said(engine, rollout.RateLimit{Limited: true, PerSecond: coldRate / 2})
	s := g.upstreams[engine]
	for _, c := range []struct{ named, cold, want float64 }{
		{coldRate / 2, coldRate, coldRate / 2}, {2 * coldRate, coldRate, coldRate}, {0, coldRate, coldRate}, {coldRate, 0, coldRate}, {0, 0, 0},
	} {
		if syncEngine(g, c.named, c.cold); s.limit() != c.want {
			t.Fatalf("limit %g with %g named and %g while cold, want %g", s.limit(), c.named, c.cold, c.want)
		}
	}
}

// Guards against items that wait for permits of which the leader of the job store needs none.
func TestSenderWithOwnColdBoundNeedsNoPermit(t *testing.T) {
	g, _ := newColdGate()
	r := Request{OwnColdBound: true, Patience: time.Minute}
	if w, err := g.join(engine, r); w != nil || err != nil {
		t.Fatalf("got place %v, %v, want none", w, err)
	}
	g.Said(engine, rollout.RateLimit{Limited: true, PerSecond: coldRate})
	w := mustWait(t, g, r)
	if g.Said(engine, rollout.RateLimit{}); !isAdmitted(w) {
		t.Fatal("the item waits although the upstream names no limit any more")
	}
}

// Guards against hosts that send all they have to upstreams that became cold after they lost
// control, and against an entry that takes itself for the only one.
func TestHostWithoutControlKeepsToItsShare(t *testing.T) {
	const entries, wanted = 4, 60
	rate := coldBound.ShareRate(coldRate)
	for name, tc := range map[string]struct {
		share Share
		cold  float64
		most  int
	}{
		"not known to be cold": {Share{Hosts: entries, Turn: 1}, 0, 13},
		"known to be cold":     {Share{Hosts: entries, Turn: 1}, coldRate, 13},
		"told no share":        {Share{}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := clock.NewManual(1_000_000)
			g := NewGate(c)
			contact := Contact{ConfirmedMS: c.Now(), Share: tc.share}
			g.Follow(func() Contact { return contact })
			g.SetShareRates(map[string]float64{"p": rate})
			syncEngine(g, 0, tc.cold)
			c.Advance(ownShareAfterMS + stepMS)
			var waiters []*waiter
			for range wanted {
				waiters = append(waiters, mustWait(t, g, Request{}))
			}
			const forMS rollout.Millis = 10_000
			for end := c.Now() + forMS; c.Now() < end; c.Advance(stepMS) {
				g.Tick()
			}
			admitted := 0
			for _, w := range waiters {
				if isAdmitted(w) {
					admitted++
				}
			}
			if admitted > tc.most || admitted < tc.most-1 {
				t.Fatalf("%d requests in %d ms, want %d or one less", admitted, forMS, tc.most)
			}
			contact.ConfirmedMS = c.Now()
			if g.Tick(); isAdmitted(waiters[wanted-1]) != (tc.cold == 0) {
				t.Fatalf("back in contact, the last request is admitted: %v", isAdmitted(waiters[wanted-1]))
			}
		})
	}
}

// Guards against a divider that grants the shares of hosts that it does not hear of.
func TestSharesOfAbsentHostsAreLeftOut(t *testing.T) {
	const now rollout.Millis = 1_000_000
	var s Shares
	watchAll := func(at rollout.Millis) {
		s.Watched(at, "a", 0)
		s.Watched(at, "b", 0)
		s.StoreWatched(at, "store", 0, true)
		s.Tell(at, "a")
		s.Tell(at, "b")
	}
	assertRate := func(at rollout.Millis, pool document.Pool, want float64) {
		t.Helper()
		p := coldBound.Permits(pool, s.Absent(at, true))
		if got := p.Rate * (1 - p.Absent); got < want-0.01 || got > want+0.01 {
			t.Fatalf("%d ms later: %g permits a second, want %g", at-now, got, want)
		}
	}
	watchAll(now)
	settled := now + 2*coldWindowMS
	for at := now; at <= settled; at += 500 {
		watchAll(at)
	}
	assertRate(settled, servicePool, coldRate)
	assertRate(settled, enginePool, coldRate/2)
	lost := settled + shareAbsentMS + 1
	s.Watched(lost, "a", 0)
	s.StoreWatched(lost, "store", 0, true)
	back := lost + coldWindowMS
	s.Watched(back, "a", 0)
	s.StoreWatched(back, "store", 0, true)
	// Of the half for entries, b was last told that it has one half.
	assertRate(back+1, servicePool, coldRate-coldRate/4)
	assertRate(back+1, enginePool, coldRate/2-coldRate/4)
	s.Watched(back, "b", shareAbsentMS+1)
	assertRate(back+1, servicePool, coldRate-coldRate/4)
	s.Watched(back, "b", 0)
	assertRate(back+coldWindowMS, servicePool, coldRate-coldRate/4)
	assertRate(back+coldWindowMS+1, servicePool, coldRate)
	s.StoreWatched(back+coldWindowMS, "store", 0, false)
	assertRate(back+coldWindowMS+1, servicePool, coldRate/2)
}

// Guards against a new leader of control that takes the entries that it has not heard of for
// stopped.
func TestNewLeaderLeavesOutSharesOfFormerEntries(t *testing.T) {
	const now rollout.Millis = 1_000_000
	var s Shares
	s.Watched(now, "a", 0)
	s.Tell(now, "a")
	for name, next := range map[string]Shares{
		"known":   NewSharesAfter(now, s.Senders(), 0, true),
		"unknown": NewSharesAfter(now, nil, 0, true),
	} {
		if p := coldBound.Permits(servicePool, next.Absent(now, false)); p.Absent < 0.49 {
			t.Errorf("%s: %g of the rate is left out, want the half for entries", name, p.Absent)
		}
	}
	none := NewSharesAfter(now, nil, 0, false)
	if p := coldBound.Permits(servicePool, none.Absent(now, false)); p.Absent != 0 {
		t.Errorf("%g of the rate is left out for a first leader, want 0", p.Absent)
	}
}

// Guards against a bound that is exceeded with credit that was saved up, for any rate.
func TestColdBoundHoldsForEachRate(t *testing.T) {
	for _, tolerated := range []float64{0.2, 1, 3, 10, 40, 200} {
		for _, b := range []ColdBound{{}, {Overage: 1, Tolerance: 1}, coldBound} {
			bound := b.PerSecond(tolerated)
			if most := turnsInWindow(b.ShareRate(tolerated)); most > int(bound/2) {
				t.Errorf("%g a second, %+v: %d requests in turns of the bound %g, want one half at most", tolerated, b, most, bound)
			}
			d := NewDivider()
			now := rollout.Millis(1_000_000)
			p := b.Permits(document.Pool{ColdPerSecond: tolerated}, Absence{})
			granted := 0
			for at := now; at <= now+3*coldWindowMS; at += stepMS {
				d.SetLimit(at, engine, p.Rate)
				d.SetCold(engine, p.Most)
				if at < now+2*coldWindowMS {
					continue
				}
				g, _ := d.Grant(at, "a", Want{Upstream: engine, Callers: 1_000}, 0)
				granted += g.Permits
			}
			if granted > int(bound) {
				t.Errorf("%g a second, %+v: %d permits in %d ms, want %d at most", tolerated, b, granted, coldWindowMS, int(bound))
			}
		}
	}
}
