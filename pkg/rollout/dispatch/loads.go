package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// PlanWeightLoads returns the weight orders to send now and marks them as
// pending. The engines that lag most come first, and only a fraction of a
// pool's engines loads at the same time.
func (s *Scheduler) PlanWeightLoads(now rollout.Millis) []WeightLoad {
	var loads []WeightLoad
	for _, pool := range s.poolNames() {
		engines := s.readyEngines(pool)
		available := max(1, (len(engines)+s.cfg.EnginesPerWeightLoad/2)/s.cfg.EnginesPerWeightLoad)
		for _, e := range engines {
			if e.orderPending || now < e.loadEndsAt {
				available--
			}
		}
		var toUpdate []*engine
		for _, model := range s.models[pool] {
			toUpdate = append(toUpdate, s.enginesToUpdate(now, engines, model)...)
		}
		slices.SortFunc(toUpdate, s.compareLag)
		for _, e := range toUpdate[:min(max(available, 0), len(toUpdate))] {
			assignedModel := s.assignedModels[e.ID]
			e.orderPending = true
			loads = append(loads, WeightLoad{
				Engine: e.ID, Address: e.Address, Model: assignedModel, Version: s.targets[assignedModel],
				Accepted: e.acceptedOrders, NeedsReport: !e.reportKnown,
			})
		}
		available -= len(toUpdate)
		lend := s.enginesToLend(now, pool, engines)
		for _, l := range lend[:min(max(available, 0), len(lend))] {
			s.engines[l.Engine].orderPending = true
			loads = append(loads, l)
		}
	}
	return loads
}

// enginesToUpdate returns the engines assigned to a model that should load its
// target version now: those that are too old for the newest jobs, and as many
// more as keep the engines evenly spread over the versions that jobs allow, so
// that few engines load at the same time.
func (s *Scheduler) enginesToUpdate(now rollout.Millis, engines []*engine, model string) []*engine {
	target, allowedLag := s.targets[model], s.allowedLag(model)
	var behind []*engine
	assigned, current := 0, 0
	for _, e := range engines {
		if s.assignedModels[e.ID] != model {
			continue
		}
		assigned++
		switch {
		case e.knownVersions[model] >= target || e.orderPending:
			current++
		case now >= e.nextOrderAt && now >= e.loadEndsAt:
			behind = append(behind, e)
		}
	}
	slices.SortFunc(behind, s.compareLag)
	wanted := (assigned+int(allowedLag))/(int(allowedLag)+1) - current
	return slices.DeleteFunc(behind, func(e *engine) bool {
		wanted--
		return wanted < 0 && e.knownVersions[model]+allowedLag >= target
	})
}

// compareLag orders engines by descending lag, then by ascending number of
// running tasks.
func (s *Scheduler) compareLag(a, b *engine) int {
	return cmp.Or(cmp.Compare(s.lag(b), s.lag(a)), cmp.Compare(a.running, b.running), cmp.Compare(a.ID, b.ID))
}

// allowedLag returns how many versions an engine may lag behind the target and
// still serve the newest jobs of a model, at most maxAllowedLag.
func (s *Scheduler) allowedLag(model string) uint64 {
	oldest, known := s.minVersions[model]
	if !known || oldest >= s.targets[model] {
		return 0
	}
	return min(s.targets[model]-oldest, maxAllowedLag)
}

// RaiseMinVersion records the oldest weight version that a new job of a model
// allows. The recorded version never decreases.
func (s *Scheduler) RaiseMinVersion(model string, minVersion uint64) {
	s.minVersions[model] = max(s.minVersions[model], minVersion)
}

// OrderEnded records the outcome of a weight order.
func (s *Scheduler) OrderEnded(now rollout.Millis, l WeightLoad, o rollout.WeightOrderOutcome) {
	e := s.engines[l.Engine]
	if e == nil {
		return
	}
	e.orderPending = false
	e.nextOrderAt = now + orderRetryDelayMS
	switch o {
	case rollout.WeightOrderStarted:
		e.acceptedOrders++
		e.loadingModel, e.loadEndsAt = l.Model, now+s.cfg.WeightLoadMS
		e.knownVersions[l.Model] = l.Version
	case rollout.WeightOrderAlreadyServed:
		e.knownVersions[l.Model] = l.Version
	case rollout.WeightOrderUnknown, rollout.WeightOrderConflict, rollout.WeightOrderFenced, rollout.WeightOrderRefused:
		e.reportKnown = false
	}
}

// ReportReceived records the report of an engine. It returns the load with the
// reported number of accepted weight orders, and whether it is still needed.
func (s *Scheduler) ReportReceived(now rollout.Millis, l WeightLoad, r rollout.EngineReport) (WeightLoad, bool) {
	e := s.engines[l.Engine]
	if e == nil {
		return l, false
	}
	if r.Instance != "" && r.Instance != e.ID {
		// Another engine is at the address. Discovery reports it later.
		e.orderPending = false
		e.nextOrderAt = now + orderRetryDelayMS
		return l, false
	}
	e.reportKnown, e.acceptedOrders = true, r.Accepted
	for m, v := range r.Versions {
		e.knownVersions[m] = v
	}
	l.Accepted, l.NeedsReport = r.Accepted, false
	if r.Busy || e.knownVersions[l.Model] >= l.Version {
		e.orderPending = false
		e.nextOrderAt = now + orderRetryDelayMS
		return l, false
	}
	return l, true
}

