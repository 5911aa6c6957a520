package dispatch_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

const (
	pool = "engines"
	// eventMS and slowEventMS are the event intervals of a normal and a slow
	// engine.
	eventMS     = 40
	slowEventMS = 160
	slowEvents  = 6
)

// fixture is a scheduler with engines in the failure domains d0 to d2.
type fixture struct {
	*dispatch.Scheduler
	upstreams map[string]discovery.Upstream
	models    []string
	now       rollout.Millis
}

func newFixture(engines, slots int, models ...string) *fixture {
	f := &fixture{
		Scheduler: dispatch.New(dispatch.DefaultConfig("d0")),
		upstreams: make(map[string]discovery.Upstream), models: models, now: 1_000,
	}
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		u := discovery.Upstream{
			ID: id, Pool: pool, Address: id, FailureDomain: fmt.Sprintf("d%d", i%3),
			State: discovery.StateReady, Slots: slots, Born: 1,
		}
		for _, m := range models {
			u.Models = append(u.Models, discovery.Model{Name: m, Version: 1})
		}
		f.upstreams[id] = u
	}
	f.sync()
	return f
}

func (f *fixture) sync() { f.Sync(f.now, f.upstreams, map[string][]string{pool: f.models}) }

func (f *fixture) add(n int, t dispatch.Task) {
	for i := range n {
		t.JobID, t.Pool, t.Order = "job", pool, uint64(i)
		t.ItemID = fmt.Sprintf("i%d", i)
		f.Add(t)
	}
}

// generate reports events of each run at the event interval of its engine, for
// the time of slowEvents events of a slow engine.
func (f *fixture) generate(as []dispatch.Assignment, interval func(engine string) rollout.Millis) {
	start := f.now
	for at := start; at < start+slowEvents*slowEventMS; at += eventMS {
		f.now = at
		for _, a := range as {
			if (at-start)%interval(a.Engine) == 0 {
				f.EventReceived(at, a.Task)
			}
		}
	}
}

// assertMaxRuns checks that no engine got more than limit runs and returns the
// number of runs of each engine.
func assertMaxRuns(t *testing.T, as []dispatch.Assignment, limit int) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, a := range as {
		counts[a.Engine]++
		if counts[a.Engine] > limit {
			t.Fatalf("engine %s got more than %d runs", a.Engine, limit)
		}
	}
	return counts
}

func TestRunsAreSpreadOverEngines(t *testing.T) {
	f := newFixture(9, 12, "m")
	f.add(45, dispatch.Task{Model: "m", MinVersion: 1})
	if got := len(assertMaxRuns(t, f.AssignTasks(f.now), 7)); got != 9 {
		t.Fatalf("%d engines got tasks, want 9", got)
	}
}

func TestRunsStayWithinSlots(t *testing.T) {
	f := newFixture(2, 3, "m")
	f.add(10, dispatch.Task{Model: "m"})
	assertMaxRuns(t, f.AssignTasks(f.now), 3)
	if f.Waiting() != 4 {
		t.Fatalf("Waiting() = %d, want 4", f.Waiting())
	}
}

func TestEnginesBelowMinVersionGetNoTask(t *testing.T) {
	f := newFixture(3, 3, "m")
	f.add(1, dispatch.Task{Model: "m", MinVersion: 2})
	if as := f.AssignTasks(f.now); len(as) != 0 {
		t.Fatalf("started %v on an engine with version 1, want none", as)
	}
}

func TestDrainingEnginesGetNoTask(t *testing.T) {
	f := newFixture(1, 3, "m")
	u := f.upstreams["e0"]
	u.State = discovery.StateDraining
	f.upstreams["e0"] = u
	f.sync()
	f.add(1, dispatch.Task{Model: "m"})
	if as := f.AssignTasks(f.now); len(as) != 0 {
		t.Fatalf("started %v on a draining engine, want none", as)
	}
}

func TestBegunThenLongItemsStartFirst(t *testing.T) {
	f := newFixture(1, 3, "m")
	for i, tokens := range []int{20, 900, 0, 300} {
		f.Add(dispatch.Task{JobID: "job", ItemID: fmt.Sprint(tokens), Pool: pool, Model: "m", ExpectedTokens: tokens, Order: uint64(i)})
	}
	f.Add(dispatch.Task{JobID: "job", ItemID: "begun", Pool: pool, Model: "m", Begun: true, Order: 9})
	var got []string
	for _, a := range f.AssignTasks(f.now) {
		got = append(got, a.Task.ItemID)
	}
	if want := []string{"begun", "900", "300"}; !slices.Equal(got, want) {
		t.Fatalf("started %v, want %v", got, want)
	}
}

