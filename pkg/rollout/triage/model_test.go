package triage_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/triage"
)

const (
	pool = "engines"
	// eventMS is the time between two events of a run, and the tick of the model.
	eventMS rollout.Millis = 51
	// resultDeadlineMS, graceMS and patienceMS are those of the trainers: when results are
	// due, until when groups count fully, and when the trainer gives up.
	resultDeadlineMS rollout.Millis = 7_500
	graceMS          rollout.Millis = 700
	patienceMS       rollout.Millis = 12_000
	// Texts have 30 events at the median and 60 at the ninth decile.
	medianEvents, lengthSigma, maxEvents = 30.0, 0.54, 134.0
)

// modelItem is an item of a modelStep.
type modelItem struct {
	task     dispatch.Task
	length   int
	text     int
	running  bool
	complete bool
	// startedMS is the time of the first start, or 0.
	startedMS rollout.Millis
}

// modelStep is a step of a trainer.
type modelStep struct {
	id      string
	model   string
	dueMS   rollout.Millis
	desired int
	items   []*modelItem
	// endsAt is the number of complete groups at which the trainer ends the step, and givesUpMS
	// the time at which it does so in any case.
	endsAt    int
	givesUpMS rollout.Millis
	// completedMS holds when each complete group was complete.
	completedMS map[string]rollout.Millis
	// endedMS is the time at which the trainer had its groups or gave up, or 0.
	endedMS rollout.Millis
}

// inTime returns how many of the groups that the trainer waits for were complete in time.
func (s *modelStep) inTime() int {
	n := 0
	for _, at := range s.completedMS {
		if at <= s.dueMS+graceMS {
			n++
		}
	}
	return min(n, s.desired)
}

func (s *modelStep) open() bool { return s.endedMS == 0 }

// model runs the items of steps over the slots of engines, with the order of the scheduler
// alone or with the ranks of a planner.
type model struct {
	*dispatch.Scheduler
	random    *rand.Rand
	ranked    bool
	planner   *triage.Planner
	now       rollout.Millis
	upstreams map[string]discovery.Upstream
	models    []string
	steps     []*modelStep
	items     map[string]*modelItem
	runs      map[string]dispatch.Assignment
	rankedMS  rollout.Millis
	stale     bool
	order     uint64
	// estimateError is the largest factor by which estimates are off.
	estimateError float64
	unattainable  []triage.Unattainable
}

// newModel returns a model with engines that all serve the given models.
func newModel(seed uint64, ranked bool, engines, slots int, models ...string) *model {
	m := &model{
		Scheduler: dispatch.New(dispatch.DefaultConfig("d0")), random: rand.New(rand.NewPCG(seed, 1)), ranked: ranked,
		planner: triage.New(), now: eventMS, upstreams: make(map[string]discovery.Upstream), models: models,
		items: make(map[string]*modelItem), runs: make(map[string]dispatch.Assignment), estimateError: 1,
	}
	for i := range engines {
		u := discovery.Upstream{ID: fmt.Sprintf("e%d", i), Pool: pool, Address: "a", FailureDomain: "d0", State: discovery.StateReady, Slots: slots, Born: 1}
		for _, name := range models {
			u.Models = append(u.Models, discovery.Model{Name: name, Version: 1})
		}
		m.upstreams[u.ID] = u
	}
	m.syncEngines()
	return m
}

func (m *model) syncEngines() {
	m.Sync(m.now, m.upstreams, map[string][]string{pool: m.models})
}

// setState changes the state of an engine. The runs of one that is gone come back.
func (m *model) setState(engine string, state discovery.State) {
	u := m.upstreams[engine]
	u.State = state
	m.upstreams[engine] = u
	m.syncEngines()
	if state == discovery.StateGone {
		m.breakRuns(engine)
	}
}

// breakRuns ends the runs of an engine as if it had crashed. Their items continue elsewhere.
func (m *model) breakRuns(engine string) {
	for _, s := range m.steps {
		for _, it := range s.items {
			if it.running && m.runs[it.task.ItemID].Engine == engine {
				m.endRun(it, dispatch.OutcomeBroken)
				it.task.Begun, it.task.TextEvents = true, uint64(it.text)
				m.Add(it.task)
			}
		}
	}
}

