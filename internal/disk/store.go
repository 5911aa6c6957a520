// Package disk stores the quorum log, the snapshot and the ID of a member in one
// data directory. Every write is synced before the call returns.
package disk

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
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

// Store is the durable state of one member. Its methods must be called from one
// goroutine; only SaveSnapshot, InstallSnapshot, OpenSnapshot, ReadSnapshotPiece
// and LoadSnapshot may be called concurrently.
type Store struct {
	dir    string
	fs     FileSystem
	member quorum.MemberID
	// log is nil if it must be opened again before the next write.
	log File
	// size is the length of the valid records of the log.
	size int64
	// logTorn is true if the log may hold part of a failed write after size.
	logTorn bool
	// logNameUnsynced is true if the log was replaced and the directory could not
	// be synced. After a power loss the old log may be back.
	logNameUnsynced bool
	// hardState is the hard state last stored.
	hardState quorum.HardState
	// headerOnly is true if Open returns the snapshot without its data.
	headerOnly bool
	// TruncatedBytes is the length of the torn record that Open removed from
	// the end of the log.
	TruncatedBytes int64
	// snapshotWriteMu is held while a snapshot is written, which may take seconds.
	snapshotWriteMu sync.Mutex
	// snapshotMu guards the name of the snapshot file and the fields below. It is not held while
	// a snapshot is written, so that the stored one can be read meanwhile.
	snapshotMu sync.Mutex
	// snapshotIndex is the index of the newest stored snapshot.
	snapshotIndex uint64
	// snapshotNameUnsynced is true if the snapshot was replaced and the directory
	// could not be synced.
	snapshotNameUnsynced bool
}

// Option configures a Store.
type Option func(*Store)

// WithFileSystem sets the file system through which the store writes.
func WithFileSystem(fs FileSystem) Option {
	return func(s *Store) { s.fs = fs }
}

// WithoutSnapshotData makes Open return the snapshot without its data, which OpenSnapshot reads.
func WithoutSnapshotData() Option {
	return func(s *Store) { s.headerOnly = true }
}

// Open opens the data directory and returns the state stored in it. If the
// directory has no member ID, Open generates and stores one.
func Open(dir string, opts ...Option) (*Store, quorum.SavedState, error) {
	s := &Store{dir: dir, fs: OSFileSystem{}}
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
	if err := s.prepareLog(); err != nil {
		return nil, quorum.SavedState{}, err
	}
	return s, saved, nil
}

