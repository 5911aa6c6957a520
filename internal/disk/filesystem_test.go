package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// operation is a kind of change of a file system.
type operation string

const (
	opCreate   operation = "create"
	opOpen     operation = "open"
	opWrite    operation = "write"
	opSync     operation = "sync"
	opTruncate operation = "truncate"
	opRename   operation = "rename"
	opSyncDir  operation = "sync directory"
)

var errInjected = errors.New("injected fault")

// faultyFileSystem makes chosen operations fail and keeps what a power loss would
// bring back: the files that were replaced since their directory was synced.
type faultyFileSystem struct {
	OSFileSystem
	// failures holds how many of the next operations of a kind fail.
	failures map[operation]int
	// replaced holds the former contents of replaced files by path; nil if there
	// was no file.
	replaced map[string][]byte
	// unsynced is the number of bytes written to the file in use since its last
	// sync, and mostUnsynced the largest such number.
	unsynced, mostUnsynced int
	// count numbers all operations, and failFrom to failTo is the range of those
	// that fail.
	count, failFrom, failTo int
}

func newFaultyFileSystem() *faultyFileSystem {
	return &faultyFileSystem{failures: make(map[operation]int), replaced: make(map[string][]byte)}
}

func (fs *faultyFileSystem) failNext(ops ...operation) {
	for _, op := range ops {
		fs.failures[op]++
	}
}

func (fs *faultyFileSystem) fails(op operation) bool {
	fs.count++
	if fs.count >= fs.failFrom && fs.count < fs.failTo {
		return true
	}
	if fs.failures[op] > 0 {
		fs.failures[op]--
		return true
	}
	return false
}

func (fs *faultyFileSystem) Create(path string) (File, error) {
	if fs.fails(opCreate) {
		return nil, errInjected
	}
	f, err := fs.OSFileSystem.Create(path)
	return &faultyFile{f, fs}, err
}

func (fs *faultyFileSystem) OpenAppend(path string) (File, error) {
	if fs.fails(opOpen) {
		return nil, errInjected
	}
	f, err := fs.OSFileSystem.OpenAppend(path)
	return &faultyFile{f, fs}, err
}

func (fs *faultyFileSystem) Rename(from, to string) error {
	if fs.fails(opRename) {
		return errInjected
	}
	if _, known := fs.replaced[to]; !known {
		// A file that is missing yields nil.
		fs.replaced[to], _ = os.ReadFile(to)
	}
	return fs.OSFileSystem.Rename(from, to)
}

func (fs *faultyFileSystem) SyncDir(dir string) error {
	if fs.fails(opSyncDir) {
		return errInjected
	}
	clear(fs.replaced)
	return fs.OSFileSystem.SyncDir(dir)
}

// powerLoss returns a copy of a directory as it may be after a power loss: each
// replaced file whose directory was not synced is the former one if revert holds
// for it.
func (fs *faultyFileSystem) powerLoss(t *testing.T, dir string, revert func(name string) bool) string {
	t.Helper()
	after := t.TempDir()
	for _, name := range []string{logFileName, snapshotFileName, memberFileName} {
		path := filepath.Join(dir, name)
		former, replaced := fs.replaced[path]
		switch data, err := os.ReadFile(path); {
		case replaced && revert(name):
			if former != nil {
				writeFile(t, filepath.Join(after, name), former)
			}
		case err == nil:
			writeFile(t, filepath.Join(after, name), data)
		}
	}
	return after
}

// faultyFile is a file of a faultyFileSystem. A failing write stores half of the
// data.
type faultyFile struct {
	File
	fs *faultyFileSystem
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if !f.fs.fails(opWrite) {
		f.fs.unsynced += len(p)
		f.fs.mostUnsynced = max(f.fs.mostUnsynced, f.fs.unsynced)
		return f.File.Write(p)
	}
	n, _ := f.File.Write(p[:len(p)/2])
	return n, errInjected
}

func (f *faultyFile) Sync() error {
	if f.fs.fails(opSync) {
		return errInjected
	}
	f.fs.unsynced = 0
	return f.File.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if f.fs.fails(opTruncate) {
		return errInjected
	}
	return f.File.Truncate(size)
}

func assertStorageError(t *testing.T, err error) {
	t.Helper()
	var e *rollout.Error
	if !errors.As(err, &e) || e.Kind != rollout.KindStorage {
		t.Fatalf("error %v, want Storage", err)
	}
}

func TestRecordsFollowTornWriteOnlyAfterTruncation(t *testing.T) {
	dir := t.TempDir()
	fs := newFaultyFileSystem()
	s, _ := open(t, dir, WithFileSystem(fs))
	appendAll(t, s, entries(1, 2)...)
	fs.failNext(opWrite, opTruncate, opTruncate)
	assertStorageError(t, s.Append(nil, entries(3, 3)))
	assertStorageError(t, s.Append(nil, entries(3, 3)))
	appendAll(t, s, entries(3, 4)...)
	_, saved := open(t, dir)
	assertLast(t, saved, 4)
}

