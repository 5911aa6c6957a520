package replica

import (
	"bytes"
	"errors"
	"io"

	"github.com/klauspost/compress/zstd"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// snapshotWindow bounds the memory of the compressor of snapshots.
const snapshotWindow = 256 << 10

// compact begins to replace a long log by a snapshot. Another thread writes
// the state, so that heartbeats go on.
func (r *Replica) compact(applied uint64) {
	if r.logBytes < r.opts.CompactBytes || r.freezing {
		return
	}
	r.freezing = true
	frozen := r.machine.Freeze()
	r.group.Go(func() error {
		data, err := r.write(frozen)
		r.do(func(rollout.Millis) { r.compacted(applied, data, err) })
		return nil
	})
}

// compacted drops the log up to an index that a snapshot covers, and has the
// snapshot stored.
func (r *Replica) compacted(applied uint64, data []byte, err error) {
	var snap *quorum.Snapshot
	if err == nil && applied > r.node.SnapshotIndex() {
		snap = r.node.Compact(applied, data)
	}
	if snap == nil {
		r.freezing = false
		r.opts.Log.Info("SnapshotDropped", zap.Uint64("Index", applied), zap.Error(err))
		return
	}
	r.group.Go(func() error {
		err := r.store.SaveSnapshot(*snap)
		r.do(func(rollout.Millis) { r.shorten(snap.Index, len(data), err) })
		return nil
	})
}

// shorten stores what follows a stored snapshot in place of the log.
func (r *Replica) shorten(index uint64, size int, err error) {
	r.freezing = false
	entries := r.node.Entries()
	// A newer snapshot of the leader, or output that is not yet stored, takes
	// its own way to the disk.
	if err == nil && r.unsaved == nil && r.node.SnapshotIndex() == index {
		err = r.store.Shorten(r.store.HardState(), entries)
	}
	if err != nil {
		r.opts.Log.Error("SnapshotRefused", zap.Uint64("Index", index), zap.Error(err))
		return
	}
	r.logBytes = 0
	for _, e := range entries {
		r.logBytes += len(e.Data)
	}
	r.opts.Log.Info("SnapshotTaken", zap.Uint64("Index", index), zap.Int("Bytes", size))
}

// restore replaces the state by a snapshot.
func (r *Replica) restore(data []byte) error {
	d, err := zstd.NewReader(bytes.NewReader(data), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
	if err != nil {
		return rollout.NewError(rollout.KindStorage, "open snapshot").WithCause(err)
	}
	defer d.Close()
	return r.machine.Restore(d)
}

// write returns the packed form of a frozen state.
func (r *Replica) write(frozen func(w io.Writer) error) ([]byte, error) {
	var out bytes.Buffer
	e, err := zstd.NewWriter(&out, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(snapshotWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, rollout.NewError(rollout.KindInternal, "open snapshot").WithCause(err)
	}
	if err := errors.Join(frozen(e), e.Close()); err != nil {
		return nil, rollout.NewError(rollout.KindInternal, "write snapshot").WithCause(err)
	}
	return out.Bytes(), nil
}
