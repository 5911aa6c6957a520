// Package replica runs one member of a quorum over a state machine: it
// persists, sends and applies what the quorum core asks for, and keeps the
// members whole.
package replica

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/internal/peer"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/roster"
)

const (
	// heartbeatMS, electionMS and leaseMS suit failure domains a few
	// milliseconds apart; a lost leader is replaced within two seconds.
	heartbeatMS = 120
	electionMS  = 650
	leaseMS     = 540
	// tickInterval is half a heartbeat.
	tickInterval = 60 * time.Millisecond
	// rosterIntervalMS is the time between looks at the members.
	rosterIntervalMS = 150
	// waiterTimeoutMS is how long a proposal may stay without a result.
	waiterTimeoutMS = 3_000
	inboxLength     = 4_096
	// applySlice bounds the time that is spent on applying before heartbeats
	// and messages are looked at again.
	applySlice     = 20 * time.Millisecond
	inputsPerBatch = 512
	maxAppendBytes = 1 << 20
)

// StateMachine is the replicated state. Its methods are called by one thread.
type StateMachine interface {
	// Apply carries a command out and returns its result.
	Apply(index uint64, command []byte) any
	// Freeze returns a function that writes the present state. Another thread
	// calls it while the state changes on.
	Freeze() func(w io.Writer) error
	// Restore replaces the state by one that was written.
	Restore(r io.Reader) error
}

// Options set a replica up.
type Options struct {
	// Dir is the data folder. Empty on a host without a disk, whose replica
	// only listens.
	Dir     string
	Address string
	// FailureDomain is where the host stands.
	FailureDomain string
	// TargetVoters is the number of voters to reach.
	TargetVoters int
	// CompactBytes is the size of the log at which it is replaced by a
	// snapshot.
	CompactBytes int
	Clock        rollout.Clock
	Dialer       *link.Dialer
	Client       *fabric.Client
	Log          *zap.Logger
	Registry     *prometheus.Registry
	// RunAsLeader runs while the replica leads. Its context ends with the lease.
	RunAsLeader func(ctx context.Context, term uint64)
}

// Status is what other threads may know. It is immutable.
type Status struct {
	Member  quorum.MemberID
	Members quorum.Members
	// MembersCommitted is true when Members is committed.
	MembersCommitted bool
	// Leader is the known leader. Its Address is empty when there is none.
	Leader quorum.Member
	Term   uint64
}

// Blank tells whether the member knows of no quorum.
func (s Status) Blank() bool { return len(s.Members.Voters) == 0 }

type waiter struct {
	term  uint64
	since rollout.Millis
	done  []func(any, error)
}

type proposal struct {
	command []byte
	done    func(any, error)
}

// Replica is one member.
type Replica struct {
	opts    Options
	machine StateMachine
	store   storage
	node    *quorum.Node
	peers   *peer.Sender
	packer  *pack.Packer
	metrics *metrics
	inbox   chan func(now rollout.Millis)

	pending []proposal
	waiters map[uint64]waiter
	unsaved *quorum.Output
	// freezing is true while a snapshot is being written.
	freezing bool
	// fetching is true while a snapshot of another member is being fetched.
	fetching bool
	ctx      context.Context
	// backlog holds committed entries that are not yet applied.
	backlog  []quorum.Entry
	logBytes int
	// servedAt is when another member last fetched a piece of the snapshot.
	servedAt atomic.Int64
	// compactAt is the size of the log at which this replica begins a
	// snapshot. Replicas differ, so that they do not all write at once.
	compactAt int

	candidates map[quorum.MemberID]roster.Candidate
	retiring   map[string]bool
	rosterAt   rollout.Millis
	// leave asks for the lead to be given away.
	leave chan struct{}

	group      *errgroup.Group
	leadTerm   uint64
	leadCancel context.CancelFunc

	status     atomic.Pointer[Status]
	leaseUntil atomic.Int64
	// heardAt is when the leader was last heard, or 0.
	heardAt atomic.Int64
}

// Open opens the data folder of a replica.
func Open(ctx context.Context, opts Options, machine StateMachine) (*Replica, error) {
	store, saved, err := openStorage(opts.Dir)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		opts: opts, machine: machine, store: store, packer: pack.New(),
		metrics:    newMetrics(opts.Registry),
		inbox:      make(chan func(rollout.Millis), inboxLength),
		waiters:    make(map[uint64]waiter),
		candidates: make(map[quorum.MemberID]roster.Candidate),
		retiring:   make(map[string]bool),
		leave:      make(chan struct{}, 1),
		peers:      peer.New(ctx, opts.Dialer, opts.Address),
		compactAt:  opts.CompactBytes + rand.IntN(opts.CompactBytes/2+1),
	}
	if saved.Snapshot != nil {
		saved.Snapshot.Data = nil
		if err := r.restore(); err != nil {
			return nil, err
		}
	}
	for _, e := range saved.Entries {
		r.logBytes += len(e.Data)
	}
	r.start(saved)
	return r, nil
}

