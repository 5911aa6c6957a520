package director

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

const (
	leaderTaskInterval = 250 * time.Millisecond
	// windowCloseDelayMS is the time from the end of a usage window until it is
	// closed. Entries report once per second, and a failed leader is replaced
	// within 2 s.
	windowCloseDelayMS rollout.Millis = 4_000
	// foundingWaitMS is how long a new leader waits for the desired number of
	// job store hosts. Hosts that start together report within 2 s.
	foundingWaitMS rollout.Millis = 5_000
	// minFounders is the smallest quorum that tolerates one failure.
	minFounders = 3
	// usageReportTimeout bounds a call that sends a usage report.
	usageReportTimeout = time.Second
	// minLeaseLeftMS is the minimum remaining time of the lease for sending a
	// usage report.
	minLeaseLeftMS rollout.Millis = 150
	// usageReportWaitMS is how long a new leader waits for the counts of entries
	// before it closes a window. Entries report to a new leader at once, and to one
	// that they have to search for within 2 s.
	usageReportWaitMS rollout.Millis = 2_000
	// maxUnsentWindows is the number of closed windows without an accepted report
	// from which no more windows are closed. The registry keeps twice as many.
	maxUnsentWindows = 32
)

// runLeaderTasks periodically runs the tasks reserved for the leader. ctx ends
// with the leadership.
func (d *Director) runLeaderTasks(ctx context.Context, term uint64) {
	ticker := time.NewTicker(leaderTaskInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		if d.table.Tick(d.clock.Now()) {
			d.notifyWatches()
		}
		d.updatePoisons()
		d.forgetLimits()
		d.shares.Forget(d.clock.Now())
		d.mu.Unlock()
		d.proposeRefusals(ctx)
		d.foundStore(ctx)
		d.closeUsageWindows(ctx)
		d.sendUsageReport(ctx, term)
	}
}

// foundStore sets the initial members of the job store, spread over the failure
// domains, once enough hosts have reported.
func (d *Director) foundStore(ctx context.Context) {
	d.mu.Lock()
	founded := len(d.state.Founders) > 0
	hosts := d.liveDaemons(view.RoleStore)
	waited := d.clock.Now() - d.leadStartMS
	d.mu.Unlock()
	if founded {
		return
	}
	members := selectFounders(hosts, 2*d.opts.MaxLostHosts+1, waited)
	if len(members) == 0 {
		return
	}
	d.opts.Log.Info("StoreFounded", zap.Int("Members", len(members)))
	if err := d.propose(ctx, registry.Command{Found: &registry.FoundStore{Members: members}}); err != nil {
		d.opts.Log.Warn("StoreFoundingFailed", zap.Error(err))
	}
}

// selectFounders returns the initial members of the job store, or none while
// it waits for more hosts. After foundingWaitMS it accepts fewer than want
// members, because a deployment may have fewer hosts than that. The quorum
// grows when more hosts join.
func selectFounders(hosts []view.Request, want int, waited rollout.Millis) []quorum.Member {
	hosts = slices.DeleteFunc(hosts, func(r view.Request) bool { return r.Store == nil || !r.Store.Blank })
	if len(hosts) < want && (waited < foundingWaitMS || len(hosts) < minFounders) {
		return nil
	}
	return spreadOverDomains(hosts, min(want, len(hosts)))
}

// spreadOverDomains selects hosts from the failure domains in round-robin order.
func spreadOverDomains(hosts []view.Request, want int) []quorum.Member {
	byDomain := make(map[string][]view.Request)
	var domains []string
	for _, h := range hosts {
		if len(byDomain[h.FailureDomain]) == 0 {
			domains = append(domains, h.FailureDomain)
		}
		byDomain[h.FailureDomain] = append(byDomain[h.FailureDomain], h)
	}
	slices.Sort(domains)
	var members []quorum.Member
	for round := 0; len(members) < want; round++ {
		for _, domain := range domains {
			if round < len(byDomain[domain]) && len(members) < want {
				h := byDomain[domain][round]
				members = append(members, quorum.Member{ID: h.Store.Member, Address: h.Address})
			}
		}
	}
	return members
}

