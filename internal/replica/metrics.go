package replica

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus metrics of a replica.
type metrics struct {
	leading        prometheus.Gauge
	term           prometheus.Gauge
	entriesApplied prometheus.Counter
	syncSeconds    prometheus.Histogram
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coltsfootspoke_quorum_leading", Help: "1 while the member leads with a lease.",
		}),
		term: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coltsfootspoke_quorum_term", Help: "Term of the member.",
		}),
		entriesApplied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coltsfootspoke_quorum_entries_applied_total", Help: "Entries applied.",
		}),
		syncSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coltsfootspoke_quorum_store_seconds", Help: "Time of a synced write to the disk.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
	}
	registry.MustRegister(m.leading, m.term, m.entriesApplied, m.syncSeconds)
	return m
}
