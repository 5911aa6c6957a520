// Package replica runs one member of a quorum that replicates a state machine.
// It persists, sends and applies the output of the quorum package, stores and
// fetches snapshots, and changes the membership to keep the target number of
// voters.
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
	// heartbeatMS, electionMS and leaseMS are for failure domains with a latency
	// of a few milliseconds; a lost leader is replaced within two seconds.
	heartbeatMS = 120
	electionMS  = 650
	leaseMS     = 540
	// tickInterval is half a heartbeat.
	tickInterval = 60 * time.Millisecond
	// rosterIntervalMS is the time between checks of the membership.
	rosterIntervalMS = 150
	// proposalTimeoutMS is how long a proposal may wait for its result.
	proposalTimeoutMS  = 3_000
	inputQueueCapacity = 4_096
	// maxApplyTime bounds the time spent on applying entries before heartbeats
	// and messages are processed again.
	maxApplyTime          = 20 * time.Millisecond
	maxInputsPerIteration = 512
	maxAppendBytes        = 1 << 20
)

// StateMachine is the replicated state. Its methods are called from one
// goroutine at a time.
type StateMachine interface {
	// Apply executes a command and returns its result.
	Apply(index uint64, command []byte) any
	// Freeze returns a function that writes the state at the time of the call.
	// Another goroutine calls the function while further commands are applied.
	Freeze() func(w io.Writer) error
	// Restore replaces the state with one written by a function that Freeze
	// returned.
	Restore(r io.Reader) error
}

// Options configures a replica.
type Options struct {
	// Dir is the data directory. It is empty on a host without a disk, whose
	// replica never becomes a member.
	Dir     string
	Address string
	// FailureDomain is the failure domain of the host.
	FailureDomain string
	// TargetVoters is the number of voters that the quorum should have.
	TargetVoters int
	// CompactBytes is the minimum log size at which the log is replaced by a
	// snapshot; see Replica.compactAt.
	CompactBytes int
	Clock        rollout.Clock
	Dialer       *link.Dialer
	Client       *fabric.Client
	Log          *zap.Logger
	Registry     *prometheus.Registry
	// LapseMS is how long RunAsLeader goes on without a valid lease while the
	// replica still is the leader of the term. It is for work that needs no lease
	// at each moment, only before what Leading guards.
	LapseMS rollout.Millis
	// RunAsLeader is called when the replica acquires leadership. Its context
	// ends when the replica is no longer the leader of the term, when its lease
	// has lapsed for LapseMS, or when the replica stops.
	RunAsLeader func(ctx context.Context, term uint64)
}

// Status is the state of the quorum as this replica knows it. It is immutable
// and may be shared between goroutines.
type Status struct {
	Member  quorum.MemberID
	Members quorum.Members
	// MembersCommitted is true if the latest membership change is committed.
	MembersCommitted bool
	// Leader is the known leader. Its Address is empty if there is none.
	Leader quorum.Member
	Term   uint64
}

// Blank reports whether the replica belongs to no quorum yet.
func (s Status) Blank() bool { return len(s.Members.Voters) == 0 }

// waiter holds the callbacks of the proposals in one log entry.
type waiter struct {
	term    uint64
	sinceMS rollout.Millis
	done    []func(any, error)
}

type proposal struct {
	command []byte
	done    func(any, error)
}

