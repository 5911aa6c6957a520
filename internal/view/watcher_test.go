package view

import (
	"testing"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

func newSearch(seeds ...string) *Watcher {
	w := NewWatcher(Options{Seeds: func() []string { return seeds }, Log: zap.NewNop()})
	w.target = seeds[0]
	return w
}

func notLeader(address string) error {
	return rollout.NewError(rollout.KindNotLeader, "leader is %s", address)
}

func TestNamedLeaderIsAskedAtOnce(t *testing.T) {
	w := newSearch("a", "b", "c")
	if !w.follow(notLeader("c")) || w.target != "c" {
		t.Fatalf("asks %s", w.target)
	}
}

// Other hosts go on naming a leader that is frozen.
func TestFrozenLeaderIsPassedOver(t *testing.T) {
	w := newSearch("a", "b", "c")
	w.follow(rollout.NewError(rollout.KindDeadlineExceeded, "watch at a"))
	for range 6 {
		if w.target == "a" {
			t.Fatal("asks the host that did not answer")
		}
		if w.follow(notLeader("a")) {
			t.Fatal("takes the host that did not answer for the leader")
		}
	}
}

func TestSuspectIsAskedWhenAllAre(t *testing.T) {
	w := newSearch("a", "b")
	for range 4 {
		w.follow(rollout.NewError(rollout.KindDeadlineExceeded, "watch"))
	}
	if w.target == "" {
		t.Fatal("asks nobody")
	}
}

func TestEachLeaderIsToldOfCrashesOnce(t *testing.T) {
	w := newSearch("a")
	revision := uint64(0)
	w.opts.Crashes = func() (uint64, []poison.Sighting) { return revision, []poison.Sighting{{Fingerprint: "f"}} }
	for _, step := range []struct {
		name            string
		revision, epoch uint64
		told            bool
	}{
		{"nothing seen", 0, 1, false},
		{"first crash", 1, 1, true},
		{"same leader", 1, 1, false},
		{"new leader", 1, 2, true},
		{"cleared", 2, 2, true},
		{"same leader again", 2, 2, false},
	} {
		revision = step.revision
		req := Request{Epoch: step.epoch}
		w.crashes, w.crashEpoch = w.addCrashes(&req), req.Epoch
		if told := req.Crashes != nil; told != step.told {
			t.Errorf("%s: told %v", step.name, told)
		}
	}
}
