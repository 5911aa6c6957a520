package discovery_test

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

const announceIntervalMS = 1_000

func upstream(id, address string, born int64, seq uint64) discovery.Upstream {
	return discovery.Upstream{ID: id, Address: address, Pool: "p", State: discovery.StateReady, Slots: 4, Born: born, Seq: seq}
}

func assertAnnounce(t *testing.T, table *discovery.Table, now rollout.Millis, u discovery.Upstream, accepted, changed bool) {
	t.Helper()
	if gotAccepted, gotChanged := table.Announce(now, u); gotAccepted != accepted || gotChanged != changed {
		t.Fatalf("Announce(%s, born %d, seq %d) = %v, %v, want %v, %v", u.ID, u.Born, u.Seq, gotAccepted, gotChanged, accepted, changed)
	}
}

func assertState(t *testing.T, table *discovery.Table, id string, want discovery.State) {
	t.Helper()
	for _, u := range table.ChangedSince(0) {
		if u.ID == id {
			if u.State != want {
				t.Fatalf("upstream %s has state %s, want %s", id, u.State, want)
			}
			return
		}
	}
	t.Fatalf("upstream %s is not in the table", id)
}

func TestUnchangedAnnouncementKeepsRevision(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	assertAnnounce(t, table, 0, upstream("a", "x:1", 5, 1), true, true)
	assertAnnounce(t, table, 1, upstream("a", "x:1", 5, 2), true, false)
	if got := table.ChangedSince(1); len(got) != 0 {
		t.Fatalf("ChangedSince(1) = %v after an unchanged announcement, want none", got)
	}
}

func TestOutOfOrderAnnouncementIsRejected(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	leaving := upstream("a", "x:1", 5, 3)
	leaving.State = discovery.StateDraining
	assertAnnounce(t, table, 0, leaving, true, true)
	assertAnnounce(t, table, 1, upstream("a", "x:1", 5, 2), false, false)
	assertState(t, table, "a", discovery.StateDraining)
}

func TestEndedIncarnationIsNotAddedAgain(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	assertAnnounce(t, table, 0, upstream("a", "x:1", 5, 1), true, true)
	table.Leave(1, "a", 5)
	assertAnnounce(t, table, 2, upstream("a", "x:1", 5, 2), false, false)
	assertState(t, table, "a", discovery.StateGone)
	assertAnnounce(t, table, 3, upstream("a", "x:1", 9, 1), true, true)
	assertState(t, table, "a", discovery.StateReady)
}

func TestLeaveOfEarlierIncarnationIsIgnored(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	assertAnnounce(t, table, 0, upstream("a", "x:1", 9, 1), true, true)
	if table.Leave(1, "a", 5) {
		t.Fatal("Leave of incarnation 5 ended incarnation 9")
	}
}

func TestLaterIncarnationTakesOverAddress(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	assertAnnounce(t, table, 0, upstream("a", "x:1", 5, 1), true, true)
	assertAnnounce(t, table, 1, upstream("b", "x:1", 9, 1), true, true)
	assertState(t, table, "a", discovery.StateGone)
	t.Run("announcement of an earlier incarnation", func(t *testing.T) {
		assertAnnounce(t, table, 2, upstream("c", "x:1", 6, 7), false, false)
	})
}

func TestSilentUpstreamStaysReady(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	assertAnnounce(t, table, 0, upstream("a", "x:1", 5, 1), true, true)
	if !table.Tick(4 * announceIntervalMS) {
		t.Fatal("Tick reported no change after four intervals without an announcement")
	}
	assertState(t, table, "a", discovery.StateReady)
	if us := table.ChangedSince(0); !us[0].Silent {
		t.Fatal("upstream is not marked silent")
	}
	assertAnnounce(t, table, 5*announceIntervalMS, upstream("a", "x:1", 5, 2), true, true)
}

func TestDrainingUpstreamStaysDraining(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	u := upstream("a", "x:1", 5, 1)
	u.State = discovery.StateDraining
	assertAnnounce(t, table, 0, u, true, true)
	assertAnnounce(t, table, 1, upstream("a", "x:1", 5, 2), true, false)
	assertState(t, table, "a", discovery.StateDraining)
}

func TestRestoreKeepsSequenceNumbers(t *testing.T) {
	old := discovery.New(announceIntervalMS)
	assertAnnounce(t, old, 0, upstream("a", "x:1", 5, 4), true, true)
	next := discovery.New(announceIntervalMS)
	next.Restore(10, old.ChangedSince(0), old.Revision())
	assertAnnounce(t, next, 11, upstream("a", "x:1", 5, 4), false, false)
	assertAnnounce(t, next, 12, upstream("a", "x:1", 5, 5), true, false)
}

