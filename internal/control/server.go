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

// leaveGrace lets a transfer of the lead go out and be known.
const leaveGrace = 300 * time.Millisecond

// Listeners are the open ports of a control host.
type Listeners struct {
	Peers net.Listener
	Admin net.Listener
}

// server answers the system's own processes.
type server struct {
	wire.DRPCControlUnimplementedServer
	thread *thread
}

// Run runs a control host until the context ends.
func Run(ctx context.Context, cfg settings.Control, ls Listeners, clk rollout.Clock, log *zap.Logger) error {
	store, saved, err := disk.Open(cfg.DataDir)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	if store.TruncatedBytes > 0 {
		log.Warn("TornRecordCut", zap.Int64("Bytes", store.TruncatedBytes))
	}
	dialer := link.NewDialer(cfg.Secret)
	defer func() { _ = dialer.Close() }()
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	signalled := ctx.Done()
	group, ctx := errgroup.WithContext(serving)
	t, err := newThread(ctx, cfg, store, saved, dialer, clk, log)
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, &server{thread: t}); err != nil {
		return err
	}
	group.Go(func() error { return t.run(ctx) })
	group.Go(func() error { return link.NewServer(ls.Peers, cfg.Secret, mux, log).Serve(ctx) })
	group.Go(func() error {
		return daemon.ServeAdmin(ctx, ls.Admin, t.metrics.registry, t.ready.Load)
	})
	group.Go(func() error { return t.greet(ctx, dialer) })
	if cfg.PlatformURL != "" {
		group.Go(func() error { return t.servePlatform(ctx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-signalled:
			t.leave(ctx)
			stop()
		}
		return nil
	})
	log.Info("Started", zap.String("Member", string(store.Member())), zap.String("Address", cfg.Address))
	err = group.Wait()
	log.Info("Stopped", zap.Error(err))
	return err
}

// leave gives the lead to another host before the own process ends. Calls of
// the platform that are under way end first; no other begins.
func (t *thread) leave(ctx context.Context) {
	busy := ask(ctx, t, func() bool {
		t.leaving = true
		t.leaseUntil.Store(0)
		return len(t.inFlight) > 0
	})
	if busy {
		time.Sleep(platform.TimeoutMS * time.Millisecond)
	}
	handed := ask(ctx, t, func() bool { return t.node.TransferLeadership(t.clock.Now()) })
	t.log.Info("Leaving", zap.Bool("LeadHandedOver", handed))
	if handed {
		time.Sleep(leaveGrace)
	}
}

func newThread(
	ctx context.Context, cfg settings.Control, store *disk.Store, saved quorum.SavedState,
	dialer *link.Dialer, clk rollout.Clock, log *zap.Logger,
) (*thread, error) {
	t := &thread{
		cfg: cfg, log: log, clock: clk, store: store,
		state:   ledger.New(),
		peers:   peer.New(ctx, dialer, cfg.Address),
		inbox:   make(chan func(rollout.Millis), inboxLength),
		waiters: make(map[uint64][]waiter),
		joiners: make(map[quorum.MemberID]joiner),
		metrics: newMetrics(),
	}
	if cfg.PlatformURL != "" {
		t.jobs = make(chan platformJob, jobsLength)
	}
	return t, t.start(saved)
}

