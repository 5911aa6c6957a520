package disk

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

func entries(from, to uint64) []quorum.Entry {
	var es []quorum.Entry
	for i := from; i <= to; i++ {
		es = append(es, quorum.Entry{Index: i, Term: 1, Data: []byte{byte(i)}})
	}
	return es
}

func open(t *testing.T, dir string, opts ...Option) (*Store, quorum.SavedState) {
	t.Helper()
	s, saved, err := Open(dir, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, saved
}

func appendAll(t *testing.T, s *Store, es ...quorum.Entry) {
	t.Helper()
	for _, e := range es {
		if err := s.Append(&quorum.HardState{Term: e.Term}, []quorum.Entry{e}); err != nil {
			t.Fatal(err)
		}
	}
}

func assertLast(t *testing.T, saved quorum.SavedState, index uint64) {
	t.Helper()
	if n := len(saved.Entries); n == 0 || saved.Entries[n-1].Index != index {
		t.Fatalf("entries %v, want the last at index %d", saved.Entries, index)
	}
}

func TestLaterEntriesReplaceEarlierOnes(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	appendAll(t, s, entries(1, 5)...)
	appendAll(t, s, quorum.Entry{Index: 3, Term: 2})
	_, saved := open(t, dir)
	assertLast(t, saved, 3)
	if saved.Entries[2].Term != 2 || saved.HardState.Term != 2 {
		t.Fatalf("saved state %+v, want term 2 in the third entry and the hard state", saved)
	}
}

// Guards against a member that starts without what it knew of its term: it could vote twice
// in it, or would wait for a leader that has ended.
func TestHardStateIsKept(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	want := quorum.HardState{Term: 7, Vote: "a", Leader: "b"}
	if err := s.Append(&want, entries(1, 3)); err != nil {
		t.Fatal(err)
	}
	for _, compact := range []bool{false, true} {
		if compact {
			if err := s.CompactLog(s.HardState(), entries(1, 3)); err != nil {
				t.Fatal(err)
			}
		}
		if _, saved := open(t, dir); saved.HardState != want {
			t.Errorf("after compaction %v: hard state %+v, want %+v", compact, saved.HardState, want)
		}
	}
}

func TestSnapshotReplacesTheLog(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	appendAll(t, s, entries(1, 5)...)
	snap := quorum.Snapshot{Index: 3, Term: 1, Data: []byte("state")}
	if err := s.SaveAndCompact(snap, s.HardState(), entries(4, 5)); err != nil {
		t.Fatal(err)
	}
	appendAll(t, s, entries(6, 6)...)
	_, saved := open(t, dir)
	if saved.Snapshot == nil || string(saved.Snapshot.Data) != "state" || len(saved.Entries) != 3 {
		t.Fatalf("saved state %+v, want a snapshot of \"state\" and 3 entries", saved)
	}
	assertLast(t, saved, 6)
}

func TestTornRecordAtEndIsTruncated(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	appendAll(t, s, entries(1, 2)...)
	log := filepath.Join(dir, logFileName)
	before := readFile(t, log)
	appendAll(t, s, entries(3, 3)...)
	whole := readFile(t, log)
	for size := len(before); size < len(whole); size++ {
		writeFile(t, log, whole[:size])
		again, saved := open(t, dir)
		assertLast(t, saved, 2)
		if again.TruncatedBytes != int64(size-len(before)) {
			t.Fatalf("truncated %d bytes, want %d", again.TruncatedBytes, size-len(before))
		}
	}
}

func TestCorruptionBeforeEndIsReported(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, dir)
	appendAll(t, s, entries(1, 3)...)
	log := filepath.Join(dir, logFileName)
	whole := readFile(t, log)
	first := len(whole) / 3
	for _, offset := range []int{0, 5, 9, headerBytes + 3, first - 1} {
		damaged := append([]byte(nil), whole...)
		damaged[offset] ^= 0x40
		writeFile(t, log, damaged)
		_, _, err := Open(dir)
		var corrupt *CorruptError
		if !errors.As(err, &corrupt) || corrupt.Path != log || corrupt.Offset != 0 {
			t.Fatalf("damage at offset %d: error %v, want a corrupt record at offset 0 of %s", offset, err, log)
		}
	}
}

func TestFailedWriteIsRolledBack(t *testing.T) {
	dir := t.TempDir()
	fs := newFaultyFileSystem()
	s, _ := open(t, dir, WithFileSystem(fs))
	appendAll(t, s, entries(1, 2)...)
	fs.failNext(opWrite)
	assertStorageError(t, s.Append(nil, entries(3, 3)))
	appendAll(t, s, entries(3, 4)...)
	_, saved := open(t, dir)
	assertLast(t, saved, 4)
	if len(saved.Entries) != 4 {
		t.Fatalf("entries %v, want 4", saved.Entries)
	}
}

