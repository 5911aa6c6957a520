package triage_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/triage"
)

// groupOf returns n items of a group, with the same estimate.
func groupOf(name string, n, tokens int) []triage.Item {
	return slices.Repeat([]triage.Item{{Group: name, ExpectedTokens: tokens}}, n)
}

func stepOf(id string, dueMS rollout.Millis, desired int, groups ...[]triage.Item) triage.Step {
	return triage.Step{ID: id, Pool: pool, Model: "m", DueMS: dueMS, HasDeadline: true, Desired: desired, Items: slices.Concat(groups...)}
}

func roomOf(slots int) []triage.Room {
	return []triage.Room{{Pool: pool, Models: []string{"m"}, Slots: slots, EventMS: 50}}
}

// assertOrder fails unless the groups, each named as step/group, have ascending ranks.
func assertOrder(t *testing.T, p triage.Plan, groups ...string) {
	t.Helper()
	ordered := func(a, b string) int { return rankOf(p, a) - rankOf(p, b) }
	if !slices.IsSortedFunc(groups, ordered) {
		t.Errorf("ranks %v, want the order %v", p.Ranks, groups)
	}
	for i := 1; i < len(groups); i++ {
		if ordered(groups[i-1], groups[i]) == 0 {
			t.Errorf("%s and %s have one rank, want %s first", groups[i-1], groups[i], groups[i-1])
		}
	}
}

func rankOf(p triage.Plan, group string) int {
	for k, rank := range p.Ranks {
		if k.Step+"/"+k.Group == group {
			return rank
		}
	}
	return 0
}

// Guards against spare groups before wanted ones of a later step, and against wanted groups
// that are not those with the least left.
func TestWantedGroupsPrecedeSpareGroupsOfAllSteps(t *testing.T) {
	p := triage.New().Plan(0, []triage.Step{
		stepOf("a", 7_500, 1, groupOf("long", 2, 60), groupOf("short", 2, 10)),
		stepOf("b", 8_000, 1, groupOf("long", 2, 60), groupOf("short", 2, 10)),
	}, roomOf(4))
	assertOrder(t, p, "a/short", "b/short", "a/long", "b/long")
}

// Guards against a step that can't be met any more before one that still can.
func TestLateStepFollowsStepInTime(t *testing.T) {
	late := stepOf("a", 2_000, 2, groupOf("g", 20, 60), groupOf("h", 20, 50), groupOf("spare", 20, 70))
	p := triage.New().Plan(0, []triage.Step{late, stepOf("b", 4_000, 1, groupOf("g", 2, 60), groupOf("spare", 2, 70))}, roomOf(8))
	assertOrder(t, p, "b/g", "a/h", "a/g", "b/spare", "a/spare")
	if len(p.Unattainable) != 1 || p.Unattainable[0] != (triage.Unattainable{Step: "a"}) {
		t.Errorf("unattainable %v, want a only, which yields to none", p.Unattainable)
	}
}

// Guards against two steps that are both late where one could be in time.
func TestStepWithMostWorkYieldsIfNotAllFit(t *testing.T) {
	p := triage.New().Plan(0, []triage.Step{
		stepOf("a", 4_000, 1, groupOf("g", 40, 50)), stepOf("b", 4_100, 1, groupOf("g", 35, 50)),
	}, roomOf(25))
	assertOrder(t, p, "b/g", "a/g")
	if len(p.Unattainable) != 1 || p.Unattainable[0] != (triage.Unattainable{Step: "a", Yields: true}) {
		t.Errorf("unattainable %v, want a only, which yields", p.Unattainable)
	}
}

// Guards against a group that stays wanted after an item was abandoned.
func TestGroupWithAbandonedItemIsNotWanted(t *testing.T) {
	planner := triage.New()
	s := stepOf("a", 7_500, 1, groupOf("first", 2, 10), groupOf("second", 2, 60), groupOf("third", 2, 70))
	s.Items[0].State = triage.StateRunning
	assertOrder(t, planner.Plan(0, []triage.Step{s}, roomOf(4)), "a/first", "a/second", "a/third")
	s.Items = slices.Clone(s.Items)
	s.Items[0].State = triage.StateAbandoned
	assertOrder(t, planner.Plan(250, []triage.Step{s}, roomOf(4)), "a/second", "a/third", "a/first")
}