// Replica is one member of a quorum, or a host that may become one. Unless noted
// otherwise, its fields belong to the goroutine of loop; other goroutines send
// functions to inputs.
type Replica struct {
	opts    Options
	machine StateMachine
	store   storage
	node    *quorum.Node
	peers   *peer.Sender
	packer  *pack.Packer
	metrics *metrics
	inputs  chan func(now rollout.Millis)

	// pending holds proposals that are not yet in the log.
	pending []proposal
	// waiters holds proposals that are not yet applied, by log index.
	waiters map[uint64]waiter
	// unsavedOutput is output that could not be written to disk, or nil.
	unsavedOutput *quorum.Output
	// snapshotting is true while a snapshot is being written.
	snapshotting bool
	// fetchingSnapshot is true while a snapshot of another member is being
	// fetched.
	fetchingSnapshot bool
	ctx              context.Context
	// backlog holds committed entries that are not yet applied.
	backlog  []quorum.Entry
	logBytes int
	// pieceServedAt is the time at which another member last read a piece of the
	// snapshot.
	pieceServedAt atomic.Int64
	// compactAt is the log size at which this replica starts a snapshot. It is
	// randomized, so that the replicas do not all write snapshots at once.
	compactAt int

	joinCandidates  map[quorum.MemberID]roster.JoinCandidate
	retiring        map[string]bool
	nextRosterCheck rollout.Millis
	// transferRequests receives a value when the membership update requests a
	// transfer of leadership.
	transferRequests chan struct{}

	group *errgroup.Group
	// tenure is the lead that leaderCancel ends.
	tenure       tenure
	leaderCancel context.CancelFunc

	status     atomic.Pointer[Status]
	leaseUntil atomic.Int64
	// leaderContactAt is the time of the last contact with the leader. It is 0
	// if there was none, or if committed entries are not yet applied.
	leaderContactAt atomic.Int64
	// logSize is logBytes for other goroutines.
	logSize atomic.Int64
}

// Open opens the data directory of a replica and restores the stored snapshot.
func Open(ctx context.Context, opts Options, machine StateMachine) (*Replica, error) {
	store, saved, err := openStorage(opts.Dir)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		opts: opts, machine: machine, store: store, packer: pack.New(),
		metrics:          newMetrics(opts.Registry),
		inputs:           make(chan func(rollout.Millis), inputQueueCapacity),
		waiters:          make(map[uint64]waiter),
		joinCandidates:   make(map[quorum.MemberID]roster.JoinCandidate),
		retiring:         make(map[string]bool),
		transferRequests: make(chan struct{}, 1),
		peers:            peer.New(ctx, opts.Dialer, opts.Address),
		compactAt:        opts.CompactBytes + rand.IntN(opts.CompactBytes/2+1),
	}
	if saved.Snapshot != nil {
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

// Deliver processes messages from another member, which can be reached at
// address.
func (r *Replica) Deliver(address string, ms []quorum.Message) {
	r.enqueue(func(now rollout.Millis) {
		for _, m := range ms {
			r.peers.SetAddress(m.From, address)
			if m.Type == quorum.MessageSnapshot && m.Snapshot != nil && r.needsSnapshot(m) {
				r.fetchSnapshot(address, m)
				continue
			}
			r.node.Step(now, m)
		}
	})
}

// Bootstrap makes this replica a member of a new quorum. It does nothing if the
// replica is not blank.
func (r *Replica) Bootstrap(members quorum.Members) {
	r.enqueue(func(rollout.Millis) {
		if len(r.node.Members().Voters) > 0 || r.node.LastIndex() > 0 {
			return
		}
		saved := quorum.Bootstrap(members)
		if err := r.store.Append(&saved.HardState, saved.Entries); err != nil {
			r.opts.Log.Error("BootstrapFailed", zap.Error(err))
			return
		}
		r.opts.Log.Info("QuorumBootstrapped", zap.Int("Voters", len(members.Voters)))
		r.start(saved)
	})
}

// AddJoinCandidate records that a host asks to become or to stay a member.
func (r *Replica) AddJoinCandidate(m quorum.Member, failureDomain string) {
	r.enqueue(func(now rollout.Millis) {
		r.joinCandidates[m.ID] = roster.JoinCandidate{Member: m, FailureDomain: failureDomain, SeenMS: now}
		r.peers.SetAddress(m.ID, m.Address)
	})
}

// Leading returns the current term and whether the lease of this replica is
// valid for longer than margin.
func (r *Replica) Leading(margin rollout.Millis) (uint64, bool) {
	until := rollout.Millis(r.leaseUntil.Load())
	return r.Status().Term, until > 0 && r.opts.Clock.Now()+margin < until
}

// UpToDate reports whether the replica is the leader, or has had contact with
// the leader within maxAge and has applied all entries committed by then.
func (r *Replica) UpToDate(maxAge rollout.Millis) bool {
	if _, leads := r.Leading(0); leads {
		return true
	}
	contact := rollout.Millis(r.leaderContactAt.Load())
	return contact > 0 && r.opts.Clock.Now()-contact < maxAge
}

// NotLeader returns an error of KindNotLeader whose message contains the address
// of the known leader. Clients parse the address from it.
func (r *Replica) NotLeader() error {
	return rollout.NewError(rollout.KindNotLeader, "leader is %s", r.Status().Leader.Address)
}

// LogBytes returns the size of the entries of the log.
func (r *Replica) LogBytes() int64 { return r.logSize.Load() }

// Propose commits a command and returns the result of applying it. After
// KindNotLeader and KindStorage the command was not accepted; after other errors
// it may or may not take effect.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	type outcome struct {
		result any
		err    error
	}
	c := make(chan outcome, 1)
	done := func(result any, err error) { c <- outcome{result, err} }
	if !r.enqueue(func(rollout.Millis) { r.propose(proposal{command, done}) }) {
		return nil, rollout.NewError(rollout.KindOverloaded, "input queue of replica %s is full", r.opts.Address).WithNotRun()
	}
	select {
	case o := <-c:
		return o.result, o.err
	case <-ctx.Done():
		return nil, rollout.NewError(rollout.KindOutcomeUnknown, "replica %s stopped waiting before the command was committed", r.opts.Address).WithCause(ctx.Err())
	}
}

