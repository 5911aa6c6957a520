// Package control runs a control host: one member of the quorum log, the
// replicated state, and the duties of the leader.
package control

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/disk"
	"github.com/coltsfootspoke/coltsfootspoke/internal/peer"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/capacity"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

const (
	tickInterval = 20 * time.Millisecond
	// dutyIntervalMS is the time between rounds of the leader's duties.
	dutyIntervalMS = 250
	// waiterTimeoutMS is how long a proposal may stay without a result.
	waiterTimeoutMS = 5_000
	// inboxLength bounds the inputs that wait for the control thread.
	inboxLength = 4_096
	// inputsPerBatch bounds the inputs taken before one synced write.
	inputsPerBatch = 512
)

// thread owns all control state. Only run touches its fields, but for the
// atomics.
type thread struct {
	cfg   settings.Control
	log   *zap.Logger
	clock rollout.Clock
	store *disk.Store
	node  *quorum.Node
	state *ledger.State
	peers *peer.Sender
	inbox chan func(now rollout.Millis)
	jobs  chan platformJob

	pending []proposal
	waiters map[uint64][]waiter
	// lastAtMS is the time of the last command proposed. It never falls.
	lastAtMS rollout.Millis
	// unsaved is output that the disk has refused so far.
	unsaved *quorum.Output

	// leaving is true once the process is to end.
	leaving     bool
	leading     bool
	leadingTerm uint64
	leadSinceMS rollout.Millis
	fleet       *fleet.Table
	weights     *weights.Planner
	planner     *capacity.Planner
	// planned counts the parts of a plan that are not yet applied.
	planned int
	joiners map[quorum.MemberID]joiner
	// sizes counts the engines of each pool at sizesVersion.
	sizes        map[string]int
	sizesVersion uint64
	dutyAtMS     rollout.Millis
	// held are the renewals that wait; heldVersion is the catalog version up
	// to which they were looked at.
	held        []heldRenewal
	heldVersion uint64
	// inFlight names the orders and windows that are being sent.
	inFlight map[string]bool

	// leaseUntil is the end of the leader's lease, for other threads.
	leaseUntil atomic.Int64
	ready      atomic.Bool
	metrics    *metrics
}

// proposal is a batch of commands with the receiver of their results.
type proposal struct {
	commands []ledger.Command
	done     func([]ledger.Result, error)
}

type waiter struct {
	term  uint64
	count int
	since rollout.Millis
	done  func([]ledger.Result, error)
}

// run owns the control state until the context ends.
func (t *thread) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case input := <-t.inbox:
			t.take(input)
		case <-ticker.C:
		}
		if err := t.turn(); err != nil {
			return err
		}
	}
}

// do runs an input on the control thread. It returns false when the inbox is
// full.
func (t *thread) do(input func(now rollout.Millis)) bool {
	select {
	case t.inbox <- input:
		return true
	default:
		return false
	}
}

// take runs an input and those that wait behind it, up to one batch.
func (t *thread) take(input func(now rollout.Millis)) {
	input(t.clock.Now())
	for range inputsPerBatch {
		select {
		case next := <-t.inbox:
			next(t.clock.Now())
		default:
			return
		}
	}
}

// turn lets time pass and carries out what the node asks for.
func (t *thread) turn() error {
	now := t.clock.Now()
	if t.unsaved == nil {
		t.node.Tick(now)
		t.flushProposals(now)
	}
	if err := t.carryOut(); err != nil {
		return err
	}
	t.observeLeadership(now)
	if t.leading && now >= t.dutyAtMS {
		t.dutyAtMS = now + dutyIntervalMS
		t.duties(now)
	}
	t.answerHeld(now)
	t.expireWaiters(now)
	return nil
}

// carryOut persists, sends and applies until the node asks for nothing more.
// A write that fails is tried again at the next turn, and nothing that
// depends on it is sent before.
func (t *thread) carryOut() error {
	for {
		var out quorum.Output
		if t.unsaved != nil {
			out = *t.unsaved
		} else {
			out = t.node.TakeOutput()
		}
		if out.Empty() {
			return nil
		}
		if err := t.persist(out); err != nil {
			t.refuseStorage(out, err)
			return nil
		}
		t.unsaved = nil
		if n := len(out.Entries); n > 0 {
			t.node.Persisted(t.clock.Now(), out.Entries[n-1].Index)
		}
		t.peers.Send(out.Messages)
		if err := t.applyOutput(out); err != nil {
			return err
		}
	}
}

func (t *thread) persist(out quorum.Output) error {
	if out.Snapshot != nil {
		hard := t.hardState(out)
		return t.store.Save(*out.Snapshot, hard, out.Entries)
	}
	if out.HardState == nil && len(out.Entries) == 0 {
		return nil
	}
	start := time.Now()
	defer func() { t.metrics.syncSeconds.Observe(time.Since(start).Seconds()) }()
	return t.store.Append(out.HardState, out.Entries)
}

func (t *thread) hardState(out quorum.Output) quorum.HardState {
	if out.HardState != nil {
		return *out.HardState
	}
	return t.store.HardState()
}

// refuseStorage gives up the lead while the disk refuses to store.
func (t *thread) refuseStorage(out quorum.Output, err error) {
	if t.unsaved == nil {
		t.log.Error("StorageRefused", zap.Error(err))
	}
	t.unsaved = &out
	t.node.StepDown(t.clock.Now())
	t.leaseUntil.Store(0)
	failure := rollout.NewError(rollout.KindStorage, "control host %s cannot store", t.cfg.Name).WithCause(err)
	for _, p := range t.pending {
		p.done(nil, failure)
	}
	t.pending = nil
}

