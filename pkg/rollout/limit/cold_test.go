package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

const (
	// coldMS is how long the upstreams of the simulation are cold. It is longer than in a
	// deployment, so that shares that are small come into play.
	coldMS rollout.Millis = 24_000
	// warmMS is the time before, in which hosts send to other upstreams.
	warmMS rollout.Millis = 6_000
	// watchMS is how long the leader holds a watch.
	watchMS rollout.Millis = 800
	// latencyMS is the time of a message from a host to the leader or back.
	latencyMS = stepMS
	coldSeeds = 3
)

var (
	coldBound    = ColdBound{Overage: 1.5, Tolerance: 5}
	servicePool  = document.Pool{Name: "p", ColdStartMS: coldMS, ColdPerSecond: 10}
	enginePool   = document.Pool{Name: "p", ColdStartMS: coldMS, ColdPerSecond: 10, Models: []string{"m"}}
	coldUpstream = []discovery.Incarnation{{ID: "a", Born: 1}, {ID: "b", Born: 1}}
)

// coldHost is a host of a coldSimulation.
type coldHost struct {
	name      string
	gate      *Gate
	store     bool
	contact   Contact
	reachable bool
	// told is true once the host has heard that the upstreams are back and cold.
	told bool
	// watching is true while a watch is at the leader, which replies at replyMS. follows is
	// false while the host searches for a leader.
	watching, follows bool
	replyMS           rollout.Millis
	waiting           []coldRequest
	asked             *simCall
	askedMS           rollout.Millis
	askAgain          rollout.Millis
}

type coldRequest struct {
	simRequest
	upstream int
}

// coldSimulation runs hosts that send to the upstreams of a failure domain that come back
// cold together, without a network.
type coldSimulation struct {
	clock *clock.Manual
	rand  *rand.Rand
	pool  document.Pool
	hosts []*coldHost
	// entries is the number of hosts that are entries. Their requests come in bursts.
	entries int
	bursts  bool
	divider *Divider
	shares  Shares
	// senders and offset are what the next leader knows of the entries. It knows nothing if
	// the control hosts are forgetful.
	senders   []Sender
	offset    rollout.Millis
	forgetful bool
	// leaderFrom is the time from which there is a leader.
	leaderFrom rollout.Millis
	coldFrom   rollout.Millis
	sends      [][]rollout.Millis
}

func newColdSimulation(seed uint64, pool document.Pool, entries int) *coldSimulation {
	s := &coldSimulation{clock: clock.NewManual(1_000_000), rand: rand.New(rand.NewPCG(seed, 1)), pool: pool, entries: entries, divider: NewDivider(), sends: make([][]rollout.Millis, len(coldUpstream))}
	s.coldFrom = s.clock.Now() + warmMS
	for i := range entries + 1 {
		h := &coldHost{name: fmt.Sprint("host-", i), gate: NewGate(s.clock), reachable: true, store: i == entries}
		h.gate.Follow(func() Contact { return h.contact })
		h.gate.SetShareRates(coldBound.ShareRates([]document.Pool{pool}))
		h.gate.Sync(s.upstreams(0))
		s.hosts = append(s.hosts, h)
	}
	return s
}

// upstreams returns the upstreams with a cold limit.
func (s *coldSimulation) upstreams(limit float64) map[string]discovery.Upstream {
	us := make(map[string]discovery.Upstream)
	for _, u := range coldUpstream {
		us[u.ID] = discovery.Upstream{ID: u.ID, Born: u.Born, Pool: s.pool.Name, ColdLimit: limit}
	}
	return us
}

// run calls atStep before each step.
func (s *coldSimulation) run(atStep func(now rollout.Millis)) {
	for end := s.coldFrom + coldMS; s.clock.Now() < end; s.clock.Advance(stepMS) {
		if now := s.clock.Now(); s.hasLeader() && !s.forgetful && now%watchMS == 0 {
			// A control host that follows the leader gets a reply.
			s.senders, s.offset = s.shares.Senders(), s.shares.clockOffsetMS
		}
		atStep(s.clock.Now())
		for _, i := range s.rand.Perm(len(s.hosts)) {
			s.step(s.hosts[i])
		}
	}
}

func (s *coldSimulation) hasLeader() bool { return s.clock.Now() >= s.leaderFrom }

