package dispatch_test

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/residency"
)

var (
	inEast    = residency.NewPolicy([]string{"east"}, nil)
	inEither  = residency.NewPolicy([]string{"east", "west"}, nil)
	inNowhere = residency.NewPolicy([]string{"east"}, []string{"west"})
)

// newRegionFixture returns a scheduler in region west, whose engines e0, e3, ... are in
// failure domain d0 of west, e1, e4, ... in d1 of east and e2, e5, ... in d2 without a region.
func newRegionFixture(engines, slots int, models ...string) *fixture {
	f := newFixture(engines, slots, models...)
	cfg := dispatch.DefaultConfig("d0")
	cfg.Regions = residency.NewMap(map[string]string{"d0": "west", "d1": "east"})
	f.Scheduler = dispatch.New(cfg)
	f.sync()
	return f
}

// assertEngines fails unless all assignments are to the given engines, and returns how many
// there are.
func assertEngines(t *testing.T, as []dispatch.Assignment, engines ...string) int {
	t.Helper()
	allowed := make(map[string]bool)
	for _, e := range engines {
		allowed[e] = true
	}
	for _, a := range as {
		if !allowed[a.Engine] {
			t.Errorf("assigned to engine %s, want one of %v", a.Engine, engines)
		}
	}
	return len(as)
}

// Guards against items that run in a region that is not allowed when the engines in allowed
// ones are full.
func TestTasksRunInAllowedRegionsOnly(t *testing.T) {
	f := newRegionFixture(6, 2, "m")
	f.add(10, dispatch.Task{Model: "m", Policy: inEast})
	if n := assertEngines(t, f.AssignTasks(f.now), "e1", "e4"); n != 4 {
		t.Fatalf("%d tasks assigned, want the 4 slots in region east", n)
	}
	f = newRegionFixture(6, 2, "m")
	f.add(10, dispatch.Task{Model: "m", Policy: inEither})
	if n := assertEngines(t, f.AssignTasks(f.now), "e0", "e1", "e3", "e4"); n != 8 {
		t.Fatalf("%d tasks assigned, want the 8 slots in regions east and west", n)
	}
}

// Guards against an item that no engine may run and that holds up the others, or that is
// dropped.
func TestTaskThatNoEngineMayRunWaitsAlone(t *testing.T) {
	f := newRegionFixture(3, 2, "m")
	f.add(1, dispatch.Task{Model: "m", Policy: inNowhere})
	f.Add(dispatch.Task{JobID: "other", ItemID: "i", Pool: pool, Model: "m", Order: 9})
	if as := f.AssignTasks(f.now); len(as) != 1 || as[0].Task.JobID != "other" {
		t.Fatalf("assigned %v, want the item of the other job", as)
	}
	f.now += 60_000
	f.AssignTasks(f.now)
	if f.Waiting() != 1 {
		t.Fatalf("%d tasks wait, want 1", f.Waiting())
	}
}

// Guards against texts that start anew because engines of another region could generate
// them, and against texts that wait for engines of their software in another region.
func TestStrandedTextsCountAllowedRegionsOnly(t *testing.T) {
	f := newRegionFixture(2, 2, "m")
	f.setSoftware("v2", "v1")
	f.add(1, dispatch.Task{Model: "m", Policy: residency.NewPolicy([]string{"west"}, nil), Software: "v1", TextEvents: 3, QueuedMS: f.now})
	f.assertStranded(t, "software in another region only", 1)
	f = newRegionFixture(2, 2, "m")
	f.setSoftware("v2", "v1")
	f.add(1, dispatch.Task{Model: "m", Policy: residency.NewPolicy([]string{"west"}, nil), Software: "v3", TextEvents: 3, QueuedMS: f.now})
	f.assertStranded(t, "allowed engine of other software", 1)
	f = newRegionFixture(2, 2, "m")
	f.setSoftware("v2", "v1")
	f.add(1, dispatch.Task{Model: "m", Policy: inNowhere, Software: "v1", TextEvents: 3, QueuedMS: f.now})
	f.assertStranded(t, "no allowed engine", 0)
}

// Guards against runs that leave a slow engine although only engines of other regions have
// capacity, or that go to one of these.
func TestRunsMoveWithinAllowedRegions(t *testing.T) {
	for name, tc := range map[string]struct {
		engines int
		moves   bool
	}{"other engine in the region": {6, true}, "none": {3, false}} {
		t.Run(name, func(t *testing.T) {
			f := newRegionFixture(tc.engines, 12, "m")
			f.add(6, dispatch.Task{Model: "m", Policy: inEast})
			for i := range 12 {
				f.Add(dispatch.Task{JobID: "other", ItemID: string(rune('a' + i)), Pool: pool, Model: "m", Order: uint64(100 + i)})
			}
			as := f.AssignTasks(f.now)
			f.generate(as, func(engine string) rollout.Millis {
				if engine == "e1" {
					return slowEventMS
				}
				return eventMS
			})
			moved := 0
			for _, m := range f.PlanMoves(f.now) {
				if m.JobID != "job" {
					continue
				}
				moved++
				for _, a := range as {
					if a.Task.ItemID == m.ItemID && a.Task.JobID == m.JobID {
						f.RunEnded(f.now, a, dispatch.OutcomeMoved)
						f.Add(a.Task)
					}
				}
			}
			if (moved > 0) != tc.moves {
				t.Fatalf("%d restricted runs moved, want some: %v", moved, tc.moves)
			}
			assertEngines(t, f.AssignTasks(f.now), "e1", "e4")
		})
	}
}

// Guards against restricted items that never start because all engines in their regions keep
// another model current, and against loads in other regions on their behalf.
func TestModelBorrowsIdleEngineInAllowedRegion(t *testing.T) {
	for name, tc := range map[string]struct {
		policy residency.Policy
		want   int
	}{"engine in the region": {inEast, 1}, "no allowed region": {inNowhere, 0}} {
		t.Run(name, func(t *testing.T) {
			// e0 in region west keeps m0 current, e1 in region east m1.
			f := newRegionFixture(2, 2, "m0", "m1")
			f.SetTargets(map[string]uint64{"m0": 2, "m1": 2})
			f.completeLoads()
			f.RaiseMinVersion("m0", 2)
			f.add(1, dispatch.Task{Model: "m0", MinVersion: 2, Policy: tc.policy})
			f.AssignTasks(f.now)
			f.now += 600
			f.AssignTasks(f.now)
			loads := f.loadsOf("m0")
			if len(loads) != tc.want || (tc.want == 1 && loads[0].Engine != "e1") {
				t.Fatalf("loads %+v of the model, want %d at e1", loads, tc.want)
			}
			if n := assertEngines(t, f.AssignTasks(f.now), "e1"); n != tc.want {
				t.Fatalf("%d tasks assigned after the loads, want %d", n, tc.want)
			}
		})
	}
}
