// Package triage decides in which order the groups of open steps run when not all steps can
// finish in time. A step is a job whose trainer waits for a number of its groups.
package triage

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// keepFactor scales the work of a step that is new or was expected to be in time, and of
	// a group that was wanted, and deferFactor the work of a step that was deferred. The
	// distance keeps estimates that change with each event from reversing a decision.
	// keepFactor is below 1 because estimates with errors of both signs exceed the lengths
	// in the mean.
	keepFactor  = 0.8
	deferFactor = 1.1
	// runningFactor scales what is left of a running item, so that groups that have begun
	// are preferred to those that have not.
	runningFactor = 0.5
	// overrunFactor bounds what is left of a text from below, as a fraction of what there
	// is. Estimates are right at the median only, and a text near or past its estimate is
	// one of the long ones.
	overrunFactor = 0.5
	// leastFactor is the fraction of its estimate that a text has at least. A step or a group
	// counts as late only if it is with that, because estimates are off by up to that
	// factor. With the estimates themselves, estimates off by a factor of 4 made steps
	// yield that could finish in time.
	leastFactor = 0.25
	// defaultTokens is the expected length of a text in a step without any estimate.
	defaultTokens = 64
)

// State is the state of an item.
type State uint8

// The states of an item.
const (
	StateWaiting State = iota
	StateRunning
	// StateComplete means that the item has a result.
	StateComplete
	// StateAbandoned means that the item will have no result.
	StateAbandoned
)

// Item is an item of a step. It is immutable.
type Item struct {
	// Group is the name of the item's group, as given by GroupName.
	Group string
	State State
	// ExpectedTokens is the estimate of the output length, or 0, and TextTokens the length
	// of the text so far.
	ExpectedTokens, TextTokens int
	// TextComplete is true if only the result is missing.
	TextComplete bool
}

// GroupName returns the name of the group of an item. An item without a group is a group of
// its own.
func GroupName(group, itemID string) string {
	if group == "" {
		return itemID
	}
	return group
}

// Step is an open step. It is immutable.
type Step struct {
	ID          string
	Pool, Model string
	DueMS       rollout.Millis
	// HasDeadline is false if DueMS is only a position in the order.
	HasDeadline bool
	// Desired is the number of groups that the trainer waits for, or 0 for all.
	Desired int
	Items   []Item
}

// Room is the capacity of the engines of a pool that serve the same models.
type Room struct {
	Pool   string
	Models []string
	Slots  int
	// Free is the number of slots without a run.
	Free int
	// EventMS is the time between two tokens of a run, or 0 if it is unknown.
	EventMS float64
}

func (r Room) serves(pool, model string) bool {
	return r.Pool == pool && slices.Contains(r.Models, model)
}

// GroupKey identifies a group of a step.
type GroupKey struct{ Step, Group string }

// Plan is the result of Planner.Plan. It is immutable.
type Plan struct {
	// Ranks holds the rank of each group of the open steps. Items of a lower rank run
	// first. Groups of one rank have the same urgency.
	Ranks map[GroupKey]int
	// Unattainable holds the steps that can't meet their due time and were in no earlier
	// plan's list.
	Unattainable []Unattainable
}

// Unattainable is a step that can't meet its due time.
type Unattainable struct {
	Step string
	// Yields is true if the step could meet its due time without the other steps.
	Yields bool
}

// Planner ranks the groups of the open steps. It keeps the earlier decisions, so that small
// changes of the estimates don't reverse them. It is not safe for concurrent use.
type Planner struct {
	decisions map[string]*decision
}

// decision is the last decision on a step.
type decision struct {
	deferred, reported bool
	wanted             map[string]bool
}

// New returns a planner without earlier decisions.
func New() *Planner { return &Planner{decisions: make(map[string]*decision)} }

// group is the state of a group of a step.
type group struct {
	name string
	// left is the expected number of tokens that are left, and preference the same with the
	// running items reduced.
	left, preference float64
	// running is the part of left that is running.
	running float64
	// longest is the largest number of tokens that are left of an item at least.
	longest                    float64
	begun, complete, abandoned bool
	// late is true if the group can't be complete by the due time.
	late   bool
	wanted bool
}

// step is an open step while a plan is made.
type step struct {
	Step
	*decision
	groups []group
	// factor scales the work of the step by its last decision.
	factor float64
	// missing is the number of groups that the trainer still waits for.
	missing int
	// slots and eventMS are the capacity of the engines that serve the model.
	slots   int
	eventMS float64
	// workMS is the work of the wanted groups, in slot time, and runningMS the work of all
	// running items. waitingMS is the part of workMS that does not run.
	workMS, runningMS, waitingMS float64
	// short is true if fewer groups than the trainer waits for can be complete in time.
	short bool
	// yields is true if the step is deferred in favor of others.
	yields bool
}

// Plan ranks the groups: first the wanted groups of the steps that can meet their due time,
// then the wanted groups of the others, then the groups that no trainer waits for, and last
// those that can't be complete.
func (p *Planner) Plan(now rollout.Millis, open []Step, rooms []Room) Plan {
	steps := make([]*step, 0, len(open))
	known := make(map[string]*decision, len(open))
	for _, o := range open {
		d := p.decisions[o.ID]
		if d == nil {
			d = &decision{}
		}
		known[o.ID] = d
		s := &step{Step: o, decision: d, factor: d.factor(), groups: groupsOf(o)}
		s.measureRoom(rooms)
		s.chooseWanted(now)
		steps = append(steps, s)
	}
	p.decisions = known
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.DueMS, b.DueMS), cmp.Compare(a.workMS*a.factor, b.workMS*b.factor), cmp.Compare(a.ID, b.ID))
	})
	newSelection(now, steps, rooms).decide()
	plan := Plan{Ranks: rank(steps)}
	for _, s := range steps {
		if s.deferred && !s.reported {
			s.reported = true
			plan.Unattainable = append(plan.Unattainable, Unattainable{Step: s.ID, Yields: s.yields})
		}
	}
	return plan
}

