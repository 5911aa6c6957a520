// Package agent implements the agent, the daemon that runs on each host that has
// upstreams. It admits requests to the upstreams, relays and meters them, records
// which weight versions produced an answer, and swaps weights.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/coltsfootspoke/coltsfootspoke/internal/answer"
	"github.com/coltsfootspoke/coltsfootspoke/internal/budget"
	"github.com/coltsfootspoke/coltsfootspoke/internal/daemon"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/internal/upstream"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/gate"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

const (
	inputQueueCapacity = 1_024
	incarnationBytes   = 8
	drainPollInterval  = 20 * time.Millisecond
	// finalReportTimeout limits the wait for the final report at shutdown.
	finalReportTimeout = 3 * time.Second
)

// Listeners holds the open listeners of an agent.
type Listeners struct {
	Peers    net.Listener
	Announce net.Listener
	Admin    net.Listener
}

// agent is the state of one run of the process.
type agent struct {
	wire.DRPCAgentUnimplementedServer
	cfg           settings.Agent
	incarnation   string
	log           *zap.Logger
	clock         rollout.Clock
	dialer        *link.Dialer
	renewer       *daemon.Renewer
	client        *http.Client
	noReuseClient *http.Client
	metrics       *metrics
	inputs        chan func(now rollout.Millis)
	background    sync.WaitGroup

	// The fields up to stopping belong to the goroutine of runEventLoop. Other
	// goroutines access them by sending functions to inputs.

	upstreams map[string]*localUpstream
	// removed holds the IDs of removed upstreams until the leader has accepted
	// their removal.
	removed         map[string]bool
	pendingCrashes  []pendingCrash
	crashCount      int
	swapOutcomes    []fleet.SwapOutcome
	fetchFailures   []fleet.FetchFailure
	fetching        map[weights.Blob]bool
	reportedUsage   []usage.Line
	usageReportedMS rollout.Millis
	reportedLoads   []fleet.Load
	stopping        bool

	// trafficMu guards gate and meter.
	trafficMu sync.Mutex
	gate      *gate.Gate
	meter     *usage.Meter
	answers   *answer.Cache
	// responses bounds the responses of upstreams that are held.
	responses *budget.Bytes
	targets   atomic.Pointer[map[string]target]

	blobMu sync.Mutex
	blobs  map[weights.Blob]fetchedBlob
}

// Run runs an agent until the context ends and the running requests of its
// upstreams have finished.
func Run(ctx context.Context, cfg settings.Agent, ls Listeners, clock rollout.Clock, log *zap.Logger) error {
	a, err := newAgent(cfg, clock, log)
	if err != nil {
		return err
	}
	defer func() { _ = a.dialer.Close() }()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, a); err != nil {
		return err
	}
	limits := cfg.Intake(log, a.metrics.registry)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, gctx := errgroup.WithContext(serving)
	group.Go(func() error { return a.runEventLoop(gctx) })
	group.Go(func() error { return a.renewer.Run(gctx) })
	group.Go(func() error { return link.NewServer(ls.Peers, cfg.Secret, mux, log).Serve(gctx) })
	group.Go(func() error { return a.serveAnnounce(gctx, ls.Announce, limits) })
	group.Go(func() error {
		return daemon.ServeAdmin(gctx, ls.Admin, a.metrics.registry, a.renewer.Valid, limits)
	})
	group.Go(func() error {
		select {
		case <-gctx.Done():
			return nil
		case <-ctx.Done():
		}
		a.drain(gctx)
		stop()
		return nil
	})
	log.Info("Started", zap.String("Address", cfg.Address), zap.String("Incarnation", a.incarnation))
	err = group.Wait()
	a.background.Wait()
	log.Info("Stopped", zap.Error(err))
	return err
}