// maxAllowedLag is the maximum number of versions that an engine is allowed to
// lag behind the target.
const maxAllowedLag = 1

// assignModels distributes the engines of each pool over its models according to
// their engine shares, with as few reassignments as possible.
func (s *Scheduler) assignModels(now rollout.Millis) {
	for _, pool := range s.poolNames() {
		models := s.models[pool]
		counts := make(map[string]int)
		var unassigned []*engine
		engines := s.readyEngines(pool)
		for _, e := range engines {
			if model := s.assignedModels[e.ID]; slices.Contains(models, model) {
				counts[model]++
			} else {
				unassigned = append(unassigned, e)
			}
		}
		engineShares := s.engineShares(models, len(engines))
		byExcess := func(a, b string) int {
			return cmp.Compare(float64(counts[a])-engineShares[a], float64(counts[b])-engineShares[b])
		}
		for _, e := range unassigned {
			model := slices.MinFunc(models, byExcess)
			s.assignedModels[e.ID] = model
			counts[model]++
		}
		under, over := slices.MinFunc(models, byExcess), slices.MaxFunc(models, byExcess)
		excess := float64(counts[over]) - engineShares[over] - float64(counts[under]) + engineShares[under]
		if excess > reassignmentThreshold && counts[over] > 1 && now >= s.nextReassignmentAt {
			i := slices.IndexFunc(engines, func(e *engine) bool { return s.assignedModels[e.ID] == over })
			s.assignedModels[engines[i].ID] = under
			s.nextReassignmentAt = now + reassignmentPauseMS
		}
	}
	for id := range s.assignedModels {
		if s.engines[id] == nil {
			delete(s.assignedModels, id)
		}
	}
}

// engineShares returns how many engines each model should have: eventShare of
// them in proportion to the recent events, the rest in equal parts, so that a
// model without recent events keeps some.
func (s *Scheduler) engineShares(models []string, engines int) map[string]float64 {
	total := 0.0
	for _, m := range models {
		total += s.recentEvents[m]
	}
	engineShares := make(map[string]float64)
	for _, m := range models {
		part := 1 / float64(len(models))
		if total > minEventsForShares {
			part = (1-eventShare)/float64(len(models)) + eventShare*s.recentEvents[m]/total
		}
		engineShares[m] = part * float64(engines)
	}
	return engineShares
}

const (
	// eventShare is the fraction of the engines that is distributed in proportion
	// to the recent events.
	eventShare = 0.8
	// minEventsForShares is the number of recent events above which they affect
	// the shares.
	minEventsForShares = 500
	// eventHalfLifeMS is the interval at which event counts are halved.
	eventHalfLifeMS rollout.Millis = 8_000
	// reassignmentThreshold is how far two models together must be from their
	// shares before an engine is reassigned, and reassignmentPauseMS is the
	// minimum time between two reassignments.
	reassignmentThreshold                = 1.3
	reassignmentPauseMS   rollout.Millis = 3_000
)

// countEvent counts a stream event of a model.
func (s *Scheduler) countEvent(now rollout.Millis, model string) {
	if now-s.recentEventsHalvedAt >= eventHalfLifeMS {
		for m := range s.recentEvents {
			s.recentEvents[m] /= 2
		}
		s.recentEventsHalvedAt = now
	}
	s.recentEvents[model]++
}

// resetVersions resets the known versions to those that the engine announced.
func (s *Scheduler) resetVersions(e *engine) {
	for _, m := range e.Models {
		e.knownVersions[m.Name] = m.Version
	}
}

// lag returns how many versions an engine is behind the target of its assigned
// model.
func (s *Scheduler) lag(e *engine) uint64 {
	model := s.assignedModels[e.ID]
	return s.targets[model] - min(s.targets[model], e.knownVersions[model])
}

// readyEngines returns the ready engines of a pool, alternating between failure
// domains. The caller must not change the slice.
func (s *Scheduler) readyEngines(pool string) []*engine {
	if ready, known := s.ready[pool]; known {
		return ready
	}
	var engines []*engine
	inDomain := make(map[string]int)
	rank := make(map[string]int)
	for _, e := range s.pools[pool] {
		if e.State != discovery.StateReady {
			continue
		}
		rank[e.ID] = inDomain[e.FailureDomain]
		inDomain[e.FailureDomain]++
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	s.ready[pool] = engines
	return engines
}

func (s *Scheduler) poolNames() []string {
	var names []string
	for name, models := range s.models {
		if len(models) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// groupByPool sorts the engines of each pool by ID and forgets which are ready.
func (s *Scheduler) groupByPool() {
	s.pools, s.ready = make(map[string][]*engine), make(map[string][]*engine)
	for _, e := range s.engines {
		s.pools[e.Pool] = append(s.pools[e.Pool], e)
	}
	for _, engines := range s.pools {
		slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	}
}
