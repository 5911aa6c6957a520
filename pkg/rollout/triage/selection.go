package triage

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// selection chooses the steps that are to meet their due times. It follows the algorithm of
// Moore and Hodgson, which keeps as many jobs in time as possible on one machine: take the
// steps by due time, and whenever they exceed the capacity, drop the one with the most work.
type selection struct {
	now   rollout.Millis
	steps []*step
	rooms []Room
	// order holds the indexes of the rooms, those of the fewest models first.
	order []int
	// runningMS is the work of the running items in each room. It is never stopped, so it
	// takes its share of the capacity whatever is chosen.
	runningMS []float64
}

func newSelection(now rollout.Millis, steps []*step, rooms []Room) *selection {
	sel := &selection{now: now, steps: steps, rooms: rooms, runningMS: make([]float64, len(rooms))}
	for i := range rooms {
		sel.order = append(sel.order, i)
	}
	slices.SortStableFunc(sel.order, func(a, b int) int { return cmp.Compare(len(rooms[a].Models), len(rooms[b].Models)) })
	for _, s := range steps {
		for i, r := range rooms {
			if s.slots > 0 && r.serves(s.Pool, s.Model) {
				sel.runningMS[i] += s.runningMS * float64(r.Slots) / float64(s.slots)
			}
		}
	}
	return sel
}

// decide sets which steps are deferred. The steps are sorted by due time.
func (sel *selection) decide() {
	var kept []*step
	deferred := make(map[*step]bool)
	for _, s := range sel.steps {
		s.yields = false
		if !s.HasDeadline {
			continue
		}
		if s.short || !sel.fits([]*step{s}) {
			deferred[s] = true
			continue
		}
		kept = append(kept, s)
		for !sel.fits(kept) {
			largest := slices.MaxFunc(sel.sharing(kept, s), func(a, b *step) int {
				return cmp.Compare(a.waitingMS*a.factor, b.waitingMS*b.factor)
			})
			largest.yields, deferred[largest] = true, true
			kept = slices.DeleteFunc(kept, func(k *step) bool { return k == largest })
		}
	}
	for _, s := range sel.steps {
		s.deferred = deferred[s]
	}
}

// fits reports whether steps, sorted by due time, can all meet their due times. Steps of
// engines that are unknown or without a measured speed fit until their due time.
func (sel *selection) fits(steps []*step) bool {
	used := slices.Clone(sel.runningMS)
	for _, s := range steps {
		if s.missing <= 0 {
			continue
		}
		if s.DueMS < sel.now {
			return false
		}
		if s.slots == 0 {
			continue
		}
		rest := s.waitingMS * s.factor
		for _, i := range sel.order {
			if r := sel.rooms[i]; rest > 0 && r.serves(s.Pool, s.Model) {
				taken := min(rest, max(0, float64(r.Slots)*float64(s.DueMS-sel.now)-used[i]))
				used[i] += taken
				rest -= taken
			}
		}
		if rest > 0 {
			return false
		}
	}
	return true
}

// sharing returns those of the steps that can run at engines of a step.
func (sel *selection) sharing(steps []*step, s *step) []*step {
	var sharing []*step
	for _, o := range steps {
		if o == s || slices.ContainsFunc(sel.rooms, func(r Room) bool { return r.serves(s.Pool, s.Model) && r.serves(o.Pool, o.Model) }) {
			sharing = append(sharing, o)
		}
	}
	return sharing
}
