package agent

import (
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

// usageIntervalMS is the time between usage reports while there is traffic.
const usageIntervalMS = 5_000

// prepared is a report with what is to be noted once it is accepted.
type prepared struct {
	report   *fleet.Report
	accepted func()
}

// Report implements daemon.Reporter.
func (a *agent) Report() (*fleet.Report, func()) {
	p := ask(a, a.prepare)
	return p.report, func() { a.do(func(rollout.Millis) { p.accepted() }) }
}

// Upstreams implements daemon.Reporter.
func (a *agent) Upstreams() []string { return slices.Sorted(maps.Keys(*a.targets.Load())) }

// prepare builds a report on the control thread.
func (a *agent) prepare(now rollout.Millis) prepared {
	r := &fleet.Report{Swapped: a.swaps, Fetched: a.fetchFailures}
	for _, c := range a.crashes {
		r.Crashes = append(r.Crashes, c.crash)
	}
	told := make(map[string]catalog.Upstream)
	for _, id := range slices.Sorted(maps.Keys(a.locals)) {
		l := a.locals[id]
		if u := a.describe(id, l); l.needsReport(u) {
			r.Upstreams = append(r.Upstreams, u)
			told[id] = u
		}
	}
	r.Gone = slices.Sorted(maps.Keys(a.gone))
	r.Holdings = a.holdings(now)
	loads := a.loads()
	if !slices.Equal(loads, a.loadsTold) {
		r.Loads = loads
	}
	lines := a.usageDue(now)
	if lines != nil {
		r.Usage = &usage.Report{Agent: a.cfg.Name, Incarnation: a.incarnation, Lines: lines}
	}
	if isEmpty(r) {
		return prepared{accepted: func() {}}
	}
	return prepared{report: r, accepted: func() { a.noteAccepted(r, told, loads) }}
}

// noteAccepted drops what the leader now knows.
func (a *agent) noteAccepted(r *fleet.Report, told map[string]catalog.Upstream, loads []fleet.Load) {
	for _, c := range a.crashes[:len(r.Crashes)] {
		c.settle()
	}
	a.crashes = a.crashes[len(r.Crashes):]
	a.swaps = a.swaps[len(r.Swapped):]
	a.fetchFailures = a.fetchFailures[len(r.Fetched):]
	a.loadsTold = loads
	for id, u := range told {
		if l := a.locals[id]; l != nil {
			l.reported = &u
		}
	}
	for _, id := range r.Gone {
		delete(a.gone, id)
	}
	if r.Usage != nil {
		a.usageTold = r.Usage.Lines
	}
}

// holdings returns the weight data that others may copy.
func (a *agent) holdings(now rollout.Millis) []fleet.Holding {
	a.blobMu.Lock()
	defer a.blobMu.Unlock()
	var hs []fleet.Holding
	for b, held := range a.blobs {
		if now-held.sinceMS < holdingTellMS || a.lacks(b.Group, b.Version) {
			hs = append(hs, fleet.Holding{Group: b.Group, Version: b.Version})
		}
	}
	return hs
}

// lacks tells whether an engine here does not serve a version yet.
func (a *agent) lacks(group string, version uint64) bool {
	for _, l := range a.locals {
		if l.status.Versions[group] < version {
			return true
		}
	}
	return false
}

func (a *agent) loads() []fleet.Load {
	a.traffic.Lock()
	defer a.traffic.Unlock()
	var loads []fleet.Load
	for _, id := range slices.Sorted(maps.Keys(a.locals)) {
		l := a.locals[id]
		running := a.gate.Running(id)
		loads = append(loads, fleet.Load{Upstream: id, Draining: l.leaving, Running: running, Waiting: l.status.Waiting})
	}
	return loads
}

// usageChanged tells whether the meter has more than the leader knows.
func (a *agent) usageChanged() bool {
	a.traffic.Lock()
	defer a.traffic.Unlock()
	return !slices.Equal(a.meter.Lines(), a.usageTold)
}

func (a *agent) usageDue(now rollout.Millis) []usage.Line {
	if !a.stopping && now-a.usageToldMS < usageIntervalMS {
		return nil
	}
	if !a.usageChanged() {
		return nil
	}
	a.usageToldMS = now
	a.traffic.Lock()
	defer a.traffic.Unlock()
	return a.meter.Lines()
}

func isEmpty(r *fleet.Report) bool {
	return len(r.Upstreams)+len(r.Gone)+len(r.Crashes)+len(r.Loads)+len(r.Holdings)+len(r.Swapped)+len(r.Fetched) == 0 && r.Usage == nil
}
