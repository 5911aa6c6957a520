package replica

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/coltsfootspoke/coltsfootspoke/internal/disk"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// storage keeps what a member must not forget.
type storage interface {
	Append(hard *quorum.HardState, entries []quorum.Entry) error
	HardState() quorum.HardState
	Member() quorum.MemberID
	Save(snap quorum.Snapshot, hard quorum.HardState, entries []quorum.Entry) error
	// SaveSnapshot and LoadSnapshot may be called by another thread than the
	// rest.
	SaveSnapshot(snap quorum.Snapshot, write disk.Write) error
	LoadSnapshot() (*quorum.Snapshot, error)
	// Shorten stores entries that follow a saved snapshot in place of the log.
	Shorten(hard quorum.HardState, entries []quorum.Entry) error
}

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
func openStorage(dir string) (storage, quorum.Saved, error) {
	if dir != "" {
		return disk.Open(dir)
	}
	id := make([]byte, memberBytes)
	if _, err := rand.Read(id); err != nil {
		return nil, quorum.Saved{}, rollout.NewError(rollout.KindInternal, "make member ID").WithCause(err)
	}
	return &forgetful{member: quorum.MemberID(hex.EncodeToString(id))}, quorum.Saved{}, nil
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

// Save implements storage.
func (f *forgetful) Save(_ quorum.Snapshot, hard quorum.HardState, _ []quorum.Entry) error {
	f.hard = hard
	return nil
}

// SaveSnapshot implements storage.
func (f *forgetful) SaveSnapshot(quorum.Snapshot, disk.Write) error { return nil }

// LoadSnapshot implements storage.
func (f *forgetful) LoadSnapshot() (*quorum.Snapshot, error) { return nil, nil }

// Shorten implements storage.
func (f *forgetful) Shorten(hard quorum.HardState, _ []quorum.Entry) error {
	f.hard = hard
	return nil
}