// Append appends entries and, unless hard is nil, a hard state to the log as one
// record. After an error nothing counts as stored, and the same record may be
// appended again.
func (s *Store) Append(hard *quorum.HardState, entries []quorum.Entry) error {
	if err := s.prepareLog(); err != nil {
		return err
	}
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
func (s *Store) Close() error {
	if s.log == nil {
		return nil
	}
	return s.log.Close()
}

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
// stored snapshot. After an error either log may be in place; the next write
// goes to the one that is.
func (s *Store) CompactLog(hard quorum.HardState, entries []quorum.Entry) error {
	rec, err := encodeRecord(record{HardState: &hard, Entries: entries})
	if err != nil {
		return err
	}
	renamed, err := s.replaceFile(logFileName, rec)
	if renamed {
		// The open file is the old log, which has no name any more.
		_ = s.log.Close()
		s.log, s.logTorn, s.logNameUnsynced = nil, false, err != nil
		s.hardState, s.size = hard, int64(len(rec))
	}
	if err != nil {
		return err
	}
	return s.prepareLog()
}

// prepareLog makes the log ready for the next record. It finishes what an earlier
// failure left undone.
func (s *Store) prepareLog() error {
	if s.logNameUnsynced {
		if err := s.fs.SyncDir(s.dir); err != nil {
			return storageError("sync directory of log", err)
		}
		s.logNameUnsynced = false
	}
	if s.log == nil {
		log, err := s.fs.OpenAppend(s.path(logFileName))
		if err != nil {
			return storageError("open log", err)
		}
		s.log = log
	}
	if s.logTorn {
		if err := s.log.Truncate(s.size); err != nil {
			return storageError("truncate failed write of log", err)
		}
		s.logTorn = false
	}
	return nil
}

func (s *Store) loadState() (quorum.SavedState, error) {
	var saved quorum.SavedState
	load := s.LoadSnapshot
	if s.headerOnly {
		load = s.loadSnapshotHeader
	}
	snap, err := load()
	if err != nil {
		return saved, err
	}
	saved.Snapshot = snap
	if snap != nil {
		s.snapshotIndex = snap.Index
	}
	return saved, s.loadLog(&saved)
}

// loadLog adds the log to the saved state. It reads one record at a time and keeps none that
// the snapshot covers, as the whole log may take much of the memory of a host.
func (s *Store) loadLog(saved *quorum.SavedState) error {
	path := s.path(logFileName)
	log, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return storageError("read log", err)
	}
	defer func() { _ = log.Close() }()
	info, err := log.Stat()
	if err != nil {
		return storageError("read log", err)
	}
	s.size, err = readRecords(path, log, info.Size(), func(r record) error { return mergeRecord(path, saved, r) })
	if err != nil {
		return err
	}
	s.TruncatedBytes = info.Size() - s.size
	if s.TruncatedBytes > 0 {
		if err := os.Truncate(path, s.size); err != nil {
			return storageError("truncate torn record", err)
		}
	}
	return nil
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
	_, err = s.replaceFile(memberFileName, []byte(s.member))
	return err
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// replaceFile atomically replaces the contents of a file. It reports whether the
// new file has the name, which may be so after an error too.
func (s *Store) replaceFile(name string, data []byte) (renamed bool, err error) {
	return s.replaceFileWith(name, func(f File) error {
		_, err := f.Write(data)
		return err
	})
}

// replaceFileWith atomically replaces a file with the contents that write
// produces: it writes and syncs a temporary file, renames it and syncs the
// directory. It reports whether the new file has the name.
func (s *Store) replaceFileWith(name string, write func(f File) error) (renamed bool, err error) {
	if err := s.writeTemporary(name, write); err != nil {
		return false, err
	}
	return s.renameTemporary(name)
}

// writeTemporary writes and syncs the temporary file that is to replace a file.
func (s *Store) writeTemporary(name string, write func(f File) error) error {
	tmp := s.path(name + ".tmp")
	f, err := s.fs.Create(tmp)
	if err != nil {
		return storageError("create "+name, err)
	}
	err = write(f)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return s.removeTemporary(name, err)
	}
	return nil
}

// renameTemporary replaces a file with its temporary file. It reports whether that has the name.
func (s *Store) renameTemporary(name string) (renamed bool, err error) {
	if err := s.fs.Rename(s.path(name+".tmp"), s.path(name)); err != nil {
		return false, s.removeTemporary(name, err)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return true, storageError("write "+name, err)
	}
	return true, nil
}

// removeTemporary removes a temporary file after an error, which it returns. Without the remains
// a full disk may have space for the log again.
func (s *Store) removeTemporary(name string, err error) error {
	return storageError("write "+name, errors.Join(err, s.fs.Remove(s.path(name+".tmp"))))
}

// rollbackWrite truncates the log to its length before a failed write, so that
// later records follow a complete one. If that fails too, the next write tries
// it again first.
func (s *Store) rollbackWrite(operation string, err error) error {
	s.logTorn = true
	return storageError(operation, errors.Join(err, s.prepareLog()))
}

// mergeRecord appends the log entries of a record that the snapshot does not cover to the
// saved state. It returns an error if an entry is missing in between.
func mergeRecord(path string, saved *quorum.SavedState, r record) error {
	var from uint64
	if saved.Snapshot != nil {
		from = saved.Snapshot.Index
	}
	if r.HardState != nil {
		saved.HardState = *r.HardState
	}
	for _, e := range r.Entries {
		if e.Index <= from {
			continue
		}
		if next := from + uint64(len(saved.Entries)) + 1; e.Index > next {
			return &CorruptError{Path: path, Offset: r.offset, Reason: fmt.Sprintf("entry %d follows entry %d", e.Index, next-1)}
		}
		saved.Entries = append(saved.Entries[:e.Index-from-1], e)
	}
	return nil
}

func storageError(operation string, err error) error {
	return rollout.NewError(rollout.KindStorage, "%s", operation).WithCause(err)
}

// HardState returns the hard state last stored.
func (s *Store) HardState() quorum.HardState { return s.hardState }
