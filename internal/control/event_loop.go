// Package control runs a control host: one member of the quorum log, the
// replicated state, and the tasks of the leader.
package control

import (
	"context"
	"encoding/json"
	"maps"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/disk"
	"github.com/coltsfootspoke/coltsfootspoke/internal/peer"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/capacity"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

const (
	tickInterval = 20 * time.Millisecond
	// leaderTaskIntervalMS is the time between two runs of the leader's tasks.
	leaderTaskIntervalMS = 250
	// proposalTimeoutMS is how long a proposal waits for its result.
	proposalTimeoutMS = 5_000
	// inputQueueSize limits the inputs queued for the event loop.
	inputQueueSize = 4_096
	// maxInputsPerIteration limits the inputs processed before one synced write.
	maxInputsPerIteration = 512
)

// eventLoop owns all state of a control host. Except for the atomic fields, only
// the goroutine of run may modify its fields after startup.
type eventLoop struct {
	cfg          settings.Control
	log          *zap.Logger
	clock        rollout.Clock
	store        *disk.Store
	node         *quorum.Node
	state        *ledger.State
	peers        *peer.Sender
	inputs       chan func(now rollout.Millis)
	platformJobs chan platformJob

	// pending are the proposals for the next log entry.
	pending []proposal
	// waiters are the proposals of uncommitted log entries by index.
	waiters map[uint64][]waiter
	// lastCommandMS is the time of the last proposed command. It never decreases.
	lastCommandMS rollout.Millis
	// unsavedOutput is output that could not be written to disk yet.
	unsavedOutput *quorum.Output

	// shuttingDown is true once a shutdown was requested.
	shuttingDown  bool
	leading       bool
	leadingTerm   uint64
	leaderSinceMS rollout.Millis
	fleet         *fleet.Table
	weights       *weights.Planner
	planner       *capacity.Planner
	// uncommittedPlan is the number of commands of the last capacity plan that are
	// not applied yet.
	uncommittedPlan int
	joinCandidates  map[quorum.MemberID]joinCandidate
	// upstreamsPerPool is the number of upstreams in each pool that are not evacuated, at
	// upstreamsPerPoolVersion of the catalog.
	upstreamsPerPool        map[string]int
	upstreamsPerPoolVersion uint64
	nextLeaderTasksMS       rollout.Millis
	// pendingRenewals are the open long polls. pendingRenewalsVersion is the catalog
	// version against which they were last checked.
	pendingRenewals        []pendingRenewal
	pendingRenewalsVersion uint64
	// jobsInFlight holds the names of the orders and usage windows that are queued
	// for the platform, being sent or being committed as accepted.
	jobsInFlight map[string]bool

	// knownEvacuations are the evacuations that were logged last.
	knownEvacuations map[string]catalog.Evacuation

	// leaseUntil is the end of the leader's lease, for other goroutines.
	leaseUntil atomic.Int64
	ready      atomic.Bool
	metrics    *metrics
}

// proposal is a batch of commands with the callback for their results.
type proposal struct {
	commands []ledger.Command
	done     func([]ledger.Result, error)
}

// waiter is a proposal in the log that waits until its entry is applied.
type waiter struct {
	term    uint64
	count   int
	sinceMS rollout.Millis
	done    func([]ledger.Result, error)
}

// run processes inputs and ticks until the context ends.
func (l *eventLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case input := <-l.inputs:
			l.runInputs(input)
		case <-ticker.C:
		}
		if err := l.iterate(); err != nil {
			return err
		}
	}
}

// deliver passes an input to the event loop and waits while the queue is full. It
// is for inputs that nobody repeats. The event loop itself must not call it.
func (l *eventLoop) deliver(ctx context.Context, input func(now rollout.Millis)) {
	select {
	case l.inputs <- input:
	case <-ctx.Done():
	}
}

// enqueue queues an input to run on the event loop. It returns false if the queue
// is full.
func (l *eventLoop) enqueue(input func(now rollout.Millis)) bool {
	select {
	case l.inputs <- input:
		return true
	default:
		return false
	}
}

// runInputs runs an input and up to maxInputsPerIteration queued ones.
func (l *eventLoop) runInputs(input func(now rollout.Millis)) {
	input(l.clock.Now())
	for range maxInputsPerIteration {
		select {
		case next := <-l.inputs:
			next(l.clock.Now())
		default:
			return
		}
	}
}

// iterate runs one iteration of the event loop: it ticks the quorum node, processes
// its output, and then does the periodic work.
func (l *eventLoop) iterate() error {
	now := l.clock.Now()
	if l.unsavedOutput == nil {
		l.node.Tick(now)
		l.flushProposals(now)
	}
	if err := l.processOutput(); err != nil {
		return err
	}
	l.updateLeadership(now)
	if l.leading && now >= l.nextLeaderTasksMS {
		l.nextLeaderTasksMS = now + leaderTaskIntervalMS
		l.runLeaderTasks(now)
	}
	l.answerPendingRenewals(now)
	l.expireWaiters(now)
	return nil
}

