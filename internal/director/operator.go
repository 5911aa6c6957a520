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
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

const (
	methodPut      = "Control.Put"
	methodRead     = "Control.Read"
	methodName     = "Control.Name"
	methodAnnounce = "Control.Announce"
	methodLeave    = "Control.Leave"
	methodRetire   = "Control.Retire"
	methodRetired  = "Control.Retired"
	// forwardTimeout bounds a call that is handed to the leader. Callers go
	// on to another host after a second.
	forwardTimeout = 900 * time.Millisecond
	// settleMS is how long a new leader waits for daemons to report before it
	// says that a host is not known.
	settleMS rollout.Millis = 3_000
)

// Departure is the end of an incarnation of an upstream.
type Departure struct {
	ID string
	// Born is 0 when the upstream did not say.
	Born int64
}

// RetireRequest asks for a host to be emptied.
type RetireRequest struct {
	Host string
}

// Retirement tells whether a host is empty.
type Retirement struct {
	Done bool
}

type none struct{}

type raw struct{ Bytes []byte }

// register adds the calls that control hosts hand to their leader.
func (d *Director) register(mux *fabric.Mux) {
	fabric.Handle(mux, view.MethodWatch, d.watch)
	fabric.Handle(mux, methodPut, d.put)
	fabric.Handle(mux, methodRead, d.read)
	fabric.Handle(mux, methodName, d.name)
	fabric.Handle(mux, methodAnnounce, d.announce)
	fabric.Handle(mux, methodLeave, d.leave)
	fabric.Handle(mux, methodRetire, d.retire)
	fabric.Handle(mux, methodRetired, d.retired)
}

// atLeader runs a call here when this host leads, or else at the leader.
func atLeader[In, Out any](ctx context.Context, d *Director, method string, local func(context.Context, In) (Out, error), in In) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if _, leads := d.replica.Leading(0); leads {
		return local(ctx, in)
	}
	var out Out
	leader := d.Leader()
	if leader == "" || leader == d.opts.Address {
		return out, rollout.NewError(rollout.KindUnavailable, "no control host is in charge").WithNotRun()
	}
	err := d.client.Call(ctx, leader, method, in, &out)
	return out, err
}

// PutConfig brings a checked configuration into force.
func (d *Director) PutConfig(ctx context.Context, p registry.Put) error {
	_, err := atLeader(ctx, d, methodPut, d.put, p)
	return err
}

// ReadConfig returns the configuration in force as the operator sent it.
func (d *Director) ReadConfig(ctx context.Context) ([]byte, error) {
	r, err := atLeader(ctx, d, methodRead, d.read, none{})
	return r.Bytes, err
}

// NameVersion names a weight version.
func (d *Director) NameVersion(ctx context.Context, n registry.NamedVersion) error {
	_, err := atLeader(ctx, d, methodName, d.name, n)
	return err
}

// Announce takes an announcement of an upstream.
func (d *Director) Announce(ctx context.Context, u discovery.Upstream) error {
	_, err := atLeader(ctx, d, methodAnnounce, d.announce, u)
	return err
}

// Leave notes the end of an upstream.
func (d *Director) Leave(ctx context.Context, dep Departure) error {
	_, err := atLeader(ctx, d, methodLeave, d.leave, dep)
	return err
}

// Retire asks for a host that stores jobs to be emptied.
func (d *Director) Retire(ctx context.Context, r RetireRequest) error {
	_, err := atLeader(ctx, d, methodRetire, d.retire, r)
	return err
}

// RetirementStatus tells whether a host has been emptied.
func (d *Director) RetirementStatus(ctx context.Context, r RetireRequest) (Retirement, error) {
	return atLeader(ctx, d, methodRetired, d.retired, r)
}

// Leader returns the address of the known leader, or an empty string.
func (d *Director) Leader() string {
	if leader := d.replica.Status().Leader.Address; leader != "" {
		return leader
	}
	return d.watcher.Leader()
}

func (d *Director) put(ctx context.Context, p registry.Put) (none, error) {
	if err := p.Document.Validate(); err != nil {
		return none{}, err
	}
	d.mu.Lock()
	current := d.state.Document.Version
	d.mu.Unlock()
	if p.Document.Version <= current {
		return none{}, d.confirm()
	}
	err := d.propose(ctx, registry.Command{Put: &p})
	d.opts.Log.Info("DocumentPut", zap.Uint64("Version", p.Document.Version), zap.Uint64("Before", current), zap.Error(err))
	return none{}, err
}

