package replica

import (
	"crypto/rand"
	"encoding/hex"
	"io"

	"github.com/coltsfootspoke/coltsfootspoke/internal/disk"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// storage is the durable state of a member: the hard state, the log and the
// snapshot.
type storage interface {
	Append(hard *quorum.HardState, entries []quorum.Entry) error
	HardState() quorum.HardState
	Member() quorum.MemberID
	// SaveSnapshot, OpenSnapshot, ReadSnapshotPiece and InstallSnapshot may be
	// called from other goroutines than the rest.
	SaveSnapshot(snap quorum.Snapshot, write disk.WriteFunc) error
	OpenSnapshot() (io.ReadCloser, error)
	ReadSnapshotPiece(offset int64, size int) (piece []byte, index uint64, total int64, err error)
	InstallSnapshot(index uint64, write disk.WriteFunc) error
	// CompactLog replaces the log with the entries that follow a saved snapshot.
	CompactLog(hard quorum.HardState, entries []quorum.Entry) error
}

var errNoDisk = rollout.NewError(rollout.KindStorage, "the host has no disk")

// memberIDBytes is the length of the random ID of a replica without a disk.
const memberIDBytes = 8

// disklessStorage is the storage of a host without a disk. It stores no log, so
// its replica must never become a member of the quorum.
type disklessStorage struct {
	member quorum.MemberID
	hard   quorum.HardState
}

// openStorage opens a data directory. If dir is empty, the host has no disk and
// the storage is in memory.
func openStorage(dir string) (storage, quorum.SavedState, error) {
	if dir != "" {
		return disk.Open(dir, disk.WithoutSnapshotData())
	}
	id := make([]byte, memberIDBytes)
	if _, err := rand.Read(id); err != nil {
		return nil, quorum.SavedState{}, rollout.NewError(rollout.KindInternal, "generate member ID").WithCause(err)
	}
	return &disklessStorage{member: quorum.MemberID(hex.EncodeToString(id))}, quorum.SavedState{}, nil
}

// Append implements storage.
func (s *disklessStorage) Append(hard *quorum.HardState, _ []quorum.Entry) error {
	if hard != nil {
		s.hard = *hard
	}
	return nil
}

// HardState implements storage.
func (s *disklessStorage) HardState() quorum.HardState { return s.hard }

// Member implements storage.
func (s *disklessStorage) Member() quorum.MemberID { return s.member }

// SaveSnapshot implements storage.
func (s *disklessStorage) SaveSnapshot(quorum.Snapshot, disk.WriteFunc) error { return nil }

// OpenSnapshot implements storage.
func (s *disklessStorage) OpenSnapshot() (io.ReadCloser, error) { return nil, errNoDisk }

// ReadSnapshotPiece implements storage.
func (s *disklessStorage) ReadSnapshotPiece(int64, int) ([]byte, uint64, int64, error) {
	return nil, 0, 0, errNoDisk
}

// InstallSnapshot implements storage.
func (s *disklessStorage) InstallSnapshot(uint64, disk.WriteFunc) error { return errNoDisk }

// CompactLog implements storage.
func (s *disklessStorage) CompactLog(hard quorum.HardState, _ []quorum.Entry) error {
	s.hard = hard
	return nil
}
