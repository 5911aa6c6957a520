package replica

import (
	"crypto/rand"
	"encoding/hex"
	"io"

	"github.com/coltsfootspoke/coltsfootspoke/internal/disk"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// storage keeps what a member must not forget.
type storage interface {
	Append(hard *quorum.HardState, entries []quorum.Entry) error
	HardState() quorum.HardState
	Member() quorum.MemberID
	// The methods on snapshots may be called by another thread than the rest.
	SaveSnapshot(snap quorum.Snapshot, write disk.WriteFunc) error
	OpenSnapshot() (io.ReadCloser, error)
	ReadSnapshotPiece(offset int64, size int) (piece []byte, index uint64, total int64, err error)
	InstallSnapshot(index uint64, write disk.WriteFunc) error
	// CompactLog stores entries that follow a saved snapshot in place of the log.
	CompactLog(hard quorum.HardState, entries []quorum.Entry) error
}

var errNoDisk = rollout.NewError(rollout.KindStorage, "the host has no disk")

// memberBytes make the ID of a replica without a disk.
const memberBytes = 8

// forgetful is the storage of a host without a disk. Its replica must never
// become a member.
type forgetful struct {
	member quorum.MemberID
	hard   quorum.HardState
}

// openStorage opens a data folder. No folder stands for a host without a
// disk.
func openStorage(dir string) (storage, quorum.SavedState, error) {
	if dir != "" {
		return disk.Open(dir)
	}
	id := make([]byte, memberBytes)
	if _, err := rand.Read(id); err != nil {
		return nil, quorum.SavedState{}, rollout.NewError(rollout.KindInternal, "make member ID").WithCause(err)
	}
	return &forgetful{member: quorum.MemberID(hex.EncodeToString(id))}, quorum.SavedState{}, nil
}

// Append implements storage.
func (f *forgetful) Append(hard *quorum.HardState, _ []quorum.Entry) error {
	if hard != nil {
		f.hard = *hard
	}
	return nil
}

// HardState implements storage.
func (f *forgetful) HardState() quorum.HardState { return f.hard }

// Member implements storage.
func (f *forgetful) Member() quorum.MemberID { return f.member }

// SaveSnapshot implements storage.
func (f *forgetful) SaveSnapshot(quorum.Snapshot, disk.WriteFunc) error { return nil }

// OpenSnapshot implements storage.
func (f *forgetful) OpenSnapshot() (io.ReadCloser, error) { return nil, errNoDisk }

// ReadSnapshotPiece implements storage.
func (f *forgetful) ReadSnapshotPiece(int64, int) ([]byte, uint64, int64, error) {
	return nil, 0, 0, errNoDisk
}

// InstallSnapshot implements storage.
func (f *forgetful) InstallSnapshot(uint64, disk.WriteFunc) error { return errNoDisk }

// CompactLog implements storage.
func (f *forgetful) CompactLog(hard quorum.HardState, _ []quorum.Entry) error {
	f.hard = hard
	return nil
}
