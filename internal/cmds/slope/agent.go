package main

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/daemon"
	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

const (
	domainCount     = 7
	slotsPerEngine  = 32
	usageInterval   = 5 * time.Second
	requestsPerTell = 5
)

// agent is a stand-in for an agent with two engines that are always busy. Its
// load and its usage change with each report.
type agent struct {
	cli     *cli
	dialer  *link.Dialer
	renewer *daemon.Renewer
	name    string
	domain  string
	address string

	mu       sync.Mutex
	versions []uint64
	told     []uint64
	holding  uint64
	told1    bool
	swaps    []fleet.SwapOutcome
	meter    *usage.Meter
	usageAt  time.Time
	turn     int
}

func newAgent(c *cli, l *demo.Layout, i int) *agent {
	a := &agent{
		cli: c, dialer: link.NewDialer(l.Secret), name: fmt.Sprintf("agent-%d", i),
		domain: fmt.Sprintf("domain-%d", i%domainCount), address: fmt.Sprintf("127.0.0.1:%d", 1+i),
		versions: make([]uint64, engineCount), told: make([]uint64, engineCount), meter: usage.NewMeter(),
	}
	id := daemon.Identity{Name: a.name, Kind: fleet.KindAgent, Incarnation: "run", Address: a.address, FailureDomain: a.domain}
	a.renewer = daemon.NewRenewer(id, daemon.NewClient(a.dialer, l.Controls), clock.New(), zap.NewNop(), a)
	return a
}

// Report implements daemon.Reporter.
func (a *agent) Report() (*fleet.Report, func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.turn++
	r := &fleet.Report{Swapped: a.swaps}
	told := append([]uint64(nil), a.versions...)
	for i, v := range a.versions {
		r.Loads = append(r.Loads, fleet.Load{Upstream: a.engine(i), Running: a.turn % slotsPerEngine, Waiting: i})
		if !a.told1 || a.told[i] != v {
			r.Upstreams = append(r.Upstreams, a.upstream(i))
		}
	}
	if a.holding > 0 {
		r.Holdings = []fleet.StoredVersion{{Group: groupName, Version: a.holding}}
	}
	a.addUsage(r)
	swapped := len(a.swaps)
	return r, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.told1, a.told = true, told
		a.swaps = a.swaps[swapped:]
	}
}

// Upstreams implements daemon.Reporter.
func (a *agent) Upstreams() []string {
	ids := make([]string, engineCount)
	for i := range ids {
		ids[i] = a.engine(i)
	}
	return ids
}

// Update implements daemon.Reporter.
func (a *agent) Update(*catalog.Catalog) {}

// HandleTasks implements daemon.Reporter. Copies and swaps take their time.
func (a *agent) HandleTasks(t weights.Tasks) {
	for _, f := range t.Fetches {
		time.AfterFunc(a.cli.Fetch, func() {
			a.mu.Lock()
			a.holding = f.Version
			a.mu.Unlock()
			a.renewer.Wake()
		})
	}
	for _, s := range t.Swaps {
		time.AfterFunc(a.cli.Swap, func() { a.swapped(s) })
	}
}

func (a *agent) swapped(s weights.Swap) {
	a.mu.Lock()
	for i := range a.versions {
		if a.engine(i) == s.Upstream {
			a.versions[i] = s.Version
		}
	}
	a.swaps = append(a.swaps, fleet.SwapOutcome{Upstream: s.Upstream, Group: s.Group, Version: s.Version})
	a.mu.Unlock()
	a.renewer.Wake()
}

func (a *agent) addUsage(r *fleet.Report) {
	if time.Since(a.usageAt) < usageInterval {
		return
	}
	a.usageAt = time.Now()
	for i := range accountCount {
		subject := usage.Subject{Account: fmt.Sprintf("account-%d", i), Pool: poolName}
		a.meter.Add(subject, usage.Figures{Requests: requestsPerTell, InputTokens: 1_000, OutputTokens: 500, UpstreamMS: 900})
	}
	r.Usage = &usage.Report{Agent: a.name, Incarnation: "run", Lines: a.meter.Lines()}
}

func (a *agent) engine(i int) string { return fmt.Sprintf("%s-engine-%d", a.name, i) }

func (a *agent) upstream(i int) catalog.Upstream {
	return catalog.Upstream{
		ID: a.engine(i), Kind: catalog.UpstreamEngine, Pool: poolName, FailureDomain: a.domain, Host: a.name,
		Agent: a.name, Incarnation: "run", Address: a.address, Slots: slotsPerEngine,
		Versions: map[string]uint64{groupName: a.versions[i]},
	}
}
