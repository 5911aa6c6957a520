package replica

import (
	"encoding/binary"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// encodeBatch encodes the commands of a batch into the data of one log entry:
// for each command its length as an unsigned varint, then its bytes.
func encodeBatch(batch []proposal) []byte {
	size := 0
	for _, p := range batch {
		size += binary.MaxVarintLen32 + len(p.command)
	}
	data := make([]byte, 0, size)
	for _, p := range batch {
		data = binary.AppendUvarint(data, uint64(len(p.command)))
		data = append(data, p.command...)
	}
	return data
}

// decodeBatch calls handle for each command in the data of a log entry.
func decodeBatch(data []byte, handle func(command []byte)) error {
	for len(data) > 0 {
		size, n := binary.Uvarint(data)
		if n <= 0 || size > uint64(len(data)-n) {
			return rollout.NewError(rollout.KindStorage, "log entry is truncated: its last %d bytes do not hold a whole command", len(data))
		}
		handle(data[n : n+int(size)])
		data = data[n+int(size):]
	}
	return nil
}

func (r *Replica) propose(p proposal) {
	switch {
	case r.unsavedOutput != nil:
		p.done(nil, rollout.NewError(rollout.KindStorage, "replica %s cannot write to disk", r.opts.Address).WithNotRun())
	case !r.node.IsLeader():
		p.done(nil, r.NotLeader())
	default:
		r.pending = append(r.pending, p)
	}
}

// flushProposals proposes all pending commands as one log entry.
func (r *Replica) flushProposals(now rollout.Millis) {
	if len(r.pending) == 0 {
		return
	}
	batch := r.pending
	r.pending = nil
	index, term, err := r.node.Propose(now, r.packer.Pack(encodeBatch(batch)))
	w := waiter{term: term, sinceMS: now}
	for _, p := range batch {
		if err != nil {
			p.done(nil, r.NotLeader())
			continue
		}
		w.done = append(w.done, p.done)
	}
	if err == nil {
		r.waiters[index] = w
	}
}

// processOutput persists, sends and applies the output of the node until there
// is none left. A failed write is retried in the next iteration of the loop;
// messages that depend on it are sent only after it succeeds.
func (r *Replica) processOutput() error {
	for {
		var out quorum.Output
		if r.unsavedOutput != nil {
			out = *r.unsavedOutput
		} else {
			out = r.node.TakeOutput()
		}
		if out.Empty() {
			return nil
		}
		if out.Unreadable != nil {
			return out.Unreadable
		}
		if err := r.persist(out); err != nil {
			r.handleWriteFailure(out, err)
			return nil
		}
		r.unsavedOutput = nil
		if n := len(out.Entries); n > 0 {
			r.node.Persisted(r.opts.Clock.Now(), out.Entries[n-1].Index)
		}
		r.peers.Send(out.Messages)
		if err := r.applyOutput(out); err != nil {
			return err
		}
	}
}

func (r *Replica) persist(out quorum.Output) error {
	if out.Snapshot != nil {
		hard := r.store.HardState()
		if out.HardState != nil {
			hard = *out.HardState
		}
		r.logBytes = 0
		return r.store.CompactLog(hard, out.Entries)
	}
	if out.HardState == nil && len(out.Entries) == 0 {
		return nil
	}
	for _, e := range out.Entries {
		r.logBytes += len(e.Data)
	}
	start := time.Now()
	err := r.store.Append(out.HardState, out.Entries)
	r.metrics.syncSeconds.Observe(time.Since(start).Seconds())
	return err
}

// handleWriteFailure keeps the output for a retry, gives up leadership and fails
// the pending proposals.
func (r *Replica) handleWriteFailure(out quorum.Output, err error) {
	if r.unsavedOutput == nil {
		r.opts.Log.Error("StorageWriteFailed", zap.Error(err))
	}
	r.unsavedOutput = &out
	r.node.StepDown(r.opts.Clock.Now())
	r.leaseUntil.Store(0)
	for _, p := range r.pending {
		p.done(nil, rollout.NewError(rollout.KindStorage, "replica %s cannot write to disk", r.opts.Address).WithCause(err))
	}
	r.pending = nil
}

func (r *Replica) applyOutput(out quorum.Output) error {
	if out.Snapshot != nil {
		r.backlog = nil
		if err := r.restore(); err != nil {
			return err
		}
		r.peers.SetAddresses(out.Snapshot.Members)
		r.opts.Log.Info("SnapshotInstalled", zap.Uint64("Index", out.Snapshot.Index))
	}
	r.backlog = append(r.backlog, out.Committed...)
	return nil
}

// applyBacklog applies committed entries for up to about maxApplyTime, so that
// heartbeats continue while a long log is replayed.
func (r *Replica) applyBacklog() error {
	if len(r.backlog) == 0 {
		return nil
	}
	end := time.Now().Add(maxApplyTime)
	done := 0
	for done < len(r.backlog) && (done == 0 || time.Now().Before(end)) {
		if err := r.applyEntry(r.backlog[done]); err != nil {
			return err
		}
		done++
	}
	r.metrics.entriesApplied.Add(float64(done))
	last := r.backlog[done-1].Index
	r.backlog = r.backlog[done:]
	if len(r.backlog) > 0 {
		r.enqueue(func(rollout.Millis) {})
		return nil
	}
	r.backlog = nil
	r.compact(last)
	return nil
}

func (r *Replica) applyEntry(e quorum.Entry) error {
	var results []any
	switch e.Kind {
	case quorum.EntryCommand:
		batch, err := r.packer.Unpack(e.Data)
		if err != nil {
			return err
		}
		err = decodeBatch(batch, func(command []byte) {
			results = append(results, r.machine.Apply(e.Index, command))
		})
		if err != nil {
			return err
		}
	case quorum.EntryMembers:
		r.peers.SetAddresses(r.node.Members())
	case quorum.EntryEmpty:
	}
	w, ok := r.waiters[e.Index]
	if !ok {
		return nil
	}
	delete(r.waiters, e.Index)
	for i, done := range w.done {
		if w.term != e.Term || i >= len(results) {
			done(nil, rollout.NewError(rollout.KindOutcomeUnknown, "the leader changed while the command at index %d was pending", e.Index))
			continue
		}
		done(results[i], nil)
	}
	return nil
}

func (r *Replica) expireWaiters(now rollout.Millis) {
	for index, w := range r.waiters {
		if now-w.sinceMS < proposalTimeoutMS {
			continue
		}
		delete(r.waiters, index)
		for _, done := range w.done {
			done(nil, rollout.NewError(rollout.KindOutcomeUnknown, "no quorum acknowledged the command at index %d within %d ms", index, proposalTimeoutMS))
		}
	}
}
