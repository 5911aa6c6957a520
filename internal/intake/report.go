package intake

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Reason is why a client was refused.
type Reason string

// The reasons. They are the values of a metric label and stable.
const (
	// ReasonHead means that a head was too long or not received in time.
	ReasonHead Reason = "Head"
	// ReasonBodyTooLarge means that a body was longer than the configuration allows.
	ReasonBodyTooLarge Reason = "BodyTooLarge"
	// ReasonBodyTimeout means that a body was not received before the deadline of its request.
	ReasonBodyTimeout Reason = "BodyTimeout"
	// ReasonConnections means that a connection was closed because too many were open.
	ReasonConnections Reason = "Connections"
	// ReasonMemory means that no memory was free in time.
	ReasonMemory Reason = "Memory"
	// ReasonStalled means that a transfer made no progress while others waited for memory.
	ReasonStalled Reason = "Stalled"
	// ReasonIdle means that a connection was closed because it was idle for too long.
	ReasonIdle Reason = "Idle"
)

// reportIntervalMS is the time between two log lines for a reason.
const reportIntervalMS rollout.Millis = 1_000

// reports bounds the log lines about refused clients.
type reports struct {
	mu sync.Mutex
	// byReason holds the refusals that have not been logged.
	byReason map[Reason]*report
}

type report struct {
	count    int
	loggedMS rollout.Millis
}

// add counts a refusal. It returns the number to log, or 0 if a line was logged recently.
func (r *reports) add(now rollout.Millis, reason Reason) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byReason == nil {
		r.byReason = make(map[Reason]*report)
	}
	known := r.byReason[reason]
	if known == nil {
		known = &report{loggedMS: now - reportIntervalMS}
		r.byReason[reason] = known
	}
	known.count++
	if now-known.loggedMS < reportIntervalMS {
		return 0
	}
	count := known.count
	known.count, known.loggedMS = 0, now
	return count
}

// Refused counts and logs that a client was refused.
func (i *Intake) Refused(reason Reason) {
	i.metrics.refusals.WithLabelValues(string(reason)).Inc()
	if reason == ReasonIdle {
		return
	}
	if n := i.reports.add(i.clock.Now(), reason); n > 0 {
		s := i.Stats()
		i.opts.Log.Warn("ClientsRefused", zap.String("Reason", string(reason)), zap.Int("Count", n),
			zap.Int64("HeldBytes", s.Held), zap.Int("Holders", s.Holders), zap.Int("Waiting", s.Waiting))
	}
}

// metrics holds the Prometheus metrics of an Intake.
type metrics struct {
	refusals *prometheus.CounterVec
	waits    prometheus.Counter
}

func newMetrics(registry *prometheus.Registry, i *Intake) *metrics {
	m := &metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_intake_refusals_total", Help: "Requests refused and connections closed because of what their clients used up, by reason.",
		}, []string{"reason"}),
		waits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coltsfootspoke_intake_waits_total", Help: "Requests that waited for memory.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.refusals, m.waits, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "coltsfootspoke_intake_held_bytes", Help: "Memory that requests of clients hold.",
		}, func() float64 { return float64(i.Stats().Held) }))
	}
	return m
}