// processOutput persists, sends and applies the output of the quorum node until it
// has none left. A failed write is retried in the next iteration, and nothing that
// depends on it is sent before it succeeds.
func (l *eventLoop) processOutput() error {
	for {
		var out quorum.Output
		if l.unsavedOutput != nil {
			out = *l.unsavedOutput
		} else {
			out = l.node.TakeOutput()
		}
		if out.Empty() {
			return nil
		}
		if out.Unreadable != nil {
			return out.Unreadable
		}
		if err := l.persist(out); err != nil {
			l.handleWriteFailure(out, err)
			return nil
		}
		l.unsavedOutput = nil
		if n := len(out.Entries); n > 0 {
			l.node.Persisted(l.clock.Now(), out.Entries[n-1].Index)
		}
		l.peers.Send(out.Messages)
		if err := l.applyOutput(out); err != nil {
			return err
		}
	}
}

func (l *eventLoop) persist(out quorum.Output) error {
	if out.Snapshot != nil {
		hard := l.hardState(out)
		return l.store.SaveAndCompact(*out.Snapshot, hard, out.Entries)
	}
	if out.HardState == nil && len(out.Entries) == 0 {
		return nil
	}
	start := time.Now()
	defer func() { l.metrics.syncSeconds.Observe(time.Since(start).Seconds()) }()
	return l.store.Append(out.HardState, out.Entries)
}

func (l *eventLoop) hardState(out quorum.Output) quorum.HardState {
	if out.HardState != nil {
		return *out.HardState
	}
	return l.store.HardState()
}

// handleWriteFailure steps down as leader and fails the pending proposals. The
// output is kept so that its write can be retried.
func (l *eventLoop) handleWriteFailure(out quorum.Output, err error) {
	if l.unsavedOutput == nil {
		l.log.Error("StorageWriteFailed", zap.Error(err))
	}
	l.unsavedOutput = &out
	l.node.StepDown(l.clock.Now())
	l.leaseUntil.Store(0)
	failure := rollout.NewError(rollout.KindStorage, "control host %s cannot write to disk", l.cfg.Name).WithCause(err)
	for _, p := range l.pending {
		p.done(nil, failure)
	}
	l.pending = nil
}

func (l *eventLoop) applyOutput(out quorum.Output) error {
	if out.Snapshot != nil {
		state, err := ledger.Restore(out.Snapshot.Data)
		if err != nil {
			return err
		}
		l.state = state
		l.log.Info("SnapshotInstalled", zap.Uint64("Index", out.Snapshot.Index))
	}
	for _, e := range out.Committed {
		l.applyEntry(e)
	}
	l.logEvacuations()
	if len(out.Committed) > 0 {
		return l.compact()
	}
	return nil
}

// logEvacuations logs the evacuations that have begun or ended since the last call.
func (l *eventLoop) logEvacuations() {
	current := l.state.Catalog.Evacuations
	if maps.Equal(current, l.knownEvacuations) {
		return
	}
	for domain := range current {
		if _, known := l.knownEvacuations[domain]; !known {
			l.log.Info("EvacuationChanged", zap.String("FailureDomain", domain), zap.Bool("Evacuated", true))
		}
	}
	for domain := range l.knownEvacuations {
		if _, remains := current[domain]; !remains {
			l.log.Info("EvacuationChanged", zap.String("FailureDomain", domain), zap.Bool("Evacuated", false))
		}
	}
	l.knownEvacuations = maps.Clone(current)
	l.metrics.evacuatedDomains.Set(float64(len(current)))
}

func (l *eventLoop) applyEntry(e quorum.Entry) {
	var results []ledger.Result
	if e.Kind == quorum.EntryCommand {
		var cmds []ledger.Command
		if err := json.Unmarshal(e.Data, &cmds); err != nil {
			l.log.Error("LogEntryDecodeFailed", zap.Uint64("Index", e.Index), zap.Error(err))
		}
		results = l.state.Apply(e.Index, cmds)
		l.metrics.commandsApplied.Add(float64(len(cmds)))
	}
	l.state.Applied = e.Index
	l.resolveWaiters(e, results)
}

func (l *eventLoop) resolveWaiters(e quorum.Entry, results []ledger.Result) {
	ws, ok := l.waiters[e.Index]
	if !ok {
		return
	}
	delete(l.waiters, e.Index)
	for _, w := range ws {
		if w.term != e.Term || w.count > len(results) {
			w.done(nil, rollout.NewError(rollout.KindUnavailable, "leader changed before the command was committed; retry with the same command ID"))
			continue
		}
		w.done(results[:w.count], nil)
		results = results[w.count:]
	}
}

