// Package capacity decides which upstreams to start and to stop, so that each
// pool has what its load needs within the targets of each failure domain, and
// so that the other failure domains answer for one that is lost.
package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// Config sets up a Planner.
type Config struct {
	// Utilization is the share of slots that is to be busy.
	Utilization float64
	// GrowAfterMS and ShrinkAfterMS are how long a need must last before
	// upstreams are started or stopped for it.
	GrowAfterMS, ShrinkAfterMS rollout.Millis
	// StartTimeoutMS is how long a started upstream may take to announce
	// itself. A failure domain with an order older than this counts as lost
	// until an upstream announces itself there.
	StartTimeoutMS rollout.Millis
}

// DefaultConfig returns the settings for upstreams that start in minutes.
func DefaultConfig() Config {
	return Config{Utilization: 0.75, GrowAfterMS: 10_000, ShrinkAfterMS: 120_000, StartTimeoutMS: 300_000}
}

// OrderState tells how far an order has come.
type OrderState string

// The states of an order.
const (
	OrderPlanned  OrderState = "planned"
	OrderAccepted OrderState = "accepted"
	OrderDone     OrderState = "done"
)

// Order is a committed order with its state.
type Order struct {
	rollout.Order
	State OrderState
	// AtMS is when it was committed.
	AtMS rollout.Millis
}

// Demand is the present load of a pool.
type Demand struct {
	// Busy is the number of slots in use, Waiting the requests in queues.
	Busy, Waiting int
}

// Input is what a plan is made from.
type Input struct {
	Targets   []catalog.Target
	Upstreams []catalog.Upstream
	// Orders that are not done.
	Orders []Order
	Demand map[string]Demand
	// Idle tells whether an upstream that is leaving has no work left.
	Idle func(upstream string) bool
}

// Plan is what is to be committed.
type Plan struct {
	Orders []rollout.Order
	// Drain names upstreams that must leave before they are stopped.
	Drain []string
	// Reasons holds a line for each decision, in the order of Orders and then
	// Drain.
	Reasons []string
}

// Planner decides on upstreams. It is used by one thread.
type Planner struct {
	cfg Config
	// growSince and shrinkSince hold since when a target has had too few or
	// too many upstreams, by the name of the target.
	growSince, shrinkSince map[string]rollout.Millis
	sequence               uint64
}

// New returns a planner without history.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:         cfg,
		growSince:   make(map[string]rollout.Millis),
		shrinkSince: make(map[string]rollout.Millis),
	}
}

// site is one target with what stands there.
type site struct {
	target  catalog.Target
	running []catalog.Upstream
	leaving []catalog.Upstream
	// pending counts the start orders that no upstream has yet answered.
	pending int
	// overdue is true when a start order has passed its timeout.
	overdue bool
	wanted  int
}

// Plan decides what to do now. Prefix goes before the IDs of new orders and
// must differ between leaders.
func (p *Planner) Plan(now rollout.Millis, prefix string, in Input) Plan {
	sites := p.sites(now, in)
	for pool, group := range byPool(sites) {
		p.distribute(group, p.needed(group, in.Demand[pool]))
	}
	var plan Plan
	for _, s := range sites {
		p.planSite(now, prefix, in, s, &plan)
	}
	return plan
}

func (p *Planner) addOrder(plan *Plan, prefix string, o rollout.Order, reason string) {
	p.sequence++
	o.ID = fmt.Sprintf("%s-%d", prefix, p.sequence)
	plan.Orders = append(plan.Orders, o)
	plan.Reasons = append(plan.Reasons, reason)
}

// distribute sets how many upstreams each site is to have: at least its
// minimum, and the rest where there is room, lost sites last.
func (p *Planner) distribute(group []*site, needed int) {
	total := 0
	for _, s := range group {
		s.wanted = s.target.Min
		if !s.overdue {
			total += s.wanted
		}
	}
	for total < needed {
		best := bestSite(group)
		if best == nil {
			return
		}
		best.wanted++
		total++
	}
}

// bestSite returns the site with room that has the fewest upstreams wanted,
// and prefers one that already runs more than that.
func bestSite(group []*site) *site {
	var best *site
	for _, s := range group {
		if s.overdue || s.wanted >= s.target.Max {
			continue
		}
		if best == nil || s.less(best) {
			best = s
		}
	}
	return best
}

func (s *site) less(o *site) bool {
	spare, otherSpare := len(s.running) > s.wanted, len(o.running) > o.wanted
	if spare != otherSpare {
		return spare
	}
	return s.wanted < o.wanted
}

// needed returns the number of upstreams that the load asks for.
func (p *Planner) needed(group []*site, d Demand) int {
	slots, count := 0, 0
	for _, s := range group {
		for _, u := range s.running {
			slots += u.Slots
			count++
		}
	}
	if count == 0 || slots == 0 {
		return 0
	}
	perUpstream := float64(slots) / float64(count) * p.cfg.Utilization
	return int((float64(d.Busy+d.Waiting) + perUpstream - 1) / perUpstream)
}

