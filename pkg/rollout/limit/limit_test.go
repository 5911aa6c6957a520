package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

const (
	stepMS rollout.Millis = 5
	// roundTripMS is the time of a call to the divider.
	roundTripMS = 2 * stepMS
	// patienceMS is how long a request of the simulation waits.
	patienceMS  rollout.Millis = 1_000
	simulatedMS rollout.Millis = 90_000
)

var engine = discovery.Incarnation{ID: "e", Born: 1}

// simHost is a host of a simulation.
type simHost struct {
	name string
	gate *Gate
	// perMS is the rate of its requests.
	perMS   float64
	waiting []simRequest
	// asked is the call to the divider that is in progress, or nil.
	asked     *simCall
	askedMS   rollout.Millis
	askAgain  rollout.Millis
	reachable bool
	// absentUntil is when a host that is reachable again counts as present.
	absentUntil rollout.Millis
	running     bool
	// background is true if no callers wait for the host's requests.
	background bool
	sent       int
	wanted     int
}

type simRequest struct {
	waiter  *waiter
	untilMS rollout.Millis
}

type simCall struct {
	wants   []Want
	grants  []Grant
	replyMS rollout.Millis
}

// simulation runs hosts that send to one upstream with a limit, without a network.
type simulation struct {
	clock   *clock.Manual
	rand    *rand.Rand
	divider *Divider
	hosts   []*simHost
	// sends holds the times at which requests reached the upstream.
	sends []rollout.Millis
	// atStep is called before each step. It may be nil.
	atStep func(now rollout.Millis)
}

func newSimulation(seed uint64, limit float64, perMS []float64) *simulation {
	s := &simulation{clock: clock.NewManual(1_000_000), rand: rand.New(rand.NewPCG(seed, 0)), divider: NewDivider()}
	s.divider.SetLimit(s.clock.Now(), engine, limit)
	for i, rate := range perMS {
		h := &simHost{name: fmt.Sprint("host-", i), gate: NewGate(s.clock), perMS: rate, reachable: true, running: true}
		h.gate.hosts = len(perMS)
		h.gate.Said(engine, rollout.RateLimit{Limited: true, PerSecond: limit})
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *simulation) run() {
	for end := s.clock.Now() + simulatedMS; s.clock.Now() < end; s.clock.Advance(stepMS) {
		if s.atStep != nil {
			s.atStep(s.clock.Now())
		}
		for _, i := range s.rand.Perm(len(s.hosts)) {
			if h := s.hosts[i]; h.running {
				s.step(h)
			}
		}
	}
}

// step runs a host for stepMS.
func (s *simulation) step(h *simHost) {
	now := s.clock.Now()
	for p := h.perMS * float64(stepMS); s.rand.Float64() < p; p-- {
		h.wanted++
		w, err := h.gate.join(engine, Request{Background: h.background, Patience: time.Duration(patienceMS) * time.Millisecond})
		switch {
		case err != nil:
		case w == nil:
			s.send(h)
		default:
			h.waiting = append(h.waiting, simRequest{w, now + patienceMS})
		}
	}
	s.exchange(h)
	h.gate.Tick()
	h.waiting = slices.DeleteFunc(h.waiting, func(r simRequest) bool {
		select {
		case <-r.waiter.admitted:
			s.send(h)
			return true
		default:
		}
		return r.untilMS <= now && h.gate.leave(engine, r.waiter) != nil
	})
}

func (s *simulation) send(h *simHost) {
	h.sent++
	s.sends = append(s.sends, s.clock.Now())
}

// exchange takes the reply of the divider, and asks it if requests wait.
func (s *simulation) exchange(h *simHost) {
	now := s.clock.Now()
	if c := h.asked; c != nil && c.replyMS <= now {
		h.asked = nil
		if h.reachable {
			h.gate.Apply(h.askedMS, c.wants, c.grants, len(s.hosts))
		}
	}
	woken := false
	select {
	case <-h.gate.Wake():
		woken = true
	default:
	}
	if h.asked != nil || (!woken && now < h.askAgain) {
		return
	}
	wants, must := h.gate.Ask()
	if !must {
		return
	}
	h.askedMS, h.askAgain = now, now+AskInterval(s.rand)
	if !h.reachable {
		return
	}
	absent := 0
	for _, other := range s.hosts {
		if !other.reachable || now < other.absentUntil {
			absent++
		}
	}
	call := &simCall{wants: wants, replyMS: now + roundTripMS}
	for _, w := range wants {
		if g, ok := s.divider.Grant(now, h.name, w, float64(absent)/float64(len(s.hosts))); ok {
			call.grants = append(call.grants, g)
		}
	}
	h.asked = call
}

// busiest returns the most requests that reached the upstream in any window.
func (s *simulation) busiest() int {
	most, first := 0, 0
	for i, at := range s.sends {
		for at-s.sends[first] > windowMS {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func assertWithin(t *testing.T, s *simulation, limit float64) {
	t.Helper()
	if allowed := max(1, int(limit*float64(windowMS)/1_000)); s.busiest() > allowed {
		t.Errorf("%d requests in %d ms, want %d at most", s.busiest(), windowMS, allowed)
	}
}

// demandOf returns the rates of hosts that want 4 times the limit together. Skewed means
// that every tenth host has nine tenths of the demand.
func demandOf(hosts int, limit float64, skewed bool) []float64 {
	rates := make([]float64, hosts)
	const excess = 4
	total := excess * limit / 1_000
	heavy := (hosts + 9) / 10
	for i := range rates {
		switch {
		case !skewed:
			rates[i] = total / float64(hosts)
		case i%10 == 0:
			rates[i] = 0.9 * total / float64(heavy)
		default:
			rates[i] = 0.1 * total / float64(hosts-heavy)
		}
	}
	return rates
}

// Guards against a limit that hosts exceed together, or waste because each has a fixed part
// of it.
func TestHostsShareLimitByDemand(t *testing.T) {
	for _, hosts := range []int{8, 100, 300} {
		for _, limit := range []float64{0.5, 2.4, 10, 50} {
			for _, skewed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d hosts, %g a second, skewed %v", hosts, limit, skewed), func(t *testing.T) {
					t.Parallel()
					s := newSimulation(1, limit, demandOf(hosts, limit, skewed))
					s.run()
					assertWithin(t, s, limit)
					usable := math.Floor(limit*float64(windowMS)/1_000) / float64(windowMS) * float64(simulatedMS)
					used := float64(len(s.sends)) / usable
					t.Logf("used %.3f, plain division %.3f", used, plainDivision(hosts, limit, skewed))
					if used < 0.9 {
						t.Errorf("%.3f of the limit was used, want 0.9 at least", used)
					}
				})
			}
		}
	}
}

// plainDivision returns the part of a limit that is used if each host may use an equal
// part of it.
func plainDivision(hosts int, limit float64, skewed bool) float64 {
	used := 0.0
	for _, rate := range demandOf(hosts, limit, skewed) {
		used += min(rate*1_000, limit/float64(hosts))
	}
	return used / limit
}

// Guards against hosts that exceed a limit when they come, stop, or lose control.
func TestLimitHoldsWhileHostsChange(t *testing.T) {
	for _, hosts := range []int{8, 100, 300} {
		for _, limit := range []float64{0.5, 2.4, 10, 50} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, limit), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(2, limit, demandOf(hosts, limit, false))
				s.atStep = func(now rollout.Millis) {
					if now%2_000 != 0 {
						return
					}
					h := s.hosts[s.rand.IntN(len(s.hosts))]
					if s.rand.IntN(2) == 0 {
						h.running = !h.running
					} else {
						h.reachable = !h.reachable
						h.absentUntil = now + AbsentMS
					}
				}
				s.run()
				assertWithin(t, s, limit)
			})
		}
	}
}

