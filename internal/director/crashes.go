package director

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

// reportCrashes records the broken connections that a daemon reports beside its watch.
func (d *Director) reportCrashes(_ context.Context, r view.CrashReport) (struct{}, error) {
	if _, leads := d.replica.Leading(0); !leads {
		return struct{}{}, d.replica.NotLeader()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordBrokenConnections(daemonKey(r.Host, r.Role), r.BrokenConnections)
	return struct{}{}, nil
}

// recordBrokenConnections replaces the broken connections of a daemon. The caller holds
// mu.
func (d *Director) recordBrokenConnections(daemon string, b view.BrokenConnections) {
	d.opts.Log.Info("BrokenConnectionsReported", zap.String("Reporter", daemon), zap.Int("Connections", len(b.Connections)))
	d.poisonDetector.SetReport(d.clock.Now(), poison.Reporter{Daemon: daemon, Incarnation: b.Incarnation},
		poison.Report{Revision: b.Revision, Connections: b.Connections})
	d.updatePoisons()
}

// updatePoisons updates the set of requests to refuse. A broken connection counts once
// its upstream is known to have ended or is silent. The caller holds mu.
func (d *Director) updatePoisons() {
	changed := d.poisonDetector.UpdateRefused(d.clock.Now(), d.hasEnded)
	for _, c := range d.poisonDetector.NewCrashes() {
		d.opts.Log.Info("CrashCounted", zap.String("Fingerprint", c.Fingerprint), zap.String("Upstream", c.Upstream), zap.Int64("Born", c.Born),
			zap.Int("Crashes", d.poisonDetector.Crashes(c.Fingerprint)))
	}
	if !changed {
		return
	}
	refused := d.poisonDetector.Refused()
	d.refusalsToPropose = slices.DeleteFunc(slices.Clone(refused), func(f string) bool {
		_, known := d.state.RefusedUntilMS[f]
		return known
	})
	d.opts.Log.Warn("PoisonsChanged", zap.Strings("Fingerprints", refused), zap.Uint64("Term", d.leadTerm))
	d.poisonRevision++
	d.notifyWatches()
}

// hasEnded reports whether the upstream of a broken connection has ended or is silent. One
// that has not announced itself to this leader counts as ended once it would have. The
// caller holds mu.
func (d *Director) hasEnded(c poison.BrokenConnection) bool {
	if !d.table.Knows(c.Upstream) {
		return d.clock.Now()-d.leadStartMS > d.table.SilenceMS()
	}
	return d.table.EndedOrSilent(c.Upstream, c.Born)
}

// refusedRequests returns the fingerprints of the refused requests, sorted: those that
// this leader has found and those of the leaders before. The caller holds mu.
func (d *Director) refusedRequests() []string {
	refused := make(map[string]bool)
	for f := range d.state.RefusedUntilMS {
		refused[f] = true
	}
	for _, f := range d.poisonDetector.Refused() {
		refused[f] = true
	}
	return slices.Sorted(maps.Keys(refused))
}

// proposeRefusals replicates the refusals of this leader, so that the next one knows them,
// and ends those that have expired.
func (d *Director) proposeRefusals(ctx context.Context) {
	nowMS := rollout.Millis(time.Now().UnixMilli())
	d.mu.Lock()
	refused := d.refusalsToPropose
	expired := false
	for _, until := range d.state.RefusedUntilMS {
		expired = expired || until <= nowMS
	}
	d.mu.Unlock()
	if len(refused) == 0 && !expired {
		return
	}
	c := registry.Command{Refuse: &registry.RefuseRequests{NowMS: nowMS, UntilMS: nowMS + poison.RetentionMS, Fingerprints: refused}}
	if err := d.propose(ctx, c); err != nil {
		d.opts.Log.Warn("RefusalsNotReplicated", zap.Strings("Fingerprints", refused), zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusalsToPropose = slices.DeleteFunc(d.refusalsToPropose, func(f string) bool { return slices.Contains(refused, f) })
}
