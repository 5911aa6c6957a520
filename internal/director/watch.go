package director

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// watch answers a long poll. It returns the changes since the caller's copy, or
// waits up to req.WaitMS for the first change.
func (d *Director) watch(ctx context.Context, req view.Request) (view.Reply, error) {
	term, leads := d.replica.Leading(0)
	if !leads {
		return view.Reply{}, d.replica.NotLeader()
	}
	reply, err := d.holdWatch(ctx, term, req)
	if err != nil {
		return view.Reply{}, err
	}
	if _, leads := d.replica.Leading(0); !leads {
		return view.Reply{}, d.replica.NotLeader()
	}
	return reply, nil
}

// holdWatch returns the reply to a long poll of a leader of a term. The reply is built
// after the wait, also if nothing has changed, because it confirms the caller's copy for
// the time at which it is built.
func (d *Director) holdWatch(ctx context.Context, term uint64, req view.Request) (view.Reply, error) {
	received := d.clock.Now()
	d.recordWatchRequest(req)
	timeout := time.NewTimer(time.Duration(req.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	expired := false
	for {
		held := d.clock.Now() - received
		reply, hasChanges, changed := d.buildReply(term, req)
		reply.HeldMS = held
		if hasChanges || expired {
			d.addColdShare(&reply, req)
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
			continue
		case <-ctx.Done():
			return view.Reply{}, ctx.Err()
		}
		interval := d.batchInterval(req)
		if interval == 0 {
			continue
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return view.Reply{}, ctx.Err()
		}
	}
}

const (
	// batchIntervalPerHost is how long changes of upstreams are collected for each
	// host that watches, so that the leader sends a thousand replies a second at most
	// for them. minBatchInterval and maxBatchInterval bound the product; a draining
	// upstream must be known everywhere within a few times the latter.
	batchIntervalPerHost = time.Millisecond
	minBatchInterval     = 40 * time.Millisecond
	maxBatchInterval     = 500 * time.Millisecond
)

// batchInterval returns how long to collect changes before a reply: 0 if the caller
// lacks a document or facts, which are wanted at once.
func (d *Director) batchInterval(req view.Request) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Document.Version > req.DocumentVersion || d.factsRevision() != req.FactsRevision {
		return 0
	}
	return min(max(time.Duration(len(d.daemons))*batchIntervalPerHost, minBatchInterval), maxBatchInterval)
}

// buildReply returns the changes since the caller's copy, whether there are any,
// and a channel that is closed at the next change.
func (d *Director) buildReply(term uint64, req view.Request) (view.Reply, bool, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reply := view.Reply{Epoch: term, TableRevision: d.table.Revision(), FactsRevision: d.factsRevision()}
	newEpoch := req.Epoch != term
	reply.Whole = newEpoch && !d.tableBase.covers(req)
	since := req.TableRevision
	if reply.Whole {
		since = 0
	}
	var changed chan struct{}
	reply.Upstreams, changed = d.upstreamsChangedSince(since, req.Role)
	if doc := d.state.Document; doc.Version > req.DocumentVersion {
		reply.Document, reply.PackedDocument = d.documentForReply(doc, req.AcceptsPacked)
		if d.documentCommittedMS > 0 {
			reply.DocumentAgeMS = d.clock.Now() - d.documentCommittedMS
		}
	}
	if newEpoch || reply.FactsRevision != req.FactsRevision {
		f := d.facts()
		reply.Facts = &f
	}
	hasChanges := newEpoch || len(reply.Upstreams) > 0 || reply.Document != nil || reply.PackedDocument != nil || reply.Facts != nil
	return reply, hasChanges, changed
}

// documentForReply returns the packed document, or the document itself if the caller
// does not accept that or it cannot be packed. With hundreds of hosts and client accounts, packing it for each of them
// would take the leader seconds. The caller holds mu.
func (d *Director) documentForReply(doc document.Document, packed bool) (*document.Document, []byte) {
	if !packed {
		return &doc, nil
	}
	if d.packedVersion != doc.Version {
		data, err := view.PackDocument(fabric.Packer(), doc)
		if err != nil {
			d.opts.Log.Error("DocumentPackFailed", zap.Uint64("Version", doc.Version), zap.Error(err))
			return &doc, nil
		}
		d.packedDocument, d.packedVersion = data, doc.Version
	}
	return nil, d.packedDocument
}

// upstreamsChangedSince returns the upstreams that changed after a table revision
// as far as a role follows them, and a channel that is closed at the next change.
// Entries do not use the models of engines. The caller holds mu.
func (d *Director) upstreamsChangedSince(revision uint64, role view.Role) ([]discovery.Upstream, chan struct{}) {
	if role != view.RoleEntry {
		return d.table.ChangedSince(revision), d.changed
	}
	us := d.table.RoutingChangedSince(revision)
	for i := range us {
		us[i].Models = nil
	}
	return us, d.routingChanged
}

// facts returns the current facts. The caller holds mu.
func (d *Director) facts() view.Facts {
	f := view.Facts{
		Poisons: d.refusedRequests(), Evacuated: d.state.EvacuatedDomains(),
		Versions: d.state.Versions, Founders: d.state.Founders,
		StoreLeader: d.storeLeader, Stores: slices.Clone(d.storeAddresses), StoreDomains: make(map[string]string),
	}
	for _, daemon := range d.daemons {
		if slices.Contains(d.storeAddresses, daemon.lastRequest.Address) {
			f.StoreDomains[daemon.lastRequest.Address] = daemon.lastRequest.FailureDomain
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

// factsRevision returns a number that changes with the facts. The caller holds
// mu.
func (d *Director) factsRevision() uint64 {
	return d.state.Revision + d.storeRevision + d.poisonRevision
}

// recordWatchRequest records the daemon that sent a watch request, with its usage
// counts, its broken connections and its status of the job store.
func (d *Director) recordWatchRequest(req view.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := daemonKey(req.Host, req.Role)
	daemon, known := d.daemons[key]
	if !known && req.Role == view.RoleStore {
		d.storeRevision++
		d.notifyWatches()
	}
	now := d.clock.Now()
	if known && now-daemon.lastSeenMS > absentAfterMS {
		daemon.returnedMS = now
	}
	daemon.lastRequest, daemon.lastSeenMS = req, now
	switch {
	case req.Role == view.RoleEntry:
		d.shares.Watched(now, key, req.CopyAgeMS)
	case req.Store != nil:
		d.shares.StoreWatched(now, key, req.CopyAgeMS, req.Store.Leading)
	}
	d.daemons[key] = daemon
	if u := req.Usage; u != nil {
		for window, counts := range u.Windows {
			if window <= d.state.ClosedTo {
				continue
			}
			if d.usage[window] == nil {
				d.usage[window] = make(map[string]map[string]uint64)
			}
			// An entry may repeat a request that is late, so requests may overtake each
			// other. Totals only grow.
			if totalRequests(counts) >= totalRequests(d.usage[window][u.Incarnation]) {
				d.usage[window][u.Incarnation] = counts
			}
		}
	}
	if req.BrokenConnections != nil {
		d.recordBrokenConnections(key, *req.BrokenConnections)
	}
	d.drainLeaving(req)
	s := req.Store
	if s == nil || !s.Leading || s.Term < d.storeTerm {
		return
	}
	addresses := memberAddresses(s.Members)
	if s.Term == d.storeTerm && d.storeLeader == req.Address && slices.Equal(addresses, d.storeAddresses) {
		return
	}
	d.opts.Log.Info("StoreLeaderReported", zap.String("Address", req.Address), zap.Uint64("Term", s.Term), zap.Strings("Members", addresses))
	d.storeTerm, d.storeLeader, d.storeAddresses = s.Term, req.Address, addresses
	d.storeRevision++
	d.notifyWatches()
}

// daemonKey returns the key of a daemon in Director.daemons.
func daemonKey(host string, role view.Role) string { return host + "/" + string(role) }

// drainLeaving drains the upstreams that told the host of a request that they leave. The
// caller holds mu.
func (d *Director) drainLeaving(req view.Request) {
	if req.Leaving == nil {
		return
	}
	changed := false
	for _, i := range req.Leaving.Incarnations {
		if d.table.Drain(i.ID, i.Born) {
			changed = true
			d.opts.Log.Info("UpstreamLeaving", zap.String("Upstream", i.ID), zap.Int64("Born", i.Born), zap.String("Reporter", req.Host))
		}
	}
	if changed {
		d.notifyWatches()
	}
}

// memberAddresses returns the addresses of the voters and learners.
func memberAddresses(m quorum.Members) []string {
	var addresses []string
	for _, v := range m.Voters {
		addresses = append(addresses, v.Address)
	}
	for _, l := range m.Learners {
		addresses = append(addresses, l.Address)
	}
	return addresses
}

// liveDaemons returns the last requests of the daemons of a role that have not
// expired, sorted by host. The caller holds mu.
func (d *Director) liveDaemons(role view.Role) []view.Request {
	now := d.clock.Now()
	var reqs []view.Request
	for _, daemon := range d.daemons {
		if daemon.lastRequest.Role == role && now-daemon.lastSeenMS < daemonExpiryMS {
			reqs = append(reqs, daemon.lastRequest)
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

// daemonExpiryMS is how long a daemon counts as live after its last watch
// request.
const daemonExpiryMS rollout.Millis = 3_000
