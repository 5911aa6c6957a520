package discovery_test

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

const beatMS = 1_000

func upstream(id, address string, born int64, seq uint64) discovery.Upstream {
	return discovery.Upstream{ID: id, Address: address, Pool: "p", State: discovery.StateReady, Slots: 4, Born: born, Seq: seq}
}

func assertTaken(t *testing.T, table *discovery.Table, now rollout.Millis, u discovery.Upstream, taken, changed bool) {
	t.Helper()
	if gotTaken, gotChanged := table.Announce(now, u); gotTaken != taken || gotChanged != changed {
		t.Fatalf("Announce(%s, born %d, seq %d) = %v, %v, want %v, %v", u.ID, u.Born, u.Seq, gotTaken, gotChanged, taken, changed)
	}
}

func assertState(t *testing.T, table *discovery.Table, id string, want discovery.State) {
	t.Helper()
	for _, u := range table.ChangedSince(0) {
		if u.ID == id {
			if u.State != want {
				t.Fatalf("%s is %s, want %s", id, u.State, want)
			}
			return
		}
	}
	t.Fatalf("%s is not known", id)
}

func TestRepeatedAnnouncementChangesNothing(t *testing.T) {
	table := discovery.New(beatMS)
	assertTaken(t, table, 0, upstream("a", "x:1", 5, 1), true, true)
	assertTaken(t, table, 1, upstream("a", "x:1", 5, 2), true, false)
	if got := table.ChangedSince(1); len(got) != 0 {
		t.Fatalf("changes %v after none", got)
	}
}

func TestLateAnnouncementIsDropped(t *testing.T) {
	table := discovery.New(beatMS)
	leaving := upstream("a", "x:1", 5, 3)
	leaving.State = discovery.StateDraining
	assertTaken(t, table, 0, leaving, true, true)
	assertTaken(t, table, 1, upstream("a", "x:1", 5, 2), false, false)
	assertState(t, table, "a", discovery.StateDraining)
}

func TestEndedIncarnationDoesNotComeBack(t *testing.T) {
	table := discovery.New(beatMS)
	assertTaken(t, table, 0, upstream("a", "x:1", 5, 1), true, true)
	table.Leave(1, "a", 5)
	assertTaken(t, table, 2, upstream("a", "x:1", 5, 2), false, false)
	assertState(t, table, "a", discovery.StateGone)
	assertTaken(t, table, 3, upstream("a", "x:1", 9, 1), true, true)
	assertState(t, table, "a", discovery.StateReady)
}

func TestLateLeaveOfAnEarlierIncarnationIsDropped(t *testing.T) {
	table := discovery.New(beatMS)
	assertTaken(t, table, 0, upstream("a", "x:1", 9, 1), true, true)
	if table.Leave(1, "a", 5) {
		t.Fatal("an earlier incarnation ended the later one")
	}
}

func TestAddressBelongsToTheLaterIncarnation(t *testing.T) {
	table := discovery.New(beatMS)
	assertTaken(t, table, 0, upstream("a", "x:1", 5, 1), true, true)
	assertTaken(t, table, 1, upstream("b", "x:1", 9, 1), true, true)
	assertState(t, table, "a", discovery.StateGone)
	t.Run("late announcement of the earlier one", func(t *testing.T) {
		assertTaken(t, table, 2, upstream("c", "x:1", 6, 7), false, false)
	})
}

func TestSilentUpstreamStays(t *testing.T) {
	table := discovery.New(beatMS)
	assertTaken(t, table, 0, upstream("a", "x:1", 5, 1), true, true)
	if !table.Tick(4 * beatMS) {
		t.Fatal("silence is not noted")
	}
	assertState(t, table, "a", discovery.StateReady)
	if us := table.ChangedSince(0); !us[0].Silent {
		t.Fatal("not marked as silent")
	}
	assertTaken(t, table, 5*beatMS, upstream("a", "x:1", 5, 2), true, true)
}

func TestDrainingUpstreamDoesNotTurnReady(t *testing.T) {
	table := discovery.New(beatMS)
	u := upstream("a", "x:1", 5, 1)
	u.State = discovery.StateDraining
	assertTaken(t, table, 0, u, true, true)
	assertTaken(t, table, 1, upstream("a", "x:1", 5, 2), true, false)
	assertState(t, table, "a", discovery.StateDraining)
}

func TestNewLeaderBeginsWithTheTableThatItFollowed(t *testing.T) {
	old := discovery.New(beatMS)
	assertTaken(t, old, 0, upstream("a", "x:1", 5, 4), true, true)
	next := discovery.New(beatMS)
	next.Restore(10, old.ChangedSince(0))
	assertTaken(t, next, 11, upstream("a", "x:1", 5, 4), false, false)
	assertTaken(t, next, 12, upstream("a", "x:1", 5, 5), true, false)
}
