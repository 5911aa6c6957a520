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

// daemonRetentionMS is how long a daemon that does not renew its lease stays in
// the fleet table.
const daemonRetentionMS = 10 * 60 * 1_000

// runLeaderTasks does the periodic work of a leader that holds its lease.
func (l *eventLoop) runLeaderTasks(now rollout.Millis) {
	l.advanceMemberReplacement(now)
	l.removeLostUpstreams(now)
	l.closeUsageWindow(now)
	l.sendUsageReport()
	l.planCapacity(now)
	l.sendOrders()
	l.fleet.Forget(now, daemonRetentionMS)
}

// removeLostUpstreams removes the upstreams whose agent has stopped renewing its
// lease.
func (l *eventLoop) removeLostUpstreams(now rollout.Millis) {
	for _, u := range l.state.Catalog.SortedUpstreams() {
		if !l.fleet.Lost(now, u.Agent, u.Incarnation) {
			continue
		}
		l.log.Warn("UpstreamLost", zap.String("Upstream", u.ID), zap.String("Agent", u.Agent), zap.String("Reason", "no renewal from the agent"))
		l.weights.RemoveAgent(u.Agent)
		l.propose(nil, ledger.Command{LoseUpstream: &ledger.LoseUpstream{ID: u.ID, Incarnation: u.Incarnation}})
	}
}

// closeUsageWindow closes the open usage window at the end of its interval.
func (l *eventLoop) closeUsageWindow(now rollout.Millis) {
	windows := l.state.Usage
	if windows.OpenSinceMS == 0 || now-windows.OpenSinceMS < l.cfg.UsageWindowMS {
		return
	}
	l.propose(nil, ledger.Command{CloseWindow: &usage.CloseWindow{Number: windows.NextWindow, ToMS: windows.OpenSinceMS + l.cfg.UsageWindowMS}})
}

// sendUsageReport sends the oldest closed usage window that the platform has not
// accepted yet.
func (l *eventLoop) sendUsageReport() {
	unreported := l.state.Usage.Unreported()
	if len(unreported) == 0 || l.platformJobs == nil {
		return
	}
	w := unreported[0]
	name := fmt.Sprintf("window-%d", w.Number)
	l.enqueuePlatformJob(name, platformJob{report: usageReport(w, l.node.Term()), name: name, onAccepted: ledger.Command{
		WindowReported: &ledger.WindowReported{Number: w.Number},
	}})
}

// planCapacity proposes the orders and drains that bring the pools to their
// targets.
func (l *eventLoop) planCapacity(now rollout.Millis) {
	in := l.capacityInput()
	for _, id := range capacity.CompletedOrders(in) {
		l.propose(nil, ledger.Command{OrderState: &ledger.OrderState{ID: id, State: capacity.OrderDone}})
	}
	if len(in.Targets) == 0 || now-l.leaderSinceMS < fleet.LostAfterMS || l.uncommittedPlan > 0 {
		return
	}
	plan := l.planner.Plan(now, fmt.Sprintf("order-%d", l.node.Term()), in)
	for i, o := range plan.Orders {
		o.Fencing = l.node.Term()
		l.log.Info("OrderPlanned", zap.String("Order", o.ID), zap.String("Action", o.Action),
			zap.String("FailureDomain", o.FailureDomain), zap.String("Pool", o.Pool),
			zap.String("Upstream", o.Upstream), zap.String("Reason", plan.Reasons[i]))
		l.proposePlanned(ledger.Command{PlanOrder: &o})
	}
	for i, id := range plan.Drain {
		l.log.Info("DrainPlanned", zap.String("Upstream", id), zap.String("Reason", plan.Reasons[len(plan.Orders)+i]))
		l.proposePlanned(ledger.Command{DrainRequest: &ledger.Drain{Upstream: id}})
	}
}

// proposePlanned proposes one command of a capacity plan. The next plan waits
// until the command is applied; otherwise it would order the same capacity again.
func (l *eventLoop) proposePlanned(c ledger.Command) {
	l.uncommittedPlan++
	l.propose(func([]ledger.Result, error) { l.uncommittedPlan-- }, c)
}