// closeUsageWindows commits the request counts of the windows that have ended. The
// counts of a closed window are final.
func (d *Director) closeUsageWindows(ctx context.Context) {
	if d.opts.WindowMS <= 0 {
		return
	}
	wallMS := rollout.Millis(time.Now().UnixMilli())
	newest := uint64((wallMS-windowCloseDelayMS)/d.opts.WindowMS) - 1
	d.mu.Lock()
	if d.state.Document.Version == 0 || d.clock.Now()-d.leadStartMS < usageReportWaitMS {
		d.mu.Unlock()
		return
	}
	var commands []registry.Command
	for _, w := range windowsToClose(d.state.ClosedTo, newest, d.unsentWindows()) {
		total := make(map[string]uint64)
		for _, counts := range d.usage[w] {
			for account, n := range counts {
				total[account] += n
			}
		}
		commands = append(commands, registry.Command{Close: &registry.CloseWindow{Window: w, Requests: total}})
		delete(d.usage, w)
	}
	d.mu.Unlock()
	for _, c := range commands {
		if err := d.propose(ctx, c); err != nil {
			d.opts.Log.Warn("WindowCloseFailed", zap.Uint64("Window", c.Close.Window), zap.Error(err))
			return
		}
		d.opts.Log.Info("WindowClosed", zap.Uint64("Window", c.Close.Window), zap.Int("Accounts", len(c.Close.Requests)), zap.Uint64("Requests", totalRequests(c.Close.Requests)))
	}
}

// totalRequests returns the number of requests of all client accounts.
func totalRequests(counts map[string]uint64) uint64 {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	return total
}

// unsentWindows returns the number of closed windows whose report has not been
// accepted. The caller holds mu.
func (d *Director) unsentWindows() int {
	unsent := 0
	for _, closed := range d.state.Windows {
		if !closed.Sent {
			unsent++
		}
	}
	return unsent
}

// windowsToClose returns the windows to close now, oldest first. The first window
// ever closed is the newest. After an outage no window is left out, but closing
// goes on only as reports are accepted.
func windowsToClose(closedTo, newest uint64, unsent int) []uint64 {
	if closedTo == 0 {
		return []uint64{newest}
	}
	var windows []uint64
	for w := closedTo + 1; w <= newest && unsent+len(windows) < maxUnsentWindows; w++ {
		windows = append(windows, w)
	}
	return windows
}

// sendUsageReport sends the usage report of the oldest closed window whose report
// has not been accepted. A report that fails is sent again with the same counts.
func (d *Director) sendUsageReport(ctx context.Context, term uint64) {
	d.mu.Lock()
	window, ok := uint64(0), false
	for w, closed := range d.state.Windows {
		if !closed.Sent && (!ok || w < window) {
			window, ok = w, true
		}
	}
	requests := d.state.Windows[window].Requests
	allowed := d.usageCooldown.Allows(d.clock.Now(), term)
	d.mu.Unlock()
	if !ok || !allowed || d.opts.Usage == nil {
		return
	}
	sendCtx, cancel := context.WithTimeout(ctx, usageReportTimeout)
	defer cancel()
	if current, leads := d.replica.Leading(minLeaseLeftMS); !leads || current != term {
		return
	}
	d.mu.Lock()
	d.usageCooldown.RecordAction(d.clock.Now(), term)
	d.mu.Unlock()
	err := d.opts.Usage.SendWindow(sendCtx, rollout.WindowReport{Window: window, Requests: requests, Holder: d.opts.Host, Fencing: term})
	d.opts.Log.Info("WindowSent", zap.Uint64("Window", window), zap.Uint64("Term", term), zap.Error(err))
	if err != nil {
		return
	}
	if err := d.propose(ctx, registry.Command{Sent: &registry.MarkWindowSent{Window: window}}); err != nil {
		d.opts.Log.Warn("WindowSentMarkFailed", zap.Uint64("Window", window), zap.Error(err))
	}
}