// Run runs the replica until the context ends.
func (r *Replica) Run(ctx context.Context) error {
	var runCtx context.Context
	r.group, runCtx = errgroup.WithContext(ctx)
	r.ctx = runCtx
	r.group.Go(func() error { return r.loop(runCtx) })
	return r.group.Wait()
}

// SetRetiring sets the addresses of hosts that are to be removed from the
// quorum.
func (r *Replica) SetRetiring(addresses map[string]bool) {
	r.enqueue(func(rollout.Millis) { r.retiring = addresses })
}

// Status returns the current state of the quorum as this replica knows it.
func (r *Replica) Status() Status { return *r.status.Load() }

// TransferLeadership transfers leadership to another voter if this replica is
// the leader. It waits while the input queue is full.
func (r *Replica) TransferLeadership(ctx context.Context) {
	r.deliver(ctx, func(now rollout.Millis) {
		r.leaseUntil.Store(0)
		r.node.TransferLeadership(now)
	})
}

// deliver passes a function to the goroutine of loop and waits while the input
// queue is full. It is for inputs that nobody repeats. Only goroutines of Run and
// their callees may call it, since loop itself would wait for itself.
func (r *Replica) deliver(ctx context.Context, input func(now rollout.Millis)) {
	select {
	case r.inputs <- input:
	case <-ctx.Done():
	}
}

