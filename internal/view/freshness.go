package view

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// outdatedAge is the age of the copy from which it is logged as outdated. The leader
// replies to a watch after watchWaitMS at the latest.
const outdatedAge = time.Second

// confirmationSlackMS is how long Confirm waits beyond the allowed age. It spans the
// time until a lost connection to the leader is noticed and replaced.
const confirmationSlackMS rollout.Millis = 400

// neverConfirmedMS is the age of a copy that no leader has confirmed.
const neverConfirmedMS rollout.Millis = -1

// CopyInfo identifies a copy of the control state and says how old it is.
type CopyInfo struct {
	// Version is the version of the document, or 0 if there is none yet.
	Version uint64
	// Epoch is the term of the leader that sent the copy.
	Epoch uint64
	// AgeMS is the time since a leader last confirmed the copy, or neverConfirmedMS.
	AgeMS rollout.Millis
}

// IsRecent reports whether a leader has confirmed the copy within a time.
func (c CopyInfo) IsRecent(maxAge rollout.Millis) bool {
	return c.AgeMS != neverConfirmedMS && c.AgeMS <= maxAge
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c CopyInfo) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddUint64("Version", c.Version)
	enc.AddUint64("Epoch", c.Epoch)
	enc.AddInt64("CopyAgeMS", int64(c.AgeMS))
	return nil
}

// CopyInfo describes the current copy.
func (w *Watcher) CopyInfo() CopyInfo {
	s := w.State()
	info := CopyInfo{Epoch: s.Epoch, AgeMS: neverConfirmedMS}
	if s.Index != nil {
		info.Version = s.Index.Document.Version
	}
	if s.ConfirmedMS > 0 {
		info.AgeMS = w.opts.Clock.Now() - s.ConfirmedMS
	}
	return info
}

// Confirm returns nil once a leader has confirmed the copy for a time that is at most
// maxAge ago. If the copy is older, it waits, but only while a confirmation can be
// expected soon; a host that has lost the leader for longer gets an error at once.
func (w *Watcher) Confirm(ctx context.Context, maxAge rollout.Millis) error {
	for {
		w.confirmedMu.Lock()
		confirmed := w.confirmed
		w.confirmedMu.Unlock()
		age := w.CopyInfo().AgeMS
		if w.CopyInfo().IsRecent(maxAge) {
			return nil
		}
		left := maxAge + confirmationSlackMS - age
		if age == neverConfirmedMS || left <= 0 {
			return rollout.NewError(rollout.KindNoAuthority, "copy of the configuration was confirmed %d ms ago, want %d ms at most", age, maxAge).WithNotRun()
		}
		timer := time.NewTimer(time.Duration(left) * time.Millisecond)
		select {
		case <-confirmed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return rollout.NewError(rollout.KindNoAuthority, "caller left before the copy of the configuration was confirmed").WithCause(ctx.Err()).WithNotRun()
		}
		timer.Stop()
	}
}

// notifyConfirmed wakes the callers of Confirm.
func (w *Watcher) notifyConfirmed() {
	w.confirmedMu.Lock()
	defer w.confirmedMu.Unlock()
	close(w.confirmed)
	w.confirmed = make(chan struct{})
}

// logLapse logs that the copy is outdated and which host has not replied.
func (w *Watcher) logLapse() {
	w.metrics.lapses.Inc()
	w.opts.Log.Warn("CopyOutdated", zap.Inline(w.CopyInfo()), zap.Any("WaitingFor", w.waitingFor.Load()), zap.String("Leader", w.Leader()))
}

// metrics holds the Prometheus metrics of a watcher.
type metrics struct {
	documentDelay prometheus.Histogram
	lapses        prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		documentDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coltsfootspoke_view_document_delay_seconds", Help: "Time from the commit of a configuration until it is in force on this host.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		lapses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coltsfootspoke_view_lapses_total", Help: "How often the copy of the control state became outdated.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.documentDelay, m.lapses)
	}
	return m
}

// observeDocument records the delay of a received document. A delay of 0 is unknown.
func (m *metrics) observeDocument(delay rollout.Millis) {
	if delay > 0 {
		m.documentDelay.Observe((time.Duration(delay) * time.Millisecond).Seconds())
	}
}

// ConfirmSince returns nil once a leader has confirmed the copy for a time after since, or an
// error when the context ends.
func (w *Watcher) ConfirmSince(ctx context.Context, since rollout.Millis) error {
	for {
		w.confirmedMu.Lock()
		confirmed := w.confirmed
		w.confirmedMu.Unlock()
		if w.State().ConfirmedMS > since {
			return nil
		}
		select {
		case <-confirmed:
		case <-ctx.Done():
			return rollout.NewError(rollout.KindNoAuthority, "copy of the control state was last confirmed for %d, want after %d", w.State().ConfirmedMS, since).WithCause(ctx.Err())
		}
	}
}

// Latest asks the leader for the state as it is now. It leaves the copy as it is. It is for hosts
// that report nothing else with their watch requests than entries do.
func (w *Watcher) Latest(ctx context.Context) (State, error) {
	leader := w.Leader()
	if leader == "" {
		return State{}, rollout.NewError(rollout.KindNoAuthority, "no leader of the control hosts replies")
	}
	base := w.State()
	u, err := w.call(ctx, leader, watchRequest{Request: w.requestSince(base, 0), base: base})
	if err != nil {
		return State{}, err
	}
	next := u.base.With(u.reply)
	next.ConfirmedMS = u.confirmedMS
	return next, nil
}
