package lane_test

import (
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/lane"
)

func assertAdmitted(t *testing.T, got []int, want ...int) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Fatalf("admitted %v, want %v", got, want)
	}
}

// enterAll enters the calls from first to last and returns those that began.
func enterAll(l *lane.Lane[int], first, last int) []int {
	var began []int
	for call := first; call <= last; call++ {
		if l.Enter(call) {
			began = append(began, call)
		}
	}
	return began
}

func TestBurstWaitsInOrder(t *testing.T) {
	l := lane.New[int](2)
	assertAdmitted(t, enterAll(l, 1, 5), 1, 2)
	assertAdmitted(t, l.Leave(), 3)
	assertAdmitted(t, l.Leave(), 4)
	assertAdmitted(t, l.Leave(), 5)
	assertAdmitted(t, l.Leave())
	if l.Waiting() != 0 {
		t.Fatalf("%d calls wait, want 0", l.Waiting())
	}
}

func TestLimitFollowsUpstreams(t *testing.T) {
	l := lane.New[int](1)
	assertAdmitted(t, enterAll(l, 1, 5), 1)
	assertAdmitted(t, l.SetLimit(3), 2, 3)
	assertAdmitted(t, l.SetLimit(0))
	assertAdmitted(t, l.Leave())
	assertAdmitted(t, l.Leave())
	assertAdmitted(t, l.Leave(), 4)
}

func TestRemovedCallIsNotAdmitted(t *testing.T) {
	l := lane.New[int](1)
	enterAll(l, 1, 3)
	if !l.Remove(2) || l.Remove(1) {
		t.Fatal("removed a running call, or not a queued one")
	}
	assertAdmitted(t, l.Leave(), 3)
}