func TestMemberIDIsStoredInDataDirectory(t *testing.T) {
	dir := t.TempDir()
	first, _ := open(t, dir)
	again, _ := open(t, dir)
	other, _ := open(t, t.TempDir())
	if first.Member() != again.Member() || first.Member() == other.Member() {
		t.Fatalf("member IDs %s and %s in one directory, %s in another", first.Member(), again.Member(), other.Member())
	}
}

// decodeRecords decodes the records of a log.
func decodeRecords(path string, data []byte) (records []record, valid int64, err error) {
	valid, err = readRecords(path, bytes.NewReader(data), int64(len(data)), func(r record) error {
		records = append(records, r)
		return nil
	})
	return records, valid, err
}

func FuzzDecodeRecords(f *testing.F) {
	good, err := encodeRecord(record{HardState: &quorum.HardState{Term: 3}, Entries: entries(1, 2)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(append(append([]byte(nil), good...), good[:17]...))
	f.Add(make([]byte, 40))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, valid, err := decodeRecords("log", data)
		if err != nil {
			return
		}
		again, size, err := decodeRecords("log", data[:valid])
		if err != nil || size != valid || len(again) != len(records) {
			t.Fatalf("valid part of %d bytes reads as %d records, %v; want %d", valid, len(again), err, len(records))
		}
	})
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// copyPieces returns a WriteFunc that copies the snapshot file of a store in
// pieces of a size. With corrupt set, it flips a bit in each piece past
// offset 20.
func copyPieces(from *Store, size int, corrupt bool) WriteFunc {
	return func(w io.Writer) error {
		for offset := int64(0); ; {
			piece, _, total, err := from.ReadSnapshotPiece(offset, size)
			if err != nil {
				return err
			}
			if corrupt && offset > 20 {
				piece[0] ^= 1
			}
			if _, err := w.Write(piece); err != nil {
				return err
			}
			if offset += int64(len(piece)); offset >= total {
				return nil
			}
		}
	}
}

func openStore(t *testing.T) *Store {
	t.Helper()
	s, _ := open(t, t.TempDir())
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func saveState(t *testing.T, s *Store, index uint64, state string) {
	t.Helper()
	err := s.SaveSnapshot(quorum.Snapshot{Index: index, Term: 2}, func(w io.Writer) error {
		_, err := io.WriteString(w, state)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

func assertState(t *testing.T, s *Store, want string) {
	t.Helper()
	r, err := s.OpenSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	if got, err := io.ReadAll(r); err != nil || string(got) != want {
		t.Fatalf("state %q, %v, want %q", got, err, want)
	}
}

func TestSnapshotIsInstalledFromPieces(t *testing.T) {
	from, to := openStore(t), openStore(t)
	saveState(t, from, 7, "the whole state of a member")
	if err := to.InstallSnapshot(7, copyPieces(from, 5, false)); err != nil {
		t.Fatal(err)
	}
	assertState(t, to, "the whole state of a member")
}

func TestCorruptPieceKeepsOldSnapshot(t *testing.T) {
	from, to := openStore(t), openStore(t)
	saveState(t, from, 7, "the whole state of a member")
	saveState(t, to, 3, "older state")
	if err := to.InstallSnapshot(7, copyPieces(from, 5, true)); err == nil {
		t.Fatal("installed a corrupt snapshot")
	}
	assertState(t, to, "older state")
}

// A member may finish writing its own snapshot after it has installed a newer
// one from the leader.
func TestOlderSnapshotDoesNotReplaceNewerOne(t *testing.T) {
	s := openStore(t)
	saveState(t, s, 7, "newer")
	saveState(t, s, 5, "older")
	assertState(t, s, "newer")
}

// Guards against a member that cannot fetch the stored snapshot while the next one is written.
func TestSnapshotIsReadWhileTheNextOneIsWritten(t *testing.T) {
	s, _ := open(t, t.TempDir())
	text := func(text string) WriteFunc {
		return func(w io.Writer) error {
			_, err := io.WriteString(w, text)
			return err
		}
	}
	if err := s.SaveSnapshot(quorum.Snapshot{Index: 3, Term: 1}, text("old")); err != nil {
		t.Fatal(err)
	}
	writing, finish, done := make(chan struct{}), make(chan struct{}), make(chan error)
	go func() {
		done <- s.SaveSnapshot(quorum.Snapshot{Index: 5, Term: 1}, func(w io.Writer) error {
			close(writing)
			<-finish
			return text("new")(w)
		})
	}()
	<-writing
	read := make(chan uint64, 1)
	go func() {
		_, index, _, _ := s.ReadSnapshotPiece(0, 1<<20)
		read <- index
	}()
	select {
	case index := <-read:
		if index != 3 {
			t.Errorf("read a piece of the snapshot at %d, want 3", index)
		}
	case <-time.After(5 * time.Second):
		t.Error("no piece was read while the next snapshot was written")
	}
	close(finish)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if _, index, _, err := s.ReadSnapshotPiece(0, 1<<20); index != 5 || err != nil {
		t.Errorf("snapshot at %d, error %v, want 5", index, err)
	}
}