func TestRecordsGoToRenamedLogAfterFailedCompaction(t *testing.T) {
	for _, op := range []operation{opSyncDir, opOpen} {
		t.Run(string(op), func(t *testing.T) {
			dir := t.TempDir()
			fs := newFaultyFileSystem()
			s, _ := open(t, dir, WithFileSystem(fs))
			appendAll(t, s, entries(1, 5)...)
			saveState(t, s, 3, "state")
			fs.failNext(op)
			assertStorageError(t, s.CompactLog(s.HardState(), entries(4, 5)))
			appendAll(t, s, entries(6, 6)...)
			for _, reverted := range []bool{false, true} {
				after := fs.powerLoss(t, dir, func(string) bool { return reverted })
				_, saved := open(t, after)
				assertLast(t, saved, 6)
			}
		})
	}
}

func TestMissingEntryIsReported(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	appendAll(t, s, entries(1, 2)...)
	appendAll(t, s, entries(4, 4)...)
	_, _, err := Open(dir)
	var corrupt *CorruptError
	if !errors.As(err, &corrupt) || corrupt.Reason != "entry 4 follows entry 2" {
		t.Fatalf("error %v, want that entry 4 follows entry 2", err)
	}
}

// TestAcknowledgedEntriesSurviveEachFault makes each operation of a fixed series
// of writes fail in turn, alone and with those that follow it, and reads the
// directory after each write as a power loss may leave it.
func TestAcknowledgedEntriesSurviveEachFault(t *testing.T) {
	const maxOperations = 60
	for failures := 1; failures <= 4; failures++ {
		for first := 1; first <= maxOperations; first++ {
			t.Run(fmt.Sprintf("%d/%d", failures, first), func(t *testing.T) {
				t.Parallel()
				fs := newFaultyFileSystem()
				dir := t.TempDir()
				s, _ := open(t, dir, WithFileSystem(fs))
				fs.count, fs.failFrom, fs.failTo = 0, first, first+failures
				writeWithRetries(t, fs, s, dir)
			})
		}
	}
}

// writeWithRetries appends entries and compacts the log in between. It repeats
// what failed, as a member of a quorum does.
func writeWithRetries(t *testing.T, fs *faultyFileSystem, s *Store, dir string) {
	t.Helper()
	const last = 9
	for index := uint64(1); index <= last; index++ {
		for tries := 0; s.Append(&quorum.HardState{Term: index}, entries(index, index)) != nil; tries++ {
			if tries > 5 {
				t.Fatalf("entry %d is still refused after the faults", index)
			}
		}
		assertDurable(t, fs, dir, index)
		if index%3 != 0 {
			continue
		}
		covered := index - 1
		err := s.SaveSnapshot(quorum.Snapshot{Index: covered, Term: covered}, func(w io.Writer) error {
			_, err := io.WriteString(w, "state")
			return err
		})
		if err == nil {
			// A failed compaction is not repeated; the log goes on as it is.
			_ = s.CompactLog(s.HardState(), entries(index, index))
		}
		assertDurable(t, fs, dir, index)
	}
}

// assertDurable checks that a directory holds all entries up to an index, for
// each choice of replaced files that a power loss brings back.
func assertDurable(t *testing.T, fs *faultyFileSystem, dir string, index uint64) {
	t.Helper()
	for _, reverted := range [][]string{nil, {logFileName}, {snapshotFileName}, {logFileName, snapshotFileName}} {
		after := fs.powerLoss(t, dir, func(name string) bool {
			for _, r := range reverted {
				if r == name {
					return true
				}
			}
			return false
		})
		s, saved, err := Open(after)
		if err != nil {
			t.Fatalf("open after power loss with former %v: %v", reverted, err)
		}
		newest := uint64(len(saved.Entries))
		if saved.Snapshot != nil {
			newest += saved.Snapshot.Index
		}
		if newest < index || saved.HardState.Term < index {
			t.Fatalf("former %v: entries up to %d and term %d are left, want %d", reverted, newest, saved.HardState.Term, index)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// A log record that is synced while a snapshot is written waits for what the
// disk still has to write of the snapshot.
func TestLongSnapshotIsSyncedInParts(t *testing.T) {
	const size = 20 * syncBytes
	write := func(w io.Writer) error {
		for range size / 1_000 {
			if _, err := w.Write(make([]byte, 1_000)); err != nil {
				return err
			}
		}
		return nil
	}
	from := newFaultyFileSystem()
	s, _ := open(t, t.TempDir(), WithFileSystem(from))
	if err := s.SaveSnapshot(quorum.Snapshot{Index: 1}, write); err != nil {
		t.Fatal(err)
	}
	assertSyncedInParts(t, from)
	to := newFaultyFileSystem()
	other, _ := open(t, t.TempDir(), WithFileSystem(to))
	if err := other.InstallSnapshot(1, copyPieces(s, syncBytes/4, false)); err != nil {
		t.Fatal(err)
	}
	assertSyncedInParts(t, to)
}

func assertSyncedInParts(t *testing.T, fs *faultyFileSystem) {
	t.Helper()
	if limit := syncBytes + writeBufferBytes + syncBytes/4; fs.mostUnsynced > limit {
		t.Fatalf("%d bytes were unsynced at a time, want at most %d", fs.mostUnsynced, limit)
	}
}