func (t *thread) applyOutput(out quorum.Output) error {
	if out.Snapshot != nil {
		state, err := ledger.Restore(out.Snapshot.Data)
		if err != nil {
			return err
		}
		t.state = state
		t.log.Info("SnapshotInstalled", zap.Uint64("Index", out.Snapshot.Index))
	}
	for _, e := range out.Committed {
		t.applyEntry(e)
	}
	if len(out.Committed) > 0 {
		return t.compact()
	}
	return nil
}

func (t *thread) applyEntry(e quorum.Entry) {
	var results []ledger.Result
	if e.Kind == quorum.EntryCommand {
		var cmds []ledger.Command
		if err := json.Unmarshal(e.Data, &cmds); err != nil {
			t.log.Error("EntryUnreadable", zap.Uint64("Index", e.Index), zap.Error(err))
		}
		results = t.state.Apply(e.Index, cmds)
		t.metrics.commands.Add(float64(len(cmds)))
	}
	t.state.Applied = e.Index
	t.answerWaiters(e, results)
}

func (t *thread) answerWaiters(e quorum.Entry, results []ledger.Result) {
	ws, ok := t.waiters[e.Index]
	if !ok {
		return
	}
	delete(t.waiters, e.Index)
	for _, w := range ws {
		if w.term != e.Term || w.count > len(results) {
			w.done(nil, rollout.NewError(rollout.KindUnavailable, "the leader changed; send the command again with the same ID"))
			continue
		}
		w.done(results[:w.count], nil)
		results = results[w.count:]
	}
}

// compact takes a snapshot once the log has grown long.
func (t *thread) compact() error {
	if t.state.Applied-t.node.SnapshotIndex() < t.cfg.SnapshotEntries {
		return nil
	}
	data, err := t.state.Snapshot()
	if err != nil {
		return err
	}
	snap := t.node.Compact(t.state.Applied, data)
	if snap == nil {
		return nil
	}
	if err := t.store.Save(*snap, t.store.HardState(), t.node.Entries()); err != nil {
		t.log.Error("SnapshotRefused", zap.Error(err))
		return nil
	}
	t.log.Info("SnapshotTaken", zap.Uint64("Index", snap.Index), zap.Int("Bytes", len(data)))
	return nil
}

func (t *thread) expireWaiters(now rollout.Millis) {
	for index, ws := range t.waiters {
		if now-ws[0].since < waiterTimeoutMS {
			continue
		}
		delete(t.waiters, index)
		for _, w := range ws {
			w.done(nil, rollout.NewError(rollout.KindUnavailable, "no quorum answered in time; send the command again with the same ID"))
		}
	}
}

// flushProposals appends all waiting commands as one entry.
func (t *thread) flushProposals(now rollout.Millis) {
	if len(t.pending) == 0 {
		return
	}
	batch := t.pending
	t.pending = nil
	var cmds []ledger.Command
	ws := make([]waiter, 0, len(batch))
	t.lastAtMS = max(t.lastAtMS, now)
	for _, p := range batch {
		for _, c := range p.commands {
			c.AtMS = t.lastAtMS
			cmds = append(cmds, c)
		}
		ws = append(ws, waiter{count: len(p.commands), since: now, done: p.done})
	}
	data, err := json.Marshal(cmds)
	if err == nil {
		var index, term uint64
		index, term, err = t.node.Propose(now, data)
		for i := range ws {
			ws[i].term = term
		}
		if err == nil {
			t.waiters[index] = ws
			return
		}
	}
	for _, w := range ws {
		w.done(nil, t.notLeader())
	}
}

// propose queues commands for the next log entry. Done may be nil.
func (t *thread) propose(done func([]ledger.Result, error), cmds ...ledger.Command) {
	if done == nil {
		done = func([]ledger.Result, error) {}
	}
	if t.unsaved != nil {
		done(nil, rollout.NewError(rollout.KindStorage, "control host %s cannot store", t.cfg.Name))
		return
	}
	if !t.node.IsLeader() {
		done(nil, t.notLeader())
		return
	}
	t.pending = append(t.pending, proposal{commands: cmds, done: done})
}

// inCharge tells whether the lease holds.
func (t *thread) inCharge(now rollout.Millis) bool {
	return t.unsaved == nil && now < t.node.LeaseUntil()
}

func (t *thread) notLeader() error {
	m, _ := t.node.Members().Find(t.node.Leader())
	return rollout.NewError(rollout.KindNotLeader, "leader is %s", m.Address)
}

// observeLeadership resets what only a leader knows when the lead changes.
func (t *thread) observeLeadership(now rollout.Millis) {
	t.leaseUntil.Store(int64(t.node.LeaseUntil()))
	if t.leaving {
		t.leaseUntil.Store(0)
	}
	t.ready.Store(t.node.Leader() != "" && t.unsaved == nil)
	t.metrics.term.Set(float64(t.node.Term()))
	leads := t.node.IsLeader() && t.inCharge(now)
	if leads && (!t.leading || t.leadingTerm != t.node.Term()) {
		t.log.Info("LeadTaken", zap.Uint64("Term", t.node.Term()), zap.Uint64("Commit", t.node.Commit()))
		t.leadingTerm = t.node.Term()
		t.leadSinceMS = now
		t.fleet = fleet.New(now)
		t.weights = weights.New(weights.DefaultConfig())
		t.planner = capacity.New(t.capacityConfig())
		t.inFlight = make(map[string]bool)
		t.lastAtMS = max(t.lastAtMS, t.state.LastMS)
	}
	if t.leading && !leads {
		t.log.Info("LeadLost", zap.Uint64("Term", t.leadingTerm), zap.String("Leader", string(t.node.Leader())))
	}
	t.leading = leads
	t.metrics.leading.Set(boolGauge(leads))
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
