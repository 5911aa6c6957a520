package disk

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// A snapshot file consists of the CRC-32C of the remaining bytes, a format byte,
// the length of the header, the header (an encoded wire.Snapshot without data)
// and the data. Earlier versions wrote a complete wire.Snapshot or JSON after
// the checksum.
const (
	checksumBytes     = 4
	streamFormat      = 0x01
	headerLengthBytes = 4
	// writeBufferBytes is the buffer size for writes to the file.
	writeBufferBytes = 128 << 10
	maxHeaderBytes   = 1 << 20
	// syncBytes is how much of a snapshot is written between two syncs. The disk
	// syncs the log in between; one sync of a whole snapshot would delay it by the
	// time that the disk takes to write all of it.
	syncBytes = 1 << 20
)

// syncingWriter syncs a file after every syncBytes.
type syncingWriter struct {
	file     File
	unsynced int
}

// Write implements io.Writer.
func (w *syncingWriter) Write(p []byte) (int, error) {
	n, err := w.file.Write(p)
	if w.unsynced += n; err != nil || w.unsynced < syncBytes {
		return n, err
	}
	w.unsynced = 0
	return n, w.file.Sync()
}

// WriteFunc writes the contents of a snapshot to w.
type WriteFunc func(w io.Writer) error

// SaveSnapshot stores a snapshot whose data is produced by write. Log entries
// that the snapshot covers are ignored when the store is next opened. It may be
// called concurrently with the methods that write the log. A snapshot that is
// older than the stored one is discarded.
func (s *Store) SaveSnapshot(snap quorum.Snapshot, write WriteFunc) error {
	header, err := snapshotHeader(snap)
	if err != nil {
		return storageError("encode snapshot", err)
	}
	return s.replaceSnapshot(snap.Index, func(f File) error { return writeSnapshot(f, header, write) })
}

// replaceSnapshot replaces the stored snapshot unless it is newer. The stored one can be read
// until the new one is complete.
func (s *Store) replaceSnapshot(index uint64, write func(f File) error) error {
	s.snapshotWriteMu.Lock()
	defer s.snapshotWriteMu.Unlock()
	if isOld, err := s.isOldSnapshot(index); isOld {
		return err
	}
	if err := s.writeTemporary(snapshotFileName, write); err != nil {
		return err
	}
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	renamed, err := s.renameTemporary(snapshotFileName)
	if renamed {
		s.snapshotIndex, s.snapshotNameUnsynced = index, err != nil
	}
	return err
}

// isOldSnapshot reports whether the stored snapshot is newer than one at an index. It then makes
// its name durable.
func (s *Store) isOldSnapshot(index uint64) (bool, error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	if index >= s.snapshotIndex {
		return false, nil
	}
	return true, s.syncSnapshotName()
}

// syncSnapshotName makes the name of the stored snapshot durable if an earlier
// attempt failed. The caller holds snapshotMu.
func (s *Store) syncSnapshotName() error {
	if !s.snapshotNameUnsynced {
		return nil
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return storageError("sync directory of snapshot", err)
	}
	s.snapshotNameUnsynced = false
	return nil
}

// OpenSnapshot returns a reader of the data of the stored snapshot. It does not
// verify the checksum again; that was done when the snapshot was loaded or
// installed.
func (s *Store) OpenSnapshot() (io.ReadCloser, error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	f, err := os.Open(s.path(snapshotFileName))
	if err != nil {
		return nil, storageError("open snapshot", err)
	}
	if err := seekToData(f); err != nil {
		return nil, storageError("open snapshot", errors.Join(err, f.Close()))
	}
	return f, nil
}

// ReadSnapshotPiece returns up to size bytes of the stored snapshot file from
// the given offset on, the index of the snapshot and the total file size.
func (s *Store) ReadSnapshotPiece(offset int64, size int) (piece []byte, index uint64, total int64, err error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	f, err := os.Open(s.path(snapshotFileName))
	if err != nil {
		return nil, 0, 0, storageError("open snapshot", err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return nil, 0, 0, storageError("open snapshot", err)
	}
	piece = make([]byte, min(int64(size), max(0, info.Size()-offset)))
	if _, err := f.ReadAt(piece, offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, 0, 0, storageError("read snapshot", err)
	}
	return piece, s.snapshotIndex, info.Size(), nil
}

// InstallSnapshot stores the snapshot file of another member, which write
// produces. It replaces the stored snapshot only when the file is complete and
// its checksum matches. A snapshot that is older than the stored one is
// discarded without calling write.
func (s *Store) InstallSnapshot(index uint64, write WriteFunc) error {
	return s.replaceSnapshot(index, func(f File) error {
		if err := write(&syncingWriter{file: f}); err != nil {
			return err
		}
		return verifyChecksum(f, f.Name())
	})
}

// verifyChecksum checks the checksum at the start of a snapshot file against the
// remaining bytes.
func verifyChecksum(f io.ReadSeeker, path string) error {
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return err
	}
	want := make([]byte, checksumBytes)
	if _, err := io.ReadFull(f, want); err != nil {
		return err
	}
	sum := crc32.New(castagnoli)
	if _, err := io.Copy(sum, f); err != nil {
		return err
	}
	if sum.Sum32() != binary.LittleEndian.Uint32(want) {
		return &CorruptError{Path: path, Reason: "checksum mismatch"}
	}
	return nil
}

