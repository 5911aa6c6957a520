package room_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/room"
)

const (
	// simSends is how many upstreams an entry tries for a request.
	simSends = 6
	// serviceMS is the mean time of a request at an upstream, and rejectMS that of a
	// rejection.
	serviceMS rollout.Millis = 100
	rejectMS  rollout.Millis = 2
	// simPatienceMS is 0.6 of a target latency of 1 s.
	simPatienceMS rollout.Millis = 600
	// callerMS is how long a caller repeats a refused request.
	callerMS rollout.Millis = 3_000
	// oldRetryMS is the delay that entries without a window tell callers.
	oldRetryMS rollout.Millis = 200
)

// event is something that happens in a simulation.
type event struct {
	atMS rollout.Millis
	seq  int
	run  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].atMS < h[j].atMS || h[i].atMS == h[j].atMS && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simUpstream is an upstream that rejects requests beyond its slots.
type simUpstream struct {
	slots, running int
	lost           bool
}

// simEntry is an entry. Without a room it sends every request at once.
type simEntry struct {
	room *room.Room
	// load counts the requests of this entry by upstream.
	load map[int]int
	// refused and begun count requests by account, as entries report them.
	refused, begun map[string]uint64
}

// outcome counts what happened to the requests of an account.
type outcome struct {
	wanted, served int
	// returned counts the callers that came back at the time they were told, and
	// returnedServed those that got in then.
	returned, returnedServed int
}

// sim is a pool with its entries and callers, without network.
type sim struct {
	now       rollout.Millis
	events    events
	seq       int
	random    *rand.Rand
	upstreams []*simUpstream
	entries   []*simEntry
	outcomes  map[string]*outcome
	// fromMS is when counting begins.
	fromMS rollout.Millis
	// served holds the times at which requests of each account were served.
	served map[string][]rollout.Millis
	keys   int
	// shares names the large accounts, as the leader of control does.
	shares room.Shares
}

func newSim(seed uint64, entries, upstreams, slots int, rooms bool) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), outcomes: make(map[string]*outcome), served: make(map[string][]rollout.Millis)}
	for range upstreams {
		s.upstreams = append(s.upstreams, &simUpstream{slots: slots})
	}
	for range entries {
		e := &simEntry{load: make(map[int]int), refused: make(map[string]uint64), begun: make(map[string]uint64)}
		if rooms {
			e.room = room.New("p")
		}
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *sim) after(d rollout.Millis, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, run})
}

func (s *sim) runUntil(endMS rollout.Millis) {
	for len(s.events) > 0 && s.events[0].atMS <= endMS {
		e := heap.Pop(&s.events).(event)
		s.now = e.atMS
		e.run()
	}
	s.now = endMS
}

// anyEntry returns the indices of all entries.
func (s *sim) anyEntry() []int {
	indices := make([]int, len(s.entries))
	for i := range indices {
		indices[i] = i
	}
	return indices
}

// load sends requests of an account at a rate in requests per second, each to one of the
// given entries, until endMS.
func (s *sim) load(account string, perSecond float64, endMS rollout.Millis, entries ...int) {
	gap := rollout.Millis(max(1, s.random.ExpFloat64()*1_000/perSecond+0.5))
	s.after(gap, func() {
		if s.now >= endMS {
			return
		}
		s.keys++
		c := &simCall{sim: s, entry: s.entries[entries[s.random.IntN(len(entries))]], account: account, key: fmt.Sprint(s.keys), startMS: s.now}
		if s.now >= s.fromMS {
			c.count = s.outcome(account)
			c.count.wanted++
		} else {
			c.count = &outcome{}
		}
		c.enter()
		s.load(account, perSecond, endMS, entries...)
	})
}

// report lets each entry report its totals every 0.8 s, and sends the large accounts to all
// entries 0.1 s later, until endMS.
func (s *sim) report(endMS rollout.Millis) {
	const everyMS, replyMS = 800, 100
	for i, e := range s.entries {
		var tick func()
		tick = func() {
			s.shares.Record(s.now, fmt.Sprint(i), room.Totals{0: maps.Clone(e.begun)}, room.Totals{0: maps.Clone(e.refused)})
			if s.now < endMS {
				s.after(everyMS, tick)
			}
		}
		s.after(rollout.Millis(s.random.Int64N(everyMS)), tick)
	}
	var decide func()
	decide = func() {
		large := s.shares.Large(s.now, func(string) float64 { return 1 })
		s.after(replyMS, func() {
			for _, e := range s.entries {
				e.room.SetLarge(large)
			}
		})
		if s.now < endMS {
			s.after(250, decide)
		}
	}
	s.after(0, decide)
}

