package control

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	registry        *prometheus.Registry
	syncSeconds     prometheus.Histogram
	commandsApplied prometheus.Counter
	renewals        *prometheus.CounterVec
	term            prometheus.Gauge
	leading         prometheus.Gauge

	evacuatedDomains prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		syncSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coltsfootspoke_log_sync_seconds", Help: "Time of one synced write of the log.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14),
		}),
		commandsApplied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coltsfootspoke_commands_applied_total", Help: "Commands applied to the state.",
		}),
		renewals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_renewals_total", Help: "Renewals answered, by kind of daemon.",
		}, []string{"kind"}),
		term: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coltsfootspoke_term", Help: "Current term.",
		}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coltsfootspoke_leading", Help: "1 while this host holds the leader's lease.",
		}),
		evacuatedDomains: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coltsfootspoke_evacuated_domains", Help: "Evacuated failure domains in the state of this host.",
		}),
	}
	m.registry.MustRegister(m.syncSeconds, m.commandsApplied, m.renewals, m.term, m.leading, m.evacuatedDomains)
	return m
}
