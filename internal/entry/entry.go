// Package entry serves callers and trainers. A request passes a row of
// filters: authenticate, classify, admit, claim, and then route and forward
// until it is answered.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/coltsfootspoke/coltsfootspoke/internal/admission"
	"github.com/coltsfootspoke/coltsfootspoke/internal/daemon"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/payload"
	"github.com/coltsfootspoke/coltsfootspoke/internal/scorer"
	"github.com/coltsfootspoke/coltsfootspoke/internal/session"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/retry"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/routing"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

const (
	idBytes         = 12
	authorityCheck  = 100 * time.Millisecond
	maxRequestBytes = 16 << 20
	// shutdownGrace lets the balancer see that the entry leaves, and callers use
	// their connections for one last request, before idle ones are closed.
	shutdownGrace      = 2 * time.Second
	expireInterval     = 50 * time.Millisecond
	incarnationAllowed = 8
)

// Listeners are the open ports of an entry.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// entry is one run of the process.
type entry struct {
	wire.DRPCEntryUnimplementedServer
	cfg     settings.Entry
	log     *zap.Logger
	clock   rollout.Clock
	dialer  *link.Dialer
	control *daemon.Client
	renewer *daemon.Renewer
	metrics *metrics
	// sessions holds callers' requests, sampling those for samples. Only the
	// former end with the authority: a sample is of no use before it is
	// committed, which the leader decides.
	sessions  *session.Table
	sampling  *session.Table
	admission *admission.Queues
	payloads  *payload.Store
	steps     *steps
	scorer    *scorer.Scorer

	routeMu sync.Mutex
	router  *routing.Router
	budget  *retry.Budget

	// background holds the threads that outlast their request.
	background sync.WaitGroup

	// queuedTold is true while the leader believes that requests wait. Only
	// the thread that reports uses it.
	queuedTold bool

	// stopping is true once a shutdown has begun.
	stopping atomic.Bool
}

// Run runs an entry until the context ends, and then until its requests are
// answered.
func Run(ctx context.Context, cfg settings.Entry, ls Listeners, clock rollout.Clock, log *zap.Logger) error {
	e := newEntry(cfg, clock, log)
	defer func() { _ = e.dialer.Close() }()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterEntry(mux, e); err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, gctx := errgroup.WithContext(serving)
	callers := &fasthttp.Server{
		Handler: e.handle, Name: "coltsfootspoke", CloseOnShutdown: true,
		MaxRequestBodySize: maxRequestBytes, NoDefaultServerHeader: true,
	}
	group.Go(func() error { return callers.Serve(ls.Callers) })
	group.Go(func() error { return e.renewer.Run(gctx) })
	group.Go(func() error { return link.NewServer(ls.Peers, cfg.Secret, mux, log).Serve(gctx) })
	group.Go(func() error { return e.watchAuthority(gctx) })
	group.Go(func() error { return e.steps.run(gctx) })
	group.Go(func() error {
		return daemon.ServeAdmin(gctx, ls.Admin, e.metrics.registry, func() bool { return e.renewer.Valid() && !e.stopping.Load() })
	})
	group.Go(func() error {
		select {
		case <-gctx.Done():
		case <-ctx.Done():
		}
		e.shutdown(callers)
		stop()
		return nil
	})
	log.Info("Started", zap.String("Address", cfg.Address), zap.String("ListenAddress", cfg.ListenAddress))
	err := group.Wait()
	e.background.Wait()
	log.Info("Stopped", zap.Error(err))
	return err
}

func newEntry(cfg settings.Entry, clock rollout.Clock, log *zap.Logger) *entry {
	dialer := link.NewDialer(cfg.Secret)
	control := daemon.NewClient(dialer, cfg.Control)
	random := mrand.New(mrand.NewPCG(mrand.Uint64(), mrand.Uint64()))
	e := &entry{
		cfg: cfg, log: log, clock: clock, dialer: dialer, control: control,
		metrics:   newMetrics(),
		sessions:  session.New(),
		sampling:  session.New(),
		admission: admission.New(clock, cfg.MaxInFlight, cfg.MaxQueued),
		payloads:  payload.New(),
		scorer:    scorer.New(cfg.ScorerURL),
		router:    routing.New(routing.DefaultConfig(cfg.FailureDomain), random),
		budget:    retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
	}
	e.steps = newSteps(e)
	e.renewer = daemon.NewRenewer(daemon.Identity{
		Name: cfg.Name, Kind: fleet.KindEntry, Incarnation: newID()[:incarnationAllowed],
		Address: cfg.Address, FailureDomain: cfg.FailureDomain,
	}, control, clock, log, e)
	return e
}

// Report implements daemon.Reporter.
func (e *entry) Report() (*fleet.Report, func()) {
	queued := e.admission.Queued()
	if len(queued) == 0 && !e.queuedTold {
		return nil, func() {}
	}
	return &fleet.Report{Queued: queued}, func() { e.queuedTold = len(queued) > 0 }
}

// Upstreams implements daemon.Reporter. An entry has none.
func (e *entry) Upstreams() []string { return nil }

// HandleTasks implements daemon.Reporter. An entry gets none.
func (e *entry) HandleTasks(weights.Tasks) {}

// Update implements daemon.Reporter.
func (e *entry) Update(c *catalog.Catalog) {
	e.sessions.CutWithdrawn(c)
	e.sampling.CutWithdrawn(c)
	e.routeMu.Lock()
	e.router.Sync(c)
	pools := make(map[string]int)
	for _, u := range c.Upstreams {
		pools[u.Pool] = e.router.Slots(u.Pool)
	}
	e.routeMu.Unlock()
	e.admission.SetSlots(pools)
}

// watchAuthority cuts the requests of keys when the authority ends, and gives
// up waiting requests whose deadline has passed.
func (e *entry) watchAuthority(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		e.admission.Expire()
		if !e.renewer.Valid() {
			e.sessions.CutAll(rollout.NewError(rollout.KindNoAuthority, "the entry lost its authority"))
		}
	}
}

// shutdown lets the balancer see that the entry leaves, and then waits for
// all requests.
func (e *entry) shutdown(callers *fasthttp.Server) {
	e.log.Info("ShutdownBegun")
	e.stopping.Store(true)
	time.Sleep(shutdownGrace)
	_ = callers.Shutdown()
	e.log.Info("ShutdownEnded")
}

// newID returns a random ID.
func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
