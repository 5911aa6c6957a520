package director

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/origins"
	"github.com/coltsfootspoke/coltsfootspoke/internal/permits"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

const (
	methodPutConfig        = "Control.Put"
	methodReadConfig       = "Control.Read"
	methodNameVersion      = "Control.Name"
	methodAnnounce         = "Control.Announce"
	methodLeave            = "Control.Leave"
	methodRetire           = "Control.Retire"
	methodRetirementStatus = "Control.Retired"
	// forwardTimeout bounds a call that is forwarded to the leader. Callers
	// try another host after one second.
	forwardTimeout = 900 * time.Millisecond
	// hostReportWaitMS is how long a new leader waits for daemons to report
	// before it answers that a host is unknown.
	hostReportWaitMS rollout.Millis = 3_000
)

// Departure reports that an incarnation of an upstream has ended.
type Departure struct {
	ID string
	// Born identifies the incarnation. 0 matches any incarnation.
	Born int64
}

// RetireRequest names a host of the job store that is to be retired.
type RetireRequest struct {
	Host string
}

// Retirement is the progress of retiring a host.
type Retirement struct {
	// Done is true once the host is no longer a member of the job store.
	Done bool
}

type empty struct{}

// rawConfig is the configuration as sent by the operator.
type rawConfig struct{ Bytes []byte }

// register adds the handlers of the calls. All but those of origins are answered by the
// leader only.
func (d *Director) register(mux *fabric.Mux) {
	fabric.Handle(mux, view.MethodWatch, d.watch)
	fabric.Handle(mux, view.MethodReportCrashes, d.reportCrashes)
	fabric.Handle(mux, permits.MethodAsk, d.askPermits)
	fabric.Handle(mux, origins.MethodRecord, d.recordOrigins)
	fabric.Handle(mux, origins.MethodFind, d.findOrigin)
	fabric.Handle(mux, methodPutConfig, d.putConfig)
	fabric.Handle(mux, methodReadConfig, d.readConfig)
	fabric.Handle(mux, methodNameVersion, d.nameVersion)
	fabric.Handle(mux, methodAnnounce, d.announce)
	fabric.Handle(mux, methodAnnounceBatch, d.announceBatch)
	fabric.Handle(mux, methodLeave, d.leave)
	fabric.Handle(mux, methodRetire, d.retire)
	fabric.Handle(mux, methodEvacuate, d.evacuate)
	fabric.Handle(mux, methodEndEvacuation, d.endEvacuation)
	fabric.Handle(mux, methodRetirementStatus, d.retirementStatus)
}

// callLeader calls local if this host is the leader and forwards the call to
// the leader otherwise.
func callLeader[In, Out any](ctx context.Context, d *Director, method string, local func(context.Context, In) (Out, error), in In) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if _, leads := d.replica.Leading(0); leads {
		return local(ctx, in)
	}
	var out Out
	leader := d.Leader()
	if leader == "" || leader == d.opts.Address {
		return out, rollout.NewError(rollout.KindUnavailable, "no leader of the control hosts is known").WithNotRun()
	}
	err := d.client.Call(ctx, leader, method, in, &out)
	return out, err
}

// PutConfig validates a configuration and activates it if its version is higher
// than the current one.
func (d *Director) PutConfig(ctx context.Context, p registry.PutDocument) error {
	_, err := callLeader(ctx, d, methodPutConfig, d.putConfig, p)
	return err
}

// ReadConfig returns the active configuration as sent by the operator.
func (d *Director) ReadConfig(ctx context.Context) ([]byte, error) {
	r, err := callLeader(ctx, d, methodReadConfig, d.readConfig, empty{})
	return r.Bytes, err
}

// NameVersion makes a weight version the one to serve for a model, if it is
// higher than the current one.
func (d *Director) NameVersion(ctx context.Context, n registry.NameVersion) error {
	_, err := callLeader(ctx, d, methodNameVersion, d.nameVersion, n)
	return err
}

// Announce records an announcement of an upstream, which must be valid.
func (d *Director) Announce(ctx context.Context, u discovery.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if _, leads := d.replica.Leading(0); leads {
		_, err := d.announce(ctx, u)
		return err
	}
	return d.announcements.announce(ctx, u)
}

// passOn sends announcements to the leader.
func (d *Director) passOn(ctx context.Context, batch announcementBatch) error {
	_, err := callLeader(ctx, d, methodAnnounceBatch, d.announceBatch, batch)
	return err
}

