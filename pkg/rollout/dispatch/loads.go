package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// PlanLoads returns the changes of weights to order now. The engines that lag
// most go first, and only a share of a pool's engines loads at a time.
func (s *Scheduler) PlanLoads(now rollout.Millis) []WeightLoad {
	var loads []WeightLoad
	for _, pool := range s.poolNames() {
		engines := s.ofPool(pool)
		slots := max(1, (len(engines)+s.cfg.EnginesPerLoad/2)/s.cfg.EnginesPerLoad)
		for _, e := range engines {
			if e.ordering || now < e.loadedAt {
				slots--
			}
		}
		var lagging []*engine
		for _, model := range s.models[pool] {
			lagging = append(lagging, s.lagging(now, engines, model)...)
		}
		slices.SortFunc(lagging, s.compareLag)
		for _, e := range lagging[:min(max(slots, 0), len(lagging))] {
			home := s.homes[e.ID]
			e.ordering = true
			loads = append(loads, WeightLoad{
				Engine: e.ID, Address: e.Address, Model: home, Version: s.targets[home],
				Accepted: e.accepted, NeedsReport: !e.surveyed,
			})
		}
	}
	return loads
}

// lagging returns the homes of a model that are to change their weights now:
// those that the newest jobs cannot use, and as many more as keep the homes
// spread over the versions that jobs allow, so that few load at a time.
func (s *Scheduler) lagging(now rollout.Millis, engines []*engine, model string) []*engine {
	target, slack := s.targets[model], s.slack(model)
	var behind []*engine
	homes, current := 0, 0
	for _, e := range engines {
		if s.homes[e.ID] != model {
			continue
		}
		homes++
		switch {
		case e.versions[model] >= target || e.ordering:
			current++
		case now >= e.orderAt && now >= e.loadedAt:
			behind = append(behind, e)
		}
	}
	slices.SortFunc(behind, s.compareLag)
	wanted := (homes+int(slack))/(int(slack)+1) - current
	return slices.DeleteFunc(behind, func(e *engine) bool {
		wanted--
		return wanted < 0 && e.versions[model]+slack >= target
	})
}

// compareLag puts the engines that lag most first, then the idle ones.
func (s *Scheduler) compareLag(a, b *engine) int {
	return cmp.Or(cmp.Compare(s.lag(b), s.lag(a)), cmp.Compare(a.running, b.running), cmp.Compare(a.ID, b.ID))
}

// slack returns how far an engine may lag and still serve the newest jobs of a
// model.
func (s *Scheduler) slack(model string) uint64 {
	oldest, known := s.bounds[model]
	if !known || oldest >= s.targets[model] {
		return 0
	}
	return min(s.targets[model]-oldest, maxSlack)
}

// RaiseMinVersion notes the oldest version that a new job of a model allows.
func (s *Scheduler) RaiseMinVersion(model string, minVersion uint64) {
	s.bounds[model] = max(s.bounds[model], minVersion)
}

// OrderEnded notes how an order ended.
func (s *Scheduler) OrderEnded(now rollout.Millis, l WeightLoad, o rollout.OrderOutcome) {
	e := s.engines[l.Engine]
	if e == nil {
		return
	}
	e.ordering = false
	e.orderAt = now + orderRetryMS
	switch o {
	case rollout.OrderStarted:
		e.accepted++
		e.loading, e.loadedAt = l.Model, now+s.cfg.LoadMS
		e.versions[l.Model] = l.Version
	case rollout.OrderHolds:
		e.versions[l.Model] = l.Version
	case rollout.OrderUnknown, rollout.OrderConflict, rollout.OrderFenced, rollout.OrderRefused:
		e.surveyed = false
	}
}

// ReportReceived notes what an engine has said of itself. It returns the load with
// the number of accepted orders, and whether the load is still to be ordered.
func (s *Scheduler) ReportReceived(now rollout.Millis, l WeightLoad, r rollout.EngineReport) (WeightLoad, bool) {
	e := s.engines[l.Engine]
	if e == nil || (r.Instance != "" && r.Instance != e.ID) {
		return l, false
	}
	e.surveyed, e.accepted = true, r.Accepted
	for m, v := range r.Versions {
		e.versions[m] = v
	}
	l.Accepted, l.NeedsReport = r.Accepted, false
	if r.Busy || e.versions[l.Model] >= l.Version {
		e.ordering = false
		e.orderAt = now + orderRetryMS
		return l, false
	}
	return l, true
}

