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
	// snapshotWindow is the zstd window size, which bounds the memory of the
	// snapshot encoder.
	snapshotWindow = 256 << 10
	// Writing a snapshot pauses for pacePause after every paceBytes, so that
	// heartbeats and requests are not delayed. Encoding paceBytes takes about half
	// of pacePause on a fraction of a core.
	paceBytes = 48 << 10
	pacePause = 4 * time.Millisecond
	// fetchIdleMS is the time after the last read of a piece during which the
	// reader may still request the rest of the snapshot or the log after it.
	fetchIdleMS rollout.Millis = 2_000
	// maxFetchWaitMS bounds how long a new snapshot waits for members that
	// fetch the current one; they have 6 s to catch up.
	maxFetchWaitMS    rollout.Millis = 6_000
	fetchPollInterval                = 100 * time.Millisecond
	// pieceBytes is the maximum size of a snapshot piece, which one call
	// returns.
	pieceBytes          = 1 << 20
	pieceTimeout        = 2 * time.Second
	methodSnapshotPiece = "Replica.SnapshotPiece"
)

// pacedWriter limits the write rate by a pause after every paceBytes.
type pacedWriter struct {
	w          io.Writer
	untilPause int
}

// Write implements io.Writer.
func (p *pacedWriter) Write(data []byte) (int, error) {
	p.untilPause -= len(data)
	if p.untilPause <= 0 {
		p.untilPause = paceBytes
		time.Sleep(pacePause)
	}
	return p.w.Write(data)
}

// compact starts to replace a long log with a snapshot. The snapshot is written
// to disk in a separate goroutine, so that heartbeats continue.
func (r *Replica) compact(applied uint64) {
	if r.logBytes < r.compactAt || r.snapshotting {
		return
	}
	r.snapshotting = true
	writeState := r.machine.Freeze()
	snap := r.node.SnapshotAt(applied)
	ctx := r.ctx
	r.group.Go(func() error {
		err := r.store.SaveSnapshot(snap, func(w io.Writer) error {
			err := compressState(&pacedWriter{w: w, untilPause: paceBytes}, writeState)
			r.waitForFetch(ctx)
			return err
		})
		r.deliver(ctx, func(rollout.Millis) { r.truncateLog(applied, err) })
		return nil
	})
}

// waitForFetch waits up to maxFetchWaitMS while another member fetches the
// current snapshot. Replacing the snapshot would make that member start over.
func (r *Replica) waitForFetch(ctx context.Context) {
	for end := r.opts.Clock.Now() + maxFetchWaitMS; ctx.Err() == nil; {
		now := r.opts.Clock.Now()
		if now >= end || !r.snapshotInUse(now) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(fetchPollInterval):
		}
	}
}

// snapshotInUse reports whether another member may still need the current
// snapshot or the log after it.
func (r *Replica) snapshotInUse(now rollout.Millis) bool {
	at := rollout.Millis(r.pieceServedAt.Load())
	return at > 0 && now-at < fetchIdleMS
}

// truncateLog discards the log entries that a stored snapshot covers. If err is
// set, the snapshot was not stored and the log stays.
func (r *Replica) truncateLog(index uint64, err error) {
	r.snapshotting = false
	if err == nil && r.unsavedOutput == nil && index > r.node.SnapshotIndex() && r.node.Compact(index, nil) != nil {
		err = r.store.CompactLog(r.store.HardState(), r.node.Entries())
	}
	r.logBytes = 0
	for _, e := range r.node.Entries() {
		r.logBytes += len(e.Data)
	}
	r.opts.Log.Info("SnapshotTaken", zap.Uint64("Index", index), zap.Error(err))
}

// restore replaces the state of the state machine with the stored snapshot.
func (r *Replica) restore() error {
	f, err := r.store.OpenSnapshot()
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	d, err := zstd.NewReader(f, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
	if err != nil {
		return rollout.NewError(rollout.KindStorage, "create snapshot decoder").WithCause(err)
	}
	defer d.Close()
	return r.machine.Restore(d)
}

// snapshotPiece is a part of a snapshot file, as one call returns it.
type snapshotPiece struct {
	Index uint64
	Total int64
	Bytes []byte
}

type snapshotPieceRequest struct {
	Offset int64
}

// readPiece returns a piece of the stored snapshot to another member.
func (r *Replica) readPiece(_ context.Context, req snapshotPieceRequest) (snapshotPiece, error) {
	r.pieceServedAt.Store(int64(r.opts.Clock.Now()))
	data, index, total, err := r.store.ReadSnapshotPiece(req.Offset, pieceBytes)
	return snapshotPiece{Index: index, Total: total, Bytes: data}, err
}

// needsSnapshot reports whether this member should fetch the snapshot that a
// message announces. A host that has lost its disk still receives messages for
// the member ID that it had before. Fetching those snapshots would be useless
// and would delay the one that the host needs.
func (r *Replica) needsSnapshot(m quorum.Message) bool {
	return m.To == r.node.ID() && m.Term >= r.node.Term() && m.Snapshot.Index > r.node.CommitIndex()
}

// fetchSnapshot downloads the snapshot that the leader has announced to the disk
// and then passes the message to the node. Only one snapshot is fetched at a
// time: other announcements are ignored, because the leader repeats them.
func (r *Replica) fetchSnapshot(address string, m quorum.Message) {
	if r.fetchingSnapshot {
		return
	}
	r.fetchingSnapshot = true
	ctx := r.ctx
	r.group.Go(func() error {
		snap := *m.Snapshot
		err := r.store.InstallSnapshot(snap.Index, func(w io.Writer) error { return r.downloadSnapshot(ctx, address, &snap, w) })
		r.opts.Log.Info("SnapshotFetched", zap.Uint64("Index", snap.Index), zap.String("From", address), zap.Error(err))
		r.deliver(ctx, func(now rollout.Millis) {
			r.fetchingSnapshot = false
			if err == nil {
				r.node.Step(now, m)
			}
		})
		return nil
	})
}

// downloadSnapshot fetches a snapshot file piece by piece and writes it to w. It
// fails if the other member replaces the snapshot with a newer one meanwhile.
func (r *Replica) downloadSnapshot(ctx context.Context, address string, snap *quorum.Snapshot, w io.Writer) error {
	for offset := int64(0); ; {
		callCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
		var p snapshotPiece
		err := r.opts.Client.Call(callCtx, address, methodSnapshotPiece, snapshotPieceRequest{Offset: offset}, &p)
		cancel()
		if err != nil {
			return err
		}
		if p.Index != snap.Index {
			return rollout.NewError(rollout.KindConflict, "snapshot at index %d was replaced by snapshot at index %d during the fetch", snap.Index, p.Index)
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

// compressState compresses the output of writeState with zstd and writes it to w.
func compressState(w io.Writer, writeState func(w io.Writer) error) error {
	e, err := zstd.NewWriter(w, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(snapshotWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "create snapshot encoder").WithCause(err)
	}
	return errors.Join(writeState(e), e.Close())
}
