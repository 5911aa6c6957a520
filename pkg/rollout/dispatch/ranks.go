package dispatch

import (
	"slices"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/triage"
)

// modelKey identifies a model of a pool.
type modelKey struct{ pool, model string }

func (t Task) groupKey() triage.GroupKey {
	return triage.GroupKey{Step: t.JobID, Group: triage.GroupName(t.Group, t.ItemID)}
}

// Rooms returns the capacity of the engines that answer, by the models that they serve. An
// engine serves the model that it is assigned to, although it may still have to load its
// newest weights, and each other model of which it has weights that the newest job allows.
func (s *Scheduler) Rooms(now rollout.Millis) []triage.Room {
	var rooms []triage.Room
	for _, pool := range s.poolNames() {
		index := make(map[string]int)
		for _, e := range s.pools[pool] {
			if e.State != discovery.StateReady || e.Silent || e.failures >= awayAfterFailures {
				continue
			}
			models, loaded := s.servedModels(e)
			key := strings.Join(models, "\n")
			i, known := index[key]
			if !known {
				i = len(rooms)
				index[key] = i
				rooms = append(rooms, triage.Room{Pool: pool, Models: models, EventMS: s.medianInterval(now, pool)})
			}
			rooms[i].Slots += e.Slots
			if loaded && now >= e.retryAt && now >= e.loadEndsAt {
				rooms[i].Free += max(0, e.Slots-e.running)
			}
		}
	}
	return rooms
}

// servedModels returns the models that an engine counts for in Rooms, sorted, and whether it
// has weights of all of them that their newest jobs allow.
func (s *Scheduler) servedModels(e *engine) (models []string, loaded bool) {
	loaded = true
	for _, m := range s.models[e.Pool] {
		v, known := e.knownVersions[m]
		switch {
		case known && v >= s.minVersions[m]:
			models = append(models, m)
		case s.assignedModels[e.ID] == m:
			models = append(models, m)
			loaded = false
		}
	}
	slices.Sort(models)
	return models, loaded
}

// SetRanks applies the ranks of groups to the queued tasks of the models whose tasks exceed
// the free slots of their engines, and to those of models that share engines with them. The
// tasks of other models have no rank.
func (s *Scheduler) SetRanks(rooms []triage.Room, ranks map[triage.GroupKey]int) {
	s.ranks, s.contended = ranks, s.contendedModels(rooms)
	changed := false
	for i := range s.waiting {
		t := &s.waiting[i]
		rank := s.rankOf(*t)
		changed = changed || rank != t.rank
		t.rank = rank
	}
	if changed {
		slices.SortStableFunc(s.waiting, compareTasks)
	}
}

// rankOf returns the rank of a task in the queue.
func (s *Scheduler) rankOf(t Task) int {
	if !s.contended[modelKey{t.Pool, t.Model}] {
		return 0
	}
	return s.ranks[t.groupKey()]
}

// contendedModels returns the models with more queued tasks than free slots, and those that
// share engines with them.
func (s *Scheduler) contendedModels(rooms []triage.Room) map[modelKey]bool {
	waiting := make(map[modelKey]int)
	for _, t := range s.waiting {
		waiting[modelKey{t.Pool, t.Model}]++
	}
	contended := make(map[modelKey]bool)
	// Engines of one model take its tasks first, so that a model is not contended as long as
	// the engines that it shares suffice for all.
	order := slices.Clone(rooms)
	slices.SortStableFunc(order, func(a, b triage.Room) int { return len(a.Models) - len(b.Models) })
	for _, r := range order {
		free := r.Free
		for _, m := range r.Models {
			k := modelKey{r.Pool, m}
			taken := min(free, waiting[k])
			free -= taken
			waiting[k] -= taken
		}
	}
	for k, n := range waiting {
		contended[k] = n > 0
	}
	for spread := true; spread; {
		spread = false
		for _, r := range rooms {
			if !slices.ContainsFunc(r.Models, func(m string) bool { return contended[modelKey{r.Pool, m}] }) {
				continue
			}
			for _, m := range r.Models {
				if k := (modelKey{r.Pool, m}); !contended[k] {
					contended[k], spread = true, true
				}
			}
		}
	}
	return contended
}
