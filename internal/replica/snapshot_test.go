package replica

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

func TestNeedsSnapshot(t *testing.T) {
	saved := quorum.SavedState{HardState: quorum.HardState{Term: 4}, Snapshot: &quorum.Snapshot{Index: 10, Term: 3}}
	r := &Replica{node: quorum.New(quorum.DefaultConfig("b"), saved, 0, rand.New(rand.NewPCG(1, 1)))}
	for name, c := range map[string]struct {
		m    quorum.Message
		want bool
	}{
		"newer": {quorum.Message{To: "b", Term: 4, Snapshot: &quorum.Snapshot{Index: 11}}, true},
		"for the member ID before the disk was lost": {quorum.Message{To: "a", Term: 4, Snapshot: &quorum.Snapshot{Index: 11}}, false},
		"from an earlier term":                       {quorum.Message{To: "b", Term: 3, Snapshot: &quorum.Snapshot{Index: 11}}, false},
		"already committed":                          {quorum.Message{To: "b", Term: 4, Snapshot: &quorum.Snapshot{Index: 10}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := r.needsSnapshot(c.m); got != c.want {
				t.Fatalf("needsSnapshot = %v, want %v", got, c.want)
			}
		})
	}
}

func TestSnapshotInUse(t *testing.T) {
	const now = rollout.Millis(100_000)
	for name, c := range map[string]struct {
		pieceServedAt rollout.Millis
		want          bool
	}{
		"never read":                      {0, false},
		"piece read recently":             {now - 10, true},
		"last piece read fetchIdleMS ago": {now - fetchIdleMS, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Replica{}
			r.pieceServedAt.Store(int64(c.pieceServedAt))
			if got := r.snapshotInUse(now); got != c.want {
				t.Fatalf("snapshotInUse = %v, want %v", got, c.want)
			}
		})
	}
}

// emptyMachine is a state machine without state.
type emptyMachine struct{}

func (emptyMachine) Apply(uint64, []byte) any        { return nil }
func (emptyMachine) Freeze() func(w io.Writer) error { return func(io.Writer) error { return nil } }
func (emptyMachine) Restore(io.Reader) error         { return nil }

// newIdleReplica returns a replica whose loop does not run.
func newIdleReplica(t *testing.T) *Replica {
	t.Helper()
	dialer := link.NewDialer("s")
	r, err := Open(t.Context(), Options{
		Dir: t.TempDir(), Address: "here", CompactBytes: 1, Clock: clock.NewManual(1_000), Dialer: dialer,
		Client: fabric.NewClient(dialer), Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
	}, emptyMachine{})
	if err != nil {
		t.Fatal(err)
	}
	r.group, r.ctx = errgroup.WithContext(t.Context())
	return r
}

// A result that is dropped because the input queue is full would leave
// snapshotting set for good, and the log would grow without bound.
func TestSnapshotEndsDespiteFullInputQueue(t *testing.T) {
	r := newIdleReplica(t)
	filled := 0
	for r.enqueue(func(rollout.Millis) {}) {
		filled++
	}
	r.logBytes = r.compactAt
	r.compact(0)
	if !r.snapshotting {
		t.Fatal("no snapshot was started")
	}
	for f, err := r.store.OpenSnapshot(); ; f, err = r.store.OpenSnapshot() {
		if err == nil {
			_ = f.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	// The writer now passes on its result or waits for the queue.
	time.Sleep(20 * time.Millisecond)
	for range filled + 1 {
		(<-r.inputs)(0)
	}
	if r.snapshotting {
		t.Fatal("the snapshot still counts as being written after its end")
	}
}

func TestTransferWaitsForFullInputQueue(t *testing.T) {
	r := newIdleReplica(t)
	filled := 0
	for r.enqueue(func(rollout.Millis) {}) {
		filled++
	}
	r.leaseUntil.Store(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.TransferLeadership(t.Context())
	}()
	for range filled + 1 {
		(<-r.inputs)(0)
	}
	<-ended
	if r.leaseUntil.Load() != 0 {
		t.Fatal("the transfer was dropped")
	}
}
