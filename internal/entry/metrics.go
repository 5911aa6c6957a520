package entry

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	samples  *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_requests_total", Help: "Requests of callers and trainers, by outcome.",
		}, []string{"outcome"}),
		samples: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_samples_total", Help: "Attempts for samples, by outcome.",
		}, []string{"outcome"}),
	}
	m.registry.MustRegister(m.requests, m.samples)
	return m
}
