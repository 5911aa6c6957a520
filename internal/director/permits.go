package director

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/permits"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

const (
	// absentAfterMS is how long after its last watch request a host counts as absent. It
	// then sends to limited upstreams at its fixed share.
	absentAfterMS rollout.Millis = 1_300
	// absentForMS is how long an absent host may still be running.
	absentForMS rollout.Millis = 60_000
)

// askPermits grants permits to a host.
func (d *Director) askPermits(_ context.Context, r permits.Request) (permits.Reply, error) {
	if _, leads := d.replica.Leading(0); !leads {
		return permits.Reply{}, d.replica.NotLeader()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.grantPermits(r), nil
}

// grantPermits records the limits that a host was told, and grants the permits that it
// wants. The caller holds mu.
func (d *Director) grantPermits(r permits.Request) permits.Reply {
	now := d.clock.Now()
	present, absent := d.senders(now)
	reply := permits.Reply{Hosts: max(1, present+absent)}
	changed := false
	coldAbsence := d.shares.Absent(now, len(d.state.Founders) > 0)
	for _, w := range r.Wants {
		if w.Said && d.table.SetLimit(w.Upstream.ID, w.Upstream.Born, w.Limit) {
			changed = true
			d.opts.Log.Info("LimitChanged", zap.String("Upstream", w.Upstream.ID), zap.Int64("Born", w.Upstream.Born),
				zap.Float64("PerSecond", w.Limit), zap.String("Reporter", r.Host))
		}
		perSecond, known := d.table.Limit(w.Upstream.ID, w.Upstream.Born)
		if !known {
			perSecond = w.Limit
		}
		absentShare := float64(absent) / float64(reply.Hosts)
		cold, isCold := d.coldPermits(w, coldAbsence)
		if isCold {
			absentShare = cold.Absent
			perSecond = limit.Lower(perSecond, cold.Rate)
		}
		d.divider.SetLimit(now, w.Upstream, perSecond)
		d.divider.SetCold(w.Upstream, cold.Most)
		if grant, limited := d.divider.Grant(now, r.Host, w, absentShare); limited {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	if changed {
		d.notifyWatches()
	}
	return reply
}

// coldPermits returns what may be granted for the upstream of a want, and whether it is cold.
// The caller holds mu.
func (d *Director) coldPermits(w limit.Want, absent limit.Absence) (limit.Permits, bool) {
	name, perSecond, known := d.table.ColdLimit(w.Upstream.ID, w.Upstream.Born)
	if !known {
		// The pool is unknown, so it may be one of engines.
		perSecond = w.Cold / 2
	}
	if perSecond <= 0 {
		return limit.Permits{Most: -1}, false
	}
	i := slices.IndexFunc(d.state.Document.Pools, func(p document.Pool) bool { return p.Name == name })
	if i < 0 {
		return limit.Permits{Rate: perSecond, Most: max(1, int(perSecond))}, true
	}
	return d.opts.ColdBound.Permits(d.state.Document.Pools[i], absent), true
}

// addColdShare adds what the caller of a watch needs to know of the shares of entries that
// lose control, if any upstream can be cold.
func (d *Director) addColdShare(reply *view.Reply, req view.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if req.Role == view.RoleStore || !slices.ContainsFunc(d.state.Document.Pools, document.Pool.CanBeCold) {
		return
	}
	share := d.shares.Tell(d.clock.Now(), daemonKey(req.Host, req.Role))
	reply.ColdShare = &share
	if req.Role == view.RoleControl {
		reply.Senders = d.shares.Senders()
	}
}

// inheritShares returns the shares of entries as the former leader described them to this
// host, or as this host knows them if it was the former leader. The caller holds mu.
func (d *Director) inheritShares() limit.Shares {
	now := d.clock.Now()
	var former view.State
	if d.watcher != nil {
		former = d.watcher.State()
	}
	if d.leadTerm > former.Epoch {
		return d.shares.Inherited(now)
	}
	if former.ColdShare.ClockMS == 0 {
		return limit.NewSharesAfter(now, nil, 0, d.state.Document.Version > 0)
	}
	return limit.NewSharesAfter(now, former.Senders, former.ColdShare.ClockMS-former.ConfirmedMS, true)
}

// senders returns the number of hosts that send requests to upstreams: those that follow
// this leader, and those that lost it a short time ago. The caller holds mu.
func (d *Director) senders(now rollout.Millis) (present, absent int) {
	for _, daemon := range d.daemons {
		if daemon.lastRequest.Role == view.RoleControl {
			continue
		}
		switch age := now - daemon.lastSeenMS; {
		case age <= absentAfterMS && daemon.returnedMS > 0 && now-daemon.returnedMS <= limit.AbsentMS:
			absent++
		case age <= absentAfterMS:
			present++
		case age <= absentForMS:
			absent++
		}
	}
	return present, absent
}

// forgetLimits ends the limits of upstreams to which nothing is sent any more. The caller
// holds mu.
func (d *Director) forgetLimits() {
	for _, u := range d.divider.Forget(d.clock.Now()) {
		if d.table.SetLimit(u.ID, u.Born, 0) {
			d.opts.Log.Info("LimitForgotten", zap.String("Upstream", u.ID), zap.Int64("Born", u.Born))
			d.notifyWatches()
		}
	}
}
