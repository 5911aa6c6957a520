package limit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

const (
	// ownShareAfterMS is how long a host sends nothing to a limited upstream after it lost
	// the divider. The divider takes it for absent by then.
	ownShareAfterMS rollout.Millis = 1_500
	// answerMS is the time of a call to the divider. Requests that give up earlier want
	// nothing of it.
	answerMS rollout.Millis = 20
	// turnPoll is the interval at which a request that waits looks for a turn. Several fall
	// into turnMS.
	turnPoll = 20 * time.Millisecond
	// minLimit replaces lower limits, so that an upstream that takes nothing is asked
	// again in the end.
	minLimit = 0.01
)

// askMS is the longest time until a host asks again while requests wait. It is below
// PermitMS, so that the divider loses no credit in between.
const askMS = PermitMS * 2 / 3

// AskInterval returns the time until a host asks again while requests wait. It varies, so
// that no host always asks right after another one.
func AskInterval(random rollout.Random) rollout.Millis {
	return askMS/2 + rollout.Millis(random.Int64N(int64(askMS/2)))
}

// Want is what a host wants of an upstream.
type Want struct {
	Upstream discovery.Incarnation
	// Callers and Background are the numbers of requests that wait.
	Callers    int `json:",omitempty"`
	Background int `json:",omitempty"`
	// Limit is the limit that the upstream named as this host knows it, or 0 for none. Said
	// is true if an upstream has named it to this host and others may not know it.
	Limit float64
	Said  bool `json:",omitempty"`
	// Cold is the limit of a cold upstream as this host knows it, or 0 for a warm one.
	Cold float64 `json:",omitempty"`
}

// Gate holds requests to upstreams that name a limit or are cold until there is a permit. It
// is safe for concurrent use.
type Gate struct {
	clock rollout.Clock
	// wake receives a value when there are new wants.
	wake chan struct{}

	mu        sync.Mutex
	upstreams map[discovery.Incarnation]*gated
	// unansweredMS is when this host first asked the divider without an answer since, or
	// 0. hosts is the number of hosts that share the limits.
	unansweredMS rollout.Millis
	hosts        int
	// contact returns the last contact with control. It may be nil.
	contact func() Contact
	// shareRates holds the pools whose upstreams can be cold, with the rate of all entries
	// that have lost control together, in requests a second.
	shareRates map[string]float64
}

// gated is an upstream that has named a limit or is cold.
type gated struct {
	// named is the limit that the upstream named, in requests a second, or 0 if it has
	// ended.
	named float64
	// cold is the limit while the upstream is cold, or 0 while it is warm. Only control
	// changes it.
	cold float64
	// told is the named limit that control last announced.
	told float64
	// unsaid is true if control may not know the limit.
	unsaid bool
	// permits holds the times at which permits expire, in order.
	permits []rollout.Millis
	waiters []*waiter
	// nextMS is when the next permit can be expected, and intervalMS the time from one to
	// the next after it.
	nextMS, intervalMS rollout.Millis
	// canBeCold is true if the upstream gets only its share from a host that has lost
	// control. shareRate is the rate of all such hosts together, and shift the part of a turn
	// by which the turns are later here.
	canBeCold        bool
	shareRate, shift float64
	// usedTurn is the last turn that this host used since usedContact.
	usedTurn    int64
	usedContact Contact
	// ownCredit counts the permits of this host's fixed share, as of ownMS.
	ownCredit float64
	ownMS     rollout.Millis
}

// limit returns the limit, or 0 for none.
func (s *gated) limit() float64 { return Lower(s.named, s.cold) }

// holds reports whether a request may have to wait for an upstream. The caller holds mu.
func (g *Gate) holds(s *gated, r Request, now rollout.Millis) bool {
	if r.OwnColdBound {
		return s.named > 0
	}
	return s.limit() > 0 || g.usesColdShare(s, now)
}

// usesColdShare reports whether this host sends an upstream no more than its share, because
// it does not know whether it is cold. The caller holds mu.
func (g *Gate) usesColdShare(s *gated, now rollout.Millis) bool {
	if !s.canBeCold || g.contact == nil {
		return false
	}
	c := g.contact()
	return c.ConfirmedMS > 0 && now-c.ConfirmedMS > ownShareAfterMS
}

