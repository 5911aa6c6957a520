package balance

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// metrics holds the Prometheus metrics of a balancer.
type metrics struct {
	// coldWaits counts the requests that waited for a permit for a cold upstream.
	coldWaits       *prometheus.CounterVec
	coldWaitSeconds prometheus.Histogram
}

func newMetrics() *metrics {
	return &metrics{
		coldWaits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_cold_waits_total", Help: "Requests that waited for a cold upstream, by outcome: Admitted or NotAdmitted.",
		}, []string{"outcome"}),
		coldWaitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coltsfootspoke_cold_wait_seconds", Help: "Time for which requests waited for a cold upstream.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 10),
		}),
	}
}

// RegisterMetrics registers the metrics of the balancer.
func (b *Balancer) RegisterMetrics(registry *prometheus.Registry) {
	registry.MustRegister(b.metrics.coldWaits, b.metrics.coldWaitSeconds)
}

// recordColdWait records that a request waited for a cold upstream. err is nil if it was
// admitted.
func (b *Balancer) recordColdWait(request, upstream string, waited rollout.Millis, err error) {
	outcome := "Admitted"
	if err != nil {
		outcome = "NotAdmitted"
	}
	b.metrics.coldWaits.WithLabelValues(outcome).Inc()
	b.metrics.coldWaitSeconds.Observe((time.Duration(waited) * time.Millisecond).Seconds())
	b.log.Info("ColdUpstreamAwaited", zap.String("Request", request), zap.String("Upstream", upstream), zap.Int64("WaitedMS", int64(waited)), zap.Error(err))
}