// Leave records that an incarnation of an upstream has ended.
func (d *Director) Leave(ctx context.Context, dep Departure) error {
	_, err := callLeader(ctx, d, methodLeave, d.leave, dep)
	return err
}

// Retire starts to remove a host from the job store. It fails if the remaining
// hosts could not tolerate the configured number of failures.
func (d *Director) Retire(ctx context.Context, r RetireRequest) error {
	_, err := callLeader(ctx, d, methodRetire, d.retire, r)
	return err
}

// RetirementStatus returns whether a host has been removed from the job store.
func (d *Director) RetirementStatus(ctx context.Context, r RetireRequest) (Retirement, error) {
	return callLeader(ctx, d, methodRetirementStatus, d.retirementStatus, r)
}

// Leader returns the address of the leader, or an empty string if it is unknown.
func (d *Director) Leader() string {
	if leader := d.replica.Status().Leader.Address; leader != "" {
		return leader
	}
	return d.watcher.Leader()
}

func (d *Director) putConfig(ctx context.Context, p registry.PutDocument) (empty, error) {
	if err := p.Document.Validate(); err != nil {
		return empty{}, err
	}
	d.mu.Lock()
	current := d.state.Document.Version
	d.mu.Unlock()
	if p.Document.Version <= current {
		return empty{}, d.confirmLeader()
	}
	err := d.propose(ctx, registry.Command{Put: &p})
	d.opts.Log.Info("DocumentPut", zap.Uint64("Version", p.Document.Version), zap.Uint64("Before", current), zap.Error(err))
	return empty{}, err
}

func (d *Director) readConfig(context.Context, empty) (rawConfig, error) {
	d.mu.Lock()
	data := d.state.Raw
	d.mu.Unlock()
	if err := d.confirmLeader(); err != nil {
		return rawConfig{}, err
	}
	if data == nil {
		return rawConfig{}, rollout.NewError(rollout.KindUnavailable, "no configuration has been set")
	}
	return rawConfig{data}, nil
}

func (d *Director) nameVersion(ctx context.Context, n registry.NameVersion) (empty, error) {
	d.mu.Lock()
	current := d.state.Versions[n.Model]
	d.mu.Unlock()
	if n.Version <= current {
		return empty{}, d.confirmLeader()
	}
	err := d.propose(ctx, registry.Command{Name: &n})
	d.opts.Log.Info("VersionNamed", zap.String("Model", n.Model), zap.Uint64("Version", n.Version), zap.Error(err))
	return empty{}, err
}

func (d *Director) announceBatch(ctx context.Context, batch announcementBatch) (empty, error) {
	return empty{}, d.recordAnnouncements(ctx, batch.Upstreams)
}

func (d *Director) announce(ctx context.Context, u discovery.Upstream) (empty, error) {
	return empty{}, d.recordAnnouncements(ctx, []discovery.Upstream{u})
}

// recordAnnouncements updates the table. It returns without an error once the next leader
// would know which of the upstreams drain.
func (d *Director) recordAnnouncements(ctx context.Context, us []discovery.Upstream) error {
	var departures []registry.Departure
	for _, u := range us {
		if err := u.Validate(wallClockMS()); err != nil {
			// A control host of another release has accepted it.
			d.opts.Log.Warn("AnnouncementInvalid", zap.Error(err))
			continue
		}
		accepted, changed := d.recordAnnouncement(u)
		if changed || !accepted {
			d.opts.Log.Info("UpstreamAnnounced", zap.String("Upstream", u.ID), zap.Int64("Born", u.Born), zap.Uint64("Seq", u.Seq),
				zap.String("State", string(u.State)), zap.String("Software", u.Software), zap.Bool("Taken", accepted))
		}
		if u.State == discovery.StateDraining {
			departures = append(departures, registry.Departure{ID: u.ID, Born: u.Born})
		}
	}
	if err := d.commitDepartures(ctx, departures); err != nil {
		return err
	}
	return d.confirmLeader()
}

// recordAnnouncement updates the table and wakes the watches that follow the
// change.
func (d *Director) recordAnnouncement(u discovery.Upstream) (accepted, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	routingRevision := d.table.RoutingRevision()
	accepted, changed = d.announceToTable(u)
	switch {
	case d.table.RoutingRevision() != routingRevision:
		d.notifyWatches()
	case changed:
		d.notifyModelWatches()
	}
	return accepted, changed
}