// changeLeader replaces the leader by one that knows what the former one told it last.
func (s *coldSimulation) changeLeader() {
	now := s.clock.Now()
	s.leaderFrom = now + electionMS + rollout.Millis(s.rand.Int64N(3_000))
	s.divider = NewSuccessor(s.leaderFrom)
	s.shares = NewSharesAfter(s.leaderFrom, s.senders, s.offset+latencyMS, true)
}

// demand returns the requests that a host wants to send in stepMS on average. Entries want 4
// times the rate together, all of it at the start of each period if it comes in bursts, and
// scorers twice the rate.
func (s *coldSimulation) demand(h *coldHost) float64 {
	const entriesWant, scorersWant, burstMS = 4, 2, 2_000
	perStep := s.pool.ColdPerSecond * float64(stepMS) / 1_000
	if h.store {
		return scorersWant * perStep
	}
	perStep *= entriesWant / float64(s.entries)
	if !s.bursts {
		return perStep
	}
	if (s.clock.Now()-s.coldFrom)%burstMS == 0 {
		return perStep * float64(burstMS/stepMS)
	}
	return 0
}

// step runs a host for stepMS.
func (s *coldSimulation) step(h *coldHost) {
	now := s.clock.Now()
	s.watch(h)
	lost := h.contact.ConfirmedMS > 0 && now-h.contact.ConfirmedMS > ownShareAfterMS
	for i, u := range coldUpstream {
		if !h.told && !lost {
			break
		}
		for p := s.demand(h); s.rand.Float64() < p; p-- {
			w, err := h.gate.join(u, Request{Background: h.store, Patience: time.Duration(patienceMS) * time.Millisecond})
			switch {
			case err != nil:
			case w == nil:
				s.sends[i] = append(s.sends[i], now)
			default:
				h.waiting = append(h.waiting, coldRequest{simRequest{w, now + patienceMS}, i})
			}
		}
	}
	s.exchange(h)
	h.gate.Tick()
	h.waiting = slices.DeleteFunc(h.waiting, func(r coldRequest) bool {
		select {
		case <-r.waiter.admitted:
			s.sends[r.upstream] = append(s.sends[r.upstream], now)
			return true
		default:
		}
		return r.untilMS <= now && h.gate.leave(coldUpstream[r.upstream], r.waiter) != nil
	})
}

// watch sends a watch request, or takes the reply to the last one. The leader replies at news
// or after watchMS, and at once to a host that searched for it.
func (s *coldSimulation) watch(h *coldHost) {
	now := s.clock.Now()
	if !h.reachable || !s.hasLeader() {
		h.watching, h.follows = false, false
		return
	}
	if !h.watching {
		age := rollout.Millis(-1)
		if h.contact.ConfirmedMS > 0 {
			age = now - h.contact.ConfirmedMS
		}
		if h.store {
			s.shares.StoreWatched(now, h.name, age, true)
		} else {
			s.shares.Watched(now, h.name, age)
		}
		h.watching, h.replyMS = true, now+2*latencyMS
		if h.follows {
			h.replyMS += watchMS
		}
		return
	}
	news := now >= s.coldFrom && !h.told
	if now < h.replyMS && (!news || !h.follows) {
		return
	}
	h.watching, h.follows = false, true
	h.contact = Contact{ConfirmedMS: now - latencyMS}
	if h.store {
		h.contact.Share = Share{Hosts: 1, ClockMS: h.contact.ConfirmedMS}
	} else {
		h.contact.Share = s.shares.Tell(now, h.name)
	}
	if news {
		h.told = true
		h.gate.Sync(s.upstreams(coldBound.Rate(s.pool.ColdPerSecond)))
	}
}

