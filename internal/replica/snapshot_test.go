package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

func TestOnlyOwnAndNewerSnapshotsAreFetched(t *testing.T) {
	saved := quorum.Saved{HardState: quorum.HardState{Term: 4}, Snapshot: &quorum.Snapshot{Index: 10, Term: 3}}
	r := &Replica{node: quorum.New(quorum.DefaultConfig("b"), saved, 0, rand.New(rand.NewPCG(1, 1)))}
	for name, c := range map[string]struct {
		m    quorum.Message
		want bool
	}{
		"newer":                        {quorum.Message{To: "b", Term: 4, Snapshot: &quorum.Snapshot{Index: 11}}, true},
		"for the member before a wipe": {quorum.Message{To: "a", Term: 4, Snapshot: &quorum.Snapshot{Index: 11}}, false},
		"of an earlier leader":         {quorum.Message{To: "b", Term: 3, Snapshot: &quorum.Snapshot{Index: 11}}, false},
		"held already":                 {quorum.Message{To: "b", Term: 4, Snapshot: &quorum.Snapshot{Index: 10}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := r.lacks(c.m); got != c.want {
				t.Fatalf("lacks = %v, want %v", got, c.want)
			}
		})
	}
}

func TestSnapshotThatIsBeingFetchedStays(t *testing.T) {
	const now = rollout.Millis(100_000)
	for name, c := range map[string]struct {
		logBytes int
		servedAt rollout.Millis
		want     bool
	}{
		"short log":                       {99, 0, false},
		"long log":                        {100, 0, true},
		"long log, piece served":          {100, now - 10, false},
		"long log, piece served long ago": {100, now - servedWithinMS, true},
		"log of twice the size":           {200, now - 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Replica{logBytes: c.logBytes, compactAt: 100}
			r.servedAt.Store(int64(c.servedAt))
			if got := r.compactDue(now); got != c.want {
				t.Fatalf("compactDue = %v, want %v", got, c.want)
			}
		})
	}
}