// Lower returns the lower of two limits, of which 0 means none.
func Lower(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Request describes a request that needs a permit.
type Request struct {
	// Priority ranks the requests of a host; 0 is the highest.
	Priority int
	// Background is true if no caller waits for the response. Callers go first.
	Background bool
	// OwnColdBound is true if the sender keeps to the bound of cold upstreams by itself.
	OwnColdBound bool
	// Patience is how long the request may wait.
	Patience time.Duration
}

// goesBefore reports whether a request gets a permit before one that has waited longer.
func (r Request) goesBefore(other Request) bool {
	if r.Background != other.Background {
		return other.Background
	}
	return r.Priority < other.Priority
}

// waiter is a request that waits for a permit.
type waiter struct {
	Request
	// admitted is closed when the request may be sent.
	admitted chan struct{}
	// untilMS is when the request gives up.
	untilMS rollout.Millis
}

// NewGate returns a gate that knows no limits.
func NewGate(clock rollout.Clock) *Gate {
	return &Gate{clock: clock, wake: make(chan struct{}, 1), upstreams: make(map[discovery.Incarnation]*gated), hosts: 1}
}

// Follow sets the source of the last contact with control. It must be called before the gate
// is used, and the source must not call the gate.
func (g *Gate) Follow(contact func() Contact) { g.contact = contact }

// SetShareRates sets the pools whose upstreams can be cold, from the next Sync on.
func (g *Gate) SetShareRates(rates map[string]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shareRates = rates
}

// Wake returns a channel that receives a value when there are new wants.
func (g *Gate) Wake() <-chan struct{} { return g.wake }

// IsCold reports whether an upstream is cold or, for a host that has lost control, may be.
func (g *Gate) IsCold(u discovery.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.upstreams[u]
	return s != nil && (s.cold > 0 || g.usesColdShare(s, g.clock.Now()))
}

// Limited returns the IDs of the upstreams with a limit.
func (g *Gate) Limited() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	var ids []string
	for u, s := range g.upstreams {
		if g.holds(s, Request{}, now) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Said records the limit that a response of an upstream named. It does not end the limit of a
// cold upstream.
func (g *Gate) Said(u discovery.Incarnation, named rollout.RateLimit) {
	limit := 0.0
	if named.Limited {
		limit = max(named.PerSecond, minLimit)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.upstreams[u]
	if s == nil {
		if limit <= 0 {
			return
		}
		s = &gated{}
		g.upstreams[u] = s
	}
	if s.named == limit {
		return
	}
	s.unsaid = s.told != limit
	s.named = limit
	g.changed(s)
	g.signal()
}

// Sync applies the limits that control announces with the upstreams.
func (g *Gate) Sync(us map[string]discovery.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range us {
		key := discovery.Incarnation{ID: u.ID, Born: u.Born}
		s := g.upstreams[key]
		rate, canBeCold := g.shareRates[u.Pool]
		if s == nil && (canBeCold || Lower(u.Limit, u.ColdLimit) > 0) {
			s = &gated{}
			g.upstreams[key] = s
		}
		if s != nil {
			s.canBeCold, s.shareRate, s.shift = canBeCold, rate, shiftOf(u.ID)
		}
		if s == nil || (s.told == u.Limit && s.cold == u.ColdLimit) {
			continue
		}
		if s.told != u.Limit {
			s.told, s.unsaid, s.named = u.Limit, false, u.Limit
		}
		s.cold = u.ColdLimit
		g.changed(s)
	}
	for key, s := range g.upstreams {
		if u, known := us[key.ID]; (!known || u.Born != key.Born) && len(s.waiters) == 0 {
			delete(g.upstreams, key)
		}
	}
}

// changed admits the requests that wait for an upstream if its limit has ended. The caller
// has changed the limit and holds mu.
func (g *Gate) changed(s *gated) {
	now := g.clock.Now()
	s.ownCredit, s.ownMS = 0, now
	g.admitUnheld(s, now)
}

// admitUnheld admits the requests that no longer have to wait. The caller holds mu.
func (g *Gate) admitUnheld(s *gated, now rollout.Millis) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
		if g.holds(s, w.Request, now) {
			return false
		}
		close(w.admitted)
		return true
	})
	if !g.holds(s, Request{}, now) {
		s.permits = nil
	}
}

// shiftOf returns the part of a turn by which the turns at an upstream are later, so that a
// host that has lost control does not have them at all upstreams at once.
func shiftOf(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// Wait returns the predicted wait of one more request to an upstream.
func (g *Gate) Wait(u discovery.Incarnation) rollout.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.upstreams[u]
	if s == nil || !g.holds(s, Request{}, g.clock.Now()) {
		return 0
	}
	return g.waitOf(s)
}

// waitOf returns the predicted wait of one more request. The caller holds mu.
func (g *Gate) waitOf(s *gated) rollout.Millis {
	now := g.clock.Now()
	s.dropExpired(now)
	missing := len(s.waiters) + 1 - len(s.permits)
	if missing <= 0 {
		return 0
	}
	if g.usesColdShare(s, now) {
		return g.shareWait(s, now, missing)
	}
	if s.cold <= 0 && g.isLost(now) {
		return rollout.Millis(float64(missing) * 1_000 / max(g.ownRate(s), minLimit))
	}
	return max(0, s.nextMS-now) + rollout.Millis(missing-1)*max(PermitMS, s.intervalMS)
}

