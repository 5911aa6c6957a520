package director

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// watch answers with what has changed since the caller's copy, at once or
// when something changes.
func (d *Director) watch(ctx context.Context, req view.Request) (view.Reply, error) {
	term, leads := d.replica.Leading(0)
	if !leads {
		return view.Reply{}, d.replica.NotLeader()
	}
	d.note(req)
	timeout := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		reply, news, changed := d.compare(term, req)
		if _, leads := d.replica.Leading(0); !leads {
			return view.Reply{}, d.replica.NotLeader()
		}
		if news {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return reply, nil
		case <-ctx.Done():
			return view.Reply{}, ctx.Err()
		}
	}
}

// compare returns what a copy lacks and a channel that is closed at the next
// change.
func (d *Director) compare(term uint64, req view.Request) (view.Reply, bool, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := view.Reply{Epoch: term, TableRevision: d.table.Revision(), FactsRevision: d.factsRevision()}
	reply.Whole = req.Epoch != term
	if reply.Whole {
		reply.Upstreams = d.table.ChangedSince(0)
	} else {
		reply.Upstreams = d.table.ChangedSince(req.TableRevision)
	}
	if doc := d.state.Document; doc.Version > req.DocumentVersion {
		reply.Document = &doc
	}
	if reply.Whole || reply.FactsRevision != req.FactsRevision {
		f := d.facts()
		reply.Facts = &f
	}
	news := reply.Whole || len(reply.Upstreams) > 0 || reply.Document != nil || reply.Facts != nil
	return reply, news, d.changed
}

// facts is called with mu held.
func (d *Director) facts() view.Facts {
	f := view.Facts{
		Poisons:  d.judge.Refused(),
		Versions: d.state.Versions, Founders: d.state.Founders,
		StoreLeader: d.storeLeader, Stores: slices.Clone(d.stores), StoreDomains: make(map[string]string),
	}
	for _, h := range d.hosts {
		if slices.Contains(d.stores, h.req.Address) {
			f.StoreDomains[h.req.Address] = h.req.FailureDomain
		}
	}
	for _, address := range d.state.Retiring {
		f.Retiring = append(f.Retiring, address)
	}
	slices.Sort(f.Retiring)
	for _, m := range d.replica.Status().Members.Voters {
		f.Controls = append(f.Controls, m.Address)
	}
	return f
}

// factsRevision is called with mu held.
func (d *Director) factsRevision() uint64 { return d.state.Revision + d.storeRev + d.poisonRev }

// note remembers a daemon that watches, its usage and its report of the job
// store.
func (d *Director) note(req view.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := req.Host + "/" + string(req.Role)
	if _, known := d.hosts[name]; !known && req.Role == view.RoleStore {
		d.storeRev++
		d.notify()
	}
	d.hosts[name] = host{req: req, seen: d.clock.Now()}
	if u := req.Usage; u != nil {
		for window, counts := range u.Windows {
			if d.usage[window] == nil {
				d.usage[window] = make(map[string]map[string]uint64)
			}
			d.usage[window][u.Incarnation] = counts
		}
	}
	if req.Crashes != nil {
		d.judge.SetSightings(name, req.Crashes.Sightings)
		d.judgeCrashes()
	}
	s := req.Store
	if s == nil || !s.Leading || s.Term < d.storeTerm {
		return
	}
	addresses := addressesOf(s.Members)
	if s.Term == d.storeTerm && d.storeLeader == req.Address && slices.Equal(addresses, d.stores) {
		return
	}
	d.opts.Log.Info("StoreLeaderNoted", zap.String("Address", req.Address), zap.Uint64("Term", s.Term), zap.Strings("Members", addresses))
	d.storeTerm, d.storeLeader, d.stores = s.Term, req.Address, addresses
	d.storeRev++
	d.notify()
}

// judgeCrashes finds the requests to refuse. It is called with mu held.
func (d *Director) judgeCrashes() {
	if !d.judge.UpdateRefused(d.clock.Now(), func(s poison.Sighting) bool { return d.table.EndedOrSilent(s.Upstream, s.Born) }) {
		return
	}
	d.opts.Log.Warn("PoisonsChanged", zap.Strings("Fingerprints", d.judge.Refused()))
	d.poisonRev++
	d.notify()
}

func addressesOf(m quorum.Members) []string {
	var addresses []string
	for _, v := range m.Voters {
		addresses = append(addresses, v.Address)
	}
	for _, l := range m.Learners {
		addresses = append(addresses, l.Address)
	}
	return addresses
}

// alive returns the daemons of a role that have watched lately. It is called
// with mu held.
func (d *Director) alive(role view.Role) []view.Request {
	now := d.clock.Now()
	var reqs []view.Request
	for _, h := range d.hosts {
		if h.req.Role == role && now-h.seen < hostExpiryMS {
			reqs = append(reqs, h.req)
		}
	}
	slices.SortFunc(reqs, func(a, b view.Request) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return reqs
}

// hostExpiryMS is how long a daemon counts as alive after its last watch.
const hostExpiryMS rollout.Millis = 3_000