// Each load of weights changes the models of an engine. Hosts that only route
// requests must not be sent that.
func TestLoadOfWeightsIsNoChangeOfRouting(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	loaded := func(seq, version uint64) discovery.Upstream {
		u := upstream("a", "x:1", 5, seq)
		u.Models = []discovery.Model{{Name: "m", Version: version}}
		return u
	}
	assertAnnounce(t, table, 0, loaded(1, 1), true, true)
	before := table.Revision()
	assertAnnounce(t, table, 1, loaded(2, 2), true, true)
	if all, routing := table.ChangedSince(before), table.RoutingChangedSince(before); len(all) != 1 || len(routing) != 0 {
		t.Fatalf("%d changes, %d of routing after a load, want 1, 0", len(all), len(routing))
	}
	if table.RoutingRevision() != before {
		t.Fatalf("routing revision %d, want %d", table.RoutingRevision(), before)
	}
	draining := loaded(3, 2)
	draining.State = discovery.StateDraining
	assertAnnounce(t, table, 2, draining, true, true)
	if routing := table.RoutingChangedSince(before); len(routing) != 1 || routing[0].State != discovery.StateDraining {
		t.Fatalf("changes of routing %v, want the draining upstream", routing)
	}
}

func TestChangesAreReturnedOnceInOrder(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	const upstreams, rounds = 20, 30
	for round := range rounds {
		for i := range upstreams {
			u := upstream(string(rune('a'+i)), string(rune('a'+i)), 5, uint64(round+1))
			u.Slots = 4 + round
			assertAnnounce(t, table, 0, u, true, true)
		}
	}
	last := table.Revision()
	for _, tc := range []struct {
		since uint64
		want  int
	}{{0, upstreams}, {last - 5, 5}, {last, 0}, {last + 1, 0}} {
		us := table.ChangedSince(tc.since)
		if len(us) != tc.want {
			t.Fatalf("%d changes since %d, want %d", len(us), tc.since, tc.want)
		}
		for i, u := range us {
			if i > 0 && u.Revision <= us[i-1].Revision {
				t.Fatalf("change %d is out of order", i)
			}
		}
	}
}

// BenchmarkChangedSince measures what each waiting host costs at a change, among
// 3,000 upstreams.
func BenchmarkChangedSince(b *testing.B) {
	table := discovery.New(announceIntervalMS)
	for i := range 3_000 {
		id := fmt.Sprint("e", i)
		table.Announce(0, upstream(id, id, 5, 1))
	}
	since := table.Revision() - 1
	for b.Loop() {
		if len(table.ChangedSince(since)) != 1 {
			b.Fatal("want one change")
		}
	}
}

// BenchmarkAnnounce measures an announcement without a change, among 3,000
// upstreams that announce themselves each second.
func BenchmarkAnnounce(b *testing.B) {
	table := discovery.New(announceIntervalMS)
	for i := range 3_000 {
		id := fmt.Sprint("e", i)
		table.Announce(0, upstream(id, id, 5, 1))
	}
	seq := uint64(1)
	for b.Loop() {
		seq++
		table.Announce(0, upstream("e7", "e7", 5, seq))
	}
}

func TestUpstreamThatMovesLeavesItsAddress(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	assertAnnounce(t, table, 0, upstream("a", "x:1", 9, 1), true, true)
	assertAnnounce(t, table, 1, upstream("a", "x:2", 9, 2), true, true)
	assertAnnounce(t, table, 2, upstream("b", "x:1", 5, 1), true, true)
	assertAnnounce(t, table, 3, upstream("c", "x:2", 5, 1), false, false)
	assertState(t, table, "a", discovery.StateReady)
}

func TestRestoredTableContinuesRevisions(t *testing.T) {
	old := discovery.New(announceIntervalMS)
	old.Announce(0, upstream("a", "x:1", 5, 1))
	old.Announce(0, upstream("b", "x:2", 5, 1))
	old.Leave(1, "b", 5)
	known := old.Revision()
	next := discovery.New(announceIntervalMS)
	next.Restore(2, []discovery.Upstream{old.ChangedSince(0)[0]}, known)
	next.Announce(3, upstream("c", "x:3", 5, 1))
	if us := next.ChangedSince(known); len(us) != 1 || us[0].ID != "c" {
		t.Fatalf("changes %v after the restored revision, want c", us)
	}
}

func TestLimitOutlivesAnnouncements(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	assertAnnounce(t, table, 0, upstream("a", "x:1", 5, 1), true, true)
	if table.SetLimit("a", 4, 2.5) || !table.SetLimit("a", 5, 2.5) || table.SetLimit("a", 5, 2.5) {
		t.Fatal("want the limit of incarnation 5 set once, and none of incarnation 4")
	}
	assertAnnounce(t, table, 1, upstream("a", "x:1", 5, 2), true, false)
	if limit, known := table.Limit("a", 5); limit != 2.5 || !known {
		t.Fatalf("limit %g, known %v after an announcement, want 2.5", limit, known)
	}
	next := discovery.New(announceIntervalMS)
	next.Restore(2, table.ChangedSince(0), table.Revision())
	if limit, _ := next.Limit("a", 5); limit != 2.5 {
		t.Fatalf("limit %g in the table of the next leader, want 2.5", limit)
	}
	assertAnnounce(t, next, 3, upstream("a", "x:1", 6, 1), true, true)
	if limit, _ := next.Limit("a", 6); limit != 0 {
		t.Fatalf("limit %g of the next incarnation, want none", limit)
	}
}
