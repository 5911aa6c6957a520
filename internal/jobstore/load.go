package jobstore

import (
	"context"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

// maySendOrders reports whether the cooldown allows this host to send orders.
// The caller holds r.mu.
func (r *runner) maySendOrders(now rollout.Millis) bool {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return r.store.orderCooldown.Allows(now, r.term)
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