func (p *Planner) planSite(now rollout.Millis, prefix string, in Input, s *site, plan *Plan) {
	p.planStops(prefix, in, s, plan)
	have := len(s.running) + s.pending
	name := s.target.Name()
	switch {
	case have < s.wanted:
		delete(p.shrinkSince, name)
		p.planStarts(now, prefix, s, have, plan)
	case len(s.running) > s.wanted:
		delete(p.growSince, name)
		p.planDrains(now, s, plan)
	default:
		delete(p.growSince, name)
		delete(p.shrinkSince, name)
	}
}

func (p *Planner) planDrains(now rollout.Millis, s *site, plan *Plan) {
	name := s.target.Name()
	if !lasted(p.shrinkSince, name, now, p.cfg.ShrinkAfterMS) && len(s.running) <= s.target.Max {
		return
	}
	excess := len(s.running) - s.wanted
	for _, u := range s.running[len(s.running)-excess:] {
		plan.Drain = append(plan.Drain, u.ID)
		plan.Reasons = append(plan.Reasons, fmt.Sprintf("%s has %d of %d wanted", name, len(s.running), s.wanted))
	}
	delete(p.shrinkSince, name)
}

func (p *Planner) planStarts(now rollout.Millis, prefix string, s *site, have int, plan *Plan) {
	name := s.target.Name()
	if have >= s.target.Min && !lasted(p.growSince, name, now, p.cfg.GrowAfterMS) {
		return
	}
	for n := have; n < s.wanted; n++ {
		o := rollout.Order{Action: "start", FailureDomain: s.target.FailureDomain, Pool: s.target.Pool}
		p.addOrder(plan, prefix, o, fmt.Sprintf("%s has %d of %d wanted", name, have, s.wanted))
	}
	delete(p.growSince, name)
}

// planStops stops the leaving upstreams that have no work left.
func (p *Planner) planStops(prefix string, in Input, s *site, plan *Plan) {
	for _, u := range s.leaving {
		ordered := slices.ContainsFunc(in.Orders, func(o Order) bool { return o.Upstream == u.ID })
		if ordered || !in.Idle(u.ID) {
			continue
		}
		o := rollout.Order{Action: "stop", FailureDomain: u.FailureDomain, Pool: u.Pool, Upstream: u.ID}
		p.addOrder(plan, prefix, o, "left and has no work")
	}
}

func (p *Planner) sites(now rollout.Millis, in Input) []*site {
	sites := make([]*site, 0, len(in.Targets))
	for _, t := range in.Targets {
		s := &site{target: t}
		for _, u := range in.Upstreams {
			if u.Pool != t.Pool || u.FailureDomain != t.FailureDomain {
				continue
			}
			if u.Leaving {
				s.leaving = append(s.leaving, u)
			} else {
				s.running = append(s.running, u)
			}
		}
		p.countPending(now, in, s)
		sites = append(sites, s)
	}
	slices.SortFunc(sites, func(a, b *site) int { return cmp.Compare(a.target.Name(), b.target.Name()) })
	return sites
}

// countPending matches start orders with upstreams that have announced
// themselves since.
func (p *Planner) countPending(now rollout.Millis, in Input, s *site) {
	answered := make(map[string]bool)
	for _, o := range in.Orders {
		if o.Action != "start" || o.Pool != s.target.Pool || o.FailureDomain != s.target.FailureDomain {
			continue
		}
		i := slices.IndexFunc(s.running, func(u catalog.Upstream) bool {
			return u.SinceMS > o.AtMS && !answered[u.ID]
		})
		if i >= 0 {
			answered[s.running[i].ID] = true
			continue
		}
		s.pending++
		if now-o.AtMS > p.cfg.StartTimeoutMS {
			s.overdue = true
		}
	}
}

// CompletedOrders returns the start orders that an upstream has answered, and the
// stop orders whose upstream is gone.
func CompletedOrders(in Input) []string {
	var done []string
	used := make(map[string]bool)
	for _, o := range in.Orders {
		if o.State != OrderAccepted {
			continue
		}
		i := slices.IndexFunc(in.Upstreams, func(u catalog.Upstream) bool {
			if o.Action == "stop" {
				return u.ID == o.Upstream
			}
			return u.Pool == o.Pool && u.FailureDomain == o.FailureDomain && u.SinceMS > o.AtMS && !used[u.ID]
		})
		switch {
		case o.Action == "stop" && i < 0:
			done = append(done, o.ID)
		case o.Action == "start" && i >= 0:
			used[in.Upstreams[i].ID] = true
			done = append(done, o.ID)
		}
	}
	return done
}

func byPool(sites []*site) map[string][]*site {
	pools := make(map[string][]*site)
	for _, s := range sites {
		pools[s.target.Pool] = append(pools[s.target.Pool], s)
	}
	return pools
}

// lasted tells whether a need has lasted for d, and notes when it began.
func lasted(since map[string]rollout.Millis, name string, now, d rollout.Millis) bool {
	began, ok := since[name]
	if !ok {
		since[name] = now
		return d == 0
	}
	return now-began >= d
}