// One of three engines runs on slower hardware, but not slow enough to be counted
// as slow.
func TestLongItemsGoToFastEngines(t *testing.T) {
	f := newFixture(3, 8, "m")
	f.add(12, dispatch.Task{Model: "m", ExpectedTokens: 100})
	as := f.AssignTasks(f.now)
	for start := f.now; f.now < start+slowEvents*slowEventMS; f.now++ {
		for _, a := range as {
			interval := rollout.Millis(eventMS)
			if a.Engine == "e0" {
				interval = 1.35 * eventMS
			}
			if (f.now-start)%interval == 0 {
				f.EventReceived(f.now, a.Task)
			}
		}
	}
	f.add(6, dispatch.Task{Model: "m", ExpectedTokens: 400})
	for _, a := range f.AssignTasks(f.now) {
		if a.Engine == "e0" {
			t.Fatalf("long item %s started on the slow engine", a.Task.ItemID)
		}
	}
}

func TestTasksDueFirstStartFirst(t *testing.T) {
	f := newFixture(1, 1, "m")
	f.Add(dispatch.Task{JobID: "late", ItemID: "a", Pool: pool, Model: "m", DueMS: 9})
	f.Add(dispatch.Task{JobID: "early", ItemID: "b", Pool: pool, Model: "m", DueMS: 5})
	if as := f.AssignTasks(f.now); len(as) != 1 || as[0].Task.JobID != "early" {
		t.Fatalf("started %v, want the job that is due first", as)
	}
}

func TestRunsMoveOffSlowEngines(t *testing.T) {
	f := newFixture(9, 12, "m")
	f.add(27, dispatch.Task{Model: "m"})
	as := f.AssignTasks(f.now)
	f.generate(as, func(engine string) rollout.Millis {
		if engine == "e4" {
			return slowEventMS
		}
		return eventMS
	})
	moves := f.PlanMoves(f.now)
	if len(moves) == 0 {
		t.Fatal("PlanMoves() moved no run off the slow engine")
	}
	for _, m := range moves {
		if m.Engine != "e4" || m.Stalled {
			t.Fatalf("moved %+v, want only runs of e4", m)
		}
	}
	for _, a := range as {
		if a.Engine == "e4" {
			f.RunEnded(f.now, a, dispatch.OutcomeMoved)
			f.Add(a.Task)
		}
	}
	if counts := assertMaxRuns(t, f.AssignTasks(f.now), 12); counts["e4"] != 0 {
		t.Fatalf("%d moved runs were assigned to the slow engine again", counts["e4"])
	}
}

func TestRunsAreNotMovedWhenAllEnginesAreSlow(t *testing.T) {
	f := newFixture(9, 12, "m")
	f.add(27, dispatch.Task{Model: "m"})
	f.generate(f.AssignTasks(f.now), func(string) rollout.Millis { return slowEventMS })
	if moves := f.PlanMoves(f.now); len(moves) != 0 {
		t.Fatalf("moved %v although no engine is faster", moves)
	}
}

func TestStalledRunsAreMovedOnce(t *testing.T) {
	f := newFixture(3, 12, "m")
	f.add(3, dispatch.Task{Model: "m"})
	as := f.AssignTasks(f.now)
	f.generate(as, func(string) rollout.Millis { return eventMS })
	f.now += 2_000
	f.EventReceived(f.now, as[0].Task)
	moves := f.PlanMoves(f.now)
	if len(moves) != 2 || !moves[0].Stalled || !moves[1].Stalled {
		t.Fatalf("moves %+v, want the two stalled runs", moves)
	}
	if again := f.PlanMoves(f.now); len(again) != 0 {
		t.Fatalf("second PlanMoves() = %+v, want none", again)
	}
}

func TestConcurrentLoadsAreBounded(t *testing.T) {
	f := newFixture(9, 12, "m")
	f.SetTargets(map[string]uint64{"m": 2})
	loads := f.PlanWeightLoads(f.now)
	if len(loads) != 2 {
		t.Fatalf("%d engines load at once, want 2", len(loads))
	}
	if again := f.PlanWeightLoads(f.now); len(again) != 0 {
		t.Fatalf("ordered %v while two orders are pending", again)
	}
	for _, l := range loads {
		l, needed := f.ReportReceived(f.now, l, rollout.EngineReport{Accepted: 3, Versions: map[string]uint64{"m": 1}})
		if !needed || l.Accepted != 3 {
			t.Fatalf("ReportReceived() = %+v, %v, want 3 accepted orders and a load that is still needed", l, needed)
		}
		f.OrderEnded(f.now, l, rollout.WeightOrderStarted)
	}
	if again := f.PlanWeightLoads(f.now + 100); len(again) != 0 {
		t.Fatalf("ordered %v while two engines load", again)
	}
	if next := f.PlanWeightLoads(f.now + 900); len(next) != 2 {
		t.Fatalf("%d engines load after the first two, want 2", len(next))
	}
}