// seekToData moves the read position to the data of a snapshot file.
func seekToData(f *os.File) error {
	start := make([]byte, checksumBytes+1+headerLengthBytes)
	if _, err := io.ReadFull(f, start); err != nil {
		return err
	}
	if start[checksumBytes] != streamFormat {
		return errors.New("snapshot file has the format of an earlier version")
	}
	size := binary.LittleEndian.Uint32(start[checksumBytes+1:])
	_, err := f.Seek(int64(size), io.SeekCurrent)
	return err
}

// loadSnapshotHeader returns the stored snapshot, whose checksum it verifies, without its data,
// which may take much of the memory of a host. It returns nil if there is none.
func (s *Store) loadSnapshotHeader() (*quorum.Snapshot, error) {
	path := s.path(snapshotFileName)
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, storageError("read snapshot", err)
	}
	defer func() { _ = f.Close() }()
	start := make([]byte, checksumBytes+1+headerLengthBytes)
	if _, err := io.ReadFull(f, start); err != nil || start[checksumBytes] != streamFormat {
		// A file of an earlier release, or none that LoadSnapshot accepts.
		snap, err := s.LoadSnapshot()
		if snap != nil {
			snap.Data = nil
		}
		return snap, err
	}
	if err := verifyChecksum(f, path); err != nil {
		return nil, err
	}
	size := binary.LittleEndian.Uint32(start[checksumBytes+1:])
	if size > maxHeaderBytes {
		return nil, &CorruptError{Path: path, Reason: fmt.Sprintf("header length of %d bytes exceeds the limit of %d bytes", size, maxHeaderBytes)}
	}
	header := make([]byte, size)
	if _, err := f.ReadAt(header, int64(len(start))); err != nil {
		return nil, &CorruptError{Path: path, Reason: fmt.Sprintf("read header of %d bytes: %v", size, err)}
	}
	snap, err := decodeSnapshot(append(start[checksumBytes:], header...))
	if err != nil {
		return nil, &CorruptError{Path: path, Reason: err.Error()}
	}
	snap.Data = nil
	return snap, nil
}

// LoadSnapshot returns the stored snapshot with its data, or nil if there is
// none.
func (s *Store) LoadSnapshot() (*quorum.Snapshot, error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	path := s.path(snapshotFileName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, storageError("read snapshot", err)
	}
	if len(data) < checksumBytes {
		return nil, &CorruptError{Path: path, Reason: fmt.Sprintf("file of %d bytes is too short for a checksum", len(data))}
	}
	payload := data[checksumBytes:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data) {
		return nil, &CorruptError{Path: path, Reason: "checksum mismatch"}
	}
	snap, err := decodeSnapshot(payload)
	if err != nil {
		return nil, &CorruptError{Path: path, Reason: err.Error()}
	}
	return snap, nil
}

func snapshotHeader(snap quorum.Snapshot) ([]byte, error) {
	snap.Data = nil
	w, err := wire.FromSnapshot(&snap)
	if err != nil {
		return nil, err
	}
	message, err := proto.Marshal(w)
	if err != nil {
		return nil, err
	}
	header := binary.LittleEndian.AppendUint32([]byte{streamFormat}, uint32(len(message)))
	return append(header, message...), nil
}

// writeSnapshot writes a snapshot file. It reserves space for the checksum and
// fills it in last.
func writeSnapshot(f File, header []byte, write WriteFunc) error {
	if _, err := f.Write(make([]byte, checksumBytes)); err != nil {
		return err
	}
	sum := crc32.New(castagnoli)
	out := bufio.NewWriterSize(io.MultiWriter(&syncingWriter{file: f}, sum), writeBufferBytes)
	if _, err := out.Write(header); err != nil {
		return err
	}
	if err := errors.Join(write(out), out.Flush()); err != nil {
		return err
	}
	_, err := f.WriteAt(binary.LittleEndian.AppendUint32(nil, sum.Sum32()), 0)
	return err
}

func decodeSnapshot(payload []byte) (*quorum.Snapshot, error) {
	if len(payload) == 0 {
		return nil, errors.New("snapshot has no payload")
	}
	var w wire.Snapshot
	switch payload[0] {
	case jsonPrefix:
		var s quorum.Snapshot
		return &s, json.Unmarshal(payload, &s)
	case streamFormat:
		rest := payload[1:]
		if len(rest) < headerLengthBytes {
			return nil, fmt.Errorf("header length is truncated to %d of %d bytes", len(rest), headerLengthBytes)
		}
		size := int(binary.LittleEndian.Uint32(rest))
		rest = rest[headerLengthBytes:]
		if size > maxHeaderBytes || size > len(rest) {
			return nil, fmt.Errorf("header length of %d bytes exceeds the limit of %d bytes or the remaining %d bytes", size, maxHeaderBytes, len(rest))
		}
		if err := proto.Unmarshal(rest[:size], &w); err != nil {
			return nil, err
		}
		w.Data = rest[size:]
	default:
		if err := proto.Unmarshal(payload, &w); err != nil {
			return nil, err
		}
	}
	return wire.ToSnapshot(&w)
}