// factor returns the factor for the work of a step that its last decision implies.
func (d *decision) factor() float64 {
	if d.deferred {
		return deferFactor
	}
	return keepFactor
}

// measureRoom sets the capacity of the engines of a step.
func (s *step) measureRoom(rooms []Room) {
	for _, r := range rooms {
		if r.serves(s.Pool, s.Model) {
			s.slots += r.Slots
			s.eventMS += r.EventMS * float64(r.Slots)
		}
	}
	if s.slots > 0 {
		s.eventMS /= float64(s.slots)
	}
}

// groupsOf returns the groups of a step in the order of their first items.
func groupsOf(s Step) []group {
	mean := meanTokens(s.Items)
	index := make(map[string]int)
	var groups []group
	for _, it := range s.Items {
		i, known := index[it.Group]
		if !known {
			i = len(groups)
			index[it.Group] = i
			groups = append(groups, group{name: it.Group, complete: true})
		}
		groups[i].add(it, mean)
	}
	return groups
}

func (g *group) add(it Item, meanTokens int) {
	g.complete = g.complete && it.State == StateComplete
	g.abandoned = g.abandoned || it.State == StateAbandoned
	g.begun = g.begun || it.State == StateRunning || it.State == StateComplete || it.TextTokens > 0
	if it.State == StateComplete || it.State == StateAbandoned || it.TextComplete {
		return
	}
	expected := cmp.Or(it.ExpectedTokens, meanTokens)
	left := max(float64(expected-it.TextTokens), overrunFactor*float64(it.TextTokens))
	g.left += left
	g.longest = max(g.longest, 1, leastFactor*float64(expected)-float64(it.TextTokens))
	if it.State == StateRunning {
		g.running += left
		left *= runningFactor
	}
	g.preference += left
}

// meanTokens returns the mean of the estimates of a step's items.
func meanTokens(items []Item) int {
	sum, n := 0, 0
	for _, it := range items {
		if it.ExpectedTokens > 0 {
			sum += it.ExpectedTokens
			n++
		}
	}
	if n == 0 {
		return defaultTokens
	}
	return sum / n
}

// chooseWanted marks the groups that the trainer waits for: those with the least left, except
// that a wanted group that has begun stays wanted.
func (s *step) chooseWanted(now rollout.Millis) {
	s.missing = s.Desired
	if s.missing <= 0 {
		s.missing = len(s.groups)
	}
	var candidates []*group
	inTime := 0
	for i := range s.groups {
		g := &s.groups[i]
		s.runningMS += g.running * s.eventMS
		switch {
		case g.complete:
			s.missing--
		case !g.abandoned:
			if s.wanted[g.name] {
				g.preference *= keepFactor
			}
			g.late = s.HasDeadline && now+rollout.Millis(g.longest*s.eventMS) > s.DueMS
			if !g.late {
				inTime++
			}
			candidates = append(candidates, g)
		}
	}
	s.short = s.HasDeadline && inTime < s.missing
	slices.SortStableFunc(candidates, func(a, b *group) int {
		return cmp.Or(compareBool(s.keeps(b), s.keeps(a)), compareBool(a.late, b.late), cmp.Compare(a.preference, b.preference))
	})
	wanted := make(map[string]bool)
	for i, g := range candidates {
		if i >= s.missing && (s.missing <= 0 || !s.keeps(g)) {
			break
		}
		g.wanted = true
		wanted[g.name] = true
		s.workMS += g.left * s.eventMS
		s.waitingMS += (g.left - g.running) * s.eventMS
	}
	s.wanted = wanted
}

// keeps reports whether a group stays wanted because it was wanted and has begun.
func (s *step) keeps(g *group) bool { return g.begun && s.wanted[g.name] }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// rank numbers the groups of the steps, which are sorted by due time.
func rank(steps []*step) map[GroupKey]int {
	r := ranking{ranks: make(map[GroupKey]int)}
	inTime, deferred := make([]*step, 0, len(steps)), []*step(nil)
	for _, s := range steps {
		if s.deferred {
			deferred = append(deferred, s)
		} else {
			inTime = append(inTime, s)
		}
	}
	isWanted := func(g *group) bool { return g.wanted }
	isSpare := func(g *group) bool { return !g.wanted && !g.abandoned }
	// All wanted groups of a step in time have one rank: it ends with its longest items, so
	// these start first. Of a late step as many groups as possible are to be complete early.
	for _, s := range inTime {
		r.add(s, isWanted, false)
	}
	for _, s := range deferred {
		r.add(s, isWanted, true)
	}
	for _, s := range slices.Concat(inTime, deferred) {
		r.add(s, isSpare, true)
	}
	for _, s := range steps {
		r.add(s, func(g *group) bool { return g.abandoned }, false)
	}
	return r.ranks
}

// ranking is a ranking of groups while it is made.
type ranking struct {
	ranks map[GroupKey]int
	last  int
}

// add gives the next ranks to some groups of a step: one for all of them, or one for each,
// the one with the least left first.
func (r *ranking) add(s *step, included func(g *group) bool, each bool) {
	var groups []*group
	for i := range s.groups {
		if g := &s.groups[i]; included(g) {
			groups = append(groups, g)
		}
	}
	if each {
		slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(a.preference, b.preference) })
	}
	for i, g := range groups {
		if i == 0 || each {
			r.last++
		}
		r.ranks[GroupKey{Step: s.ID, Group: g.name}] = r.last
	}
}
