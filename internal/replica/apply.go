package replica

import (
	"encoding/binary"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// encodeBatch frames commands into the data of one entry: for each its length
// as an unsigned varint, then its bytes.
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

// decodeBatch calls take for each command of an entry.
func decodeBatch(data []byte, take func(command []byte)) error {
	for len(data) > 0 {
		size, n := binary.Uvarint(data)
		if n <= 0 || size > uint64(len(data)-n) {
			return rollout.NewError(rollout.KindStorage, "entry with a broken frame")
		}
		take(data[n : n+int(size)])
		data = data[n+int(size):]
	}
	return nil
}

func (r *Replica) propose(p proposal) {
	switch {
	case r.unsaved != nil:
		p.done(nil, rollout.NewError(rollout.KindStorage, "the disk refuses to store").WithNotRun())
	case !r.node.IsLeader():
		p.done(nil, r.NotLeader())
	default:
		r.pending = append(r.pending, p)
	}
}

// flush appends all waiting commands as one entry.
func (r *Replica) flush(now rollout.Millis) {
	if len(r.pending) == 0 {
		return
	}
	batch := r.pending
	r.pending = nil
	index, term, err := r.node.Propose(now, r.packer.Pack(encodeBatch(batch)))
	w := waiter{term: term, since: now}
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

// carryOut persists, sends and applies until the node asks for nothing more.
// A write that fails is tried again at the next turn, and nothing that
// depends on it is sent before.
func (r *Replica) carryOut() error {
	for {
		var out quorum.Output
		if r.unsaved != nil {
			out = *r.unsaved
		} else {
			out = r.node.TakeOutput()
		}
		if out.Empty() {
			return nil
		}
		if err := r.persist(out); err != nil {
			r.refuseStorage(out, err)
			return nil
		}
		r.unsaved = nil
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
	r.metrics.sync.Observe(time.Since(start).Seconds())
	return err
}

// refuseStorage gives up the lead while the disk refuses to store.
func (r *Replica) refuseStorage(out quorum.Output, err error) {
	if r.unsaved == nil {
		r.opts.Log.Error("StorageRefused", zap.Error(err))
	}
	r.unsaved = &out
	r.node.StepDown(r.opts.Clock.Now())
	r.leaseUntil.Store(0)
	for _, p := range r.pending {
		p.done(nil, rollout.NewError(rollout.KindStorage, "the disk refuses to store").WithCause(err))
	}
	r.pending = nil
}

func (r *Replica) applyOutput(out quorum.Output) error {
	if out.Snapshot != nil {
		r.backlog = nil
		if err := r.restore(); err != nil {
			return err
		}
		r.peers.LearnAll(out.Snapshot.Members)
		r.opts.Log.Info("SnapshotInstalled", zap.Uint64("Index", out.Snapshot.Index))
	}
	r.backlog = append(r.backlog, out.Committed...)
	return nil
}

// applyBacklog applies committed entries for a bounded time, so that
// heartbeats go on while a long log is read again.
func (r *Replica) applyBacklog() error {
	if len(r.backlog) == 0 {
		return nil
	}
	end := time.Now().Add(applySlice)
	done := 0
	for done < len(r.backlog) && (done == 0 || time.Now().Before(end)) {
		if err := r.applyEntry(r.backlog[done]); err != nil {
			return err
		}
		done++
	}
	r.metrics.commits.Add(float64(done))
	last := r.backlog[done-1].Index
	r.backlog = r.backlog[done:]
	if len(r.backlog) > 0 {
		r.do(func(rollout.Millis) {})
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
		r.peers.LearnAll(r.node.Members())
	case quorum.EntryEmpty:
	}
	w, ok := r.waiters[e.Index]
	if !ok {
		return nil
	}
	delete(r.waiters, e.Index)
	for i, done := range w.done {
		if w.term != e.Term || i >= len(results) {
			done(nil, rollout.NewError(rollout.KindOutcomeUnknown, "the leader changed"))
			continue
		}
		done(results[i], nil)
	}
	return nil
}

func (r *Replica) expireWaiters(now rollout.Millis) {
	for index, w := range r.waiters {
		if now-w.since < waiterTimeoutMS {
			continue
		}
		delete(r.waiters, index)
		for _, done := range w.done {
			done(nil, rollout.NewError(rollout.KindOutcomeUnknown, "no quorum answered in time"))
		}
	}
}
