package jobstore

import (
	"context"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

// orderClaim is what a runner has of the claim of its host to send weight orders.
type orderClaim struct {
	// held is true once this host has the last claim.
	held bool
	// pending is true while a command with the claim is being committed.
	pending bool
}

// maySendOrders reports whether this host may send orders. If its claim is not the last one, it
// makes another first, and if it had an earlier one, it waits for its cooldown before that. The
// claims are in the log, so a restart changes nothing. The caller holds r.mu.
func (r *runner) maySendOrders(ctx context.Context, now rollout.Millis) bool {
	if r.orders.held || r.orders.pending {
		return r.orders.held
	}
	host := r.store.opts.Host
	r.store.mu.Lock()
	claims := r.store.state.OrderHosts
	r.orders.held = len(claims) > 0 && claims[len(claims)-1] == host
	mayClaim := !r.store.state.MayHaveBeenReplaced(host) || r.store.orderCooldown.Allows(now, r.term)
	r.store.mu.Unlock()
	r.orders.pending = !r.orders.held && mayClaim
	if r.orders.pending {
		r.goroutines.Go(func() { r.claimOrders(ctx) })
	}
	return r.orders.held
}

func (r *runner) claimOrders(ctx context.Context) {
	err := r.store.propose(ctx, job.Command{Orders: &job.ClaimOrders{Writer: r.writer, Host: r.store.opts.Host}})
	r.store.opts.Log.Info("OrdersClaimed", zap.Uint64("Term", r.term), zap.Error(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = orderClaim{held: err == nil}
	r.wakeUp()
}

// orderLoad orders an engine to load a weight version.
func (r *runner) orderLoad(ctx context.Context, l dispatch.WeightLoad) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r.awaitOrderPermit(ctx, l)
	if l.NeedsReport {
		report, err := r.store.opts.Upstreams.FetchReport(ctx, l.Address)
		if err != nil {
			r.recordOrderOutcome(l, rollout.WeightOrderUnknown, err)
			return
		}
		if report.Leaving {
			r.markLeaving(l.Engine)
		}
		r.recordLimit(l.Engine, report.Limit)
		r.mu.Lock()
		next, wanted := r.sched.ReportReceived(r.store.clock.Now(), l, report)
		r.mu.Unlock()
		if !wanted {
			return
		}
		l = next
	}
	if term, leads := r.store.replica.Leading(minLeaseLeftMS); !leads || term != r.term {
		r.recordOrderOutcome(l, rollout.WeightOrderUnknown, r.store.replica.NotLeader())
		return
	}
	r.store.mu.Lock()
	r.store.orderCooldown.RecordAction(r.store.clock.Now(), r.term)
	r.store.mu.Unlock()
	reply, err := r.store.opts.Upstreams.SendWeightOrder(ctx, rollout.WeightOrder{
		Address: l.Address, Instance: l.Engine, Model: l.Model, Version: l.Version,
		Holder: r.store.opts.Host, Fencing: r.term, Accepted: l.Accepted, Drain: r.needsSingleVersion(l.Model),
	})
	if reply.Leaving {
		r.markLeaving(l.Engine)
	}
	if err == nil {
		r.recordLimit(l.Engine, reply.Limit)
	}
	r.recordOrderOutcome(l, reply.Outcome, err)
}

// awaitOrderPermit waits until the limit of an engine allows an order. The order is sent
// in any case, because the engine must not go on with an old version.
func (r *runner) awaitOrderPermit(ctx context.Context, l dispatch.WeightLoad) {
	if err := r.acquire(ctx, l.Engine, limit.Request{OwnColdBound: true, Patience: itemLimitPatience}); err != nil {
		r.store.opts.Log.Info("WeightOrderBeyondLimit", zap.String("Upstream", l.Engine), zap.Error(err))
	}
}

// needsSingleVersion reports whether an open job requires that each sample of a
// model is generated with a single weight version.
func (r *runner) needsSingleVersion(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, items := range r.jobs {
		for _, w := range items {
			if w.spec.Model == model && w.route.SingleVersion && !w.done {
				return true
			}
		}
	}
	return false
}

// recordOrderOutcome records the outcome of an order.
func (r *runner) recordOrderOutcome(l dispatch.WeightLoad, o rollout.WeightOrderOutcome, err error) {
	r.store.opts.Log.Info("WeightOrderEnded", zap.String("Upstream", l.Engine), zap.String("Model", l.Model),
		zap.Uint64("Version", l.Version), zap.Uint64("Accepted", l.Accepted), zap.Uint64("Term", r.term),
		zap.Stringer("Outcome", o), zap.Error(err))
	r.store.metrics.weightOrders.WithLabelValues(o.String()).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.OrderEnded(r.store.clock.Now(), l, o)
	r.wakeUp()
}
