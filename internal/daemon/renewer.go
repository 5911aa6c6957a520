package daemon

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/authority"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

// Identity names one run of a daemon.
type Identity struct {
	Name          string
	Kind          fleet.Kind
	Incarnation   string
	Address       string
	FailureDomain string
}

// Reporter gives what a daemon has to tell and takes what it is told.
type Reporter interface {
	// Report returns what is to be told now, or nil, and the upstreams of the
	// daemon. Accepted is called once the leader has committed it.
	Report() (r *fleet.Report, upstreams []string, accepted func())
	// Update takes a new configuration.
	Update(c *catalog.Catalog)
	// Tasks takes what the leader asks for.
	Tasks(t weights.Tasks)
}

// Renewer renews the authority of a daemon and follows the configuration.
type Renewer struct {
	id     Identity
	client *Client
	lease  *authority.Lease
	clock  rollout.Clock
	log    *zap.Logger
	rep    Reporter
	wake   chan struct{}
	view   atomic.Pointer[catalog.Catalog]
}

// NewRenewer returns a renewer whose configuration is empty and whose lease
// is not held.
func NewRenewer(id Identity, client *Client, clock rollout.Clock, log *zap.Logger, rep Reporter) *Renewer {
	r := &Renewer{
		id: id, client: client, lease: authority.New(), clock: clock, log: log, rep: rep,
		wake: make(chan struct{}, 1),
	}
	r.view.Store(catalog.New())
	return r
}

// Lease returns the authority of the daemon.
func (r *Renewer) Lease() *authority.Lease { return r.lease }

// Valid tells whether the daemon has authority now.
func (r *Renewer) Valid() bool { return r.lease.Valid(r.clock.Now()) }

// View returns the configuration in force.
func (r *Renewer) View() *catalog.Catalog { return r.view.Load() }

// Wake renews soon, because there is something to tell.
func (r *Renewer) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run renews until the context ends.
func (r *Renewer) Run(ctx context.Context) error {
	ticker := time.NewTicker(authority.RenewMS * time.Millisecond)
	defer ticker.Stop()
	held := false
	for ctx.Err() == nil {
		err := r.renew(ctx)
		if now := r.Valid(); now != held {
			held = now
			r.logAuthority(held, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.wake:
		}
	}
	return nil
}

func (r *Renewer) logAuthority(held bool, err error) {
	if held {
		r.log.Info("AuthorityHeld", zap.Uint64("Version", r.View().Version))
		return
	}
	r.log.Warn("AuthorityLost", zap.Error(err))
}

func (r *Renewer) renew(ctx context.Context) error {
	report, upstreams, accepted := r.rep.Report()
	req := &wire.RenewRequest{
		Daemon: r.id.Name, Kind: string(r.id.Kind), Incarnation: r.id.Incarnation,
		Address: r.id.Address, FailureDomain: r.id.FailureDomain,
		Version: r.View().Version, Upstreams: upstreams,
	}
	if report != nil {
		data, err := json.Marshal(report)
		if err != nil {
			return rollout.NewError(rollout.KindInternal, "encode report").WithCause(err)
		}
		req.Report = data
	}
	sent := r.clock.Now()
	reply, err := r.client.Renew(ctx, req)
	if err != nil {
		return err
	}
	accepted()
	if err := r.applyUpdate(reply); err != nil {
		return err
	}
	r.lease.Confirm(r.clock.Now(), sent, rollout.Millis(reply.LeaseMs))
	return r.takeTasks(reply)
}

// applyUpdate publishes a newer configuration. An older one is never taken.
func (r *Renewer) applyUpdate(reply *wire.RenewReply) error {
	old := r.View()
	if reply.Version < old.Version {
		return rollout.NewError(rollout.KindConflict, "leader offers version %d after %d", reply.Version, old.Version)
	}
	if reply.Version == old.Version {
		return nil
	}
	u := catalog.Update{Version: reply.Version}
	if len(reply.Update) > 0 {
		if err := json.Unmarshal(reply.Update, &u); err != nil {
			return rollout.NewError(rollout.KindInternal, "decode update").WithCause(err)
		}
	}
	next := old.Clone()
	if err := next.Apply(u); err != nil {
		return err
	}
	r.view.Store(next)
	r.rep.Update(next)
	return nil
}

func (r *Renewer) takeTasks(reply *wire.RenewReply) error {
	if len(reply.Tasks) == 0 {
		return nil
	}
	var tasks weights.Tasks
	if err := json.Unmarshal(reply.Tasks, &tasks); err != nil {
		return rollout.NewError(rollout.KindInternal, "decode tasks").WithCause(err)
	}
	r.rep.Tasks(tasks)
	return nil
}
