package agent

import (
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

// usageIntervalMS is the minimum time between usage reports.
const usageIntervalMS = 5_000

// preparedReport is a report and the function to call once the leader has
// accepted it. The report is nil if there is nothing to report.
type preparedReport struct {
	report     *fleet.Report
	onAccepted func()
}

// Report implements daemon.Reporter.
func (a *agent) Report() (*fleet.Report, func()) {
	p := query(a, a.prepareReport)
	return p.report, func() { a.enqueue(func(rollout.Millis) { p.onAccepted() }) }
}

// Upstreams implements daemon.Reporter.
func (a *agent) Upstreams() []string { return slices.Sorted(maps.Keys(*a.targets.Load())) }

// prepareReport builds a report. It runs on the goroutine of runEventLoop.
func (a *agent) prepareReport(now rollout.Millis) preparedReport {
	r := &fleet.Report{Swapped: a.swapOutcomes, Fetched: a.fetchFailures}
	for _, c := range a.pendingCrashes {
		r.Crashes = append(r.Crashes, c.crash)
	}
	entries := make(map[string]catalog.Upstream)
	for _, id := range slices.Sorted(maps.Keys(a.upstreams)) {
		l := a.upstreams[id]
		if u := a.catalogEntry(id, l); l.needsReport(u) {
			r.Upstreams = append(r.Upstreams, u)
			entries[id] = u
		}
	}
	r.Gone = slices.Sorted(maps.Keys(a.removed))
	r.Holdings = a.storedVersions(now)
	loads := a.loads()
	if !slices.Equal(loads, a.reportedLoads) {
		r.Loads = loads
	}
	lines := a.dueUsage(now)
	if lines != nil {
		r.Usage = &usage.Report{Agent: a.cfg.Name, Incarnation: a.incarnation, Lines: lines}
	}
	if isEmpty(r) {
		return preparedReport{onAccepted: func() {}}
	}
	return preparedReport{report: r, onAccepted: func() { a.recordAccepted(r, entries, loads) }}
}

// recordAccepted drops the pending items that the leader has accepted with a
// report and stores the reported state, to detect later changes.
func (a *agent) recordAccepted(r *fleet.Report, entries map[string]catalog.Upstream, loads []fleet.Load) {
	for _, c := range a.pendingCrashes[:len(r.Crashes)] {
		c.release()
	}
	a.pendingCrashes = a.pendingCrashes[len(r.Crashes):]
	a.swapOutcomes = a.swapOutcomes[len(r.Swapped):]
	a.fetchFailures = a.fetchFailures[len(r.Fetched):]
	a.reportedLoads = loads
	for id, u := range entries {
		if l := a.upstreams[id]; l != nil {
			l.reported = &u
		}
	}
	for _, id := range r.Gone {
		delete(a.removed, id)
	}
	if r.Usage != nil {
		a.reportedUsage = r.Usage.Lines
	}
}

// storedVersions returns the weight versions that other agents may copy from this
// one: those fetched less than storedVersionReportMS ago and those that an
// upstream of this host does not serve yet.
func (a *agent) storedVersions(now rollout.Millis) []fleet.StoredVersion {
	a.blobMu.Lock()
	defer a.blobMu.Unlock()
	var versions []fleet.StoredVersion
	for b, fetched := range a.blobs {
		if now-fetched.fetchedMS < storedVersionReportMS || a.anyUpstreamBelow(b.Group, b.Version) {
			versions = append(versions, fleet.StoredVersion{Group: b.Group, Version: b.Version})
		}
	}
	return versions
}

// anyUpstreamBelow reports whether an upstream of this host serves an older
// version of a group than the given one, or none.
func (a *agent) anyUpstreamBelow(group string, version uint64) bool {
	for _, l := range a.upstreams {
		if l.status.Versions[group] < version {
			return true
		}
	}
	return false
}

func (a *agent) loads() []fleet.Load {
	a.trafficMu.Lock()
	defer a.trafficMu.Unlock()
	var loads []fleet.Load
	for _, id := range slices.Sorted(maps.Keys(a.upstreams)) {
		l := a.upstreams[id]
		running := a.gate.Running(id)
		loads = append(loads, fleet.Load{Upstream: id, Draining: l.leaving, Running: running, Waiting: l.status.Waiting})
	}
	return loads
}

// usageChanged reports whether the meter differs from the usage that the leader
// last accepted.
func (a *agent) usageChanged() bool {
	a.trafficMu.Lock()
	defer a.trafficMu.Unlock()
	return !slices.Equal(a.meter.Lines(), a.reportedUsage)
}

// dueUsage returns the usage to report now, or nil. While the agent is stopping,
// usageIntervalMS does not apply.
func (a *agent) dueUsage(now rollout.Millis) []usage.Line {
	if !a.stopping && now-a.usageReportedMS < usageIntervalMS {
		return nil
	}
	if !a.usageChanged() {
		return nil
	}
	a.usageReportedMS = now
	a.trafficMu.Lock()
	defer a.trafficMu.Unlock()
	return a.meter.Lines()
}

func isEmpty(r *fleet.Report) bool {
	return len(r.Upstreams)+len(r.Gone)+len(r.Crashes)+len(r.Loads)+len(r.Holdings)+len(r.Swapped)+len(r.Fetched) == 0 && r.Usage == nil
}
