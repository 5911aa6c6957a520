package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/triage"
)

// addGroups queues n tasks of each group of a job, each group with longer tasks than the one
// before.
func (f *fixture) addGroups(job, model string, n int, groups ...string) {
	for g, group := range groups {
		for i := range n {
			f.Add(dispatch.Task{
				JobID: job, ItemID: fmt.Sprintf("%s-%s-%d", job, group, i), Pool: pool, Model: model, Group: group,
				MinVersion: 1, ExpectedTokens: 10 * (g + 1), Order: uint64(i),
			})
		}
	}
}

// ranksOf gives the groups of a job the ranks 1, 2 and so on.
func ranksOf(job string, groups ...string) map[triage.GroupKey]int {
	ranks := make(map[triage.GroupKey]int)
	for i, g := range groups {
		ranks[triage.GroupKey{Step: job, Group: g}] = i + 1
	}
	return ranks
}

func (f *fixture) setRanks(ranks map[triage.GroupKey]int) { f.SetRanks(f.Rooms(f.now), ranks) }

func assertGroups(t *testing.T, as []dispatch.Assignment, want ...string) {
	t.Helper()
	var got []string
	for _, a := range as {
		got = append(got, a.Task.Group)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("assigned groups %v, want %v", got, want)
	}
}

// Guards against ranks that change the order although all tasks can start, and against ranks
// that have no effect although they cannot.
func TestRanksApplyWhileTasksExceedFreeSlots(t *testing.T) {
	for slots, want := range map[int][]string{4: {"long", "long", "short", "short"}, 3: {"short", "short", "long"}} {
		t.Run(fmt.Sprintf("%d slots", slots), func(t *testing.T) {
			f := newFixture(1, slots, "m")
			f.addGroups("job", "m", 2, "short", "long")
			f.setRanks(ranksOf("job", "short", "long"))
			assertGroups(t, f.AssignTasks(f.now), want...)
		})
	}
}

// Guards against tasks of one model that pass the ranked tasks of another at the engines that
// both share.
func TestRanksApplyToModelsThatShareEngines(t *testing.T) {
	f := newFixture(1, 3, "m", "n")
	f.addGroups("a", "m", 2, "short", "long")
	f.addGroups("b", "n", 1, "short", "long")
	f.setRanks(map[triage.GroupKey]int{
		{Step: "a", Group: "short"}: 1, {Step: "b", Group: "short"}: 2, {Step: "b", Group: "long"}: 3, {Step: "a", Group: "long"}: 4,
	})
	assertGroups(t, f.AssignTasks(f.now), "short", "short", "short")
}

// Guards against an item that comes back from a crashed engine and passes wanted groups until
// the next ranking.
func TestReturnedTaskHasRankOfItsGroup(t *testing.T) {
	f := newFixture(2, 1, "m")
	f.addGroups("job", "m", 1, "wanted", "spare")
	started := f.AssignTasks(f.now)
	assertGroups(t, started, "spare", "wanted")
	f.addGroups("job", "m", 1, "waiting", "next")
	f.setRanks(ranksOf("job", "wanted", "waiting", "next", "spare"))
	f.setState("e1", discovery.StateGone)
	f.setState("e0", discovery.StateReady)
	for _, a := range started {
		f.RunEnded(f.now, a, dispatch.OutcomeBroken)
		a.Task.Begun = true
		f.Add(a.Task)
	}
	var got []dispatch.Assignment
	for range 4 {
		f.now += 10_000
		as := f.AssignTasks(f.now)
		for _, a := range as {
			f.RunEnded(f.now, a, dispatch.OutcomeDone)
		}
		got = append(got, as...)
	}
	assertGroups(t, got, "wanted", "waiting", "next", "spare")
}

// Guards against engines that count as room although they do not answer, and against engines
// that are left out while they load the weights of a new step.
func TestRoomsHoldEnginesThatAnswer(t *testing.T) {
	f := newFixture(4, 2, "m")
	f.setState("e0", discovery.StateGone)
	f.setState("e1", discovery.StateDraining)
	f.RaiseMinVersion("m", 2)
	rooms := f.Rooms(f.now)
	if len(rooms) != 1 || rooms[0].Slots != 4 || rooms[0].Free != 0 {
		t.Errorf("rooms %+v, want one with 4 slots, none of which is free for the new version", rooms)
	}
}
