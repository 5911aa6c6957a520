package jobstore

import (
	"context"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

// mayOrder reports whether the cooldown allows this host to send orders. The
// caller holds r.mu.
func (r *runner) mayOrder(now rollout.Millis) bool {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.orderCooldown.Allows(now, r.term)
}

// orderLoad orders an engine to load a weight version.
func (r *runner) orderLoad(ctx context.Context, l dispatch.WeightLoad) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if l.NeedsReport {
		report, err := r.s.opts.Upstreams.FetchReport(ctx, l.Address)
		if err != nil {
			r.orderEnded(l, rollout.WeightOrderUnknown, err)
			return
		}
		r.mu.Lock()
		next, wanted := r.sched.ReportReceived(r.s.clock.Now(), l, report)
		r.mu.Unlock()
		if !wanted {
			return
		}
		l = next
	}
	if term, leads := r.s.replica.Leading(minLeaseLeftMS); !leads || term != r.term {
		r.orderEnded(l, rollout.WeightOrderUnknown, r.s.replica.NotLeader())
		return
	}
	r.s.mu.Lock()
	r.s.orderCooldown.RecordAction(r.s.clock.Now(), r.term)
	r.s.mu.Unlock()
	outcome, err := r.s.opts.Upstreams.SendWeightOrder(ctx, rollout.WeightOrder{
		Address: l.Address, Instance: l.Engine, Model: l.Model, Version: l.Version,
		Holder: r.s.opts.Host, Fencing: r.term, Accepted: l.Accepted, Drain: r.needsSingleVersion(l.Model),
	})
	r.orderEnded(l, outcome, err)
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

// orderEnded records the outcome of an order.
func (r *runner) orderEnded(l dispatch.WeightLoad, o rollout.WeightOrderOutcome, err error) {
	r.s.opts.Log.Info("WeightOrderEnded", zap.String("Upstream", l.Engine), zap.String("Model", l.Model),
		zap.Uint64("Version", l.Version), zap.Uint64("Accepted", l.Accepted), zap.Uint64("Term", r.term),
		zap.Stringer("Outcome", o), zap.Error(err))
	r.s.metrics.orders.WithLabelValues(o.String()).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.OrderEnded(r.s.clock.Now(), l, o)
	r.wakeUp()
}
