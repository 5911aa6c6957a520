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
	// minPollIntervalMS is the shortest interval between two requests for
	// changes, so that changes in quick succession are sent in one reply.
	minPollIntervalMS = 20
	pollRetryDelayMS  = 200
)

// Identity identifies one run of a daemon.
type Identity struct {
	Name          string
	Kind          fleet.Kind
	Incarnation   string
	Address       string
	FailureDomain string
}

// Reporter is the daemon's side of a Renewer: it provides reports for the leader
// and receives the configuration and tasks that the leader sends.
type Reporter interface {
	// Report returns the next report to send, or nil if there is none. The
	// Renewer calls onAccepted once the leader has committed the report.
	Report() (r *fleet.Report, onAccepted func())
	// Upstreams returns the IDs of the daemon's upstreams.
	Upstreams() []string
	// UpdateCatalog applies a newer configuration.
	UpdateCatalog(c *catalog.Catalog)
	// HandleTasks receives the tasks that the leader assigns.
	HandleTasks(t weights.Tasks)
}

// Renewer renews the lease under which a daemon may act and keeps the daemon's
// view of the configuration up to date.
type Renewer struct {
	id       Identity
	client   *Client
	lease    *authority.Lease
	clock    rollout.Clock
	log      *zap.Logger
	reporter Reporter
	wake     chan struct{}
	// mu serializes the updates of the two goroutines and guards viewUpstreams.
	mu sync.Mutex
	// viewUpstreams lists the upstreams whose changes up to its version the view
	// contains.
	viewUpstreams []string
	view          atomic.Pointer[catalog.Catalog]
}

// NewRenewer returns a renewer whose configuration is empty and whose lease
// is not held.
func NewRenewer(id Identity, client *Client, clock rollout.Clock, log *zap.Logger, reporter Reporter) *Renewer {
	r := &Renewer{
		id: id, client: client, lease: authority.NewLease(), clock: clock, log: log, reporter: reporter,
		wake: make(chan struct{}, 1),
	}
	r.view.Store(catalog.New())
	return r
}

// Lease returns the lease of the daemon.
func (r *Renewer) Lease() *authority.Lease { return r.lease }

// Valid reports whether the lease is held now.
func (r *Renewer) Valid() bool { return r.lease.Valid(r.clock.Now()) }

// View returns the newest configuration received. Callers must not modify it.
func (r *Renewer) View() *catalog.Catalog { return r.view.Load() }

// Wake sends the next report without waiting for the report interval.
func (r *Renewer) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run renews the lease until the context is done. One goroutine polls for
// configuration changes: the leader holds its request until the next change or
// the long-poll timeout. Another goroutine sends reports, which the held request
// would otherwise delay.
func (r *Renewer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.pollConfig(ctx) })
	group.Go(func() error { return r.runReports(ctx) })
	return group.Wait()
}

// pollConfig polls for configuration changes, one request at a time.
func (r *Renewer) pollConfig(ctx context.Context) error {
	held := false
	for ctx.Err() == nil {
		start := r.clock.Now()
		err := r.renew(ctx, r.newRequest(), func() {})
		if valid := r.Valid(); valid != held {
			held = valid
			r.logAuthority(held, err)
		}
		delay := minPollIntervalMS - (r.clock.Now() - start)
		if err != nil {
			delay = pollRetryDelayMS
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(delay) * time.Millisecond):
		}
	}
	return nil
}

// runReports sends a report at each report interval and after each call of Wake.
func (r *Renewer) runReports(ctx context.Context) error {
	ticker := time.NewTicker(authority.ReportIntervalMS * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if err := r.sendReport(ctx); err != nil {
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

// newRequest returns a request for the changes since the version of the view. If
// the daemon has an upstream whose changes the view lacks, it requests a full
// copy.
func (r *Renewer) newRequest() *wire.RenewRequest {
	upstreams := r.reporter.Upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.View().Version
	if !containsAll(r.viewUpstreams, upstreams) {
		version = 0
	}
	return &wire.RenewRequest{
		Daemon: r.id.Name, Kind: string(r.id.Kind), Incarnation: r.id.Incarnation,
		Address: r.id.Address, FailureDomain: r.id.FailureDomain,
		Version: version, Upstreams: upstreams, Hold: true,
	}
}

// containsAll reports whether list contains all wanted names.
func containsAll(list, wanted []string) bool {
	for _, w := range wanted {
		if !slices.Contains(list, w) {
			return false
		}
	}
	return true
}

// sendReport sends the next report of the daemon, if there is one.
func (r *Renewer) sendReport(ctx context.Context) error {
	report, onAccepted := r.reporter.Report()
	if report == nil {
		return nil
	}
	data, err := json.Marshal(report)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode report").WithCause(err)
	}
	req := r.newRequest()
	req.Report = data
	return r.renew(ctx, req, onAccepted)
}

// renew sends one request and applies the reply. The lease is counted from the
// time at which the request was sent.
func (r *Renewer) renew(ctx context.Context, req *wire.RenewRequest, onAccepted func()) error {
	sent := r.clock.Now()
	reply, err := r.client.Renew(ctx, req)
	if err != nil {
		return err
	}
	onAccepted()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.applyUpdate(req, reply); err != nil {
		return err
	}
	r.lease.Renew(r.clock.Now(), sent, rollout.Millis(reply.LeaseMs))
	return r.handleTasks(reply)
}

// applyUpdate publishes the configuration in a reply if it is newer than the
// view, or a full copy of the same version. An older one is ignored: the other
// goroutine may have received a newer one in the meantime.
//
// A reply to a request that did not name an upstream may lack its changes. The
// reply is then rejected as a whole, and the lease is not renewed either.
func (r *Renewer) applyUpdate(req *wire.RenewRequest, reply *wire.RenewReply) error {
	old := r.View()
	if reply.Version < req.Version {
		return rollout.NewError(rollout.KindConflict, "leader sent configuration version %d, but version %d is already known", reply.Version, req.Version)
	}
	if !containsAll(req.Upstreams, r.reporter.Upstreams()) {
		return rollout.NewError(rollout.KindConflict, "renewal reply may lack changes of an upstream that was announced after the request was sent")
	}
	full := req.Version == 0
	if reply.Version < old.Version || (reply.Version == old.Version && !full) {
		return nil
	}
	u := catalog.Update{Version: reply.Version}
	if len(reply.Update) > 0 {
		if err := json.Unmarshal(reply.Update, &u); err != nil {
			return rollout.NewError(rollout.KindInternal, "decode configuration update to version %d", reply.Version).WithCause(err)
		}
	}
	next := old.Clone()
	if full {
		next = catalog.New()
	}
	if err := next.Apply(u); err != nil {
		return err
	}
	r.viewUpstreams = req.Upstreams
	r.view.Store(next)
	r.reporter.UpdateCatalog(next)
	return nil
}

func (r *Renewer) handleTasks(reply *wire.RenewReply) error {
	if len(reply.Tasks) == 0 {
		return nil
	}
	var tasks weights.Tasks
	if err := json.Unmarshal(reply.Tasks, &tasks); err != nil {
		return rollout.NewError(rollout.KindInternal, "decode tasks").WithCause(err)
	}
	r.reporter.HandleTasks(tasks)
	return nil
}