func newAgent(cfg settings.Agent, clock rollout.Clock, log *zap.Logger) (*agent, error) {
	id := make([]byte, incarnationBytes)
	if _, err := rand.Read(id); err != nil {
		return nil, err
	}
	a := &agent{
		cfg: cfg, incarnation: hex.EncodeToString(id), log: log, clock: clock,
		dialer: link.NewDialer(cfg.Secret),
		client: upstream.NewClient(true), noReuseClient: upstream.NewClient(false),
		metrics:   newMetrics(),
		inputs:    make(chan func(rollout.Millis), inputQueueCapacity),
		upstreams: make(map[string]*localUpstream),
		removed:   make(map[string]bool),
		fetching:  make(map[weights.Blob]bool),
		meter:     usage.NewMeter(),
		answers:   answer.NewCache(cfg.KeptBytes),
		responses: budget.New(cfg.ResponseBytes()),
		blobs:     make(map[weights.Blob]fetchedBlob),
	}
	a.gate = gate.New(a.incarnation)
	a.targets.Store(&map[string]target{})
	identity := daemon.Identity{
		Name: cfg.Name, Kind: fleet.KindAgent, Incarnation: a.incarnation,
		Address: cfg.Address, FailureDomain: cfg.FailureDomain,
	}
	a.renewer = daemon.NewRenewer(identity, daemon.NewClient(a.dialer, cfg.Control), clock, log, a)
	return a, nil
}

// enqueue passes a function to the goroutine of runEventLoop. It blocks while the
// input queue is full.
func (a *agent) enqueue(input func(now rollout.Millis)) { a.inputs <- input }

// query runs a function on the goroutine of runEventLoop and returns its result.
func query[V any](a *agent, read func(now rollout.Millis) V) V {
	result := make(chan V, 1)
	a.enqueue(func(now rollout.Millis) { result <- read(now) })
	return <-result
}

// runEventLoop runs the queued inputs and polls the upstreams until the context
// ends. It then starts a goroutine that empties the input queue.
func (a *agent) runEventLoop(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.background.Go(func() { a.drainInputs() })
			return nil
		case input := <-a.inputs:
			input(a.clock.Now())
		case <-ticker.C:
			a.pollAll(a.clock.Now())
		}
	}
}

// drainInputs runs the queued inputs until none arrives for drainPollInterval, so
// that goroutines blocked in enqueue or query can end.
func (a *agent) drainInputs() {
	for {
		select {
		case input := <-a.inputs:
			input(a.clock.Now())
		case <-time.After(drainPollInterval):
			return
		}
	}
}

// drain marks all upstreams as leaving, waits for their running requests to end
// and sends the final report.
func (a *agent) drain(ctx context.Context) {
	a.log.Info("DrainStarted")
	a.enqueue(func(rollout.Millis) {
		a.stopping = true
		for _, l := range a.upstreams {
			l.leaving = true
		}
		a.publishTargets()
	})
	a.renewer.Wake()
	for a.totalRunning() > 0 {
		time.Sleep(drainPollInterval)
	}
	a.enqueue(func(rollout.Millis) {
		for id, l := range a.upstreams {
			if l.reported != nil {
				a.removed[id] = true
			}
			delete(a.upstreams, id)
		}
		a.publishTargets()
	})
	a.awaitFinalReport(ctx)
	a.log.Info("DrainEnded")
}

// awaitFinalReport waits until the leader has accepted the removed upstreams and
// the last usage figures. It gives up after finalReportTimeout.
func (a *agent) awaitFinalReport(ctx context.Context) {
	deadline := time.Now().Add(finalReportTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		a.renewer.Wake()
		time.Sleep(drainPollInterval)
		if query(a, func(rollout.Millis) bool { return len(a.removed) == 0 && !a.usageChanged() }) {
			return
		}
	}
}

func (a *agent) totalRunning() int {
	a.trafficMu.Lock()
	defer a.trafficMu.Unlock()
	return a.gate.TotalRunning()
}

// HandleTasks implements daemon.Reporter.
func (a *agent) HandleTasks(t weights.Tasks) { a.enqueue(func(rollout.Millis) { a.startTasks(t) }) }

// UpdateCatalog implements daemon.Reporter.
func (a *agent) UpdateCatalog(c *catalog.Catalog) {
	a.enqueue(func(rollout.Millis) {
		changed := false
		for id, l := range a.upstreams {
			u, ok := c.Upstreams[id]
			if !ok || u.Incarnation != a.incarnation {
				l.reported = nil
			}
			if ok && u.Incarnation == a.incarnation && u.Evacuated != l.evacuated {
				l.evacuated, changed = u.Evacuated, true
				a.log.Info("UpstreamEvacuated", zap.String("Upstream", id), zap.Bool("Evacuated", u.Evacuated))
			}
			if ok && u.Incarnation == a.incarnation && u.Leaving && !l.leaving {
				l.leaving, changed = true, true
				a.log.Info("UpstreamLeaving", zap.String("Upstream", id), zap.String("Reason", "configuration"))
			}
		}
		if changed {
			a.publishTargets()
			a.renewer.Wake()
		}
	})
}

func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
