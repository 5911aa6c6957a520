package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/authority"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

const (
	// followPauseMS is the shortest time between two requests for changes, so
	// that changes in quick succession travel together.
	followPauseMS = 20
	followRetryMS = 200
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
	// Report returns what is to be told now, or nil. Accepted is called once
	// the leader has committed it.
	Report() (r *fleet.Report, accepted func())
	// Upstreams returns the IDs of the upstreams of the daemon.
	Upstreams() []string
	// Update takes a new configuration.
	Update(c *catalog.Catalog)
	// HandleTasks takes what the leader asks for.
	HandleTasks(t weights.Tasks)
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
	// mu orders the updates of the two threads and guards complete.
	mu sync.Mutex
	// complete names the upstreams whose changes the view holds up to its
	// version.
	complete []string
	view     atomic.Pointer[catalog.Catalog]
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

// Run renews until the context ends. One thread follows the configuration:
// the leader answers it with the next change. Another tells what there is to
// tell.
func (r *Renewer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.follow(ctx) })
	group.Go(func() error { return r.tell(ctx) })
	return group.Wait()
}

// follow asks for changes, one request after the other.
func (r *Renewer) follow(ctx context.Context) error {
	held := false
	for ctx.Err() == nil {
		start := r.clock.Now()
		err := r.ask(ctx, r.request(), func() {})
		if now := r.Valid(); now != held {
			held = now
			r.logAuthority(held, err)
		}
		pause := followPauseMS - (r.clock.Now() - start)
		if err != nil {
			pause = followRetryMS
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(pause) * time.Millisecond):
		}
	}
	return nil
}

// tell reports at each interval and whenever it is woken.
func (r *Renewer) tell(ctx context.Context) error {
	ticker := time.NewTicker(authority.ReportIntervalMS * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if err := r.report(ctx); err != nil {
			r.log.Debug("ReportFailed", zap.Error(err))
		}
		select {
		case <-ctx.Done():
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

// request asks for the changes since the view. With an upstream that the view
// was not made for, it asks for a full copy.
func (r *Renewer) request() *wire.RenewRequest {
	upstreams := r.rep.Upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.View().Version
	if !holdsAll(r.complete, upstreams) {
		version = 0
	}
	return &wire.RenewRequest{
		Daemon: r.id.Name, Kind: string(r.id.Kind), Incarnation: r.id.Incarnation,
		Address: r.id.Address, FailureDomain: r.id.FailureDomain,
		Version: version, Upstreams: upstreams, Hold: true,
	}
}

// holdsAll tells whether a list holds all wanted names.
func holdsAll(list, wanted []string) bool {
	for _, w := range wanted {
		if !slices.Contains(list, w) {
			return false
		}
	}
	return true
}

// report sends what there is to tell.
func (r *Renewer) report(ctx context.Context) error {
	report, accepted := r.rep.Report()
	if report == nil {
		return nil
	}
	data, err := json.Marshal(report)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode report").WithCause(err)
	}
	req := r.request()
	req.Report = data
	return r.ask(ctx, req, accepted)
}

// ask sends one request and takes its answer. The lease runs from the sending.
func (r *Renewer) ask(ctx context.Context, req *wire.RenewRequest, accepted func()) error {
	sent := r.clock.Now()
	reply, err := r.client.Renew(ctx, req)
	if err != nil {
		return err
	}
	accepted()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.applyUpdate(req, reply); err != nil {
		return err
	}
	r.lease.Renew(r.clock.Now(), sent, rollout.Millis(reply.LeaseMs))
	return r.takeTasks(reply)
}

// applyUpdate takes an answer. An answer to a request that did not name an
// upstream may lack its changes, and is not taken at all: neither the changes
// nor the lease.
//
// It publishes a newer configuration. An older one is never taken:
// the other thread may have been answered with a newer one in between, and
// then this answer has nothing to add.
func (r *Renewer) applyUpdate(req *wire.RenewRequest, reply *wire.RenewReply) error {
	old := r.View()
	if reply.Version < req.Version {
		return rollout.NewError(rollout.KindConflict, "leader offers version %d after %d", reply.Version, req.Version)
	}
	if !holdsAll(req.Upstreams, r.rep.Upstreams()) {
		return rollout.NewError(rollout.KindConflict, "the answer lacks an upstream that was announced since")
	}
	full := req.Version == 0
	if reply.Version < old.Version || (reply.Version == old.Version && !full) {
		return nil
	}
	u := catalog.Update{Version: reply.Version}
	if len(reply.Update) > 0 {
		if err := json.Unmarshal(reply.Update, &u); err != nil {
			return rollout.NewError(rollout.KindInternal, "decode update").WithCause(err)
		}
	}
	next := old.Clone()
	if full {
		next = catalog.New()
	}
	if err := next.Apply(u); err != nil {
		return err
	}
	r.complete = req.Upstreams
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
	r.rep.HandleTasks(tasks)
	return nil
}
