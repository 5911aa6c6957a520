// Package capacity decides which upstreams to start and to stop. It gives each
// pool the capacity that its load requires, within the targets of each failure
// domain. If a failure domain is lost or evacuated, the others take over its share.
package capacity

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// Config configures a Planner.
type Config struct {
	// Utilization is the target share of busy slots.
	Utilization float64
	// GrowAfterMS and ShrinkAfterMS are how long a shortage or an excess must
	// persist before upstreams are started or drained.
	GrowAfterMS, ShrinkAfterMS rollout.Millis
	// StartTimeoutMS is the maximum time from a start order until the upstream
	// registers. A target with a pending start order older than this counts as
	// lost until an upstream registers there.
	StartTimeoutMS rollout.Millis
}

// DefaultConfig returns the configuration for upstreams that take minutes to
// start.
func DefaultConfig() Config {
	return Config{Utilization: 0.75, GrowAfterMS: 10_000, ShrinkAfterMS: 120_000, StartTimeoutMS: 300_000}
}

// OrderState is the progress of an order.
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
	// AtMS is the time at which the order was committed.
	AtMS rollout.Millis
}

// Demand is the current load of a pool.
type Demand struct {
	// Busy is the number of slots in use, Waiting that of waiting requests.
	Busy, Waiting int
}

// Input is the state on which a plan is based.
type Input struct {
	Targets   []catalog.Target
	Upstreams []catalog.Upstream
	// Orders holds the orders that are not done.
	Orders []Order
	// Demand holds the load by pool.
	Demand map[string]Demand
	// Evacuated reports whether a failure domain is evacuated. Nil means that none
	// is.
	Evacuated func(domain string) bool
	// Idle reports whether an upstream that is leaving has no work left.
	Idle func(upstream string) bool
}

// Plan holds the decisions to commit.
type Plan struct {
	Orders []rollout.Order
	// Drain holds the IDs of upstreams that must be drained before they are
	// stopped.
	Drain []string
	// Reasons holds one text for each decision: first those of Orders, then
	// those of Drain.
	Reasons []string
}

