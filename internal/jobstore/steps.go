package jobstore

import (
	"slices"
	"strconv"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/triage"
)

// rankIntervalMS is the maximum time between two rankings of the open steps.
const rankIntervalMS rollout.Millis = 250

// stepRanks ranks the groups of the open jobs. It is guarded by the runner's mutex.
type stepRanks struct {
	planner *triage.Planner
	// finished holds the items of each open job that had a result when this leader opened
	// it.
	finished map[string][]triage.Item
	// rankedMS is the time of the last ranking. stale is true if a job was opened or a group
	// has ended since.
	rankedMS rollout.Millis
	stale    bool
}

func newStepRanks() *stepRanks {
	return &stepRanks{planner: triage.New(), finished: make(map[string][]triage.Item)}
}

func (s *stepRanks) open(jobID string, finished []triage.Item) {
	s.finished[jobID] = finished
	s.stale = true
}

func (s *stepRanks) close(jobID string) {
	delete(s.finished, jobID)
	s.stale = true
}

// finishedItems returns the items of a job that have a result.
func finishedItems(j *job.Job) []triage.Item {
	abandoned := make(map[string]bool)
	for _, res := range j.Results {
		abandoned[res.ItemID] = res.State == job.StateAbandoned
	}
	var items []triage.Item
	for i := range j.Spec.Items {
		it := &j.Spec.Items[i]
		if !j.HasResult(it.ID) {
			continue
		}
		finished := triage.Item{Group: triage.GroupName(it.Group, it.ID), State: triage.StateComplete}
		if abandoned[it.ID] {
			finished.State = triage.StateAbandoned
		}
		items = append(items, finished)
	}
	return items
}

// groupEnded makes the next scheduling pass rank the steps again if the item was the last of
// its group without a result, or was abandoned. The caller holds r.mu.
func (r *runner) groupEnded(w *workItem) {
	open := slices.ContainsFunc(r.jobs[w.spec.ID], func(o *workItem) bool {
		return !o.done && o.item.Group == w.item.Group
	})
	if !open || w.result == job.StateAbandoned || w.item.Group == "" {
		r.steps.stale = true
		r.wakeUp()
	}
}

// rankSteps ranks the groups of the open jobs if that is due. The caller holds r.mu.
func (r *runner) rankSteps(now rollout.Millis) {
	if len(r.jobs) == 0 || (!r.steps.stale && now-r.steps.rankedMS < rankIntervalMS) {
		return
	}
	r.steps.rankedMS, r.steps.stale = now, false
	steps := make([]triage.Step, 0, len(r.jobs))
	for jobID, items := range r.jobs {
		steps = append(steps, r.stepOf(jobID, items))
	}
	rooms := r.sched.Rooms(now)
	plan := r.steps.planner.Plan(now, steps, rooms)
	for _, u := range plan.Unattainable {
		r.store.opts.Log.Info("StepUnattainable", zap.String("Job", u.Step), zap.Bool("Yields", u.Yields))
		r.store.metrics.unattainableSteps.WithLabelValues(strconv.FormatBool(u.Yields)).Inc()
	}
	r.sched.SetRanks(rooms, plan.Ranks)
}

// stepOf returns the state of an open job. The caller holds r.mu.
func (r *runner) stepOf(jobID string, items []*workItem) triage.Step {
	w := items[0]
	finished := r.steps.finished[jobID]
	s := triage.Step{
		ID: jobID, Pool: w.route.PickPool(0), Model: w.spec.Model, DueMS: w.dueMS, HasDeadline: w.route.ResultDeadlineMS > 0,
		Desired: w.spec.Desired, Items: make([]triage.Item, 0, len(finished)+len(items)),
	}
	s.Items = append(s.Items, finished...)
	for _, w := range items {
		s.Items = append(s.Items, w.triageItem())
	}
	return s
}

// triageItem returns the state of an item. The caller holds r.mu.
func (w *workItem) triageItem() triage.Item {
	it := triage.Item{
		Group: triage.GroupName(w.item.Group, w.item.ID), ExpectedTokens: w.item.ExpectedTokens,
		TextTokens: int(w.text.lastID), TextComplete: w.text.complete,
	}
	switch {
	case w.result == job.StateAbandoned:
		it.State = triage.StateAbandoned
	case w.result == job.StateCompleted:
		it.State = triage.StateComplete
	case w.interrupt != nil:
		it.State = triage.StateRunning
	}
	return it
}
