package view

import (
	"testing"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

// newTestWatcher returns a watcher whose target is the first seed.
func newTestWatcher(seeds ...string) *Watcher {
	w := NewWatcher(Options{Seeds: func() []string { return seeds }, Clock: clock.Boottime{}, Log: zap.NewNop()})
	w.target = seeds[0]
	return w
}

func notLeader(address string) error {
	return rollout.NewError(rollout.KindNotLeader, "leader is %s", address)
}

func TestTargetIsNamedLeader(t *testing.T) {
	w := newTestWatcher("a", "b", "c")
	if !w.chooseTarget(notLeader("c")) || w.target != "c" {
		t.Fatalf("target is %s, want c", w.target)
	}
}

// If the leader hangs, the other hosts name it as the leader until they elect a new
// one. The watcher must not return to it.
func TestUnresponsiveLeaderIsSkipped(t *testing.T) {
	w := newTestWatcher("a", "b", "c")
	w.chooseTarget(rollout.NewError(rollout.KindDeadlineExceeded, "watch at a"))
	for range 6 {
		if w.target == "a" {
			t.Fatal("target is the host that did not reply")
		}
		if w.chooseTarget(notLeader("a")) {
			t.Fatal("the host that did not reply was accepted as the leader")
		}
	}
}

func TestUnresponsiveHostIsTriedIfAllAreUnresponsive(t *testing.T) {
	w := newTestWatcher("a", "b")
	for range 4 {
		w.chooseTarget(rollout.NewError(rollout.KindDeadlineExceeded, "watch"))
	}
	if w.target == "" {
		t.Fatal("no target although there are control hosts")
	}
}

func TestBrokenConnectionsAreSentOncePerLeader(t *testing.T) {
	w := newTestWatcher("a")
	revision := uint64(0)
	w.opts.BrokenConnections = func() (uint64, []poison.BrokenConnection) {
		return revision, []poison.BrokenConnection{{Fingerprint: "f"}}
	}
	for _, step := range []struct {
		name            string
		revision, epoch uint64
		sent            bool
	}{
		{"no broken connection", 0, 1, false},
		{"first broken connection", 1, 1, true},
		{"same leader", 1, 1, false},
		{"new leader", 1, 2, true},
		{"cleared", 2, 2, true},
		{"same leader again", 2, 2, false},
	} {
		revision = step.revision
		req := Request{Epoch: step.epoch}
		w.sentConnectionsRevision, w.sentConnectionsEpoch = w.addBrokenConnections(&req), req.Epoch
		if sent := req.BrokenConnections != nil; sent != step.sent {
			t.Errorf("%s: broken connections sent: %v, want %v", step.name, sent, step.sent)
		}
	}
}