// turnsAt returns the turns of this host at an upstream and the number of those that it may
// use now. It reports false if it has none. The caller holds mu.
func (g *Gate) turnsAt(s *gated, now rollout.Millis) (t turns, open int64, ok bool) {
	contact := g.contact()
	if t, ok = newTurns(contact, s.shareRate, s.shift); !ok {
		return t, 0, false
	}
	if s.usedContact != contact {
		// Turns that began before this host may use them do not count.
		s.usedContact, s.usedTurn = contact, t.begun(contact.ConfirmedMS+ownShareAfterMS)
	}
	s.usedTurn = max(s.usedTurn, t.begun(now-turnMS))
	return t, t.begun(now) - s.usedTurn, true
}

// shareWait returns the predicted wait at this host's share if it is lacking a number of
// permits. The caller holds mu.
func (g *Gate) shareWait(s *gated, now rollout.Millis, missing int) rollout.Millis {
	t, open, ok := g.turnsAt(s, now)
	if !ok {
		return forgetMS
	}
	wait := rollout.Millis(0)
	if left := int64(missing) - open; left > 0 {
		wait = t.untilMS(now, t.begun(now)+left)
	}
	if s.named > 0 {
		wait = max(wait, rollout.Millis(float64(missing)*1_000/max(g.ownRate(s), minLimit)))
	}
	return wait
}

// isLost reports whether this host has lost the divider. The caller holds mu.
func (g *Gate) isLost(now rollout.Millis) bool {
	return g.unansweredMS > 0 && now-g.unansweredMS > ownShareAfterMS
}

// ownRate returns the rate of this host's fixed share, less the permit that it may have
// saved up. The caller holds mu.
func (g *Gate) ownRate(s *gated) float64 {
	hosts := float64(max(1, g.hosts))
	if own := float64(allowance(s.named)) / hosts; own > 1 {
		return 1_000 * (own - 1) / float64(windowMS+PermitMS)
	}
	return 1_000 * ratePerMS(s.named) / hosts
}

