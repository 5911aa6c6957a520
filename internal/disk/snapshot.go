package disk

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"
	"io"
	"io/fs"
	"os"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// A snapshot file is the CRC-32C of the rest, a mark, the length of a
// wire.Snapshot without data, that message, and the data. Earlier versions
// wrote one wire.Snapshot or JSON after the checksum.
const (
	checksumBytes = 4
	streamMark    = 0x01
	lengthBytes   = 4
	// writeBufferBytes is how much is written to the file at once.
	writeBufferBytes = 128 << 10
	maxHeaderBytes   = 1 << 20
)

// WriteFunc writes the data of a snapshot.
type WriteFunc func(w io.Writer) error

// SaveSnapshot stores a snapshot whose data is written by a function. Entries
// of the log that it covers are passed over from then on. It may be called by
// another thread than the rest; a snapshot that is older than the stored one
// is dropped.
func (s *Store) SaveSnapshot(snap quorum.Snapshot, write WriteFunc) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	if snap.Index < s.snapshotIndex {
		return nil
	}
	header, err := snapshotHeader(snap)
	if err != nil {
		return storageError("encode snapshot", err)
	}
	err = s.replaceBy(snapshotName, func(f *os.File) error { return writeSnapshot(f, header, write) })
	if err != nil {
		return err
	}
	s.snapshotIndex = snap.Index
	return nil
}

// OpenSnapshot returns a reader of the data of the stored snapshot, whose
// checksum was right when it was loaded or received.
func (s *Store) OpenSnapshot() (io.ReadCloser, error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	f, err := os.Open(s.path(snapshotName))
	if err != nil {
		return nil, storageError("open snapshot", err)
	}
	if err := skipHeader(f); err != nil {
		return nil, storageError("open snapshot", errors.Join(err, f.Close()))
	}
	return f, nil
}

// ReadSnapshotPiece returns a piece of the file of the stored snapshot, and the index
// and the size of the whole.
func (s *Store) ReadSnapshotPiece(offset int64, size int) (piece []byte, index uint64, total int64, err error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	f, err := os.Open(s.path(snapshotName))
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

// InstallSnapshot stores the file of another member's snapshot. The function writes
// it; it takes its place when it is whole.
func (s *Store) InstallSnapshot(index uint64, write WriteFunc) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	if index < s.snapshotIndex {
		return nil
	}
	err := s.replaceBy(snapshotName, func(f *os.File) error {
		if err := write(f); err != nil {
			return err
		}
		return checkFile(f)
	})
	if err != nil {
		return err
	}
	s.snapshotIndex = index
	return nil
}

// checkFile compares the checksum at the beginning of a file with the rest.
func checkFile(f *os.File) error {
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
		return &CorruptError{Path: f.Name(), Reason: "checksum"}
	}
	return nil
}

// skipHeader moves to the data of a snapshot file.
func skipHeader(f *os.File) error {
	start := make([]byte, checksumBytes+1+lengthBytes)
	if _, err := io.ReadFull(f, start); err != nil {
		return err
	}
	if start[checksumBytes] != streamMark {
		return errors.New("snapshot of an earlier version")
	}
	size := binary.LittleEndian.Uint32(start[checksumBytes+1:])
	_, err := f.Seek(int64(size), io.SeekCurrent)
	return err
}

// LoadSnapshot returns the stored snapshot with its data, or nil when there is
// none.
func (s *Store) LoadSnapshot() (*quorum.Snapshot, error) {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	path := s.path(snapshotName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, storageError("read snapshot", err)
	}
	if len(data) < checksumBytes {
		return nil, &CorruptError{Path: path, Reason: "short file"}
	}
	payload := data[checksumBytes:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data) {
		return nil, &CorruptError{Path: path, Reason: "checksum"}
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
	header := binary.LittleEndian.AppendUint32([]byte{streamMark}, uint32(len(message)))
	return append(header, message...), nil
}

// writeSnapshot leaves room for the checksum and fills it in at the end.
func writeSnapshot(f *os.File, header []byte, write WriteFunc) error {
	if _, err := f.Write(make([]byte, checksumBytes)); err != nil {
		return err
	}
	sum := crc32.New(castagnoli)
	out := bufio.NewWriterSize(io.MultiWriter(f, sum), writeBufferBytes)
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
		return nil, errors.New("empty snapshot")
	}
	var w wire.Snapshot
	switch payload[0] {
	case jsonStart:
		var s quorum.Snapshot
		return &s, json.Unmarshal(payload, &s)
	case streamMark:
		rest := payload[1:]
		if len(rest) < lengthBytes {
			return nil, errors.New("short header")
		}
		size := int(binary.LittleEndian.Uint32(rest))
		rest = rest[lengthBytes:]
		if size > maxHeaderBytes || size > len(rest) {
			return nil, errors.New("header length")
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
