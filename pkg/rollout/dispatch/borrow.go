package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/residency"
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

// backlogKey identifies a backlog. Tasks of a model that other regions may run do not show
// whether engines are missing in the regions of a policy.
type backlogKey struct {
	model  string
	policy residency.Policy
}

// updateBacklogs counts the queued tasks of each model and policy after a pass.
func (s *Scheduler) updateBacklogs(now rollout.Millis) {
	tasks := make(map[backlogKey]int)
	for _, t := range s.waiting {
		tasks[backlogKey{t.Model, t.Policy}]++
	}
	for key := range s.backlogs {
		if tasks[key] == 0 {
			delete(s.backlogs, key)
		}
	}
	for key, n := range tasks {
		b, known := s.backlogs[key]
		if !known {
			b.since = now
		}
		b.tasks = n
		s.backlogs[key] = b
	}
}

// enginesToLend returns loads of starving models on idle engines that are assigned
// to other models. A load leaves the other models of an engine alone, so an engine
// whose own model has no work serves another one meanwhile.
func (s *Scheduler) enginesToLend(now rollout.Millis, pool string, engines []*engine) []WeightLoad {
	var loads []WeightLoad
	lent := make(map[string]bool)
	for _, key := range s.starving(now, pool) {
		model, missing := key.model, s.missingSlots(key, engines)
		target := s.targets[model]
		var idle []*engine
		for _, e := range engines {
			switch {
			case !key.policy.Allows(e.region):
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

// missingSlots returns how many more slots a backlog needs so that its last queued
// task starts within maxQueueMS. It is at least one if no engine in the regions of a
// policy serves the model, as its tasks would never start.
func (s *Scheduler) missingSlots(key backlogKey, engines []*engine) int {
	slots := 0
	for _, e := range engines {
		if v := e.knownVersions[key.model]; v >= s.minVersions[key.model] && key.policy.Allows(e.region) {
			slots += e.Slots
		}
	}
	missing := int(float64(s.backlogs[key].tasks)*s.runMS/float64(maxQueueMS)) - slots
	if key.policy.IsRestricted() && slots == 0 {
		return max(1, missing)
	}
	return missing
}

// updateRunMS adds a complete run to the moving average.
func (s *Scheduler) updateRunMS(tookMS rollout.Millis) {
	if s.runMS == 0 {
		s.runMS = float64(tookMS)
	}
	s.runMS += newestRunWeight * (float64(tookMS) - s.runMS)
}

// starving returns the backlogs of a pool that have lasted for minBacklogMS, the
// longest backlog first.
func (s *Scheduler) starving(now rollout.Millis, pool string) []backlogKey {
	var keys []backlogKey
	for key, b := range s.backlogs {
		if slices.Contains(s.models[pool], key.model) && now-b.since >= minBacklogMS && s.targets[key.model] > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b backlogKey) int {
		return cmp.Or(cmp.Compare(s.backlogs[b].tasks, s.backlogs[a].tasks), cmp.Compare(a.model, b.model), cmp.Compare(a.policy.String(), b.policy.String()))
	})
	return keys
}

// idleForOthers reports whether an engine may load the weights of a model that it
// is not assigned to: its own model is current and has no backlog that the engine may
// run, and most of its slots are free.
func (s *Scheduler) idleForOthers(now rollout.Millis, e *engine, model string) bool {
	own := s.assignedModels[e.ID]
	for key := range s.backlogs {
		if key.model == own && key.policy.Allows(e.region) {
			return false
		}
	}
	return own != model && !e.orderPending && now >= e.nextOrderAt && now >= e.loadEndsAt && now >= e.retryAt &&
		!e.Silent && float64(e.running) <= maxBorrowedFill*float64(e.Slots) && s.lag(e) == 0
}