// length returns the length of a text.
func (m *model) length() int {
	return int(min(medianEvents*math.Exp(lengthSigma*m.random.NormFloat64()), maxEvents)) + 1
}

// estimate returns an estimate of a length that is right at the median.
func (m *model) estimate(length int) int {
	return max(1, int(float64(length)*math.Pow(m.estimateError, 2*m.random.Float64()-1)))
}

// submit opens a step of groups with size items each.
func (m *model) submit(name, modelName string, groups, size, desired int) *modelStep {
	s := &modelStep{id: name, model: modelName, dueMS: m.now + resultDeadlineMS, desired: desired, endsAt: desired, givesUpMS: m.now + patienceMS, completedMS: make(map[string]rollout.Millis)}
	for g := range groups {
		for i := range size {
			m.order++
			length := m.length()
			s.items = append(s.items, &modelItem{length: length, task: dispatch.Task{
				JobID: name, ItemID: fmt.Sprintf("%s-%d-%d", name, g, i), Pool: pool, Model: modelName, Group: fmt.Sprintf("g%d", g),
				MinVersion: 1, ExpectedTokens: m.estimate(length), DueMS: s.dueMS, Order: m.order,
			}})
		}
	}
	for _, it := range s.items {
		m.items[it.task.ItemID] = it
		m.Add(it.task)
	}
	m.steps = append(m.steps, s)
	m.stale = true
	return s
}

func (m *model) endRun(it *modelItem, o dispatch.Outcome) {
	it.running = false
	m.RunEnded(m.now, m.runs[it.task.ItemID], o)
	delete(m.runs, it.task.ItemID)
}

// tick lets each run generate an event and starts what can start.
func (m *model) tick() {
	m.now += eventMS
	for _, s := range m.steps {
		if !s.open() {
			continue
		}
		for _, it := range s.items {
			m.generate(s, it)
		}
		if len(s.completedMS) >= s.endsAt || m.now >= s.givesUpMS {
			m.end(s)
		}
	}
	m.rank()
	for _, a := range m.AssignTasks(m.now) {
		m.runs[a.Task.ItemID] = a
		it := m.items[a.Task.ItemID]
		it.running = true
		if it.startedMS == 0 {
			it.startedMS = m.now
		}
	}
}

func (m *model) generate(s *modelStep, it *modelItem) {
	if !it.running {
		return
	}
	m.EventReceived(m.now, it.task)
	it.text++
	if it.text < it.length {
		return
	}
	it.complete = true
	m.endRun(it, dispatch.OutcomeDone)
	group := it.task.Group
	if !slices.ContainsFunc(s.items, func(o *modelItem) bool { return o.task.Group == group && !o.complete }) {
		s.completedMS[group] = m.now
		m.stale = true
	}
}

func (m *model) end(s *modelStep) {
	s.endedMS = m.now
	m.DropJob(s.id)
	for _, it := range s.items {
		if it.running {
			m.endRun(it, dispatch.OutcomeCancelled)
		}
	}
	m.stale = true
}

// rank applies the ranks as the job store does.
func (m *model) rank() {
	if !m.ranked || (!m.stale && m.now-m.rankedMS < 250) {
		return
	}
	m.rankedMS, m.stale = m.now, false
	rooms := m.Rooms(m.now)
	plan := m.planner.Plan(m.now, m.openSteps(), rooms)
	m.unattainable = append(m.unattainable, plan.Unattainable...)
	m.SetRanks(rooms, plan.Ranks)
}

func (m *model) openSteps() []triage.Step {
	var open []triage.Step
	for _, s := range m.steps {
		if !s.open() {
			continue
		}
		ts := triage.Step{ID: s.id, Pool: pool, Model: s.model, DueMS: s.dueMS, HasDeadline: true, Desired: s.desired}
		for _, it := range s.items {
			ti := triage.Item{Group: it.task.Group, ExpectedTokens: it.task.ExpectedTokens, TextTokens: it.text}
			switch {
			case it.complete:
				ti.State = triage.StateComplete
			case it.running:
				ti.State = triage.StateRunning
			}
			ts.Items = append(ts.Items, ti)
		}
		open = append(open, ts)
	}
	return open
}

// runUntil ticks until a time, or until all steps have ended.
func (m *model) runUntil(at rollout.Millis) {
	for m.now < at && slices.ContainsFunc(m.steps, (*modelStep).open) {
		m.tick()
	}
}