// maxSlack bounds how far homes may lag by plan.
const maxSlack = 1

// assignHomes spreads the engines of a pool over its models by the work that
// the models have had, with as few moves as possible.
func (s *Scheduler) assignHomes(now rollout.Millis) {
	for _, pool := range s.poolNames() {
		models := s.models[pool]
		counts := make(map[string]int)
		var homeless []*engine
		engines := s.ofPool(pool)
		for _, e := range engines {
			if home := s.homes[e.ID]; slices.Contains(models, home) {
				counts[home]++
			} else {
				homeless = append(homeless, e)
			}
		}
		shares := s.shares(models, len(engines))
		byNeed := func(a, b string) int {
			return cmp.Compare(float64(counts[a])-shares[a], float64(counts[b])-shares[b])
		}
		for _, e := range homeless {
			home := slices.MinFunc(models, byNeed)
			s.homes[e.ID] = home
			counts[home]++
		}
		few, many := slices.MinFunc(models, byNeed), slices.MaxFunc(models, byNeed)
		excess := float64(counts[many]) - shares[many] - float64(counts[few]) + shares[few]
		if excess > moveExcess && counts[many] > 1 && now >= s.moveAt {
			i := slices.IndexFunc(engines, func(e *engine) bool { return s.homes[e.ID] == many })
			s.homes[engines[i].ID] = few
			s.moveAt = now + movePauseMS
		}
	}
	for id := range s.homes {
		if s.engines[id] == nil {
			delete(s.homes, id)
		}
	}
}

// shares returns how many engines each model should have: half by equal
// shares, half by the work of late, so that a model without work keeps some.
func (s *Scheduler) shares(models []string, engines int) map[string]float64 {
	total := 0.0
	for _, m := range models {
		total += s.work[m]
	}
	shares := make(map[string]float64)
	for _, m := range models {
		part := 1 / float64(len(models))
		if total > workSeen {
			part = (1-workShare)/float64(len(models)) + workShare*s.work[m]/total
		}
		shares[m] = part * float64(engines)
	}
	return shares
}

const (
	// workShare is the part of the engines that follows the work.
	workShare = 0.8
	// workSeen is the work, in events, from which shares follow it.
	workSeen = 500
	// workHalfLifeMS is when work counts half.
	workHalfLifeMS rollout.Millis = 8_000
	// moveExcess is how far two models must be from their shares, together,
	// before an engine changes its home, and movePauseMS the least time between
	// two changes.
	moveExcess                 = 1.3
	movePauseMS rollout.Millis = 3_000
)

// noteWork counts an event of a model.
func (s *Scheduler) noteWork(now rollout.Millis, model string) {
	if now-s.workAt >= workHalfLifeMS {
		for m := range s.work {
			s.work[m] /= 2
		}
		s.workAt = now
	}
	s.work[model]++
}

// forgetVersions goes back to what the engine itself has announced.
func (s *Scheduler) forgetVersions(e *engine) {
	for _, m := range e.Models {
		e.versions[m.Name] = m.Version
	}
}

func (s *Scheduler) lag(e *engine) uint64 {
	home := s.homes[e.ID]
	return s.targets[home] - min(s.targets[home], e.versions[home])
}

// ofPool returns the engines of a pool that take work, the failure domains in
// turn.
func (s *Scheduler) ofPool(pool string) []*engine {
	var engines []*engine
	inDomain := make(map[string]int)
	rank := make(map[string]int)
	for _, id := range s.sortedIDs() {
		e := s.engines[id]
		if e.Pool != pool || e.State != discovery.StateReady {
			continue
		}
		rank[id] = inDomain[e.FailureDomain]
		inDomain[e.FailureDomain]++
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
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

func (s *Scheduler) sortedIDs() []string {
	ids := make([]string, 0, len(s.engines))
	for id := range s.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
