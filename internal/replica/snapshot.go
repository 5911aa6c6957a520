package replica

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/klauspost/compress/zstd"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

const (
	// snapshotWindow bounds the memory of the compressor of snapshots.
	snapshotWindow = 256 << 10
	// A snapshot is written paceBytes at a time with a pause between, so that
	// heartbeats and requests go on.
	paceBytes = 256 << 10
	pacePause = 4 * time.Millisecond
)

// pacedWriter pauses after each paceBytes.
type pacedWriter struct {
	w    io.Writer
	left int
}

// Write implements io.Writer.
func (p *pacedWriter) Write(data []byte) (int, error) {
	p.left -= len(data)
	if p.left <= 0 {
		p.left = paceBytes
		time.Sleep(pacePause)
	}
	return p.w.Write(data)
}

// compact begins to replace a long log by a snapshot. Another thread writes
// it, so that heartbeats go on. Its data stays on the disk.
func (r *Replica) compact(applied uint64) {
	if r.logBytes < r.compactAt || r.freezing {
		return
	}
	r.freezing = true
	frozen := r.machine.Freeze()
	snap := r.node.SnapshotAt(applied)
	r.group.Go(func() error {
		err := r.store.SaveSnapshot(snap, func(w io.Writer) error { return packState(&pacedWriter{w: w, left: paceBytes}, frozen) })
		r.do(func(rollout.Millis) { r.shorten(applied, err) })
		return nil
	})
}

// shorten drops the log that a stored snapshot covers.
func (r *Replica) shorten(index uint64, err error) {
	r.freezing = false
	if err == nil && r.unsaved == nil && index > r.node.SnapshotIndex() && r.node.Compact(index, nil) != nil {
		err = r.store.Shorten(r.store.HardState(), r.node.Entries())
	}
	r.logBytes = 0
	for _, e := range r.node.Entries() {
		r.logBytes += len(e.Data)
	}
	r.opts.Log.Info("SnapshotTaken", zap.Uint64("Index", index), zap.Error(err))
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

// send sends messages. The data of a snapshot is read from the disk by
// another thread.
func (r *Replica) send(ms []quorum.Message) {
	plain := make([]quorum.Message, 0, len(ms))
	for _, m := range ms {
		if m.Snapshot == nil || m.Snapshot.Data != nil {
			plain = append(plain, m)
			continue
		}
		r.group.Go(func() error {
			snap, err := r.store.LoadSnapshot()
			if err != nil || snap == nil {
				r.opts.Log.Error("SnapshotUnreadable", zap.Error(err))
				return nil
			}
			m.Snapshot = snap
			r.peers.Send([]quorum.Message{m})
			return nil
		})
	}
	r.peers.Send(plain)
}

// packState writes the packed form of a frozen state.
func packState(w io.Writer, frozen func(w io.Writer) error) error {
	e, err := zstd.NewWriter(w, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(snapshotWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "open snapshot").WithCause(err)
	}
	return errors.Join(frozen(e), e.Close())
}
