// Package entry serves the HTTP requests of callers and trainers. A caller's
// request passes a chain of filters, which classify, authenticate, admit and
// claim it, and is then routed and forwarded until an upstream answers it.
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
	"github.com/coltsfootspoke/coltsfootspoke/internal/budget"
	"github.com/coltsfootspoke/coltsfootspoke/internal/callers"
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
	// bodyCopies is how many times its length a request takes beside its body: the body that
	// attempts share, and the message to an agent.
	bodyCopies = 2
	// shutdownGrace is the time between the start of a shutdown and the closing
	// of idle connections. In it the load balancer notices that the entry is not
	// ready, and callers can send a last request on their connections.
	shutdownGrace = 2 * time.Second
	// expiryCheckInterval is the interval between the checks for expired
	// requests and for an expired lease.
	expiryCheckInterval = 50 * time.Millisecond
	// incarnationLength is the length of an incarnation in hex digits.
	incarnationLength = 8
)

// Listeners are the listeners of an entry.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
}

// entry is the state of one entry process.
type entry struct {
	wire.DRPCEntryUnimplementedServer
	cfg settings.Entry
	// incarnation identifies the process.
	incarnation string
	log         *zap.Logger
	clock       rollout.Clock
	dialer      *link.Dialer
	control     *daemon.Client
	renewer     *daemon.Renewer
	metrics     *metrics
	// sessions holds the running requests of callers, sampling those for
	// samples. Both are cancelled when their key is withdrawn, but only sessions
	// when the lease expires: a sample has no effect until it is committed, and
	// the leader decides on that.
	sessions   *session.Table
	sampling   *session.Table
	admission  *admission.Queues
	payloads   *payload.Store
	stepRunner *stepRunner
	scorer     *scorer.Scorer
	// responses bounds the responses that are held until they are complete.
	responses *budget.Bytes

	routeMu sync.Mutex
	router  *routing.Router
	budget  *retry.Budget

	// background tracks the goroutines that may outlive their request.
	background sync.WaitGroup

	// queuedReported is true if the last accepted report contained waiting
	// requests. Only the reporting goroutine uses it.
	queuedReported bool

	// stopping is true once the shutdown has begun.
	stopping atomic.Bool
}

// Run runs an entry until the context ends and its running requests have been
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
	limits := cfg.Intake(log, e.metrics.registry)
	server := &fasthttp.Server{
		Handler: e.handle, Name: "coltsfootspoke", CloseOnShutdown: true,
		MaxRequestBodySize: maxRequestBytes, NoDefaultServerHeader: true,
	}
	limited := callers.LimitFastHTTP(ls.Callers, server, callers.Options{
		Intake: limits, MaxConnections: limits.MaxConnections(), BodyCopies: bodyCopies, Log: log,
		ErrorBody: func(err *rollout.Error) []byte { return []byte(errorJSON(&exchange{id: newID()}, err)) },
	}, e.refuse)
	group.Go(func() error { return server.Serve(limited) })
	group.Go(func() error { return e.renewer.Run(gctx) })
	group.Go(func() error { return link.NewServer(ls.Peers, cfg.Secret, mux, log).Serve(gctx) })
	group.Go(func() error { return e.monitorAuthority(gctx) })
	group.Go(func() error { return e.stepRunner.run(gctx) })
	group.Go(func() error {
		return daemon.ServeAdmin(gctx, ls.Admin, e.metrics.registry, func() bool { return e.renewer.Valid() && !e.stopping.Load() }, limits)
	})
	group.Go(func() error {
		select {
		case <-gctx.Done():
		case <-ctx.Done():
		}
		e.shutdown(server)
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
		cfg: cfg, log: log, clock: clock, dialer: dialer, control: control, responses: budget.New(cfg.ResponseBytes()),
		metrics:   newMetrics(),
		sessions:  session.New(),
		sampling:  session.New(),
		admission: admission.New(clock, cfg.MaxInFlight, cfg.MaxQueued),
		payloads:  payload.New(),
		scorer:    scorer.New(cfg.ScorerURL),
		router:    routing.New(routing.DefaultConfig(cfg.FailureDomain), random),
		budget:    retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
	}
	e.stepRunner = newStepRunner(e)
	e.incarnation = newID()[:incarnationLength]
	e.renewer = daemon.NewRenewer(daemon.Identity{
		Name: cfg.Name, Kind: fleet.KindEntry, Incarnation: e.incarnation,
		Address: cfg.Address, FailureDomain: cfg.FailureDomain,
	}, control, clock, log, e)
	return e
}

// Report implements daemon.Reporter. It reports the waiting requests of each pool,
// and once more after the last of them is gone.
func (e *entry) Report() (*fleet.Report, func()) {
	queued := e.admission.Queued()
	if len(queued) == 0 && !e.queuedReported {
		return nil, func() {}
	}
	return &fleet.Report{Queued: queued}, func() { e.queuedReported = len(queued) > 0 }
}

// Upstreams implements daemon.Reporter. An entry has none.
func (e *entry) Upstreams() []string { return nil }

// HandleTasks implements daemon.Reporter. An entry has none.
func (e *entry) HandleTasks(weights.Tasks) {}

// UpdateCatalog implements daemon.Reporter. It applies a new configuration.
func (e *entry) UpdateCatalog(c *catalog.Catalog) {
	e.sessions.CancelWithdrawn(c)
	e.sampling.CancelWithdrawn(c)
	e.routeMu.Lock()
	e.router.Sync(c)
	pools := make(map[string]int)
	evacuated := 0
	for _, u := range c.Upstreams {
		pools[u.Pool] = e.router.Slots(u.Pool)
		if u.Evacuated {
			evacuated++
		}
	}
	e.routeMu.Unlock()
	e.metrics.evacuatedUpstreams.Set(float64(evacuated))
	e.admission.SetSlots(pools)
	e.refuseWaiting()
}

// monitorAuthority cancels the running requests of callers while the lease is not
// held, and rejects waiting requests whose deadline has passed or whose pool is
// evacuated.
func (e *entry) monitorAuthority(ctx context.Context) error {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		e.admission.Expire()
		e.refuseWaiting()
		if !e.renewer.Valid() {
			e.sessions.CancelAll(rollout.NewError(rollout.KindNoAuthority, "the lease of entry %s has expired", e.cfg.Name))
		}
	}
}

// shutdown reports the entry as not ready, waits for the grace period, and then
// closes the callers' listener and waits for all of their requests.
func (e *entry) shutdown(server *fasthttp.Server) {
	e.log.Info("ShutdownBegun")
	e.stopping.Store(true)
	time.Sleep(shutdownGrace)
	_ = server.Shutdown()
	e.log.Info("ShutdownEnded")
}

// newID returns a random ID in hex.
func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
