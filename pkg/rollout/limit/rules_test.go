package limit

import (
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// ruleLimit is the limit of these tests in requests a second.
const ruleLimit = 50

// newLimitedGate returns a gate that knows a limit, and its clock.
func newLimitedGate() (*Gate, *clock.Manual) {
	c := clock.NewManual(1_000_000)
	g := NewGate(c)
	g.Said(engine, rollout.RateLimit{Limited: true, PerSecond: ruleLimit})
	return g, c
}

// mustWait joins the queue with a request.
func mustWait(t *testing.T, g *Gate, r Request) *waiter {
	t.Helper()
	r.Patience = time.Minute
	w, err := g.join(engine, r)
	if err != nil || w == nil {
		t.Fatalf("got place %v, %v, want one in the queue", w, err)
	}
	return w
}

func isAdmitted(w *waiter) bool {
	select {
	case <-w.admitted:
		return true
	default:
		return false
	}
}

// Guards against hosts that send at their fixed share while the divider still grants the
// whole limit, because they have not heard of it for a moment.
func TestHostSendsNothingRightAfterItLostDivider(t *testing.T) {
	g, c := newLimitedGate()
	w := mustWait(t, g, Request{})
	g.Ask()
	for ; c.Now() < 1_000_000+ownShareAfterMS; c.Advance(stepMS) {
		if g.Tick(); isAdmitted(w) {
			t.Fatalf("admitted %d ms after the divider was asked, want %d at least", c.Now()-1_000_000, ownShareAfterMS)
		}
	}
	if ownShareAfterMS < 1_000 {
		t.Fatalf("hosts use their share after %d ms, before the divider takes them for absent", ownShareAfterMS)
	}
	for range 400 {
		c.Advance(stepMS)
		g.Tick()
	}
	if !isAdmitted(w) {
		t.Fatal("not admitted 2 s later")
	}
}

// Guards against callers that wait behind requests that nobody waits for, and urgent ones
// behind others.
func TestPermitsGoToCallersAndByPriority(t *testing.T) {
	g, c := newLimitedGate()
	background := mustWait(t, g, Request{Background: true})
	later := mustWait(t, g, Request{Priority: 5})
	first := mustWait(t, g, Request{Priority: 1})
	for i, want := range []*waiter{first, later, background} {
		g.Apply(c.Now(), nil, []Grant{{Upstream: engine, Permits: 1}}, 1)
		if !isAdmitted(want) {
			t.Fatalf("permit %d went to another request", i+1)
		}
	}
}

// Guards against one host that takes all permits at hand while others wait.
func TestPermitsAtHandAreSharedAmongHostsThatWait(t *testing.T) {
	const wanted = 1_000
	d := NewDivider()
	now := rollout.Millis(1_000_000)
	d.SetLimit(now, engine, ruleLimit)
	want := Want{Upstream: engine, Callers: wanted, Limit: ruleLimit}
	for _, host := range []string{"a", "b", "c", "d"} {
		d.Grant(now, host, want, 0)
	}
	now += demandMS / 2
	atHand := int(ratePerMS(ruleLimit) * float64(demandMS/2))
	if grant, _ := d.Grant(now, "a", want, 0); grant.Permits == 0 || grant.Permits > atHand/2 {
		t.Fatalf("one of four hosts got %d of %d permits, want a part", grant.Permits, atHand)
	}
}

// Guards against a limit that outlives the upstream's need because nothing is sent any more.
func TestUnusedLimitIsForgotten(t *testing.T) {
	d := NewDivider()
	d.SetLimit(0, engine, ruleLimit)
	const kept, forgotten rollout.Millis = 29_000, 31_000
	if got := d.Forget(kept); len(got) != 0 {
		t.Fatalf("forgotten after %d ms: %v", kept, got)
	}
	if got := d.Forget(forgotten); len(got) != 1 || got[0] != engine {
		t.Fatalf("forgotten after %d ms: %v, want the upstream", forgotten, got)
	}
}
