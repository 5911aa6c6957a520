package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// maxQueueMS is the estimated time until the last queued task of a model starts
	// above which the model borrows engines of others.
	maxQueueMS rollout.Millis = 2_500
	// minBacklogMS is how long tasks of a model must have found no engine before.
	minBacklogMS rollout.Millis = 500
	// maxBorrowedFill is the fraction of its slots up to which an engine is idle
	// enough to be borrowed.
	maxBorrowedFill = 0.5
	// newestRunWeight is the weight of the newest run in the moving average of the
	// time that a run takes.
	newestRunWeight = 0.02
)

// backlog is the queue of a model whose tasks find no engine.
type backlog struct {
	tasks int
	since rollout.Millis
}

// updateBacklogs counts the queued tasks of each model after a pass.
func (s *Scheduler) updateBacklogs(now rollout.Millis) {
	tasks := make(map[string]int)
	for _, t := range s.waiting {
		tasks[t.Model]++
	}
	for model := range s.backlogs {
		if tasks[model] == 0 {
			delete(s.backlogs, model)
		}
	}
	for model, n := range tasks {
		b, known := s.backlogs[model]
		if !known {
			b.since = now
		}
		b.tasks = n
		s.backlogs[model] = b
	}
}

// enginesToLend returns loads of starving models on idle engines that are assigned
// to other models. A load leaves the other models of an engine alone, so an engine
// whose own model has no work serves another one meanwhile.
func (s *Scheduler) enginesToLend(now rollout.Millis, pool string, engines []*engine) []WeightLoad {
	var loads []WeightLoad
	lent := make(map[string]bool)
	for _, model := range s.starvingModels(now, pool) {
		missing := s.missingSlots(model, engines)
		target := s.targets[model]
		var idle []*engine
		for _, e := range engines {
			switch {
			case e.knownVersions[model] >= target:
			case e.loadingModel == model && now < e.loadEndsAt:
				missing -= e.Slots
			case !lent[e.ID] && s.idleForOthers(now, e, model):
				idle = append(idle, e)
			}
		}
		slices.SortFunc(idle, func(a, b *engine) int { return cmp.Or(cmp.Compare(a.running, b.running), cmp.Compare(a.ID, b.ID)) })
		for _, e := range idle {
			if missing <= 0 {
				break
			}
			missing -= e.Slots
			lent[e.ID] = true
			loads = append(loads, WeightLoad{
				Engine: e.ID, Address: e.Address, Model: model, Version: target, Accepted: e.acceptedOrders, NeedsReport: !e.reportKnown,
			})
		}
	}
	return loads
}

// missingSlots returns how many more slots a model needs so that its last queued
// task starts within maxQueueMS.
func (s *Scheduler) missingSlots(model string, engines []*engine) int {
	slots := 0
	for _, e := range engines {
		if v := e.knownVersions[model]; v >= s.minVersions[model] {
			slots += e.Slots
		}
	}
	return int(float64(s.backlogs[model].tasks)*s.runMS/float64(maxQueueMS)) - slots
}

// updateRunMS adds a complete run to the moving average.
func (s *Scheduler) updateRunMS(tookMS rollout.Millis) {
	if s.runMS == 0 {
		s.runMS = float64(tookMS)
	}
	s.runMS += newestRunWeight * (float64(tookMS) - s.runMS)
}

// starvingModels returns the models of a pool that have had a backlog for
// minBacklogMS, the longest backlog first.
func (s *Scheduler) starvingModels(now rollout.Millis, pool string) []string {
	var models []string
	for _, m := range s.models[pool] {
		if b, ok := s.backlogs[m]; ok && now-b.since >= minBacklogMS && s.targets[m] > 0 {
			models = append(models, m)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.backlogs[b].tasks, s.backlogs[a].tasks), cmp.Compare(a, b))
	})
	return models
}

// idleForOthers reports whether an engine may load the weights of a model that it
// is not assigned to: its own model is current and has no backlog, and most of its
// slots are free.
func (s *Scheduler) idleForOthers(now rollout.Millis, e *engine, model string) bool {
	own := s.assignedModels[e.ID]
	_, busy := s.backlogs[own]
	return own != model && !busy && !e.orderPending && now >= e.nextOrderAt && now >= e.loadEndsAt && now >= e.retryAt &&
		!e.Silent && float64(e.running) <= maxBorrowedFill*float64(e.Slots) && s.lag(e) == 0
}