// compact takes a snapshot and truncates the log once SnapshotEntries entries were
// applied since the last one.
func (l *eventLoop) compact() error {
	if l.state.Applied-l.node.SnapshotIndex() < l.cfg.SnapshotEntries {
		return nil
	}
	data, err := l.state.Snapshot()
	if err != nil {
		return err
	}
	snap := l.node.Compact(l.state.Applied, data)
	if snap == nil {
		return nil
	}
	if err := l.store.SaveAndCompact(*snap, l.store.HardState(), l.node.Entries()); err != nil {
		l.log.Error("SnapshotSaveFailed", zap.Error(err))
		return nil
	}
	l.log.Info("SnapshotTaken", zap.Uint64("Index", snap.Index), zap.Int("Bytes", len(data)))
	return nil
}

func (l *eventLoop) expireWaiters(now rollout.Millis) {
	for index, ws := range l.waiters {
		if now-ws[0].sinceMS < proposalTimeoutMS {
			continue
		}
		delete(l.waiters, index)
		for _, w := range ws {
			w.done(nil, rollout.NewError(rollout.KindUnavailable, "no quorum acknowledged the command within %d ms; retry with the same command ID", proposalTimeoutMS))
		}
	}
}

// flushProposals appends the commands of all pending proposals as one log entry.
func (l *eventLoop) flushProposals(now rollout.Millis) {
	if len(l.pending) == 0 {
		return
	}
	batch := l.pending
	l.pending = nil
	var cmds []ledger.Command
	ws := make([]waiter, 0, len(batch))
	l.lastCommandMS = max(l.lastCommandMS, now)
	for _, p := range batch {
		for _, c := range p.commands {
			c.AtMS = l.lastCommandMS
			cmds = append(cmds, c)
		}
		ws = append(ws, waiter{count: len(p.commands), sinceMS: now, done: p.done})
	}
	data, err := json.Marshal(cmds)
	if err == nil {
		var index, term uint64
		index, term, err = l.node.Propose(now, data)
		for i := range ws {
			ws[i].term = term
		}
		if err == nil {
			l.waiters[index] = ws
			return
		}
	}
	for _, w := range ws {
		w.done(nil, l.notLeaderError())
	}
}

// propose queues commands for the next log entry. done may be nil.
func (l *eventLoop) propose(done func([]ledger.Result, error), cmds ...ledger.Command) {
	if done == nil {
		done = func([]ledger.Result, error) {}
	}
	if l.unsavedOutput != nil {
		done(nil, rollout.NewError(rollout.KindStorage, "control host %s cannot write to disk", l.cfg.Name))
		return
	}
	if !l.node.IsLeader() {
		done(nil, l.notLeaderError())
		return
	}
	l.pending = append(l.pending, proposal{commands: cmds, done: done})
}

// holdsLease reports whether the leader's lease is valid. It is false while output
// could not be written to disk.
func (l *eventLoop) holdsLease(now rollout.Millis) bool {
	return l.unsavedOutput == nil && now < l.node.LeaseUntil()
}

func (l *eventLoop) notLeaderError() error {
	m, _ := l.node.Members().Find(l.node.Leader())
	return rollout.NewError(rollout.KindNotLeader, "leader is %s", m.Address)
}

// updateLeadership publishes the lease, readiness and metrics. When this host
// becomes the leader, it resets the state that only a leader keeps.
func (l *eventLoop) updateLeadership(now rollout.Millis) {
	l.leaseUntil.Store(int64(l.node.LeaseUntil()))
	if l.shuttingDown {
		l.leaseUntil.Store(0)
	}
	l.ready.Store(l.node.Leader() != "" && l.unsavedOutput == nil)
	l.metrics.term.Set(float64(l.node.Term()))
	isLeading := l.node.IsLeader() && l.holdsLease(now)
	if isLeading && (!l.leading || l.leadingTerm != l.node.Term()) {
		l.log.Info("LeadershipAcquired", zap.Uint64("Term", l.node.Term()), zap.Uint64("Commit", l.node.CommitIndex()))
		l.leadingTerm = l.node.Term()
		l.leaderSinceMS = now
		l.fleet = fleet.New(now)
		l.weights = weights.New(weights.DefaultConfig())
		l.planner = capacity.New(l.capacityConfig())
		l.jobsInFlight = make(map[string]bool)
		l.lastCommandMS = max(l.lastCommandMS, l.state.LastMS)
	}
	if l.leading && !isLeading {
		l.log.Info("LeadershipLost", zap.Uint64("Term", l.leadingTerm), zap.String("Leader", string(l.node.Leader())))
	}
	l.leading = isLeading
	l.metrics.leading.Set(boolGauge(isLeading))
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