// start builds the node from its saved state.
func (t *thread) start(saved quorum.SavedState) error {
	if saved.Snapshot != nil {
		state, err := ledger.Restore(saved.Snapshot.Data)
		if err != nil {
			return err
		}
		t.state = state
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	t.node = quorum.New(quorum.DefaultConfig(t.store.Member()), saved, t.clock.Now(), random)
	t.peers.LearnAll(t.node.Members())
	return nil
}

// blank tells whether the member has no log.
func (t *thread) blank() bool { return t.node.LastIndex() == 0 }

// greet begins a new quorum when all configured hosts are blank, and keeps
// saying hello until the own host is a member.
func (t *thread) greet(ctx context.Context, dialer *link.Dialer) error {
	g := &greeter{cfg: t.cfg, member: t.store.Member(), dialer: dialer, log: t.log}
	blank := func() bool { return ask(ctx, t, t.blank) }
	members, first := g.run(ctx, blank)
	if !first {
		return nil
	}
	result := make(chan error, 1)
	t.do(func(rollout.Millis) {
		if !t.blank() {
			result <- nil
			return
		}
		saved, err := bootstrap(t.store, members)
		if err == nil {
			err = t.start(saved)
			t.log.Info("QuorumBegun", zap.Int("Voters", len(members.Voters)))
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

func (t *thread) servePlatform(ctx context.Context) error {
	leased := platform.NewLeased(platform.NewHTTP(t.cfg.PlatformURL), t.clock, func() rollout.Millis {
		return rollout.Millis(t.leaseUntil.Load())
	})
	runPlatform(ctx, leased, t.jobs, func(job platformJob, err error) {
		t.do(func(rollout.Millis) { t.jobDone(job, err) })
	})
	return nil
}

// ask reads a value on the control thread. It returns the zero value when the
// context ends.
func ask[V any](ctx context.Context, t *thread, read func() V) V {
	result := make(chan V, 1)
	select {
	case t.inbox <- func(rollout.Millis) { result <- read() }:
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

// answer is the result of a call on the control thread.
type answer[V any] struct {
	value V
	err   error
}

// call runs a call on the control thread and waits for its answer.
func call[V any](ctx context.Context, t *thread, run func(now rollout.Millis, done func(V, error))) (V, error) {
	result := make(chan answer[V], 1)
	queued := t.do(func(now rollout.Millis) {
		run(now, func(v V, err error) { result <- answer[V]{v, err} })
	})
	var zero V
	if !queued {
		return zero, rollout.NewError(rollout.KindOverloaded, "control host %s has too many calls", t.cfg.Name).WithNotRun()
	}
	select {
	case a := <-result:
		return a.value, a.err
	case <-ctx.Done():
		return zero, rollout.NewError(rollout.KindUnavailable, "the caller went away")
	}
}

// Deliver takes messages of other members.
func (s *server) Deliver(_ context.Context, req *wire.PeerMessages) (*wire.Empty, error) {
	ms := make([]quorum.Message, 0, len(req.Messages))
	for _, w := range req.Messages {
		m, err := peer.FromWire(w)
		if err != nil {
			return nil, rollout.NewError(rollout.KindInvalidInput, "peer message").WithCause(err)
		}
		s.thread.peers.Learn(m.From, req.Address)
		ms = append(ms, m)
	}
	s.thread.do(func(now rollout.Millis) {
		if s.thread.unsaved != nil {
			return
		}
		for _, m := range ms {
			s.thread.node.Step(now, m)
		}
	})
	return &wire.Empty{}, nil
}

// Execute runs a statement of an operator.
func (s *server) Execute(ctx context.Context, req *wire.ExecuteRequest) (*wire.ExecuteReply, error) {
	got := catalog.Digest(req.OperatorKey)
	if subtle.ConstantTimeCompare([]byte(got), []byte(s.thread.cfg.OperatorKeyDigest)) != 1 {
		return nil, rollout.NewError(rollout.KindUnauthenticated, "operator key is not known")
	}
	return call(ctx, s.thread, func(now rollout.Millis, done func(*wire.ExecuteReply, error)) {
		s.thread.execute(now, req, done)
	})
}

// Hello answers a control host whose data folder is blank.
func (s *server) Hello(ctx context.Context, req *wire.HelloRequest) (*wire.HelloReply, error) {
	t := s.thread
	t.peers.Learn(quorum.MemberID(req.Member), req.Address)
	return call(ctx, t, func(now rollout.Millis, done func(*wire.HelloReply, error)) {
		if t.leading && req.Blank {
			t.noteJoiner(now, quorum.MemberID(req.Member), req.Address)
		}
		done(&wire.HelloReply{Member: string(t.store.Member()), Blank: t.blank()}, nil)
	})
}

// Propose commits commands of a daemon.
func (s *server) Propose(ctx context.Context, req *wire.ProposeRequest) (*wire.ProposeReply, error) {
	cmds, err := decodeCommands(req.Commands)
	if err != nil {
		return nil, err
	}
	return call(ctx, s.thread, func(now rollout.Millis, done func(*wire.ProposeReply, error)) {
		s.thread.proposeForDaemon(now, cmds, done)
	})
}

// Renew confirms a daemon.
func (s *server) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewReply, error) {
	return call(ctx, s.thread, func(now rollout.Millis, done func(*wire.RenewReply, error)) {
		s.thread.renew(now, req, done)
	})
}