// enqueue passes a function to the goroutine of loop. It returns false if the
// input queue is full.
func (r *Replica) enqueue(input func(now rollout.Millis)) bool {
	select {
	case r.inputs <- input:
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
	r.peers.SetAddresses(r.node.Members())
	r.publishStatus()
}

func (r *Replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.endLeadership()
	for {
		select {
		case <-ctx.Done():
			return nil
		case input := <-r.inputs:
			r.runInputs(input)
		case <-ticker.C:
		}
		if err := r.iterate(ctx); err != nil {
			return err
		}
	}
}

// runInputs runs an input and up to maxInputsPerIteration queued ones.
func (r *Replica) runInputs(input func(now rollout.Millis)) {
	input(r.opts.Clock.Now())
	for range maxInputsPerIteration {
		select {
		case next := <-r.inputs:
			next(r.opts.Clock.Now())
		default:
			return
		}
	}
}

// iterate advances the node, processes its output and applies committed entries.
// The loop calls it after each batch of inputs and at each tick.
func (r *Replica) iterate(ctx context.Context) error {
	now := r.opts.Clock.Now()
	if r.unsavedOutput == nil {
		r.node.Tick(now)
		r.flushProposals(now)
	}
	if err := r.processOutput(); err != nil {
		return err
	}
	if err := r.applyBacklog(); err != nil {
		return err
	}
	r.updateLeadership(ctx, now)
	if r.leaderCancel != nil && now >= r.nextRosterCheck {
		r.nextRosterCheck = now + rosterIntervalMS
		r.updateMembership(now)
	}
	r.expireWaiters(now)
	return nil
}

// updateMembership starts the next change of the membership, if one is due.
func (r *Replica) updateMembership(now rollout.Millis) {
	change, ok := roster.Next(now, roster.View{
		Self: r.node.ID(), Members: r.node.Members(), TargetVoters: r.opts.TargetVoters,
		JoinCandidates: r.joinCandidates, Retiring: r.retiring,
		CaughtUp: r.node.CaughtUp, LastContact: r.node.LastContact,
	})
	if !ok {
		return
	}
	if change.TransferLeadership {
		select {
		case r.transferRequests <- struct{}{}:
			r.opts.Log.Info(change.Reason, zap.String("Member", string(change.Member.ID)), zap.String("Address", change.Member.Address))
		default:
		}
		return
	}
	if err := r.node.ProposeMembers(now, change.Members); err != nil {
		r.opts.Log.Debug("MembershipChangeDeferred", zap.Error(err))
		return
	}
	r.peers.SetAddresses(change.Members)
	r.opts.Log.Info(change.Reason, zap.String("Member", string(change.Member.ID)),
		zap.String("Address", change.Member.Address),
		zap.Int("Voters", len(change.Members.Voters)), zap.Int("Learners", len(change.Members.Learners)))
}

// updateLeadership publishes the lease and the status, and starts or cancels
// RunAsLeader when leadership has changed. A replica whose disk writes fail holds
// no lease, and a new leader gets one only after it has applied its backlog.
func (r *Replica) updateLeadership(ctx context.Context, now rollout.Millis) {
	until := r.node.LeaseUntil()
	if r.unsavedOutput != nil || (r.leaderCancel == nil && len(r.backlog) > 0) {
		until = 0
	}
	r.leaseUntil.Store(int64(until))
	contact := r.node.LastLeaderContact()
	if len(r.backlog) > 0 {
		contact = 0
	}
	r.leaderContactAt.Store(int64(contact))
	r.publishStatus()
	r.logSize.Store(int64(r.logBytes))
	leads := until > now
	r.metrics.term.Set(float64(r.node.Term()))
	r.metrics.leading.Set(0)
	if leads {
		r.metrics.leading.Set(1)
	}
	if leads && r.tenure.term == r.node.Term() {
		r.tenure.heldAt = now
	}
	if r.leaderCancel != nil && r.tenure.ended(now, r.node.Term(), r.node.IsLeader(), r.opts.LapseMS) {
		r.endLeadership()
	}
	if !leads || r.leaderCancel != nil {
		return
	}
	term := r.node.Term()
	r.tenure = tenure{term: term, heldAt: now}
	r.opts.Log.Info("LeadershipAcquired", zap.Uint64("Term", term), zap.Uint64("Commit", r.node.CommitIndex()))
	leaderCtx, cancel := context.WithCancel(ctx)
	r.leaderCancel = cancel
	r.group.Go(func() error {
		r.opts.RunAsLeader(leaderCtx, term)
		return nil
	})
}

func (r *Replica) endLeadership() {
	if r.leaderCancel == nil {
		return
	}
	r.opts.Log.Info("LeadershipLost", zap.Uint64("Term", r.tenure.term), zap.String("Leader", string(r.node.Leader())))
	r.leaderCancel()
	r.leaderCancel = nil
}

// publishStatus updates the status that other goroutines read.
func (r *Replica) publishStatus() {
	s := Status{Member: r.node.ID(), Members: r.node.Members(), MembersCommitted: r.node.MembersCommitted(), Term: r.node.Term()}
	s.Leader, _ = s.Members.Find(r.node.Leader())
	if r.node.IsLeader() && s.Leader.Address == "" {
		s.Leader = quorum.Member{ID: r.node.ID(), Address: r.opts.Address}
	}
	r.status.Store(&s)
}
