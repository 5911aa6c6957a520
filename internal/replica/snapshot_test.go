package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
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
