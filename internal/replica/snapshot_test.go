package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

func TestOnlyOwnAndNewerSnapshotsAreFetched(t *testing.T) {
	saved := quorum.SavedState{HardState: quorum.HardState{Term: 4}, Snapshot: &quorum.Snapshot{Index: 10, Term: 3}}
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
		servedAt rollout.Millis
		want     bool
	}{
		"never fetched":             {0, false},
		"piece just served":         {now - 10, true},
		"last piece served a while": {now - servedWithinMS, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Replica{}
			r.servedAt.Store(int64(c.servedAt))
			if got := r.beingFetched(now); got != c.want {
				t.Fatalf("beingFetched = %v, want %v", got, c.want)
			}
		})
	}
}
