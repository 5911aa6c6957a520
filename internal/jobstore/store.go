// Package jobstore runs a host that stores batch jobs. The leader of its
// quorum also runs their items on the engines.
package jobstore

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/internal/replica"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/authority"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

const (
	// compactBytes bounds the log, which is also held in memory; the smallest
	// store host has 144 MB of it.
	compactBytes = 12 << 20
	// handOverTimeout bounds the last write of a leaving leader.
	handOverTimeout = 400 * time.Millisecond
)

// Options set a store host up.
type Options struct {
	Host          string
	Dir           string
	Address       string
	FailureDomain string
	// Controls returns addresses of control hosts. They may change.
	Controls func() []string
	// Losses is the number of hosts that may be lost at once.
	Losses int
	// KeepMS is how long a job is kept after its submission.
	KeepMS rollout.Millis
	// HolderGapMS is the least time between two orders of one leader with
	// another leader between them.
	HolderGapMS rollout.Millis
	Upstreams   rollout.Upstreams
	Secret      string
	Log         *zap.Logger
	Registry    *prometheus.Registry
}

// Store is a store host.
type Store struct {
	opts     Options
	clock    rollout.Clock
	dialer   *link.Dialer
	client   *fabric.Client
	replica  *replica.Replica
	watcher  *view.Watcher
	balancer *balance.Balancer
	packer   *pack.Packer
	metrics  *metrics

	mu sync.Mutex
	// book is guarded by mu.
	book *job.StateMachine
	// changed is closed and replaced at each change of the book.
	changed chan struct{}
	// settled are the members that were last known to be committed.
	settled quorum.Members
	// runner is not nil while the host leads.
	runner *runner
	// orders tells when this host may give orders to engines.
	orders authority.Cooldown
}

// New opens a store host.
func New(ctx context.Context, opts Options) (*Store, error) {
	s := &Store{
		opts: opts, clock: clock.Boottime{}, dialer: link.NewDialer(opts.Secret),
		book: job.NewStateMachine(), changed: make(chan struct{}), packer: pack.New(),
		metrics: newMetrics(opts.Registry),
	}
	s.orders = authority.NewCooldown(s.clock.Now(), opts.HolderGapMS)
	s.client = fabric.NewClient(s.dialer)
	s.balancer = balance.New(opts.Upstreams, s.clock, opts.FailureDomain, opts.Log)
	var err error
	s.replica, err = replica.Open(ctx, replica.Options{
		Dir: opts.Dir, Address: opts.Address, FailureDomain: opts.FailureDomain,
		TargetVoters: 2*opts.Losses + 1, CompactBytes: compactBytes, Clock: s.clock,
		Dialer: s.dialer, Client: s.client, Log: opts.Log, Registry: opts.Registry, RunAsLeader: s.onLead,
	}, machine{s})
	if err != nil {
		return nil, err
	}
	s.watcher = view.NewWatcher(view.Options{
		Host: opts.Host, Role: view.RoleStore, Address: opts.Address, FailureDomain: opts.FailureDomain,
		Seeds: opts.Controls, Client: s.client, Log: opts.Log, Store: s.status, OnChange: s.follow,
	})
	return s, nil
}

// Serve answers other daemons and runs items while this host leads, until the
// context ends. Then it gives the lead away.
func (s *Store) Serve(ctx context.Context, listener net.Listener) error {
	return s.replica.Serve(ctx, replica.Service{
		Listener: listener, Secret: s.opts.Secret, Register: s.register,
		KnownHosts: s.peers, Background: s.watcher.Run, BeforeTransfer: s.handOver,
	})
}

// follow takes what control has decided.
func (s *Store) follow(c view.Copy) {
	self := s.replica.Status()
	// The log of control names the founders once. A blank host with the ID of
	// one has not lost a disk, only the time of the founding.
	if self.Blank() {
		for _, m := range c.Facts.Founders {
			if m.ID == self.Member {
				s.replica.Bootstrap(quorum.Members{Voters: c.Facts.Founders})
			}
		}
	}
	retiring := make(map[string]bool)
	for _, address := range c.Facts.Retiring {
		retiring[address] = true
	}
	s.replica.SetRetiring(retiring)
	s.balancer.Sync(c.Upstreams)
	s.mu.Lock()
	r := s.runner
	s.mu.Unlock()
	if r != nil {
		r.sync(c)
	}
}

// handOver keeps what this host has generated, so that the next leader goes on
// from there.
func (s *Store) handOver(ctx context.Context) {
	s.mu.Lock()
	r := s.runner
	s.mu.Unlock()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	r.keepAll(ctx)
}

// peers returns the addresses of hosts that may know the leader.
func (s *Store) peers() []string {
	f := s.watcher.Copy().Facts
	if f.StoreLeader != "" {
		return []string{f.StoreLeader}
	}
	return f.Stores
}

// status is what control is told.
func (s *Store) status() *view.StoreStatus {
	st := s.replica.Status()
	_, leads := s.replica.Leading(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.MembersCommitted {
		s.settled = st.Members
	}
	return &view.StoreStatus{
		Member: st.Member, Blank: st.Blank(), Leading: leads, Term: st.Term,
		Members: s.settled, Settled: st.MembersCommitted, FactsRevision: s.watcher.Copy().FactsRevision,
	}
}

// onLead runs items until the lead ends.
func (s *Store) onLead(ctx context.Context, term uint64) {
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

// propose commits a command. The result is an error of the command itself.
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

// machine applies the log to the book.
type machine struct{ s *Store }

// Apply implements replica.StateMachine.
func (m machine) Apply(_ uint64, command []byte) any {
	var c job.Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		m.s.opts.Log.Error("CommandUnreadable", zap.Error(err))
		return nil
	}
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	err := m.s.book.Apply(c)
	close(m.s.changed)
	m.s.changed = make(chan struct{})
	if err != nil {
		return err
	}
	return nil
}

// Freeze implements replica.StateMachine.
func (m machine) Freeze() func(w io.Writer) error {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	return m.s.book.Freeze()
}

// Restore implements replica.StateMachine.
func (m machine) Restore(r io.Reader) error {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	return m.s.book.Restore(r)
}
