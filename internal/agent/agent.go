// Package agent runs beside the upstreams of a host. It is the last gate
// before them: it relays, meters, reads which weight versions produced an
// answer, and swaps weights.
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
	inboxLength      = 1_024
	incarnationBytes = 8
	drainPoll        = 20 * time.Millisecond
	// lastReportTimeout bounds the last report of a shutdown.
	lastReportTimeout = 3 * time.Second
)

// Listeners are the open ports of an agent.
type Listeners struct {
	Peers    net.Listener
	Announce net.Listener
	Admin    net.Listener
}

// agent is one run of the process.
type agent struct {
	wire.DRPCAgentUnimplementedServer
	cfg         settings.Agent
	incarnation string
	log         *zap.Logger
	clock       rollout.Clock
	dialer      *link.Dialer
	renewer     *daemon.Renewer
	client      *http.Client
	onceClient  *http.Client
	metrics     *metrics
	inbox       chan func(now rollout.Millis)
	background  sync.WaitGroup

	// The control thread owns what follows.
	locals        map[string]*local
	gone          map[string]bool
	crashes       []crashNote
	crashCount    int
	swaps         []fleet.SwapOutcome
	fetchFailures []fleet.FetchFailures
	fetching      map[weights.Blob]bool
	usageTold     []usage.Line
	usageToldMS   rollout.Millis
	loadsTold     []fleet.Load
	stopping      bool

	// traffic guards the gate and the meter.
	traffic sync.Mutex
	gate    *gate.Gate
	meter   *usage.Meter
	kept    *answer.Cache
	targets atomic.Pointer[map[string]target]

	blobMu sync.Mutex
	blobs  map[weights.Blob]blob
}

// Run runs an agent until the context ends, and then until its upstreams have
// finished their work.
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
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, gctx := errgroup.WithContext(serving)
	group.Go(func() error { return a.runControl(gctx) })
	group.Go(func() error { return a.renewer.Run(gctx) })
	group.Go(func() error { return link.NewServer(ls.Peers, cfg.Secret, mux, log).Serve(gctx) })
	group.Go(func() error { return a.serveAnnounce(gctx, ls.Announce) })
	group.Go(func() error {
		return daemon.ServeAdmin(gctx, ls.Admin, a.metrics.registry, a.renewer.Valid)
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
		client: upstream.NewClient(true), onceClient: upstream.NewClient(false),
		metrics:  newMetrics(),
		inbox:    make(chan func(rollout.Millis), inboxLength),
		locals:   make(map[string]*local),
		gone:     make(map[string]bool),
		fetching: make(map[weights.Blob]bool),
		meter:    usage.NewMeter(),
		kept:     answer.NewCache(cfg.KeptBytes),
		blobs:    make(map[weights.Blob]blob),
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

// do runs an input on the control thread.
func (a *agent) do(input func(now rollout.Millis)) { a.inbox <- input }

// ask reads a value on the control thread.
func ask[V any](a *agent, read func(now rollout.Millis) V) V {
	result := make(chan V, 1)
	a.do(func(now rollout.Millis) { result <- read(now) })
	return <-result
}

// runControl owns the control state until the context ends, and then takes
// what is left in the inbox.
func (a *agent) runControl(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.background.Go(func() { a.discardInputs() })
			return nil
		case input := <-a.inbox:
			input(a.clock.Now())
		case <-ticker.C:
			a.pollAll(a.clock.Now())
		}
	}
}

// discardInputs lets threads that still report to the control thread end.
func (a *agent) discardInputs() {
	for {
		select {
		case input := <-a.inbox:
			input(a.clock.Now())
		case <-time.After(drainPoll):
			return
		}
	}
}

// drain gives up all upstreams, waits for their work to end and reports the
// last figures.
func (a *agent) drain(ctx context.Context) {
	a.log.Info("DrainBegun")
	a.do(func(rollout.Millis) {
		a.stopping = true
		for _, l := range a.locals {
			l.leaving = true
		}
		a.publish()
	})
	a.renewer.Wake()
	for a.runningTotal() > 0 {
		time.Sleep(drainPoll)
	}
	a.do(func(rollout.Millis) {
		for id, l := range a.locals {
			if l.reported != nil {
				a.gone[id] = true
			}
			delete(a.locals, id)
		}
		a.publish()
	})
	a.lastReport(ctx)
	a.log.Info("DrainEnded")
}

// lastReport waits until the leader has taken what is left to tell.
func (a *agent) lastReport(ctx context.Context) {
	deadline := time.Now().Add(lastReportTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		a.renewer.Wake()
		time.Sleep(drainPoll)
		if ask(a, func(rollout.Millis) bool { return len(a.gone) == 0 && !a.usageChanged() }) {
			return
		}
	}
}

func (a *agent) runningTotal() int {
	a.traffic.Lock()
	defer a.traffic.Unlock()
	return a.gate.Total()
}

// HandleTasks implements daemon.Reporter.
func (a *agent) HandleTasks(t weights.Tasks) { a.do(func(rollout.Millis) { a.takeTasks(t) }) }

// Update implements daemon.Reporter.
func (a *agent) Update(c *catalog.Catalog) {
	a.do(func(rollout.Millis) {
		changed := false
		for id, l := range a.locals {
			u, ok := c.Upstreams[id]
			if !ok || u.Incarnation != a.incarnation {
				l.reported = nil
			}
			if ok && u.Incarnation == a.incarnation && u.Leaving && !l.leaving {
				l.leaving, changed = true, true
				a.log.Info("UpstreamLeaving", zap.String("Upstream", id), zap.String("Reason", "configuration"))
			}
		}
		if changed {
			a.publish()
			a.renewer.Wake()
		}
	})
}

func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
