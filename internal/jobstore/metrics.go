package jobstore

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of items, their runs and weight orders.
type metrics struct {
	items      *prometheus.CounterVec
	runs       *prometheus.CounterVec
	runSeconds prometheus.Histogram
	// continuations counts the runs that continue a text.
	continuations *prometheus.CounterVec
	weightOrders  *prometheus.CounterVec
	waitingItems  prometheus.Gauge
	// regionRefusals counts jobs refused because of the regions of the members.
	regionRefusals prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_job_items_total", Help: "Items listed, by state.",
		}, []string{"state"}),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_job_runs_total", Help: "Runs of items on engines, by outcome.",
		}, []string{"outcome"}),
		runSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coltsfootspoke_job_run_seconds", Help: "Time of a run of an item on an engine.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 10),
		}),
		continuations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_job_continuations_total", Help: "Runs that continue a text, by whether the software version of the engine is that of the text: Same, Other or Unknown.",
		}, []string{"software"}),
		weightOrders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_job_weight_orders_total", Help: "Orders to change weights, by outcome.",
		}, []string{"outcome"}),
		waitingItems: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coltsfootspoke_job_waiting_items", Help: "Items that wait for an engine, at the leader.",
		}),
		regionRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coltsfootspoke_job_region_refusals_total", Help: "Jobs that the leader refused because a member of the job store is in a region that may not keep them.",
		}),
	}
	registry.MustRegister(m.regionRefusals, m.items, m.runs, m.runSeconds, m.continuations, m.weightOrders, m.waitingItems)
	return m
}
