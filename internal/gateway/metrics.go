package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// metrics holds the Prometheus metrics of an entry.
type metrics struct {
	requests       *prometheus.CounterVec
	requestSeconds prometheus.Histogram
	jobCalls       *prometheus.CounterVec
	refusalCopyAge prometheus.Histogram
	// streams counts the events in the life of streams on resumable routes.
	streams *prometheus.CounterVec
	// regionRefusals counts refusals because of the regions that are allowed.
	regionRefusals *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_gateway_requests_total", Help: "Requests of callers, by outcome: Answered or the kind of the error.",
		}, []string{"outcome"}),
		requestSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coltsfootspoke_gateway_request_seconds", Help: "Time from the request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		jobCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_gateway_job_calls_total", Help: "Calls to the job store, by method and outcome.",
		}, []string{"method", "outcome"}),
		refusalCopyAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coltsfootspoke_gateway_refusal_copy_age_seconds", Help: "Age of the copy of the control state when a request was refused for its route, key or client account.",
			Buckets: prometheus.ExponentialBuckets(0.025, 2, 10),
		}),
		streams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_gateway_streams_total", Help: "Streams on resumable routes that were Begun, Continued in their response, BrokenOff, TakenUp or NotTakenUp.",
		}, []string{"event"}),
		regionRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_gateway_region_refusals_total", Help: "Refusals because only hosts in regions that are not allowed could have taken a Request or kept a Job.",
		}, []string{"refused"}),
	}
	registry.MustRegister(m.regionRefusals, m.streams, m.requests, m.requestSeconds, m.jobCalls, m.refusalCopyAge)
	return m
}

// observe records the outcome and the duration of a request that was received at
// the given time.
func (m *metrics) observe(received time.Time, err error) {
	m.requests.WithLabelValues(outcome(err)).Inc()
	m.requestSeconds.Observe(time.Since(received).Seconds())
}

// outcome returns the value of the outcome label for an error or for nil.
func outcome(err error) string {
	if err == nil {
		return "Answered"
	}
	return rollout.AsError(err).Kind.String()
}