// Acquire waits for a permit for an upstream. It fails at once if the request has not the
// patience. An upstream without a limit needs no permit.
func (g *Gate) Acquire(ctx context.Context, u discovery.Incarnation, r Request) error {
	w, err := g.join(u, r)
	if w == nil || err != nil {
		return err
	}
	timer, poll := time.NewTimer(r.Patience), time.NewTicker(turnPoll)
	defer timer.Stop()
	defer poll.Stop()
	for {
		select {
		case <-w.admitted:
			return nil
		case <-poll.C:
			g.useTurns(u)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return g.leave(u, w)
	}
}

// useTurns admits requests in the turns of this host at an upstream.
func (g *Gate) useTurns(u discovery.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.upstreams[u]; s != nil && s.canBeCold {
		g.update(s)
	}
}

// update admits the requests that may be sent by now. The caller holds mu.
func (g *Gate) update(s *gated) {
	now := g.clock.Now()
	if s.canBeCold && len(s.waiters) == 0 {
		// Turns are left to requests that come.
		return
	}
	g.useOwnShare(s)
	s.admit(now)
	if s.canBeCold {
		g.admitUnheld(s, now)
	}
}

// join returns nil if a request may be sent now, or else its place in the queue.
func (g *Gate) join(u discovery.Incarnation, r Request) (*waiter, error) {
	patience := rollout.Millis(r.Patience.Milliseconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.upstreams[u]
	if s == nil || !g.holds(s, r, g.clock.Now()) {
		return nil, nil
	}
	g.useOwnShare(s)
	s.dropExpired(g.clock.Now())
	if len(s.permits) > 0 && len(s.waiters) == 0 {
		s.permits = s.permits[1:]
		return nil, nil
	}
	if wait := g.waitOf(s); wait > patience {
		return nil, newLimitError(u, s.limit(), wait)
	}
	w := &waiter{Request: r, admitted: make(chan struct{}), untilMS: g.clock.Now() + patience}
	i := slices.IndexFunc(s.waiters, func(other *waiter) bool { return r.goesBefore(other.Request) })
	if i < 0 {
		i = len(s.waiters)
	}
	s.waiters = slices.Insert(s.waiters, i, w)
	g.signal()
	return w, nil
}

// leave takes a request out of the queue. It returns nil if the request has been admitted.
func (g *Gate) leave(u discovery.Incarnation, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	default:
	}
	s := g.upstreams[u]
	if s == nil {
		return newLimitError(u, 0, 0)
	}
	s.waiters = slices.DeleteFunc(s.waiters, func(other *waiter) bool { return other == w })
	return newLimitError(u, s.limit(), g.waitOf(s))
}

func newLimitError(u discovery.Incarnation, limit float64, wait rollout.Millis) error {
	return rollout.NewError(rollout.KindOverloaded, "upstream %s takes %g requests a second from all hosts, the next in %d ms", u.ID, limit, wait).
		WithNotRun().WithRetryAfter(max(1, wait))
}

// Ask returns what this host wants of the divider, and whether it must ask. A host that
// has lost the divider goes on asking.
func (g *Gate) Ask() (wants []Want, must bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for u, s := range g.upstreams {
		want := Want{Upstream: u, Limit: s.named, Said: s.unsaid, Cold: s.cold}
		for _, w := range s.waiters {
			switch {
			case w.untilMS-now <= answerMS:
			case w.Background:
				want.Background++
			default:
				want.Callers++
			}
		}
		if want.Callers+want.Background > 0 || s.unsaid {
			wants = append(wants, want)
		}
	}
	if len(wants) == 0 && g.unansweredMS == 0 {
		return nil, false
	}
	if g.unansweredMS == 0 {
		g.unansweredMS = now
	}
	return wants, true
}

// Apply applies the grants for wants that were sent at a time, by a divider that knows a
// number of hosts. An upstream without a grant names no limit any more. Only Sync ends the
// limit of a cold one, because a reply may be older than the news that it is cold.
func (g *Gate) Apply(sentMS rollout.Millis, wants []Want, grants []Grant, hosts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.unansweredMS, g.hosts = 0, hosts
	for _, w := range wants {
		s := g.upstreams[w.Upstream]
		if s == nil || w.Limit != s.named {
			continue
		}
		if w.Said {
			s.unsaid = false
		}
		if !slices.ContainsFunc(grants, func(grant Grant) bool { return grant.Upstream == w.Upstream }) {
			s.named = 0
			g.changed(s)
		}
	}
	for _, grant := range grants {
		s := g.upstreams[grant.Upstream]
		if s == nil {
			continue
		}
		s.nextMS, s.intervalMS = now+grant.NextMS, grant.IntervalMS
		for range grant.Permits {
			s.permits = append(s.permits, sentMS+PermitMS)
		}
		s.admit(now)
	}
}

// Tick admits requests within the fixed share of this host while it can't reach the
// divider. It reports whether there is something to ask the divider for.
func (g *Gate) Tick() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := g.unansweredMS > 0
	for _, s := range g.upstreams {
		g.update(s)
		waiting = waiting || len(s.waiters) > 0 || s.unsaid
	}
	return waiting
}

// useOwnShare adds the permits of this host's fixed share if it has lost the divider. The
// caller holds mu.
func (g *Gate) useOwnShare(s *gated) {
	now := g.clock.Now()
	coldShare := g.usesColdShare(s, now)
	if !g.isLost(now) || s.named <= 0 || (s.cold > 0 && !coldShare) {
		s.ownCredit, s.ownMS = 0, now
		if coldShare && s.named <= 0 {
			g.useTurn(s, now)
		}
		return
	}
	s.ownCredit = min(1, s.ownCredit+g.ownRate(s)*float64(now-s.ownMS)/1_000)
	s.ownMS = now
	if coldShare {
		if s.ownCredit >= 1 && g.useTurn(s, now) {
			s.ownCredit--
		}
		return
	}
	if s.ownCredit >= 1 {
		s.ownCredit--
		s.permits = append(s.permits, now+PermitMS)
	}
}

// useTurn adds a permit if this host has a turn at an upstream, and reports whether it does.
// The caller holds mu.
func (g *Gate) useTurn(s *gated, now rollout.Millis) bool {
	if _, open, ok := g.turnsAt(s, now); !ok || open <= 0 {
		return false
	}
	s.usedTurn++
	s.permits = append(s.permits, now+turnPermitMS)
	return true
}

// admit gives permits to the requests that have waited longest.
func (s *gated) admit(now rollout.Millis) {
	s.dropExpired(now)
	n := min(len(s.permits), len(s.waiters))
	for _, w := range s.waiters[:n] {
		close(w.admitted)
	}
	s.permits, s.waiters = s.permits[n:], s.waiters[n:]
}

// dropExpired removes the permits that have expired.
func (s *gated) dropExpired(now rollout.Millis) {
	s.permits = slices.DeleteFunc(s.permits, func(until rollout.Millis) bool { return until <= now })
}

// signal wakes the client of the divider up. The caller holds mu.
func (g *Gate) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
