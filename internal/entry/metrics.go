package entry

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	samples  *prometheus.CounterVec

	evacuatedUpstreams prometheus.Gauge
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
	m.evacuatedUpstreams = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "coltsfootspoke_evacuated_upstreams", Help: "Upstreams that get no new requests from this entry because of an evacuation.",
	})
	m.registry.MustRegister(m.requests, m.samples, m.evacuatedUpstreams)
	return m
}