func TestLoadsAreDistributedOverModels(t *testing.T) {
	f := newFixture(9, 12, "m0", "m1", "m2")
	f.SetTargets(map[string]uint64{"m0": 2, "m1": 2, "m2": 2})
	counts := make(map[string]int)
	for range 9 {
		for _, l := range f.PlanWeightLoads(f.now) {
			l, _ = f.ReportReceived(f.now, l, rollout.EngineReport{Versions: map[string]uint64{l.Model: 1}})
			f.OrderEnded(f.now, l, rollout.WeightOrderStarted)
			counts[l.Model]++
		}
		f.now += 1_000
	}
	for _, m := range f.models {
		if counts[m] != 3 {
			t.Fatalf("loads by model %v, want 3 each", counts)
		}
	}
}

func TestReportIsFetchedAfterOrderWithUnknownOutcome(t *testing.T) {
	f := newFixture(1, 12, "m")
	f.SetTargets(map[string]uint64{"m": 2})
	l := f.PlanWeightLoads(f.now)[0]
	l, _ = f.ReportReceived(f.now, l, rollout.EngineReport{Versions: map[string]uint64{"m": 1}})
	f.OrderEnded(f.now, l, rollout.WeightOrderUnknown)
	f.now += 1_000
	loads := f.PlanWeightLoads(f.now)
	if len(loads) != 1 || !loads[0].NeedsReport {
		t.Fatalf("loads %+v, want one that needs a report", loads)
	}
}

// completeLoads carries out loads for 20 s and returns their number by model.
func (f *fixture) completeLoads() map[string]int {
	counts := make(map[string]int)
	for range 20 {
		for _, l := range f.PlanWeightLoads(f.now) {
			l, needed := f.ReportReceived(f.now, l, rollout.EngineReport{Versions: map[string]uint64{}})
			if needed {
				f.OrderEnded(f.now, l, rollout.WeightOrderStarted)
				counts[l.Model]++
			}
		}
		f.now += 1_000
	}
	return counts
}

func TestHalfOfTheEnginesLoadWhenJobsAllowThePreviousVersion(t *testing.T) {
	f := newFixture(6, 12, "m")
	for version := uint64(2); version <= 5; version++ {
		f.SetTargets(map[string]uint64{"m": version})
		f.RaiseMinVersion("m", version-1)
		if got := f.completeLoads()["m"]; got != 3 {
			t.Fatalf("%d loads of version %d, want 3", got, version)
		}
		f.add(72, dispatch.Task{Model: "m", MinVersion: version - 1})
		as := f.AssignTasks(f.now)
		if len(as) != 72 {
			t.Fatalf("%d tasks with target version %d started, want all 72", len(as), version)
		}
		for _, a := range as {
			f.RunEnded(f.now, a, dispatch.OutcomeDone)
		}
	}
}

func TestAllEnginesLoadWhenJobsAllowOnlyTheNewestVersion(t *testing.T) {
	f := newFixture(6, 12, "m")
	f.SetTargets(map[string]uint64{"m": 2})
	f.RaiseMinVersion("m", 2)
	if got := f.completeLoads()["m"]; got != 6 {
		t.Fatalf("%d loads, want 6", got)
	}
}

func TestModelWithMoreEventsGetsMoreEngines(t *testing.T) {
	f := newFixture(9, 12, "heavy", "light")
	for _, m := range []struct {
		name   string
		events int
	}{{"heavy", 3_000}, {"light", 1_000}} {
		f.Add(dispatch.Task{JobID: m.name, ItemID: "i", Pool: pool, Model: m.name})
		a := f.AssignTasks(f.now)[0]
		for range m.events {
			f.EventReceived(f.now, a.Task)
		}
	}
	for range 5 {
		f.now += 4_000
		f.sync()
	}
	f.SetTargets(map[string]uint64{"heavy": 2, "light": 2})
	counts := f.completeLoads()
	if counts["heavy"] <= counts["light"] || counts["light"] < 2 {
		t.Fatalf("loads by model %v, want more for heavy and at least 2 for light", counts)
	}
}

