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
	domainCount       = 7
	slotsPerEngine    = 32
	usageInterval     = 5 * time.Second
	requestsPerReport = 5
)

// simulatedAgent reports to the control hosts as an agent with engineCount busy engines would. Its
// load changes with each report, and its usage every usageInterval.
type simulatedAgent struct {
	cli     *cli
	dialer  *link.Dialer
	renewer *daemon.Renewer
	name    string
	domain  string
	address string

	mu sync.Mutex
	// versions and reportedVersions hold the weight version of each engine, now and in the last
	// report that was accepted. reportedVersions is valid only if reported is true.
	versions         []uint64
	reportedVersions []uint64
	// fetchedVersion is the last weight version fetched to the host, or 0 if there is none.
	fetchedVersion  uint64
	reported        bool
	unreportedSwaps []fleet.SwapOutcome
	meter           *usage.Meter
	usageReportedAt time.Time
	reportCount     int
}

func newSimulatedAgent(c *cli, l *demo.Layout, i int) *simulatedAgent {
	a := &simulatedAgent{
		cli: c, dialer: link.NewDialer(l.Secret), name: fmt.Sprintf("agent-%d", i),
		domain: fmt.Sprintf("domain-%d", i%domainCount), address: fmt.Sprintf("127.0.0.1:%d", 1+i),
		versions: make([]uint64, engineCount), reportedVersions: make([]uint64, engineCount), meter: usage.NewMeter(),
	}
	id := daemon.Identity{Name: a.name, Kind: fleet.KindAgent, Incarnation: "run", Address: a.address, FailureDomain: a.domain}
	a.renewer = daemon.NewRenewer(id, daemon.NewClient(a.dialer, l.Controls), clock.New(), zap.NewNop(), a)
	return a
}

// Report implements daemon.Reporter.
func (a *simulatedAgent) Report() (*fleet.Report, func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportCount++
	r := &fleet.Report{Swapped: a.unreportedSwaps}
	reportedVersions := append([]uint64(nil), a.versions...)
	for i, v := range a.versions {
		r.Loads = append(r.Loads, fleet.Load{Upstream: a.engineID(i), Running: a.reportCount % slotsPerEngine, Waiting: i})
		if !a.reported || a.reportedVersions[i] != v {
			r.Upstreams = append(r.Upstreams, a.upstream(i))
		}
	}
	if a.fetchedVersion > 0 {
		r.Holdings = []fleet.StoredVersion{{Group: groupName, Version: a.fetchedVersion}}
	}
	a.addUsage(r)
	swapCount := len(a.unreportedSwaps)
	return r, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.reported, a.reportedVersions = true, reportedVersions
		a.unreportedSwaps = a.unreportedSwaps[swapCount:]
	}
}

// Upstreams implements daemon.Reporter.
func (a *simulatedAgent) Upstreams() []string {
	ids := make([]string, engineCount)
	for i := range ids {
		ids[i] = a.engineID(i)
	}
	return ids
}

// UpdateCatalog implements daemon.Reporter.
func (a *simulatedAgent) UpdateCatalog(*catalog.Catalog) {}

// HandleTasks implements daemon.Reporter. Each fetch and each swap completes after the configured
// time.
func (a *simulatedAgent) HandleTasks(t weights.Tasks) {
	for _, f := range t.Fetches {
		time.AfterFunc(a.cli.Fetch, func() {
			a.mu.Lock()
			a.fetchedVersion = f.Version
			a.mu.Unlock()
			a.renewer.Wake()
		})
	}
	for _, s := range t.Swaps {
		time.AfterFunc(a.cli.Swap, func() { a.finishSwap(s) })
	}
}

// finishSwap records a completed weight swap and wakes the renewer to report it.
func (a *simulatedAgent) finishSwap(s weights.Swap) {
	a.mu.Lock()
	for i := range a.versions {
		if a.engineID(i) == s.Upstream {
			a.versions[i] = s.Version
		}
	}
	a.unreportedSwaps = append(a.unreportedSwaps, fleet.SwapOutcome{Upstream: s.Upstream, Group: s.Group, Version: s.Version})
	a.mu.Unlock()
	a.renewer.Wake()
}

// addUsage adds a usage report to r if usageInterval has passed since the last one.
func (a *simulatedAgent) addUsage(r *fleet.Report) {
	if time.Since(a.usageReportedAt) < usageInterval {
		return
	}
	a.usageReportedAt = time.Now()
	for i := range accountCount {
		subject := usage.Subject{Account: fmt.Sprintf("account-%d", i), Pool: poolName}
		a.meter.Add(subject, usage.Figures{Requests: requestsPerReport, InputTokens: 1_000, OutputTokens: 500, UpstreamMS: 900})
	}
	r.Usage = &usage.Report{Agent: a.name, Incarnation: "run", Lines: a.meter.Lines()}
}

func (a *simulatedAgent) engineID(i int) string { return fmt.Sprintf("%s-engine-%d", a.name, i) }

// upstream returns the catalog entry of an engine.
func (a *simulatedAgent) upstream(i int) catalog.Upstream {
	return catalog.Upstream{
		ID: a.engineID(i), Kind: catalog.UpstreamEngine, Pool: poolName, FailureDomain: a.domain, Host: a.name,
		Agent: a.name, Incarnation: "run", Address: a.address, Slots: slotsPerEngine,
		Versions: map[string]uint64{groupName: a.versions[i]},
	}
}
