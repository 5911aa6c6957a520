// Package jobstore implements the store hosts, which replicate batch jobs. The
// leader of their quorum also runs the items of the jobs on engines.
package jobstore

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/internal/permits"
	"github.com/coltsfootspoke/coltsfootspoke/internal/replica"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/authority"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/residency"
)

const (
	// compactBytes is the log size that triggers compaction. The log is also held
	// in memory, and the smallest store host has 144 MB.
	compactBytes = 12 << 20
	// beforeTransferTimeout limits the last write of a leader that shuts down.
	beforeTransferTimeout = 400 * time.Millisecond
	// leaseLapseMS is how long runs go on after the lease has lapsed while this
	// host still leads the term. New runs, orders and answers need the lease.
	leaseLapseMS rollout.Millis = 1_000
)

// Options configures a Store.
type Options struct {
	Host          string
	Dir           string
	Address       string
	FailureDomain string
	// Regions holds the region of each failure domain of the deployment. It may be empty.
	Regions map[string]string
	// Controls returns the current addresses of the control hosts.
	Controls func() []string
	// MaxLostHosts is the number of simultaneous host failures that the quorum
	// tolerates.
	MaxLostHosts int
	// RetentionMS is how long an ended job is kept, counted from its submission.
	RetentionMS rollout.Millis
	// OrderCooldownMS is the minimum time between two orders of this host under
	// different terms if another host has sent orders in between.
	OrderCooldownMS rollout.Millis
	// MemoryBytes is the memory of the process, of which the items of open jobs may take a part.
	// 0 sets no limit.
	MemoryBytes int64
	// ColdBound bounds the requests that a cold upstream gets.
	ColdBound limit.ColdBound
	Upstreams rollout.UpstreamClient
	Secret    string
	Log       *zap.Logger
	Registry  *prometheus.Registry
}

// Store is a member of the job store quorum.
type Store struct {
	opts     Options
	clock    rollout.Clock
	dialer   *link.Dialer
	client   *fabric.Client
	replica  *replica.Replica
	watcher  *view.Watcher
	balancer *balance.Balancer
	packer   *pack.Packer
	regions  residency.Map
	metrics  *metrics

	// view is the view that was applied last, or nil. A new runner starts with it.
	view atomic.Pointer[view.State]
	// leadingSinceMS is when this host became the leader of the job store, or 0.
	leadingSinceMS atomic.Int64
	// confirmCopy returns an error unless control has confirmed the view within a time.
	confirmCopy func(ctx context.Context, maxAge rollout.Millis) error

	mu sync.Mutex
	// state and the fields below are guarded by mu.
	state *job.StateMachine
	// changed is closed and replaced whenever a command is applied to state.
	changed chan struct{}
	// committedMembers is the last membership that was known to be committed.
	committedMembers quorum.Members
	// runner is nil unless this host leads.
	runner *runner
	// orderCooldown limits the weight orders of this host.
	orderCooldown authority.Cooldown
	// submitting holds the jobs that are being submitted, by ID.
	submitting map[string]submission
	// claim is the memory that is kept free for a job that was refused.
	claim memoryClaim
}

// New opens the data directory of a store host.
func New(ctx context.Context, opts Options) (*Store, error) {
	s := &Store{
		opts: opts, clock: clock.Boottime{}, dialer: link.NewDialer(opts.Secret),
		state: job.NewStateMachine(), changed: make(chan struct{}), packer: pack.New(), regions: residency.NewMap(opts.Regions),
		metrics: newMetrics(opts.Registry),
	}
	s.orderCooldown = authority.NewCooldown(s.clock.Now(), opts.OrderCooldownMS)
	s.client = fabric.NewClient(s.dialer)
	s.balancer = balance.New(opts.Upstreams, s.clock, opts.FailureDomain, opts.Log)
	s.balancer.RegisterMetrics(opts.Registry)
	var err error
	s.replica, err = replica.Open(ctx, replica.Options{
		Dir: opts.Dir, Address: opts.Address, FailureDomain: opts.FailureDomain,
		TargetVoters: 2*opts.MaxLostHosts + 1, CompactBytes: compactBytes, Clock: s.clock,
		Dialer: s.dialer, Client: s.client, Log: opts.Log, Registry: opts.Registry,
		RunAsLeader: s.runAsLeader, LapseMS: leaseLapseMS,
	}, stateMachine{s})
	if err != nil {
		return nil, err
	}
	s.watcher = view.NewWatcher(view.Options{
		Host: opts.Host, Role: view.RoleStore, Address: opts.Address, FailureDomain: opts.FailureDomain,
		Seeds: opts.Controls, Client: s.client, Clock: s.clock, Log: opts.Log, Registry: opts.Registry, Store: s.status, Leaving: s.balancer.Leaving().Report, OnChange: s.applyView,
	})
	s.confirmCopy = s.watcher.Confirm
	s.balancer.Limits().Follow(s.contact)
	return s, nil
}