// sendOrders sends the committed orders that the platform has not accepted yet.
// After a leader change an order is sent again with the same ID and the new term
// as its fencing token.
func (l *eventLoop) sendOrders() {
	if l.platformJobs == nil {
		return
	}
	for _, o := range l.state.OpenOrders() {
		if o.State != capacity.OrderPlanned {
			continue
		}
		order := o.Order
		order.Fencing = l.node.Term()
		l.enqueuePlatformJob(o.ID, platformJob{order: &order, name: o.ID, onAccepted: ledger.Command{
			OrderState: &ledger.OrderState{ID: o.ID, State: capacity.OrderAccepted},
		}})
	}
}

// enqueuePlatformJob queues a job for the platform client. It does nothing if the
// job is already in flight or the queue is full; the next run of the leader tasks
// tries again.
func (l *eventLoop) enqueuePlatformJob(name string, job platformJob) {
	if l.jobsInFlight[name] {
		return
	}
	select {
	case l.platformJobs <- job:
		l.jobsInFlight[name] = true
	default:
	}
}

// handlePlatformResult proposes the follow-up command of an accepted job. A
// failed job is sent again by a later run of the leader tasks.
func (l *eventLoop) handlePlatformResult(job platformJob, err error) {
	if !l.leading {
		return
	}
	if err != nil {
		delete(l.jobsInFlight, job.name)
		l.log.Warn("PlatformJobFailed", zap.String("Job", job.name), zap.Error(err))
		return
	}
	l.log.Info("PlatformJobAccepted", zap.String("Job", job.name))
	l.propose(func(_ []ledger.Result, _ error) { delete(l.jobsInFlight, job.name) }, job.onAccepted)
}

func (l *eventLoop) capacityInput() capacity.Input {
	cat := l.state.Catalog
	in := capacity.Input{
		Upstreams: cat.SortedUpstreams(),
		Orders:    l.state.OpenOrders(),
		Demand:    make(map[string]capacity.Demand),
	}
	for _, name := range slices.Sorted(maps.Keys(cat.Targets)) {
		in.Targets = append(in.Targets, cat.Targets[name])
	}
	for _, u := range in.Upstreams {
		load, _ := l.fleet.Load(u)
		d := in.Demand[u.Pool]
		d.Busy += load.Running
		d.Waiting += load.Waiting
		in.Demand[u.Pool] = d
	}
	for pool, d := range in.Demand {
		d.Waiting += l.fleet.Queued(pool)
		in.Demand[pool] = d
	}
	in.Evacuated = func(domain string) bool {
		_, evacuated := cat.Evacuations[domain]
		return evacuated
	}
	in.Idle = func(id string) bool { return l.isIdle(cat.Upstreams[id]) }
	return in
}

// isIdle reports whether a draining upstream has no running or waiting requests.
// It relies only on reports that the agent made after it had learned of the drain.
func (l *eventLoop) isIdle(u catalog.Upstream) bool {
	load, known := l.fleet.Load(u)
	return known && load.Draining && load.Running+load.Waiting == 0
}

func (l *eventLoop) capacityConfig() capacity.Config {
	cfg := capacity.DefaultConfig()
	configured := l.cfg.Capacity
	if configured.GrowAfterMS > 0 {
		cfg.GrowAfterMS = configured.GrowAfterMS
	}
	if configured.ShrinkAfterMS > 0 {
		cfg.ShrinkAfterMS = configured.ShrinkAfterMS
	}
	if configured.StartTimeoutMS > 0 {
		cfg.StartTimeoutMS = configured.StartTimeoutMS
	}
	return cfg
}

func usageReport(w usage.Window, fencing uint64) *rollout.UsageReport {
	r := &rollout.UsageReport{Window: w.Number, FromMS: w.FromMS, ToMS: w.ToMS, Fencing: fencing}
	for _, line := range w.Lines {
		r.Lines = append(r.Lines, rollout.UsageLine{
			Account: line.Account, Pool: line.Pool, Requests: line.Requests,
			InputTokens: line.InputTokens, OutputTokens: line.OutputTokens, UpstreamMS: line.UpstreamMS,
		})
	}
	return r
}
