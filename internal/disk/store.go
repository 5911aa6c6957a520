// Package disk stores the quorum log, the snapshot and the ID of a member in one
// data directory. Every write is synced before the call returns.
package disk

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

const (
	logFileName      = "log"
	snapshotFileName = "snapshot"
	memberFileName   = "member"
	filePerm         = 0o600
	memberIDBytes    = 8
)

// File is the subset of *os.File that a Store needs to write its log.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Store is the durable state of one member. Its methods must be called from one
// goroutine; only SaveSnapshot, InstallSnapshot, OpenSnapshot, ReadSnapshotPiece
// and LoadSnapshot may be called concurrently.
type Store struct {
	dir    string
	log    File
	size   int64
	member quorum.MemberID
	// hardState is the hard state last stored.
	hardState quorum.HardState
	// TruncatedBytes is the length of the torn record that Open removed from
	// the end of the log.
	TruncatedBytes int64
	// snapshotMu guards the snapshot file and snapshotIndex, the index of the
	// newest stored snapshot.
	snapshotMu    sync.Mutex
	snapshotIndex uint64
	// openLog opens the log for appending; tests replace it to inject write
	// errors.
	openLog func(path string) (File, error)
}

// Option configures a Store.
type Option func(*Store)

// WithOpenLog sets the function that opens the log for appending.
func WithOpenLog(open func(path string) (File, error)) Option {
	return func(s *Store) { s.openLog = open }
}

// Open opens the data directory and returns the state stored in it. If the
// directory has no member ID, Open generates and stores one.
func Open(dir string, opts ...Option) (*Store, quorum.SavedState, error) {
	s := &Store{dir: dir, openLog: openAppend}
	for _, o := range opts {
		o(s)
	}
	if err := s.loadOrCreateMemberID(); err != nil {
		return nil, quorum.SavedState{}, err
	}
	saved, err := s.loadState()
	if err != nil {
		return nil, quorum.SavedState{}, err
	}
	s.hardState = saved.HardState
	s.log, err = s.openLog(s.path(logFileName))
	if err != nil {
		return nil, quorum.SavedState{}, storageError("open log", err)
	}
	return s, saved, nil
}

// Append appends entries and, unless hard is nil, a hard state to the log as one
// record.
func (s *Store) Append(hard *quorum.HardState, entries []quorum.Entry) error {
	data, err := encodeRecord(record{HardState: hard, Entries: entries})
	if err != nil {
		return err
	}
	if _, err := s.log.Write(data); err != nil {
		return s.rollbackWrite("write log", err)
	}
	if err := s.log.Sync(); err != nil {
		return s.rollbackWrite("sync log", err)
	}
	s.size += int64(len(data))
	if hard != nil {
		s.hardState = *hard
	}
	return nil
}

// Close closes the log file.
func (s *Store) Close() error { return s.log.Close() }

// Member returns the member ID stored in the data directory.
func (s *Store) Member() quorum.MemberID { return s.member }

// SaveAndCompact stores a snapshot and replaces the log with the entries that
// follow it.
func (s *Store) SaveAndCompact(snap quorum.Snapshot, hard quorum.HardState, entries []quorum.Entry) error {
	write := func(w io.Writer) error {
		_, err := w.Write(snap.Data)
		return err
	}
	if err := s.SaveSnapshot(snap, write); err != nil {
		return err
	}
	return s.CompactLog(hard, entries)
}

// CompactLog replaces the log with a hard state and the entries that follow the
// stored snapshot.
func (s *Store) CompactLog(hard quorum.HardState, entries []quorum.Entry) error {
	rec, err := encodeRecord(record{HardState: &hard, Entries: entries})
	if err != nil {
		return err
	}
	if err := s.replaceFile(logFileName, rec); err != nil {
		return err
	}
	_ = s.log.Close()
	s.log, err = s.openLog(s.path(logFileName))
	if err != nil {
		return storageError("open log", err)
	}
	s.hardState, s.size = hard, int64(len(rec))
	return nil
}

func (s *Store) loadState() (quorum.SavedState, error) {
	var saved quorum.SavedState
	snap, err := s.LoadSnapshot()
	if err != nil {
		return saved, err
	}
	saved.Snapshot = snap
	if snap != nil {
		s.snapshotIndex = snap.Index
	}
	data, err := os.ReadFile(s.path(logFileName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return saved, storageError("read log", err)
	}
	records, valid, err := decodeRecords(s.path(logFileName), data)
	if err != nil {
		return saved, err
	}
	s.size = valid
	s.TruncatedBytes = int64(len(data)) - valid
	if s.TruncatedBytes > 0 {
		if err := os.Truncate(s.path(logFileName), valid); err != nil {
			return saved, storageError("truncate torn record", err)
		}
	}
	return mergeRecords(saved, records), nil
}

func (s *Store) loadOrCreateMemberID() error {
	data, err := os.ReadFile(s.path(memberFileName))
	if err == nil {
		s.member = quorum.MemberID(data)
		return nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return storageError("read member ID", err)
	}
	id := make([]byte, memberIDBytes)
	if _, err := rand.Read(id); err != nil {
		return storageError("generate member ID", err)
	}
	s.member = quorum.MemberID(hex.EncodeToString(id))
	return s.replaceFile(memberFileName, []byte(s.member))
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// replaceFile atomically replaces the contents of a file.
func (s *Store) replaceFile(name string, data []byte) error {
	return s.replaceFileWith(name, func(f *os.File) error {
		_, err := f.Write(data)
		return err
	})
}

// replaceFileWith atomically replaces a file with the contents that write
// produces: it writes and syncs a temporary file, renames it and syncs the
// directory.
func (s *Store) replaceFileWith(name string, write func(f *os.File) error) error {
	tmp := s.path(name + ".tmp")
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_RDWR, filePerm)
	if err != nil {
		return storageError("create "+name, err)
	}
	err = write(f)
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(tmp, s.path(name))
	}
	if err == nil {
		err = syncDir(s.dir)
	}
	if err != nil {
		return storageError("write "+name, err)
	}
	return nil
}

// rollbackWrite truncates the log to its length before a failed write, so that
// later records follow a complete one.
func (s *Store) rollbackWrite(operation string, err error) error {
	return storageError(operation, errors.Join(err, s.log.Truncate(s.size)))
}

// mergeRecords appends the log entries that the snapshot does not cover to the
// saved state.
func mergeRecords(saved quorum.SavedState, records []record) quorum.SavedState {
	var from uint64
	if saved.Snapshot != nil {
		from = saved.Snapshot.Index
	}
	for _, r := range records {
		if r.HardState != nil {
			saved.HardState = *r.HardState
		}
		for _, e := range r.Entries {
			if e.Index <= from {
				continue
			}
			saved.Entries = append(saved.Entries[:e.Index-from-1], e)
		}
	}
	return saved
}

func openAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
}

func storageError(operation string, err error) error {
	return rollout.NewError(rollout.KindStorage, "%s", operation).WithCause(err)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// HardState returns the hard state last stored.
func (s *Store) HardState() quorum.HardState { return s.hardState }
