package jobstore

import (
	"context"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

// mayOrder tells whether this host may give orders. It is called with mu held.
func (r *runner) mayOrder(now rollout.Millis) bool {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return r.s.orders.Allows(now, r.term)
}

// load orders an engine to change its weights.
func (r *runner) load(ctx context.Context, l dispatch.WeightLoad) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if l.NeedsReport {
		report, err := r.s.opts.Upstreams.Report(ctx, l.Address)
		if err != nil {
			r.ordered(l, rollout.OrderUnknown, err)
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
	if term, leads := r.s.replica.Leading(orderSpareMS); !leads || term != r.term {
		r.ordered(l, rollout.OrderUnknown, r.s.replica.NotLeader())
		return
	}
	r.s.mu.Lock()
	r.s.orders.RecordAction(r.s.clock.Now(), r.term)
	r.s.mu.Unlock()
	outcome, err := r.s.opts.Upstreams.Order(ctx, rollout.WeightOrder{
		Address: l.Address, Instance: l.Engine, Model: l.Model, Version: l.Version,
		Holder: r.s.opts.Host, Fencing: r.term, Accepted: l.Accepted, Drain: r.needsOneVersion(l.Model),
	})
	r.ordered(l, outcome, err)
}

// needsOneVersion tells whether an open job wants each sample of a model made
// under one version.
func (r *runner) needsOneVersion(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, works := range r.jobs {
		for _, w := range works {
			if w.spec.Model == model && w.route.SingleVersion && !w.done {
				return true
			}
		}
	}
	return false
}

func (r *runner) ordered(l dispatch.WeightLoad, o rollout.OrderOutcome, err error) {
	r.s.opts.Log.Info("WeightsOrdered", zap.String("Upstream", l.Engine), zap.String("Model", l.Model),
		zap.Uint64("Version", l.Version), zap.Uint64("Accepted", l.Accepted), zap.Uint64("Term", r.term),
		zap.Stringer("Outcome", o), zap.Error(err))
	r.s.metrics.loads.WithLabelValues(o.String()).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.OrderEnded(r.s.clock.Now(), l, o)
	r.nudge()
}