func (s *sim) outcome(account string) *outcome {
	if s.outcomes[account] == nil {
		s.outcomes[account] = &outcome{}
	}
	return s.outcomes[account]
}

// simCall is a request of a caller, with its returns.
type simCall struct {
	sim          *sim
	entry        *simEntry
	account, key string
	startMS      rollout.Millis
	returns      int
	count        *outcome
	admittedMS   rollout.Millis
}

func (c *simCall) request() room.Request {
	return room.Request{Account: c.account, Key: c.key, PatienceMS: simPatienceMS}
}

func (c *simCall) enter() {
	s := c.sim
	if c.entry.room == nil {
		c.send(nil)
		return
	}
	w, err := c.entry.room.Enter(s.now, c.request())
	switch {
	case err != nil:
		c.refused(rollout.AsError(err).RetryAfter)
	case w == nil:
		c.send(nil)
	default:
		c.await(w, s.now+simPatienceMS)
	}
}

// await polls a waiting request, and gives up at the given time.
func (c *simCall) await(w *room.Waiter, untilMS rollout.Millis) {
	s := c.sim
	select {
	case <-w.Done():
		if w.Err() != nil {
			c.refused(rollout.AsError(w.Err()).RetryAfter)
			return
		}
		c.send(nil)
		return
	default:
	}
	if s.now >= untilMS {
		if err := c.entry.room.GiveUp(s.now, w); err != nil {
			c.refused(rollout.AsError(err).RetryAfter)
			return
		}
	}
	s.after(1, func() { c.await(w, untilMS) })
}

// send tries an upstream that has not been tried.
func (c *simCall) send(tried []int) {
	s := c.sim
	if len(tried) == 0 {
		c.admittedMS = s.now
	}
	var free []int
	for i, u := range s.upstreams {
		if !u.lost && !slices.Contains(tried, i) {
			free = append(free, i)
		}
	}
	if len(tried) == simSends || len(free) == 0 {
		retry := oldRetryMS
		if r := c.entry.room; r != nil {
			retry = rollout.AsError(r.Refuse(s.now, c.request())).RetryAfter
			r.Finish(s.now, 0)
		}
		c.refused(retry)
		return
	}
	i, other := free[s.random.IntN(len(free))], free[s.random.IntN(len(free))]
	if c.entry.load[other] < c.entry.load[i] {
		i = other
	}
	u := s.upstreams[i]
	c.entry.load[i]++
	if u.running >= u.slots {
		s.after(rejectMS, func() {
			c.entry.load[i]--
			if c.entry.room != nil {
				c.entry.room.Reject(s.now)
			}
			c.send(append(tried, i))
		})
		return
	}
	u.running++
	s.after(serviceMS/2+rollout.Millis(s.random.Int64N(int64(serviceMS))), func() {
		u.running--
		c.entry.load[i]--
		c.entry.begun[c.account]++
		s.served[c.account] = append(s.served[c.account], s.now)
		c.count.served++
		if c.returns > 0 {
			c.count.returnedServed++
		}
		if c.entry.room != nil {
			c.entry.room.Finish(s.now, s.now-c.admittedMS)
		}
	})
}

func (c *simCall) refused(retry rollout.Millis) {
	s := c.sim
	c.entry.refused[c.account]++
	if s.now+retry > c.startMS+callerMS {
		return
	}
	s.after(retry, func() {
		c.returns++
		c.count.returned++
		c.enter()
	})
}

// servedBetween returns the requests of the accounts, or of all, that were served per
// second between two times.
func (s *sim) servedBetween(fromMS, toMS rollout.Millis, accounts ...string) float64 {
	n := 0
	for account, times := range s.served {
		for _, at := range times {
			if at > fromMS && at <= toMS && (len(accounts) == 0 || slices.Contains(accounts, account)) {
				n++
			}
		}
	}
	return float64(n) * 1_000 / float64(toMS-fromMS)
}
