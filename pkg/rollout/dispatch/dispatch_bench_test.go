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
