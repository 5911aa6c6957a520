// Package disk keeps the log of a control host in one data folder. What it
// has stored is synced before it returns.
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
	logName      = "log"
	snapshotName = "snapshot"
	memberName   = "member"
	filePerm     = 0o600
	memberBytes  = 8
)

// File is the part of a file that a Store writes to.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Store is the durable state of one member. It is used by one thread.
type Store struct {
	dir    string
	log    File
	size   int64
	member quorum.MemberID
	// hard is the last hard state stored.
	hard quorum.HardState
	// TruncatedBytes is the length of the torn record that Open cut off.
	TruncatedBytes int64
	// snapshotMu guards the snapshot file and snapshotIndex, the index of the
	// newest snapshot stored.
	snapshotMu    sync.Mutex
	snapshotIndex uint64
	// openLog opens the log for appending. Tests replace it.
	openLog func(path string) (File, error)
}

// Option changes a Store.
type Option func(*Store)

// WithOpenLog replaces how the log is opened for appending.
func WithOpenLog(open func(path string) (File, error)) Option {
	return func(s *Store) { s.openLog = open }
}

// Open opens the data folder and returns what it holds. A folder without a
// member ID gets a new one.
func Open(dir string, opts ...Option) (*Store, quorum.SavedState, error) {
	s := &Store{dir: dir, openLog: openAppend}
	for _, o := range opts {
		o(s)
	}
	if err := s.loadMember(); err != nil {
		return nil, quorum.SavedState{}, err
	}
	saved, err := s.load()
	if err != nil {
		return nil, quorum.SavedState{}, err
	}
	s.hard = saved.HardState
	s.log, err = s.openLog(s.path(logName))
	if err != nil {
		return nil, quorum.SavedState{}, storageError("open log", err)
	}
	return s, saved, nil
}

// Append stores a hard state and entries.
func (s *Store) Append(hard *quorum.HardState, entries []quorum.Entry) error {
	data, err := encodeRecord(record{HardState: hard, Entries: entries})
	if err != nil {
		return err
	}
	if _, err := s.log.Write(data); err != nil {
		return s.undo("write log", err)
	}
	if err := s.log.Sync(); err != nil {
		return s.undo("sync log", err)
	}
	s.size += int64(len(data))
	if hard != nil {
		s.hard = *hard
	}
	return nil
}

// Close closes the log.
func (s *Store) Close() error { return s.log.Close() }

// Member returns the ID that belongs to the data folder.
func (s *Store) Member() quorum.MemberID { return s.member }

// Save stores a snapshot and the entries that follow it in place of the log.
func (s *Store) Save(snap quorum.Snapshot, hard quorum.HardState, entries []quorum.Entry) error {
	write := func(w io.Writer) error {
		_, err := w.Write(snap.Data)
		return err
	}
	if err := s.SaveSnapshot(snap, write); err != nil {
		return err
	}
	return s.CompactLog(hard, entries)
}

// CompactLog stores entries that follow a saved snapshot in place of the log.
func (s *Store) CompactLog(hard quorum.HardState, entries []quorum.Entry) error {
	rec, err := encodeRecord(record{HardState: &hard, Entries: entries})
	if err != nil {
		return err
	}
	if err := s.replace(logName, rec); err != nil {
		return err
	}
	_ = s.log.Close()
	s.log, err = s.openLog(s.path(logName))
	if err != nil {
		return storageError("open log", err)
	}
	s.hard, s.size = hard, int64(len(rec))
	return nil
}

func (s *Store) load() (quorum.SavedState, error) {
	var saved quorum.SavedState
	snap, err := s.LoadSnapshot()
	if err != nil {
		return saved, err
	}
	saved.Snapshot = snap
	if snap != nil {
		s.snapshotIndex = snap.Index
	}
	data, err := os.ReadFile(s.path(logName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return saved, storageError("read log", err)
	}
	records, valid, err := decodeRecords(s.path(logName), data)
	if err != nil {
		return saved, err
	}
	s.size = valid
	s.TruncatedBytes = int64(len(data)) - valid
	if s.TruncatedBytes > 0 {
		if err := os.Truncate(s.path(logName), valid); err != nil {
			return saved, storageError("cut off torn record", err)
		}
	}
	return mergeRecords(saved, records), nil
}

func (s *Store) loadMember() error {
	data, err := os.ReadFile(s.path(memberName))
	if err == nil {
		s.member = quorum.MemberID(data)
		return nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return storageError("read member ID", err)
	}
	id := make([]byte, memberBytes)
	if _, err := rand.Read(id); err != nil {
		return storageError("make member ID", err)
	}
	s.member = quorum.MemberID(hex.EncodeToString(id))
	return s.replace(memberName, []byte(s.member))
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// replace writes a file whole or not at all.
func (s *Store) replace(name string, data []byte) error {
	return s.replaceBy(name, func(f *os.File) error {
		_, err := f.Write(data)
		return err
	})
}

// replaceBy has a function write a file, whole or not at all.
func (s *Store) replaceBy(name string, write func(f *os.File) error) error {
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

// undo cuts a failed write off again, so that later writes follow a whole
// record.
func (s *Store) undo(what string, err error) error {
	return storageError(what, errors.Join(err, s.log.Truncate(s.size)))
}

// mergeRecords puts the records of the log behind the snapshot.
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

func storageError(what string, err error) error {
	return rollout.NewError(rollout.KindStorage, "%s", what).WithCause(err)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// HardState returns the last hard state stored.
func (s *Store) HardState() quorum.HardState { return s.hard }
