package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
)

// BenchmarkAssignTasksWithBacklog measures a scheduling pass that frees one slot
// while the steps of six trainers wait for 81 engines.
func BenchmarkAssignTasksWithBacklog(b *testing.B) {
	const engines, slots, itemsPerModel = 81, 6, 200
	models := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
	f := newFixture(engines, slots, models...)
	order := uint64(0)
	add := func(model string) {
		order++
		f.Add(dispatch.Task{
			JobID: "job-" + model, ItemID: fmt.Sprintf("i%d", order), Pool: pool, Model: model,
			Group: fmt.Sprintf("g%d", order/8), MinVersion: 1, DueMS: f.now, Order: order,
		})
	}
	for i := range itemsPerModel * len(models) {
		add(models[i%len(models)])
	}
	running := f.AssignTasks(f.now)
	for b.Loop() {
		ended := running[0]
		f.RunEnded(f.now, ended, dispatch.OutcomeDone)
		add(ended.Task.Model)
		running = append(running[1:], f.AssignTasks(f.now)...)
	}
}

// newLargeFixture returns a scheduler with 1,000 engines and the given number of
// runs.
func newLargeFixture(runs int) (*fixture, []dispatch.Assignment) {
	const engines, slots = 1_000, 6
	models := []string{"m0", "m1", "m2", "m3", "m4", "m5"}
	f := newFixture(engines, slots, models...)
	for i := range runs {
		f.Add(dispatch.Task{
			JobID: "job", ItemID: fmt.Sprintf("i%d", i), Pool: pool, Model: models[i%len(models)],
			Group: fmt.Sprintf("g%d", i/8), MinVersion: 1, DueMS: f.now, Order: uint64(i),
		})
	}
	return f, f.AssignTasks(f.now)
}

// BenchmarkPass1000Engines measures a scheduling pass that finds nothing to do.
func BenchmarkPass1000Engines(b *testing.B) {
	f, _ := newLargeFixture(600)
	for b.Loop() {
		f.now++
		f.PlanWeightLoads(f.now)
		f.PlanMoves(f.now)
		f.AssignTasks(f.now)
	}
}

// BenchmarkSync1000Engines measures a change of one upstream among 1,000.
func BenchmarkSync1000Engines(b *testing.B) {
	f, _ := newLargeFixture(0)
	for b.Loop() {
		f.sync()
	}
}

// BenchmarkAssign1000Engines measures the start of one task.
func BenchmarkAssign1000Engines(b *testing.B) {
	f, running := newLargeFixture(600)
	order := uint64(1_000_000)
	for b.Loop() {
		ended := running[0]
		f.RunEnded(f.now, ended, dispatch.OutcomeDone)
		order++
		t := ended.Task
		t.ItemID, t.Order = fmt.Sprintf("i%d", order), order
		f.Add(t)
		running = append(running[1:], f.AssignTasks(f.now)...)
	}
}
