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
	dutyInterval = 250 * time.Millisecond
	// closeDelayMS is the time from the end of a usage window to its close:
	// entries report once a second, and a lost leader is replaced within two.
	closeDelayMS rollout.Millis = 4_000
	// foundWaitMS is how long a new leader waits for as many hosts as it wants
	// for the job store: hosts that start together come within 2 s.
	foundWaitMS rollout.Millis = 5_000
	// leastFounders bear the loss of one.
	leastFounders = 3
	// sendTimeout ends a report that gets no answer.
	sendTimeout = time.Second
	// sendSpareMS must be left of the lease when a report is sent.
	sendSpareMS rollout.Millis = 150
	// windowsLate bounds how many windows a new leader closes behind time.
	windowsLate = 6
)

// doDuties does what only the leader may do, until its lead ends.
func (d *Director) doDuties(ctx context.Context, term uint64) {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		if d.table.Tick(d.clock.Now()) {
			d.notify()
		}
		d.judgeCrashes()
		d.mu.Unlock()
		d.foundStore(ctx)
		d.closeWindows(ctx)
		d.sendWindow(ctx, term)
	}
}

// foundStore names the first members of the job store once enough hosts have
// come, spread over the failure domains.
func (d *Director) foundStore(ctx context.Context) {
	d.mu.Lock()
	founded := len(d.state.Founders) > 0
	hosts := d.alive(view.RoleStore)
	waited := d.clock.Now() - d.since
	d.mu.Unlock()
	if founded {
		return
	}
	members := founders(hosts, 2*d.opts.MaxLostHosts+1, waited)
	if len(members) == 0 {
		return
	}
	d.opts.Log.Info("StoreFounded", zap.Int("Members", len(members)))
	if err := d.propose(ctx, registry.Command{Found: &registry.FoundStore{Members: members}}); err != nil {
		d.opts.Log.Warn("StoreNotFounded", zap.Error(err))
	}
}

// founders returns the first members of the job store, or none while more are
// awaited. A deployment may have fewer hosts than it wants members; the quorum
// grows when more come.
func founders(hosts []view.Request, want int, waited rollout.Millis) []quorum.Member {
	hosts = slices.DeleteFunc(hosts, func(r view.Request) bool { return r.Store == nil || !r.Store.Blank })
	if len(hosts) < want && (waited < foundWaitMS || len(hosts) < leastFounders) {
		return nil
	}
	return spread(hosts, min(want, len(hosts)))
}

// spread takes hosts from the failure domains in turn.
func spread(hosts []view.Request, want int) []quorum.Member {
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

// closeWindows freezes the figures of windows that have ended.
func (d *Director) closeWindows(ctx context.Context) {
	if d.opts.WindowMS <= 0 {
		return
	}
	wall := rollout.Millis(time.Now().UnixMilli())
	newest := uint64((wall-closeDelayMS)/d.opts.WindowMS) - 1
	d.mu.Lock()
	from := d.state.ClosedTo + 1
	if d.state.Document.Version == 0 {
		d.mu.Unlock()
		return
	}
	if from+windowsLate < newest {
		from = newest
	}
	var commands []registry.Command
	for w := from; w <= newest; w++ {
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
			d.opts.Log.Warn("WindowNotClosed", zap.Uint64("Window", c.Close.Window), zap.Error(err))
			return
		}
		d.opts.Log.Info("WindowClosed", zap.Uint64("Window", c.Close.Window), zap.Any("Requests", c.Close.Requests))
	}
}

// sendWindow reports the oldest closed window that has not been accepted. An
// unanswered report is repeated with the same figures.
func (d *Director) sendWindow(ctx context.Context, term uint64) {
	d.mu.Lock()
	window, ok := uint64(0), false
	for w, closed := range d.state.Windows {
		if !closed.Sent && (!ok || w < window) {
			window, ok = w, true
		}
	}
	requests := d.state.Windows[window].Requests
	mayCall := d.duties.Allows(d.clock.Now(), term)
	d.mu.Unlock()
	if !ok || !mayCall || d.opts.Usage == nil {
		return
	}
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if now, leads := d.replica.Leading(sendSpareMS); !leads || now != term {
		return
	}
	d.mu.Lock()
	d.duties.RecordAction(d.clock.Now(), term)
	d.mu.Unlock()
	err := d.opts.Usage.SendWindow(sendCtx, rollout.WindowReport{Window: window, Requests: requests, Holder: d.opts.Host, Fencing: term})
	d.opts.Log.Info("WindowSent", zap.Uint64("Window", window), zap.Uint64("Term", term), zap.Error(err))
	if err != nil {
		return
	}
	if err := d.propose(ctx, registry.Command{Sent: &registry.MarkSent{Window: window}}); err != nil {
		d.opts.Log.Warn("WindowSentNotKept", zap.Uint64("Window", window), zap.Error(err))
	}
}