// A pass stops looking for engines once no engine meets the requirements of a
// task. Tasks with other requirements must not wait for that.
func TestBacklogOfOneModelDoesNotDelayAnother(t *testing.T) {
	f := newFixture(4, 2, "m0", "m1")
	for _, model := range []string{"m0", "m1"} {
		for i := range 3 {
			f.Add(dispatch.Task{
				JobID: "job-" + model, ItemID: fmt.Sprintf("i%d", i), Pool: pool, Model: model,
				MinVersion: map[string]uint64{"m0": 2, "m1": 1}[model], DueMS: f.now, Order: uint64(i),
			})
		}
	}
	as := f.AssignTasks(f.now)
	if len(as) != 3 || f.Waiting() != 3 {
		t.Fatalf("%d tasks started, %d wait, want 3, 3", len(as), f.Waiting())
	}
	for _, a := range as {
		if a.Task.Model != "m1" {
			t.Fatalf("a task of model %s started, which no engine has in version 2", a.Task.Model)
		}
	}
}

// An address may be used by another engine before discovery reports it. An order
// that stays pending would keep its engine from all later versions.
func TestReportOfAnotherEngineEndsOrder(t *testing.T) {
	f := newFixture(1, 2, "m")
	f.SetTargets(map[string]uint64{"m": 2})
	loads := f.PlanWeightLoads(f.now)
	if len(loads) != 1 {
		t.Fatalf("%d loads planned, want 1", len(loads))
	}
	if _, wanted := f.ReportReceived(f.now, loads[0], rollout.EngineReport{Instance: "another"}); wanted {
		t.Fatal("the order would be sent to another engine")
	}
	f.now += 1_000
	if again := f.PlanWeightLoads(f.now); len(again) != 1 {
		t.Fatalf("%d loads planned a second later, want 1", len(again))
	}
}

// runFor runs the queued tasks that can start and ends them after a time.
func (f *fixture) runFor(took rollout.Millis) {
	as := f.AssignTasks(f.now)
	f.now += took
	for _, a := range as {
		f.RunEnded(f.now, a, dispatch.OutcomeDone)
	}
}

// loadsOf returns the planned loads of a model, which end at once.
func (f *fixture) loadsOf(model string) []dispatch.WeightLoad {
	loads := f.PlanWeightLoads(f.now)
	for _, l := range loads {
		f.OrderEnded(f.now, l, rollout.WeightOrderAlreadyServed)
	}
	return slices.DeleteFunc(loads, func(l dispatch.WeightLoad) bool { return l.Model != model })
}

// Each engine keeps one model current. Where a model has few engines, its steps
// would wait for each other while the engines of another model are idle.
func TestStarvingModelBorrowsIdleEngines(t *testing.T) {
	const engines, slots, runMS = 10, 2, 1_000
	for _, tc := range []struct {
		name  string
		tasks int
		lent  bool
	}{
		{"ShortQueue", 20, false},
		{"LongQueue", 120, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(engines, slots, "m0", "m1")
			f.SetTargets(map[string]uint64{"m0": 2, "m1": 2})
			f.completeLoads()
			f.add(tc.tasks, dispatch.Task{Model: "m0", MinVersion: 2})
			f.runFor(runMS)
			f.AssignTasks(f.now)
			f.now += 600
			f.AssignTasks(f.now)
			if got := len(f.loadsOf("m0")); (got > 0) != tc.lent {
				t.Fatalf("%d engines are lent to a queue of %d tasks, want some: %v", got, tc.tasks, tc.lent)
			}
		})
	}
}

func TestBusyEnginesAreNotLent(t *testing.T) {
	f := newFixture(10, 2, "m0", "m1")
	f.SetTargets(map[string]uint64{"m0": 2, "m1": 2})
	f.completeLoads()
	for i := range 240 {
		f.Add(dispatch.Task{
			JobID: "job", ItemID: fmt.Sprintf("i%d", i), Pool: pool, Model: []string{"m0", "m1"}[i%2], MinVersion: 2, Order: uint64(i),
		})
	}
	f.runFor(1_000)
	f.AssignTasks(f.now)
	f.now += 600
	f.AssignTasks(f.now)
	if loads := f.PlanWeightLoads(f.now); len(loads) != 0 {
		t.Fatalf("loads %v while both models have work, want none", loads)
	}
}