// Guards against a group that begins and is then passed over because its texts exceed their
// estimates.
func TestBegunGroupStaysWanted(t *testing.T) {
	planner := triage.New()
	s := stepOf("a", 7_500, 1, groupOf("begun", 2, 20), groupOf("other", 2, 25))
	for text := range 100 {
		s.Items = slices.Clone(s.Items)
		s.Items[0].TextTokens = text
		assertOrder(t, planner.Plan(rollout.Millis(text)*50, []triage.Step{s}, roomOf(4)), "a/begun", "a/other")
	}
}

// Guards against decisions that change back and forth with the estimates near the limit.
func TestDecisionsAreStable(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	planner := triage.New()
	changes, last := 0, 0
	for i := range 100 {
		tokens := func() int { return 47 + random.IntN(7) }
		p := planner.Plan(rollout.Millis(i), []triage.Step{
			stepOf("a", 4_000, 1, groupOf("g", 40, tokens())), stepOf("b", 4_100, 1, groupOf("g", 40, tokens())),
		}, roomOf(40))
		if rank := rankOf(p, "a/g"); rank != last {
			last = rank
			changes++
		}
	}
	if changes > 2 {
		t.Errorf("the order of two steps changed %d times in 100 plans", changes)
	}
}

// Guards against steps that are reported because no engine is known, or has a measured speed.
func TestStepsWithoutKnownRoomAreAttainableUntilDue(t *testing.T) {
	s := stepOf("a", 4_000, 1, groupOf("g", 40, 50))
	for name, rooms := range map[string][]triage.Room{"no engine": nil, "no measured speed": {{Pool: pool, Models: []string{"m"}, Slots: 1}}} {
		t.Run(name, func(t *testing.T) {
			planner := triage.New()
			if got := planner.Plan(3_900, []triage.Step{s}, rooms).Unattainable; len(got) != 0 {
				t.Errorf("before the due time: unattainable %v, want none", got)
			}
			for _, want := range []int{1, 0} {
				if got := planner.Plan(4_100, []triage.Step{s}, rooms).Unattainable; len(got) != want {
					t.Errorf("after the due time: unattainable %v, want %d", got, want)
				}
			}
		})
	}
}

// Guards against a step without a due time that yields or is reported.
func TestStepWithoutDeadlineIsNeverUnattainable(t *testing.T) {
	s := stepOf("a", 0, 1, groupOf("g", 400, 500))
	s.HasDeadline = false
	if p := triage.New().Plan(10_000, []triage.Step{s}, roomOf(1)); len(p.Unattainable) != 0 {
		t.Errorf("unattainable %v, want none", p.Unattainable)
	}
}

// BenchmarkPlan measures a plan for steps of 160 items on engines of four models.
func BenchmarkPlan(b *testing.B) {
	for _, groups := range []int{20, 64} {
		b.Run(fmt.Sprintf("8 steps of %d groups", groups), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			var steps []triage.Step
			var rooms []triage.Room
			for i := range 8 {
				s := stepOf(fmt.Sprintf("s%d", i), rollout.Millis(4_000+i), groups*9/10)
				s.Model = fmt.Sprintf("m%d", i%4)
				for j := range 160 {
					s.Items = append(s.Items, triage.Item{Group: fmt.Sprintf("g%d", j%groups), ExpectedTokens: 1 + random.IntN(100)})
				}
				steps = append(steps, s)
				rooms = append(rooms, triage.Room{Pool: pool, Models: []string{s.Model}, Slots: 33, EventMS: 50})
			}
			planner := triage.New()
			for b.Loop() {
				planner.Plan(0, steps, rooms)
			}
		})
	}
}