func (d *Director) read(context.Context, none) (raw, error) {
	d.mu.Lock()
	data := d.state.Raw
	d.mu.Unlock()
	if err := d.confirm(); err != nil {
		return raw{}, err
	}
	if data == nil {
		return raw{}, rollout.NewError(rollout.KindUnavailable, "no configuration yet")
	}
	return raw{data}, nil
}

func (d *Director) name(ctx context.Context, n registry.NamedVersion) (none, error) {
	d.mu.Lock()
	current := d.state.Versions[n.Model]
	d.mu.Unlock()
	if n.Version <= current {
		return none{}, d.confirm()
	}
	err := d.propose(ctx, registry.Command{Name: &n})
	d.opts.Log.Info("VersionNamed", zap.String("Model", n.Model), zap.Uint64("Version", n.Version), zap.Error(err))
	return none{}, err
}

func (d *Director) announce(_ context.Context, u discovery.Upstream) (none, error) {
	d.mu.Lock()
	taken, changed := d.table.Announce(d.clock.Now(), u)
	if changed {
		d.notify()
	}
	d.mu.Unlock()
	if changed || !taken {
		d.opts.Log.Info("Announced", zap.String("Upstream", u.ID), zap.Int64("Born", u.Born), zap.Uint64("Seq", u.Seq),
			zap.String("State", string(u.State)), zap.Bool("Taken", taken))
	}
	return none{}, d.confirm()
}

func (d *Director) leave(_ context.Context, dep Departure) (none, error) {
	d.mu.Lock()
	changed := d.table.Leave(d.clock.Now(), dep.ID, dep.Born)
	if changed {
		d.notify()
	}
	d.mu.Unlock()
	d.opts.Log.Info("Departed", zap.String("Upstream", dep.ID), zap.Int64("Born", dep.Born), zap.Bool("Taken", changed))
	return none{}, d.confirm()
}

// confirm tells whether this host still leads after it has looked.
func (d *Director) confirm() error {
	if _, leads := d.replica.Leading(0); !leads {
		return d.replica.NotLeader()
	}
	return nil
}

func (d *Director) retire(ctx context.Context, r RetireRequest) (none, error) {
	d.mu.Lock()
	_, already := d.state.Retiring[r.Host]
	stores := d.alive(view.RoleStore)
	settled := d.clock.Now()-d.since > settleMS
	address, left := "", 0
	for _, s := range stores {
		if s.Host == r.Host {
			address = s.Address
			continue
		}
		if _, retiring := d.state.Retiring[s.Host]; !retiring {
			left++
		}
	}
	d.mu.Unlock()
	switch {
	case already:
		return none{}, d.confirm()
	case (address == "" || left < 2*d.opts.MaxLostHosts+1) && !settled:
		return none{}, rollout.NewError(rollout.KindUnavailable, "the leader does not know all hosts yet")
	case address == "":
		return none{}, rollout.NewError(rollout.KindNotFound, "no host %q stores jobs", r.Host)
	case left < 2*d.opts.MaxLostHosts+1:
		return none{}, rollout.NewError(rollout.KindConflict, "%d hosts would be left to store jobs", left)
	}
	err := d.propose(ctx, registry.Command{Retire: &registry.RetiredHost{Host: r.Host, Address: address}})
	d.opts.Log.Info("HostRetiring", zap.String("Host", r.Host), zap.String("Address", address), zap.Error(err))
	return none{}, err
}

// retired tells that a host is empty once the leader of the job store has
// reported, in the lead of this control host, members without it.
func (d *Director) retired(_ context.Context, r RetireRequest) (Retirement, error) {
	d.mu.Lock()
	address, retiring := d.state.Retiring[r.Host]
	done := false
	for _, s := range d.alive(view.RoleStore) {
		if s.Store != nil && s.Store.Leading && s.Store.Term >= d.storeTerm {
			done = s.Store.Settled && !slices.Contains(addressesOf(s.Store.Members), address)
		}
	}
	d.mu.Unlock()
	if !retiring {
		return Retirement{}, rollout.NewError(rollout.KindNotFound, "host %q is not to be emptied", r.Host)
	}
	return Retirement{Done: done}, d.confirm()
}