// Planner plans the start, drain and stop of upstreams. It is not safe for
// concurrent use.
type Planner struct {
	cfg Config
	// growSince and shrinkSince hold the time since which a target has had too
	// few or too many upstreams, by the name of the target.
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

// targetState holds a target and the upstreams of its pool in its failure
// domain.
type targetState struct {
	target  catalog.Target
	running []catalog.Upstream
	leaving []catalog.Upstream
	// pending is the number of start orders whose upstream has not registered
	// yet.
	pending int
	// overdue means that a pending start order is older than StartTimeoutMS.
	overdue bool
	// evacuated means that the failure domain is evacuated. Nothing is started or
	// drained there, so that its upstreams can serve again when the evacuation ends.
	evacuated bool
	// desired is the number of upstreams to run.
	desired int
}

// Plan returns the decisions for the current state. The IDs of new orders start
// with prefix, which must be unique to the leader.
func (p *Planner) Plan(now rollout.Millis, prefix string, in Input) Plan {
	targetStates := p.targetStates(now, in)
	for pool, poolStates := range groupByPool(targetStates) {
		required := max(p.requiredUpstreams(poolStates, in.Demand[pool]), minimumDuringEvacuation(poolStates))
		p.distribute(poolStates, required)
	}
	var plan Plan
	for _, s := range targetStates {
		p.planTarget(now, prefix, in, s, &plan)
	}
	return plan
}

func (p *Planner) addOrder(plan *Plan, prefix string, o rollout.Order, reason string) {
	p.sequence++
	o.ID = fmt.Sprintf("%s-%d", prefix, p.sequence)
	plan.Orders = append(plan.Orders, o)
	plan.Reasons = append(plan.Reasons, reason)
}

// distribute sets the desired number of upstreams of each target. Each gets its
// minimum. The rest of the required upstreams go to targets below their maximum
// that are not overdue or evacuated. The minimum of an overdue or evacuated target
// does not count towards the required number, so that other failure domains replace
// it.
func (p *Planner) distribute(states []*targetState, required int) {
	total := 0
	for _, s := range states {
		s.desired = s.target.Min
		if s.canGrow() {
			total += s.desired
		}
	}
	for total < required {
		best := bestTarget(states)
		if best == nil {
			return
		}
		best.desired++
		total++
	}
}

// bestTarget returns the target that gets the next upstream, or nil if every
// target is overdue, evacuated or at its maximum. Targets that already run more than the
// desired number come first, then those with the lowest desired number.
func bestTarget(states []*targetState) *targetState {
	var best *targetState
	for _, s := range states {
		if !s.canGrow() || s.desired >= s.target.Max {
			continue
		}
		if best == nil || s.before(best) {
			best = s
		}
	}
	return best
}

// canGrow reports whether upstreams of the target count as capacity.
func (s *targetState) canGrow() bool { return !s.overdue && !s.evacuated }

// minimumDuringEvacuation returns the sum of all minimums if a target is evacuated,
// and 0 otherwise. Without it the demand would not replace an evacuated minimum:
// requests of a pool without other upstreams are refused at once and never wait.
func minimumDuringEvacuation(states []*targetState) int {
	total, evacuated := 0, false
	for _, s := range states {
		total += s.target.Min
		evacuated = evacuated || s.evacuated
	}
	if !evacuated {
		return 0
	}
	return total
}

// before reports whether s gets the next upstream before o.
func (s *targetState) before(o *targetState) bool {
	spare, otherSpare := len(s.running) > s.desired, len(o.running) > o.desired
	if spare != otherSpare {
		return spare
	}
	return s.desired < o.desired
}

// requiredUpstreams returns the number of upstreams that the demand requires at
// the configured utilization, based on the mean number of slots of the running
// upstreams. It is zero if none runs.
func (p *Planner) requiredUpstreams(states []*targetState, d Demand) int {
	slots, count := 0, 0
	for _, s := range states {
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

func (p *Planner) planTarget(now rollout.Millis, prefix string, in Input, s *targetState, plan *Plan) {
	p.planStops(prefix, in, s, plan)
	have := len(s.running) + s.pending
	name := s.target.Name()
	switch {
	case s.evacuated:
		delete(p.growSince, name)
		delete(p.shrinkSince, name)
	case have < s.desired:
		delete(p.shrinkSince, name)
		p.planStarts(now, prefix, s, have, plan)
	case len(s.running) > s.desired:
		delete(p.growSince, name)
		p.planDrains(now, s, plan)
	default:
		delete(p.growSince, name)
		delete(p.shrinkSince, name)
	}
}

func (p *Planner) planDrains(now rollout.Millis, s *targetState, plan *Plan) {
	name := s.target.Name()
	if !hasPersisted(p.shrinkSince, name, now, p.cfg.ShrinkAfterMS) && len(s.running) <= s.target.Max {
		return
	}
	excess := len(s.running) - s.desired
	for _, u := range s.running[len(s.running)-excess:] {
		plan.Drain = append(plan.Drain, u.ID)
		plan.Reasons = append(plan.Reasons, fmt.Sprintf("target %s runs %d upstreams, %d desired", name, len(s.running), s.desired))
	}
	delete(p.shrinkSince, name)
}

func (p *Planner) planStarts(now rollout.Millis, prefix string, s *targetState, have int, plan *Plan) {
	name := s.target.Name()
	if have >= s.target.Min && !hasPersisted(p.growSince, name, now, p.cfg.GrowAfterMS) {
		return
	}
	for n := have; n < s.desired; n++ {
		o := rollout.Order{Action: "start", FailureDomain: s.target.FailureDomain, Pool: s.target.Pool}
		p.addOrder(plan, prefix, o, fmt.Sprintf("target %s runs or starts %d upstreams, %d desired", name, have, s.desired))
	}
	delete(p.growSince, name)
}

// planStops orders the stop of leaving upstreams that have no work left.
func (p *Planner) planStops(prefix string, in Input, s *targetState, plan *Plan) {
	for _, u := range s.leaving {
		ordered := slices.ContainsFunc(in.Orders, func(o Order) bool { return o.Upstream == u.ID })
		if ordered || !in.Idle(u.ID) {
			continue
		}
		o := rollout.Order{Action: "stop", FailureDomain: u.FailureDomain, Pool: u.Pool, Upstream: u.ID}
		p.addOrder(plan, prefix, o, "drained, no work left")
	}
}

func (p *Planner) targetStates(now rollout.Millis, in Input) []*targetState {
	targetStates := make([]*targetState, 0, len(in.Targets))
	for _, t := range in.Targets {
		s := &targetState{target: t, evacuated: in.Evacuated != nil && in.Evacuated(t.FailureDomain)}
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
		targetStates = append(targetStates, s)
	}
	slices.SortFunc(targetStates, func(a, b *targetState) int { return cmp.Compare(a.target.Name(), b.target.Name()) })
	return targetStates
}

// countPending counts the start orders of a target that have no matching
// upstream. Each upstream that registered after an order matches at most one
// order.
func (p *Planner) countPending(now rollout.Millis, in Input, s *targetState) {
	matched := make(map[string]bool)
	for _, o := range in.Orders {
		if o.Action != "start" || o.Pool != s.target.Pool || o.FailureDomain != s.target.FailureDomain {
			continue
		}
		i := slices.IndexFunc(s.running, func(u catalog.Upstream) bool {
			return u.SinceMS > o.AtMS && !matched[u.ID]
		})
		if i >= 0 {
			matched[s.running[i].ID] = true
			continue
		}
		s.pending++
		if now-o.AtMS > p.cfg.StartTimeoutMS {
			s.overdue = true
		}
	}
}

// CompletedOrders returns the IDs of the accepted start orders whose upstream
// has registered, and of the accepted stop orders whose upstream is gone.
func CompletedOrders(in Input) []string {
	var done []string
	matched := make(map[string]bool)
	for _, o := range in.Orders {
		if o.State != OrderAccepted {
			continue
		}
		i := slices.IndexFunc(in.Upstreams, func(u catalog.Upstream) bool {
			if o.Action == "stop" {
				return u.ID == o.Upstream
			}
			return u.Pool == o.Pool && u.FailureDomain == o.FailureDomain && u.SinceMS > o.AtMS && !matched[u.ID]
		})
		switch {
		case o.Action == "stop" && i < 0:
			done = append(done, o.ID)
		case o.Action == "start" && i >= 0:
			matched[in.Upstreams[i].ID] = true
			done = append(done, o.ID)
		}
	}
	return done
}

func groupByPool(states []*targetState) map[string][]*targetState {
	pools := make(map[string][]*targetState)
	for _, s := range states {
		pools[s.target.Pool] = append(pools[s.target.Pool], s)
	}
	return pools
}

// hasPersisted reports whether a condition has persisted for d. The first call
// for a name records the start of the condition.
func hasPersisted(since map[string]rollout.Millis, name string, now, d rollout.Millis) bool {
	began, ok := since[name]
	if !ok {
		since[name] = now
		return d == 0
	}
	return now-began >= d
}
