package control

import (
	"fmt"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/capacity"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

// forgetDaemonMS is how long a silent daemon stays in the tables.
const forgetDaemonMS = 10 * 60 * 1_000

// duties are what only a leader in charge does.
func (t *thread) duties(now rollout.Millis) {
	t.replaceMembers(now)
	t.loseUpstreams(now)
	t.closeWindow(now)
	t.sendReports()
	t.planCapacity(now)
	t.sendOrders()
	t.fleet.Forget(now, forgetDaemonMS)
}

// loseUpstreams takes out the upstreams whose agent is silent.
func (t *thread) loseUpstreams(now rollout.Millis) {
	for _, u := range t.state.Catalog.SortedUpstreams() {
		if !t.fleet.Lost(now, u.Agent, u.Incarnation) {
			continue
		}
		t.log.Warn("UpstreamLost", zap.String("Upstream", u.ID), zap.String("Agent", u.Agent), zap.String("Reason", "agent silent"))
		t.weights.RemoveAgent(u.Agent)
		t.propose(nil, ledger.Command{LoseUpstream: &ledger.LoseUpstream{ID: u.ID, Incarnation: u.Incarnation}})
	}
}

// closeWindow closes the open usage window when its time is over.
func (t *thread) closeWindow(now rollout.Millis) {
	book := t.state.Usage
	if book.OpenSinceMS == 0 || now-book.OpenSinceMS < t.cfg.UsageWindowMS {
		return
	}
	t.propose(nil, ledger.Command{CloseWindow: &usage.Close{Number: book.NextWindow, ToMS: book.OpenSinceMS + t.cfg.UsageWindowMS}})
}

// sendReports sends the oldest closed window that is not yet accepted.
func (t *thread) sendReports() {
	unreported := t.state.Usage.Unreported()
	if len(unreported) == 0 || t.jobs == nil {
		return
	}
	w := unreported[0]
	name := fmt.Sprintf("window-%d", w.Number)
	t.sendOnce(name, platformJob{report: reportOf(w, t.node.Term()), name: name, after: ledger.Command{
		WindowReported: &ledger.WindowReported{Number: w.Number},
	}})
}

// planCapacity commits the orders that the targets ask for.
func (t *thread) planCapacity(now rollout.Millis) {
	in := t.capacityInput()
	for _, id := range capacity.CompletedOrders(in) {
		t.propose(nil, ledger.Command{OrderState: &ledger.OrderState{ID: id, State: capacity.OrderDone}})
	}
	if len(in.Targets) == 0 || now-t.leadSinceMS < fleet.LostAfterMS || t.planned > 0 {
		return
	}
	plan := t.planner.Plan(now, fmt.Sprintf("order-%d", t.node.Term()), in)
	for i, o := range plan.Orders {
		o.Fencing = t.node.Term()
		t.log.Info("OrderPlanned", zap.String("Order", o.ID), zap.String("Action", o.Action),
			zap.String("FailureDomain", o.FailureDomain), zap.String("Pool", o.Pool),
			zap.String("Upstream", o.Upstream), zap.String("Reason", plan.Reasons[i]))
		t.proposePlan(ledger.Command{PlanOrder: &o})
	}
	for i, id := range plan.Drain {
		t.log.Info("DrainPlanned", zap.String("Upstream", id), zap.String("Reason", plan.Reasons[len(plan.Orders)+i]))
		t.proposePlan(ledger.Command{DrainRequest: &ledger.Drain{Upstream: id}})
	}
}

// proposePlan commits a part of a plan. No new plan is made before it is
// applied, since that would order the same again.
func (t *thread) proposePlan(c ledger.Command) {
	t.planned++
	t.propose(func([]ledger.Result, error) { t.planned-- }, c)
}

// sendOrders sends the orders that are committed but not yet accepted. After
// a change of leader the same order goes out under its old ID and the new
// term.
func (t *thread) sendOrders() {
	if t.jobs == nil {
		return
	}
	for _, o := range t.state.OpenOrders() {
		if o.State != capacity.OrderPlanned {
			continue
		}
		order := o.Order
		order.Fencing = t.node.Term()
		t.sendOnce(o.ID, platformJob{order: &order, name: o.ID, after: ledger.Command{
			OrderState: &ledger.OrderState{ID: o.ID, State: capacity.OrderAccepted},
		}})
	}
}

// sendOnce hands a job to the platform thread unless it is there already.
func (t *thread) sendOnce(name string, job platformJob) {
	if t.inFlight[name] {
		return
	}
	select {
	case t.jobs <- job:
		t.inFlight[name] = true
	default:
	}
}

// jobDone commits that the platform has accepted a job.
func (t *thread) jobDone(job platformJob, err error) {
	if !t.leading {
		return
	}
	if err != nil {
		delete(t.inFlight, job.name)
		t.log.Warn("PlatformRefused", zap.String("Job", job.name), zap.Error(err))
		return
	}
	t.log.Info("PlatformAccepted", zap.String("Job", job.name))
	t.propose(func(_ []ledger.Result, _ error) { delete(t.inFlight, job.name) }, job.after)
}

func (t *thread) capacityInput() capacity.Input {
	cat := t.state.Catalog
	in := capacity.Input{
		Upstreams: cat.SortedUpstreams(),
		Orders:    t.state.OpenOrders(),
		Demand:    make(map[string]capacity.Demand),
	}
	for _, name := range slices.Sorted(maps.Keys(cat.Targets)) {
		in.Targets = append(in.Targets, cat.Targets[name])
	}
	for _, u := range in.Upstreams {
		load, _ := t.fleet.Load(u)
		d := in.Demand[u.Pool]
		d.Busy += load.Running
		d.Waiting += load.Waiting
		in.Demand[u.Pool] = d
	}
	for pool, d := range in.Demand {
		d.Waiting += t.fleet.Queued(pool)
		in.Demand[pool] = d
	}
	in.Idle = func(id string) bool { return t.idle(cat.Upstreams[id]) }
	return in
}

// idle tells whether an upstream that is leaving has no work, by a report
// that its agent made after it had learned that the upstream is leaving.
func (t *thread) idle(u catalog.Upstream) bool {
	load, known := t.fleet.Load(u)
	return known && load.Draining && load.Running+load.Waiting == 0
}

func (t *thread) capacityConfig() capacity.Config {
	cfg := capacity.DefaultConfig()
	own := t.cfg.Capacity
	if own.GrowAfterMS > 0 {
		cfg.GrowAfterMS = own.GrowAfterMS
	}
	if own.ShrinkAfterMS > 0 {
		cfg.ShrinkAfterMS = own.ShrinkAfterMS
	}
	if own.StartTimeoutMS > 0 {
		cfg.StartTimeoutMS = own.StartTimeoutMS
	}
	return cfg
}

func reportOf(w usage.Window, fencing uint64) *rollout.UsageReport {
	r := &rollout.UsageReport{Window: w.Number, FromMS: w.FromMS, ToMS: w.ToMS, Fencing: fencing}
	for _, l := range w.Lines {
		r.Lines = append(r.Lines, rollout.UsageLine{
			Account: l.Account, Pool: l.Pool, Requests: l.Requests,
			InputTokens: l.InputTokens, OutputTokens: l.OutputTokens, UpstreamMS: l.UpstreamMS,
		})
	}
	return r
}
