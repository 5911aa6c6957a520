package director

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// upstreamCollector counts the upstreams that have not ended, as far as this host knows.
type upstreamCollector struct {
	director *Director
	desc     *prometheus.Desc
	// cold describes the number of cold upstreams.
	cold *prometheus.Desc
}

func newUpstreamCollector(d *Director) upstreamCollector {
	return upstreamCollector{
		director: d, desc: prometheus.NewDesc("coltsfootspoke_control_upstreams",
			"Upstreams that have not ended, by pool, version of their software and state.", []string{"pool", "software", "state"}, nil),
		cold: prometheus.NewDesc("coltsfootspoke_control_cold_upstreams", "Upstreams that are cold, by pool.", []string{"pool"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c upstreamCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.desc
	descs <- c.cold
}

// Collect implements prometheus.Collector.
func (c upstreamCollector) Collect(metrics chan<- prometheus.Metric) {
	type class struct {
		pool, software string
		state          discovery.State
	}
	counts, cold := make(map[class]int), make(map[string]int)
	c.director.mu.Lock()
	us := c.director.table.ChangedSince(0)
	c.director.mu.Unlock()
	for _, u := range us {
		if u.State != discovery.StateGone {
			counts[class{u.Pool, u.Software, u.State}]++
			if u.ColdLimit > 0 {
				cold[u.Pool]++
			}
		}
	}
	for k, n := range counts {
		metrics <- prometheus.MustNewConstMetric(c.desc, prometheus.GaugeValue, float64(n), k.pool, k.software, string(k.state))
	}
	for pool, n := range cold {
		metrics <- prometheus.MustNewConstMetric(c.cold, prometheus.GaugeValue, float64(n), pool)
	}
}