// Deliver takes messages of another member that is reached at an address.
func (r *Replica) Deliver(address string, ms []quorum.Message) {
	r.do(func(now rollout.Millis) {
		for _, m := range ms {
			r.peers.Learn(m.From, address)
			if m.Type == quorum.MessageSnapshot && m.Snapshot != nil && r.lacks(m) {
				r.fetch(address, m)
				continue
			}
			r.node.Step(now, m)
		}
	})
}

// Bootstrap makes a blank replica the member of a new quorum.
func (r *Replica) Bootstrap(members quorum.Members) {
	r.do(func(rollout.Millis) {
		if len(r.node.Members().Voters) > 0 || r.node.LastIndex() > 0 {
			return
		}
		saved := quorum.Bootstrap(members)
		if err := r.store.Append(&saved.HardState, saved.Entries); err != nil {
			r.opts.Log.Error("FoundingRefused", zap.Error(err))
			return
		}
		r.opts.Log.Info("QuorumFounded", zap.Int("Voters", len(members.Voters)))
		r.start(saved)
	})
}

// Join notes a host that wants to be a member.
func (r *Replica) Join(m quorum.Member, failureDomain string) {
	r.do(func(now rollout.Millis) {
		r.candidates[m.ID] = roster.Candidate{Member: m, FailureDomain: failureDomain, SeenMS: now}
		r.peers.Learn(m.ID, m.Address)
	})
}

// Leading returns the term and whether the lease holds for some time more.
func (r *Replica) Leading(spare rollout.Millis) (uint64, bool) {
	until := rollout.Millis(r.leaseUntil.Load())
	return r.Status().Term, until > 0 && r.opts.Clock.Now()+spare < until
}

// UpToDate tells whether the replica leads, or has heard its leader within a
// time and has applied all that was committed then.
func (r *Replica) UpToDate(within rollout.Millis) bool {
	if _, leads := r.Leading(0); leads {
		return true
	}
	heard := rollout.Millis(r.heardAt.Load())
	return heard > 0 && r.opts.Clock.Now()-heard < within
}

// NotLeader returns the error that names the leader.
func (r *Replica) NotLeader() error {
	return rollout.NewError(rollout.KindNotLeader, "leader is %s", r.Status().Leader.Address)
}

// Propose commits a command and returns its result. KindNotLeader and
// KindStorage tell that the command was not taken; after other errors it may
// or may not come into force.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	type outcome struct {
		result any
		err    error
	}
	c := make(chan outcome, 1)
	done := func(result any, err error) { c <- outcome{result, err} }
	if !r.do(func(rollout.Millis) { r.propose(proposal{command, done}) }) {
		return nil, rollout.NewError(rollout.KindOverloaded, "too many commands wait").WithNotRun()
	}
	select {
	case o := <-c:
		return o.result, o.err
	case <-ctx.Done():
		return nil, rollout.NewError(rollout.KindOutcomeUnknown, "the command is not yet committed").WithCause(ctx.Err())
	}
}

// Run owns the replica until the context ends.
func (r *Replica) Run(ctx context.Context) error {
	var leadCtx context.Context
	r.group, leadCtx = errgroup.WithContext(ctx)
	r.ctx = leadCtx
	r.group.Go(func() error { return r.loop(leadCtx) })
	return r.group.Wait()
}

// SetRetiring sets the addresses of hosts that are to hold nothing.
func (r *Replica) SetRetiring(addresses map[string]bool) {
	r.do(func(rollout.Millis) { r.retiring = addresses })
}

// Status returns what is known of the quorum.
func (r *Replica) Status() Status { return *r.status.Load() }

// Transfer gives the lead away, if this replica has it.
func (r *Replica) Transfer() {
	r.do(func(now rollout.Millis) {
		r.leaseUntil.Store(0)
		r.node.TransferLeadership(now)
	})
}

func (r *Replica) do(input func(now rollout.Millis)) bool {
	select {
	case r.inbox <- input:
		return true
	default:
		return false
	}
}

