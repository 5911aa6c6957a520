package replica

import (
	"context"
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
	// servedWithinMS is how long after a piece the rest of a snapshot, or of
	// the log behind it, may still be asked for.
	servedWithinMS rollout.Millis = 2_000
	// holdMS bounds how long a new snapshot waits for members that fetch the
	// present one; they have 6 s to catch up.
	holdMS    rollout.Millis = 6_000
	holdPause                = 100 * time.Millisecond
	// pieceBytes is how much of a snapshot a member fetches with one call.
	pieceBytes   = 1 << 20
	pieceTimeout = 2 * time.Second
	methodPiece  = "Replica.SnapshotPiece"
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
	ctx := r.ctx
	r.group.Go(func() error {
		err := r.store.SaveSnapshot(snap, func(w io.Writer) error {
			err := packState(&pacedWriter{w: w, left: paceBytes}, frozen)
			r.letFetchEnd(ctx)
			return err
		})
		r.do(func(rollout.Millis) { r.shorten(applied, err) })
		return nil
	})
}

// letFetchEnd waits while another member fetches the present snapshot, for it
// would have to begin anew.
func (r *Replica) letFetchEnd(ctx context.Context) {
	for end := r.opts.Clock.Now() + holdMS; ctx.Err() == nil; {
		now := r.opts.Clock.Now()
		if now >= end || !r.beingFetched(now) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(holdPause):
		}
	}
}

// beingFetched tells whether another member may still need the present
// snapshot, or the log behind it.
func (r *Replica) beingFetched(now rollout.Millis) bool {
	at := rollout.Millis(r.servedAt.Load())
	return at > 0 && now-at < servedWithinMS
}

// shorten drops the log that a stored snapshot covers.
func (r *Replica) shorten(index uint64, err error) {
	r.freezing = false
	if err == nil && r.unsaved == nil && index > r.node.SnapshotIndex() && r.node.Compact(index, nil) != nil {
		err = r.store.CompactLog(r.store.HardState(), r.node.Entries())
	}
	r.logBytes = 0
	for _, e := range r.node.Entries() {
		r.logBytes += len(e.Data)
	}
	r.opts.Log.Info("SnapshotTaken", zap.Uint64("Index", index), zap.Error(err))
}

// restore replaces the state by the stored snapshot.
func (r *Replica) restore() error {
	f, err := r.store.OpenSnapshot()
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	d, err := zstd.NewReader(f, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
	if err != nil {
		return rollout.NewError(rollout.KindStorage, "open snapshot").WithCause(err)
	}
	defer d.Close()
	return r.machine.Restore(d)
}

// piece is a part of the file of a snapshot.
type piece struct {
	Index uint64
	Total int64
	Bytes []byte
}

type pieceRequest struct {
	Offset int64
}

// pieceOf answers another member that fetches the snapshot.
func (r *Replica) pieceOf(_ context.Context, req pieceRequest) (piece, error) {
	r.servedAt.Store(int64(r.opts.Clock.Now()))
	data, index, total, err := r.store.ReadSnapshotPiece(req.Offset, pieceBytes)
	return piece{Index: index, Total: total, Bytes: data}, err
}

// lacks tells whether a snapshot is worth fetching. A host that has lost its
// disk still gets those for the member that it was; they would be fetched for
// nothing, and in the way of the one that it waits for.
func (r *Replica) lacks(m quorum.Message) bool {
	return m.To == r.node.ID() && m.Term >= r.node.Term() && m.Snapshot.Index > r.node.Commit()
}

// fetch brings the snapshot that a leader has announced to the own disk and
// then hands the message to the node. One snapshot is fetched at a time; the
// leader announces it again.
func (r *Replica) fetch(address string, m quorum.Message) {
	if r.fetching {
		return
	}
	r.fetching = true
	ctx := r.ctx
	r.group.Go(func() error {
		snap := *m.Snapshot
		err := r.store.InstallSnapshot(snap.Index, func(w io.Writer) error { return r.copyPieces(ctx, address, &snap, w) })
		r.opts.Log.Info("SnapshotFetched", zap.Uint64("Index", snap.Index), zap.String("From", address), zap.Error(err))
		r.do(func(now rollout.Millis) {
			r.fetching = false
			if err == nil {
				r.node.Step(now, m)
			}
		})
		return nil
	})
}

// copyPieces writes the file of a snapshot. It fails when the other member has
// taken a newer one meanwhile.
func (r *Replica) copyPieces(ctx context.Context, address string, snap *quorum.Snapshot, w io.Writer) error {
	for offset := int64(0); ; {
		callCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
		var p piece
		err := r.opts.Client.Call(callCtx, address, methodPiece, pieceRequest{Offset: offset}, &p)
		cancel()
		if err != nil {
			return err
		}
		if p.Index != snap.Index {
			return rollout.NewError(rollout.KindConflict, "snapshot %d has become %d", snap.Index, p.Index)
		}
		if _, err := w.Write(p.Bytes); err != nil {
			return err
		}
		offset += int64(len(p.Bytes))
		if offset >= p.Total || len(p.Bytes) == 0 {
			return nil
		}
	}
}

// packState writes the packed form of a frozen state.
func packState(w io.Writer, frozen func(w io.Writer) error) error {
	e, err := zstd.NewWriter(w, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(snapshotWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "open snapshot").WithCause(err)
	}
	return errors.Join(frozen(e), e.Close())
}
