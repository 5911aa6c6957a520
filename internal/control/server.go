package control

import (
	"context"
	"crypto/subtle"
	"math/rand/v2"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/coltsfootspoke/coltsfootspoke/internal/daemon"
	"github.com/coltsfootspoke/coltsfootspoke/internal/disk"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/peer"
	"github.com/coltsfootspoke/coltsfootspoke/internal/platform"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// transferGracePeriod gives a leadership transfer time to be sent and to become
// known to the other hosts.
const transferGracePeriod = 300 * time.Millisecond

// Listeners are the open listeners of a control host.
type Listeners struct {
	Peers net.Listener
	Admin net.Listener
}

// server implements the Control service for daemons, operators and other control
// hosts.
type server struct {
	wire.DRPCControlUnimplementedServer
	loop *eventLoop
}

// Run runs a control host until the context ends.
func Run(ctx context.Context, cfg settings.Control, ls Listeners, clk rollout.Clock, log *zap.Logger) error {
	store, saved, err := disk.Open(cfg.DataDir)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	if store.TruncatedBytes > 0 {
		log.Warn("TornRecordTruncated", zap.Int64("Bytes", store.TruncatedBytes))
	}
	dialer := link.NewDialer(cfg.Secret)
	defer func() { _ = dialer.Close() }()
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	shutdownRequested := ctx.Done()
	group, ctx := errgroup.WithContext(serveCtx)
	l, err := newEventLoop(ctx, cfg, store, saved, dialer, clk, log)
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, &server{loop: l}); err != nil {
		return err
	}
	group.Go(func() error { return l.run(ctx) })
	group.Go(func() error { return link.NewServer(ls.Peers, cfg.Secret, mux, log).Serve(ctx) })
	group.Go(func() error {
		return daemon.ServeAdmin(ctx, ls.Admin, l.metrics.registry, l.ready.Load, cfg.Intake(log, l.metrics.registry))
	})
	group.Go(func() error { return l.bootstrapQuorum(ctx, dialer) })
	if cfg.PlatformURL != "" {
		group.Go(func() error { return l.runPlatformClient(ctx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-shutdownRequested:
			l.prepareShutdown(ctx)
			stop()
		}
		return nil
	})
	log.Info("Started", zap.String("Member", string(store.Member())), zap.String("Address", cfg.Address))
	err = group.Wait()
	log.Info("Stopped", zap.Error(err))
	return err
}

// prepareShutdown transfers leadership to another host before this process ends.
// It first stops new platform calls and waits until those in flight have finished
// or timed out.
func (l *eventLoop) prepareShutdown(ctx context.Context) {
	callsInFlight := runOnLoop(ctx, l, func() bool {
		l.shuttingDown = true
		l.leaseUntil.Store(0)
		return len(l.jobsInFlight) > 0
	})
	if callsInFlight {
		time.Sleep(platform.TimeoutMS * time.Millisecond)
	}
	transferred := runOnLoop(ctx, l, func() bool { return l.node.TransferLeadership(l.clock.Now()) })
	l.log.Info("ShutdownStarted", zap.Bool("LeadHandedOver", transferred))
	if transferred {
		time.Sleep(transferGracePeriod)
	}
}

func newEventLoop(
	ctx context.Context, cfg settings.Control, store *disk.Store, saved quorum.SavedState,
	dialer *link.Dialer, clk rollout.Clock, log *zap.Logger,
) (*eventLoop, error) {
	l := &eventLoop{
		cfg: cfg, log: log, clock: clk, store: store,
		state:          ledger.New(),
		peers:          peer.New(ctx, dialer, cfg.Address),
		inputs:         make(chan func(rollout.Millis), inputQueueSize),
		waiters:        make(map[uint64][]waiter),
		joinCandidates: make(map[quorum.MemberID]joinCandidate),
		metrics:        newMetrics(),
	}
	if cfg.PlatformURL != "" {
		l.platformJobs = make(chan platformJob, platformQueueSize)
	}
	return l, l.startNode(saved)
}

// startNode restores the replicated state and the quorum node from saved state.
func (l *eventLoop) startNode(saved quorum.SavedState) error {
	if saved.Snapshot != nil {
		state, err := ledger.Restore(saved.Snapshot.Data)
		if err != nil {
			return err
		}
		l.state = state
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l.node = quorum.New(quorum.DefaultConfig(l.store.Member()), saved, l.clock.Now(), random)
	l.peers.SetAddresses(l.node.Members())
	return nil
}

// hasEmptyLog reports whether the log of this member has no entries.
func (l *eventLoop) hasEmptyLog() bool { return l.node.LastIndex() == 0 }

// bootstrapQuorum creates a new quorum if the logs of all configured hosts are empty
// and this host has the lowest address. Otherwise it calls Hello on the other hosts
// until the local log has entries.
func (l *eventLoop) bootstrapQuorum(ctx context.Context, dialer *link.Dialer) error {
	b := &bootstrapper{cfg: l.cfg, member: l.store.Member(), dialer: dialer, log: l.log}
	hasEmptyLog := func() bool { return runOnLoop(ctx, l, l.hasEmptyLog) }
	members, create := b.run(ctx, hasEmptyLog)
	if !create {
		return nil
	}
	result := make(chan error, 1)
	l.deliver(ctx, func(rollout.Millis) {
		if !l.hasEmptyLog() {
			result <- nil
			return
		}
		saved, err := saveBootstrapState(l.store, members)
		if err == nil {
			err = l.startNode(saved)
			l.log.Info("QuorumBootstrapped", zap.Int("Voters", len(members.Voters)))
		}
		result <- err
	})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return nil
	}
}

func (l *eventLoop) runPlatformClient(ctx context.Context) error {
	leased := platform.NewLeased(platform.NewHTTPClient(l.cfg.PlatformURL), l.clock, func() rollout.Millis {
		return rollout.Millis(l.leaseUntil.Load())
	})
	processPlatformJobs(ctx, leased, l.platformJobs, func(job platformJob, err error) {
		l.deliver(ctx, func(rollout.Millis) { l.handlePlatformResult(job, err) })
	})
	return nil
}

// runOnLoop runs a function on the event loop and returns its value, or the zero
// value if the context ends first.
func runOnLoop[V any](ctx context.Context, l *eventLoop, fn func() V) V {
	result := make(chan V, 1)
	select {
	case l.inputs <- func(rollout.Millis) { result <- fn() }:
	case <-ctx.Done():
	}
	select {
	case v := <-result:
		return v
	case <-ctx.Done():
		var zero V
		return zero
	}
}

// callResult is the result of a call on the event loop.
type callResult[V any] struct {
	value V
	err   error
}

// call runs a function on the event loop and waits for the result that it passes to
// done, now or in a later iteration.
func call[V any](ctx context.Context, l *eventLoop, run func(now rollout.Millis, done func(V, error))) (V, error) {
	result := make(chan callResult[V], 1)
	queued := l.enqueue(func(now rollout.Millis) {
		run(now, func(v V, err error) { result <- callResult[V]{v, err} })
	})
	var zero V
	if !queued {
		return zero, rollout.NewError(rollout.KindOverloaded, "input queue of control host %s is full", l.cfg.Name).WithNotRun()
	}
	select {
	case a := <-result:
		return a.value, a.err
	case <-ctx.Done():
		return zero, rollout.NewError(rollout.KindUnavailable, "request cancelled before its result was ready")
	}
}

// Deliver receives quorum messages from other members.
func (s *server) Deliver(_ context.Context, req *wire.PeerMessages) (*wire.Empty, error) {
	ms := make([]quorum.Message, 0, len(req.Messages))
	for _, w := range req.Messages {
		m, err := peer.FromWire(w)
		if err != nil {
			return nil, rollout.NewError(rollout.KindInvalidInput, "malformed quorum message from %s", req.Address).WithCause(err)
		}
		s.loop.peers.SetAddress(m.From, req.Address)
		ms = append(ms, m)
	}
	s.loop.enqueue(func(now rollout.Millis) {
		if s.loop.unsavedOutput != nil {
			return
		}
		for _, m := range ms {
			s.loop.node.Step(now, m)
		}
	})
	return &wire.Empty{}, nil
}

// Execute runs an operator's statement.
func (s *server) Execute(ctx context.Context, req *wire.ExecuteRequest) (*wire.ExecuteReply, error) {
	digest := catalog.Digest(req.OperatorKey)
	if subtle.ConstantTimeCompare([]byte(digest), []byte(s.loop.cfg.OperatorKeyDigest)) != 1 {
		return nil, rollout.NewError(rollout.KindUnauthenticated, "unknown operator key")
	}
	return call(ctx, s.loop, func(now rollout.Millis, done func(*wire.ExecuteReply, error)) {
		s.loop.execute(now, req, done)
	})
}

// Hello tells another control host whether the log of this host is empty. The
// leader records a caller with an empty log as a join candidate.
func (s *server) Hello(ctx context.Context, req *wire.HelloRequest) (*wire.HelloReply, error) {
	l := s.loop
	l.peers.SetAddress(quorum.MemberID(req.Member), req.Address)
	return call(ctx, l, func(now rollout.Millis, done func(*wire.HelloReply, error)) {
		if l.leading && req.Blank {
			l.recordJoinCandidate(now, quorum.MemberID(req.Member), req.Address)
		}
		done(&wire.HelloReply{Member: string(l.store.Member()), Blank: l.hasEmptyLog()}, nil)
	})
}

// Propose commits commands from a daemon and returns their results.
func (s *server) Propose(ctx context.Context, req *wire.ProposeRequest) (*wire.ProposeReply, error) {
	cmds, err := decodeCommands(req.Commands)
	if err != nil {
		return nil, err
	}
	return call(ctx, s.loop, func(now rollout.Millis, done func(*wire.ProposeReply, error)) {
		s.loop.proposeForDaemon(now, cmds, done)
	})
}

// Renew renews the lease of a daemon.
func (s *server) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewReply, error) {
	return call(ctx, s.loop, func(now rollout.Millis, done func(*wire.RenewReply, error)) {
		s.loop.renew(now, req, done)
	})
}