func (d *Director) leave(ctx context.Context, dep Departure) (empty, error) {
	if dep.Born != 0 {
		if err := discovery.ValidateBorn(dep.Born, wallClockMS()); err != nil {
			return empty{}, err
		}
	}
	d.mu.Lock()
	departure := d.departureOf(dep)
	changed := !departure.Presumed && d.table.Leave(d.clock.Now(), departure.ID, departure.Born)
	if changed {
		d.notifyWatches()
	}
	d.mu.Unlock()
	err := d.commitDepartures(ctx, []registry.Departure{departure})
	d.opts.Log.Info("UpstreamLeft", zap.String("Upstream", dep.ID), zap.Int64("Born", departure.Born), zap.Bool("Taken", changed), zap.Error(err))
	if err != nil {
		return empty{}, err
	}
	return empty{}, d.confirmLeader()
}

// confirmLeader returns an error if this host is not the leader. Handlers call
// it after they have read the state, so that a host that lost the leadership
// meanwhile does not answer from outdated data.
func (d *Director) confirmLeader() error {
	if _, leads := d.replica.Leading(0); !leads {
		return d.replica.NotLeader()
	}
	return nil
}

func (d *Director) retire(ctx context.Context, r RetireRequest) (empty, error) {
	d.mu.Lock()
	stores := d.liveDaemons(view.RoleStore)
	_, alreadyRetiring := d.retiringAddress(r.Host, stores)
	waitEnded := d.clock.Now()-d.leadStartMS > hostReportWaitMS
	address, remaining := "", 0
	for _, s := range stores {
		if s.Host == r.Host {
			address = s.Address
			continue
		}
		if d.state.Retiring[s.Host] != s.Address {
			remaining++
		}
	}
	d.mu.Unlock()
	switch {
	case alreadyRetiring:
		return empty{}, d.confirmLeader()
	case (address == "" || remaining < 2*d.opts.MaxLostHosts+1) && !waitEnded:
		return empty{}, rollout.NewError(rollout.KindUnavailable, "the leader has waited less than %d ms for hosts to report", hostReportWaitMS)
	case address == "" || remaining < 2*d.opts.MaxLostHosts+1:
		if err := d.confirmLeader(); err != nil {
			return empty{}, err
		}
	}
	switch {
	case address == "":
		return empty{}, rollout.NewError(rollout.KindNotFound, "no running job store on host %q", r.Host)
	case remaining < 2*d.opts.MaxLostHosts+1:
		return empty{}, rollout.NewError(rollout.KindConflict, "only %d hosts of the job store would remain, need %d", remaining, 2*d.opts.MaxLostHosts+1)
	}
	err := d.propose(ctx, registry.Command{Retire: &registry.RetireHost{Host: r.Host, Address: address}})
	d.opts.Log.Info("HostRetiring", zap.String("Host", r.Host), zap.String("Address", address), zap.Error(err))
	return empty{}, err
}

// retiringAddress returns the address of a host that is or was to be retired. A live host that
// has its name at another address is another one. The caller holds mu.
func (d *Director) retiringAddress(host string, stores []view.Request) (address string, ok bool) {
	address, ok = d.state.Retiring[host]
	isOther := slices.ContainsFunc(stores, func(s view.Request) bool { return s.Host == host && s.Address != address })
	return address, ok && !isOther
}

// retirementStatus reports a retirement as done once the leader of the job
// store has reported committed members without the host. Only reports that this
// control host received since it became the leader count.
func (d *Director) retirementStatus(_ context.Context, r RetireRequest) (Retirement, error) {
	d.mu.Lock()
	stores := d.liveDaemons(view.RoleStore)
	address, retiring := d.retiringAddress(r.Host, stores)
	done := false
	for _, s := range stores {
		if s.Store != nil && s.Store.Leading && s.Store.Term >= d.storeTerm {
			done = s.Store.Settled && !slices.Contains(memberAddresses(s.Store.Members), address)
		}
	}
	d.mu.Unlock()
	if err := d.confirmLeader(); err != nil {
		return Retirement{}, err
	}
	if !retiring {
		return Retirement{}, rollout.NewError(rollout.KindNotFound, "host %q is not being retired", r.Host)
	}
	return Retirement{Done: done}, nil
}