func (r *Replica) start(saved quorum.SavedState) {
	cfg := quorum.Config{
		ID: r.store.Member(), HeartbeatMS: heartbeatMS, ElectionMS: electionMS,
		LeaseMS: leaseMS, MaxAppendBytes: maxAppendBytes,
	}
	r.node = quorum.New(cfg, saved, r.opts.Clock.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	r.peers.LearnAll(r.node.Members())
	r.publish()
}

func (r *Replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.endLead()
	for {
		select {
		case <-ctx.Done():
			return nil
		case input := <-r.inbox:
			r.take(input)
		case <-ticker.C:
		}
		if err := r.turn(ctx); err != nil {
			return err
		}
	}
}

// take runs an input and those that wait behind it, up to one batch.
func (r *Replica) take(input func(now rollout.Millis)) {
	input(r.opts.Clock.Now())
	for range inputsPerBatch {
		select {
		case next := <-r.inbox:
			next(r.opts.Clock.Now())
		default:
			return
		}
	}
}

func (r *Replica) turn(ctx context.Context) error {
	now := r.opts.Clock.Now()
	if r.unsaved == nil {
		r.node.Tick(now)
		r.flush(now)
	}
	if err := r.carryOut(); err != nil {
		return err
	}
	if err := r.applyBacklog(); err != nil {
		return err
	}
	r.observeLead(ctx, now)
	if r.leadCancel != nil && now >= r.rosterAt {
		r.rosterAt = now + rosterIntervalMS
		r.tendRoster(now)
	}
	r.expireWaiters(now)
	return nil
}

// tendRoster makes the next change of members.
func (r *Replica) tendRoster(now rollout.Millis) {
	change, ok := roster.Next(now, roster.View{
		Self: r.node.ID(), Members: r.node.Members(), TargetVoters: r.opts.TargetVoters,
		Candidates: r.candidates, Retiring: r.retiring,
		CaughtUp: r.node.CaughtUp, LastContact: r.node.LastContact,
	})
	if !ok {
		return
	}
	if change.TransferLeadership {
		select {
		case r.leave <- struct{}{}:
			r.opts.Log.Info(change.Reason, zap.String("Member", string(change.Member.ID)), zap.String("Address", change.Member.Address))
		default:
		}
		return
	}
	if err := r.node.ProposeMembers(now, change.Members); err != nil {
		r.opts.Log.Debug("MemberChangeWaits", zap.Error(err))
		return
	}
	r.peers.LearnAll(change.Members)
	r.opts.Log.Info(change.Reason, zap.String("Member", string(change.Member.ID)),
		zap.String("Address", change.Member.Address),
		zap.Int("Voters", len(change.Members.Voters)), zap.Int("Learners", len(change.Members.Learners)))
}

// observeLead starts and ends what runs only at the leader.
func (r *Replica) observeLead(ctx context.Context, now rollout.Millis) {
	until := r.node.LeaseUntil()
	if r.unsaved != nil || (r.leadCancel == nil && len(r.backlog) > 0) {
		until = 0
	}
	r.leaseUntil.Store(int64(until))
	heard := r.node.LastLeaderContact()
	if len(r.backlog) > 0 {
		heard = 0
	}
	r.heardAt.Store(int64(heard))
	r.publish()
	leads := until > now
	r.metrics.term.Set(float64(r.node.Term()))
	r.metrics.leading.Set(0)
	if leads {
		r.metrics.leading.Set(1)
	}
	if r.leadCancel != nil && (!leads || r.leadTerm != r.node.Term()) {
		r.endLead()
	}
	if !leads || r.leadCancel != nil {
		return
	}
	r.leadTerm = r.node.Term()
	r.opts.Log.Info("LeadTaken", zap.Uint64("Term", r.leadTerm), zap.Uint64("Commit", r.node.Commit()))
	leadCtx, cancel := context.WithCancel(ctx)
	r.leadCancel = cancel
	term := r.leadTerm
	r.group.Go(func() error {
		r.opts.RunAsLeader(leadCtx, term)
		return nil
	})
}

func (r *Replica) endLead() {
	if r.leadCancel == nil {
		return
	}
	r.opts.Log.Info("LeadLost", zap.Uint64("Term", r.leadTerm), zap.String("Leader", string(r.node.Leader())))
	r.leadCancel()
	r.leadCancel = nil
}

// publish shows other threads the state of the quorum.
func (r *Replica) publish() {
	s := Status{Member: r.node.ID(), Members: r.node.Members(), MembersCommitted: r.node.MembersCommitted(), Term: r.node.Term()}
	s.Leader, _ = s.Members.Find(r.node.Leader())
	if r.node.IsLeader() && s.Leader.Address == "" {
		s.Leader = quorum.Member{ID: r.node.ID(), Address: r.opts.Address}
	}
	r.status.Store(&s)
}
