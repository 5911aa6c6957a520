package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// Loads returns the changes of weights to order now. The engines that lag
// most go first, and only a share of a pool's engines loads at a time.
func (s *Scheduler) Loads(now rollout.Millis) []Load {
	var loads []Load
	for _, pool := range s.poolNames() {
		engines := s.ofPool(pool)
		slots := max(1, (len(engines)+s.cfg.EnginesPerLoad/2)/s.cfg.EnginesPerLoad)
		var lagging []*engine
		for _, e := range engines {
			if e.ordering || now < e.loadedAt {
				slots--
				continue
			}
			if home := s.homes[e.ID]; now >= e.orderAt && e.versions[home] < s.targets[home] {
				lagging = append(lagging, e)
			}
		}
		slices.SortFunc(lagging, func(a, b *engine) int {
			return cmp.Or(cmp.Compare(s.lag(b), s.lag(a)), cmp.Compare(a.running, b.running), cmp.Compare(a.ID, b.ID))
		})
		for _, e := range lagging[:min(max(slots, 0), len(lagging))] {
			home := s.homes[e.ID]
			e.ordering = true
			loads = append(loads, Load{
				Engine: e.ID, Address: e.Address, Model: home, Version: s.targets[home],
				Accepted: e.accepted, Survey: !e.surveyed,
			})
		}
	}
	return loads
}

// Ordered notes how an order ended.
func (s *Scheduler) Ordered(now rollout.Millis, l Load, o rollout.OrderOutcome) {
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

// Surveyed notes what an engine has said of itself. It returns the load with
// the number of accepted orders, and whether the load is still to be ordered.
func (s *Scheduler) Surveyed(now rollout.Millis, l Load, r rollout.EngineReport) (Load, bool) {
	e := s.engines[l.Engine]
	if e == nil || (r.Instance != "" && r.Instance != e.ID) {
		return l, false
	}
	e.surveyed, e.accepted = true, r.Accepted
	for m, v := range r.Versions {
		e.versions[m] = v
	}
	l.Accepted, l.Survey = r.Accepted, false
	if r.Busy || e.versions[l.Model] >= l.Version {
		e.ordering = false
		e.orderAt = now + orderRetryMS
		return l, false
	}
	return l, true
}

// assignHomes keeps the models of a pool spread evenly over its engines, with
// as few moves as possible.
func (s *Scheduler) assignHomes() {
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
		for _, e := range homeless {
			home := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
			s.homes[e.ID] = home
			counts[home]++
		}
		s.evenOut(engines, models, counts)
	}
	for id := range s.homes {
		if s.engines[id] == nil {
			delete(s.homes, id)
		}
	}
}

func (s *Scheduler) evenOut(engines []*engine, models []string, counts map[string]int) {
	for range engines {
		few := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
		many := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
		if counts[many]-counts[few] < 2 {
			return
		}
		i := slices.IndexFunc(engines, func(e *engine) bool { return s.homes[e.ID] == many })
		s.homes[engines[i].ID] = few
		counts[many]--
		counts[few]++
	}
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