// contact returns the last contact with control. Only the leader of the job store has a share
// without it, and no sooner than control may have heard of the former leader last.
func (s *Store) contact() limit.Contact {
	c := limit.Contact{ConfirmedMS: s.watcher.State().ConfirmedMS}
	since := rollout.Millis(s.leadingSinceMS.Load())
	if _, leads := s.replica.Leading(0); leads && since > 0 && s.clock.Now()-since > limit.OwnShareAfterMS {
		c.Share = limit.Share{Hosts: 1, ClockMS: c.ConfirmedMS}
	}
	return c
}

// Serve handles calls and, while this host leads, runs items until the context
// ends. It then transfers the leadership to another member.
func (s *Store) Serve(ctx context.Context, listener net.Listener) error {
	return s.replica.Serve(ctx, replica.Service{
		Listener: listener, Secret: s.opts.Secret, Register: s.register,
		KnownHosts: s.knownHosts, Background: s.runBackground, BeforeTransfer: s.beforeTransfer,
	})
}

// runBackground follows control and asks it for permits.
func (s *Store) runBackground(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watcher.Run(ctx) })
	group.Go(func() error {
		return permits.New(permits.Options{
			Host: s.opts.Host + "/store", Gate: s.balancer.Limits(), Clock: s.clock, Client: s.client, Leader: s.watcher.Leader, Log: s.opts.Log,
		}).Run(ctx)
	})
	return group.Wait()
}

// applyView applies the view that control distributes.
func (s *Store) applyView(v view.State) {
	self := s.replica.Status()
	// Control records the founders once, in its log. A blank host whose member ID
	// is among them has not lost its disk; it only missed the founding.
	if self.Blank() {
		for _, m := range v.Facts.Founders {
			if m.ID == self.Member {
				s.replica.Bootstrap(quorum.Members{Voters: v.Facts.Founders})
			}
		}
	}
	retiring := make(map[string]bool)
	for _, address := range v.Facts.Retiring {
		retiring[address] = true
	}
	s.replica.SetRetiring(retiring)
	if v.Index != nil {
		s.balancer.Limits().SetShareRates(s.opts.ColdBound.ShareRates(v.Index.Document.Pools))
	}
	s.balancer.Sync(discovery.WithEvacuated(v.Upstreams, v.Facts.Evacuated))
	s.view.Store(&v)
	s.mu.Lock()
	r := s.runner
	s.mu.Unlock()
	if r != nil {
		r.syncView()
	}
}

// beforeTransfer stores the text generated so far, so that the next leader can
// resume from it.
func (s *Store) beforeTransfer(ctx context.Context) {
	s.mu.Lock()
	r := s.runner
	s.mu.Unlock()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, beforeTransferTimeout)
	defer cancel()
	r.saveAllTexts(ctx)
}

// knownHosts returns the addresses of hosts that may know the leader.
func (s *Store) knownHosts() []string {
	f := s.watcher.State().Facts
	if f.StoreLeader != "" {
		return []string{f.StoreLeader}
	}
	return f.Stores
}

// status returns the status that this host reports to control.
func (s *Store) status() *view.StoreStatus {
	st := s.replica.Status()
	_, leads := s.replica.Leading(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.MembersCommitted {
		s.committedMembers = st.Members
	}
	return &view.StoreStatus{
		Member: st.Member, Blank: st.Blank(), Leading: leads, Term: st.Term,
		Members: s.committedMembers, Settled: st.MembersCommitted, FactsRevision: s.watcher.State().FactsRevision,
	}
}

// runAsLeader runs items until the context ends with the lease of this term.
func (s *Store) runAsLeader(ctx context.Context, term uint64) {
	s.leadingSinceMS.Store(int64(s.clock.Now()))
	defer s.leadingSinceMS.Store(0)
	r := newRunner(s, term)
	s.mu.Lock()
	s.runner = r
	s.mu.Unlock()
	r.run(ctx)
	s.mu.Lock()
	if s.runner == r {
		s.runner = nil
	}
	s.mu.Unlock()
}

// propose commits a command. It returns an error if the commit fails or the
// state machine refuses the command.
func (s *Store) propose(ctx context.Context, c job.Command) error {
	data, err := cbor.Marshal(c)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode command").WithCause(err)
	}
	result, err := s.replica.Propose(ctx, data)
	if err != nil {
		return err
	}
	if refused, ok := result.(error); ok {
		return refused
	}
	return nil
}

// stateMachine applies committed commands to the state of a Store.
type stateMachine struct{ store *Store }

// Apply implements replica.StateMachine.
func (m stateMachine) Apply(_ uint64, command []byte) any {
	var c job.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		m.store.opts.Log.Error("CommandDecodeFailed", zap.Error(err))
		return nil
	}
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	err := m.store.state.Apply(c)
	close(m.store.changed)
	m.store.changed = make(chan struct{})
	if err != nil {
		return err
	}
	return nil
}

// Freeze implements replica.StateMachine.
func (m stateMachine) Freeze() func(w io.Writer) error {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	return m.store.state.Freeze()
}

// Restore implements replica.StateMachine.
func (m stateMachine) Restore(r io.Reader) error {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	return m.store.state.Restore(r)
}