// Guards against hosts that get less than their part because others ask more often.
func TestNoHostStarvesUnderLimit(t *testing.T) {
	for _, hosts := range []int{8, 100} {
		s := newSimulation(3, 50, demandOf(hosts, 50, false))
		s.run()
		worst, mean := math.Inf(1), 0.0
		for _, h := range s.hosts {
			served := float64(h.sent) / float64(max(1, h.wanted))
			worst = min(worst, served)
			mean += served / float64(hosts)
		}
		t.Logf("%d hosts: the worst is served %.3f of what it wants, the mean %.3f", hosts, worst, mean)
		if worst < mean/2 {
			t.Errorf("%d hosts: the worst is served %.3f of what it wants, the mean %.3f, want half of that at least", hosts, worst, mean)
		}
	}
}

// Guards against callers that wait behind calls that nobody waits for.
func TestCallersGoFirstUnderLimit(t *testing.T) {
	const limit, callerPerMS = 3, 0.0008
	s := newSimulation(4, limit, []float64{callerPerMS, 0.050})
	s.hosts[1].background = true
	s.run()
	assertWithin(t, s, limit)
	callers, background := s.hosts[0], s.hosts[1]
	t.Logf("callers got %d of %d, other requests %d", callers.sent, callers.wanted, background.sent)
	if callers.sent < callers.wanted*9/10 {
		t.Errorf("callers got %d of %d permits, want nine tenths at least", callers.sent, callers.wanted)
	}
	if background.sent == 0 {
		t.Error("other requests got no permit")
	}
}

// Guards against items that never run because callers take all of a limit.
func TestBackgroundIsNotStarvedUnderLimit(t *testing.T) {
	const limit = 3
	s := newSimulation(5, limit, []float64{0.050, 0.050})
	s.hosts[1].background = true
	s.run()
	assertWithin(t, s, limit)
	if share := float64(s.hosts[1].sent) / float64(len(s.sends)); share < 0.1 {
		t.Errorf("other requests got %.3f of the permits, want a tenth at least", share)
	}
}