// exchange takes the reply of the divider, and asks it if requests wait.
func (s *coldSimulation) exchange(h *coldHost) {
	now := s.clock.Now()
	if c := h.asked; c != nil && c.replyMS <= now {
		h.asked = nil
		if h.reachable {
			h.gate.Apply(h.askedMS, c.wants, c.grants, len(s.hosts))
		}
	}
	if h.asked != nil || now < h.askAgain {
		return
	}
	wants, must := h.gate.Ask()
	if !must {
		return
	}
	h.askedMS, h.askAgain = now, now+AskInterval(s.rand)
	if !h.reachable || !s.hasLeader() {
		return
	}
	h.asked = &simCall{wants: wants, replyMS: now + 2*latencyMS}
	absent := s.shares.Absent(now, true)
	for _, w := range wants {
		if now < s.coldFrom {
			break
		}
		p := coldBound.Permits(s.pool, absent)
		s.divider.SetLimit(now, w.Upstream, p.Rate)
		s.divider.SetCold(w.Upstream, p.Most)
		if g, ok := s.divider.Grant(now, h.name, w, p.Absent); ok {
			h.asked.grants = append(h.asked.grants, g)
		}
	}
}

// busiestSecond returns the most requests that reached an upstream in any second.
func (s *coldSimulation) busiestSecond() int {
	most := 0
	for _, sends := range s.sends {
		first := 0
		for i, at := range sends {
			for at-sends[first] > 1_000 {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// used returns the part of a rate that was used while the upstreams were cold.
func (s *coldSimulation) used(rate float64) float64 {
	n := 0
	for _, sends := range s.sends {
		for _, at := range sends {
			if at >= s.coldFrom {
				n++
			}
		}
	}
	return float64(n) / (rate * float64(coldMS) / 1_000 * float64(len(coldUpstream)))
}

// Guards against cold upstreams that get more than they bear when a failure domain comes back,
// from hosts in contact with control and hosts that have lost it together.
func TestFailureDomainReturnsColdWhileHostsAreCutOff(t *testing.T) {
	cut := func(s *coldSimulation) {
		for i, h := range s.hosts {
			h.reachable = i%3 != 0
		}
	}
	heal := func(s *coldSimulation) {
		for _, h := range s.hosts {
			h.reachable = true
		}
	}
	cases := map[string]func(s *coldSimulation, after rollout.Millis){
		"all in contact": func(*coldSimulation, rollout.Millis) {},
		"third cut off before": func(s *coldSimulation, after rollout.Millis) {
			if after == -4_000 {
				cut(s)
			}
		},
		"third cut off during": func(s *coldSimulation, after rollout.Millis) {
			if after == 2_000 {
				cut(s)
			}
		},
		"cut off and back": func(s *coldSimulation, after rollout.Millis) {
			switch (after + warmMS) % 5_000 {
			case 0:
				cut(s)
			case 3_500:
				heal(s)
			}
		},
		"third cut off, leader changes": func(s *coldSimulation, after rollout.Millis) {
			if after == -1_000 {
				cut(s)
			}
			if (after+warmMS)%7_000 == 6_500 {
				s.changeLeader()
			}
		},
		"third cut off, leader changes without copy": func(s *coldSimulation, after rollout.Millis) {
			s.forgetful = true
			if after == -1_000 {
				cut(s)
			}
			if after == 500 {
				s.changeLeader()
			}
		},
		"all cut off": func(s *coldSimulation, after rollout.Millis) {
			if after == 4_000 {
				s.leaderFrom = s.coldFrom + coldMS
			}
		},
	}
	for name, atStep := range cases {
		for _, entries := range []int{8, 100, 300} {
			for _, pool := range []document.Pool{servicePool, enginePool} {
				t.Run(fmt.Sprintf("%s, %d entries, models %v", name, entries, pool.Models), func(t *testing.T) {
					t.Parallel()
					bound, rate := int(coldBound.PerSecond(pool.ColdPerSecond)), coldBound.Rate(pool.ColdPerSecond)
					if len(pool.Models) > 0 {
						bound, rate = bound/2, coldBound.HalfRate(pool.ColdPerSecond)
					}
					for seed := uint64(1); seed <= coldSeeds; seed++ {
						s := newColdSimulation(seed, pool, entries)
						s.bursts = seed%2 == 0
						if len(pool.Models) > 0 {
							// The leader of the job store uses the other half.
							s.hosts = s.hosts[:entries]
						}
						s.run(func(now rollout.Millis) { atStep(s, now-s.coldFrom) })
						t.Logf("seed %d: used %.3f of the rate, %d requests in the busiest second", seed, s.used(rate), s.busiestSecond())
						if s.busiestSecond() > bound {
							t.Errorf("seed %d: %d requests in a second, want %d at most", seed, s.busiestSecond(), bound)
						}
					}
				})
			}
		}
	}
}
