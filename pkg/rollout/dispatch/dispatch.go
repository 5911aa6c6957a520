// Package dispatch decides which item of a job runs on which engine, and
// which engine changes to which weight version.
package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// Task is an item that waits for an engine. It is immutable.
type Task struct {
	JobID, ItemID string
	Pool          string
	Model         string
	// Group names the items that share a prompt.
	Group string
	// MinVersion is the oldest weight version that may run the task.
	MinVersion uint64
	// OnlyVersion is the one version that may run it, or 0.
	OnlyVersion uint64
	// Begun is true when the item has run before.
	Begun bool
	// ExpectedTokens is the caller's estimate of the output, or 0.
	ExpectedTokens int
	// DueMS orders tasks, then Begun and ExpectedTokens; Order breaks ties.
	DueMS rollout.Millis
	Order uint64
}

// key names a task among those that run.
type key struct{ jobID, itemID string }

func (t Task) key() key { return key{t.JobID, t.ItemID} }

// Assignment gives a task to an engine.
type Assignment struct {
	Task    Task
	Engine  string
	Address string
	Version uint64
}

// WeightLoad tells an engine to change to a weight version.
type WeightLoad struct {
	Engine, Address string
	Model           string
	Version         uint64
	// Accepted is the number of orders that the engine has accepted.
	Accepted uint64
	// NeedsReport is true when the engine must be asked for its state first.
	NeedsReport bool
}

// Config sets a Scheduler up.
type Config struct {
	// FailureDomain is the own one; its engines are preferred.
	FailureDomain string
	// LoadMS is how long an engine takes to change its weights.
	LoadMS rollout.Millis
	// EnginesPerLoad is how many engines stand behind each one that may load
	// at a time.
	EnginesPerLoad int
}

// DefaultConfig returns the settings for engines whose change of weights
// takes 0.9 s, and longer while more than about a fifth of them load.
func DefaultConfig(domain string) Config {
	return Config{FailureDomain: domain, LoadMS: 900, EnginesPerLoad: 5}
}

const (
	// The costs that the choice of an engine weighs, in running requests.
	costOtherDomain = 1.0
	// costPace is that of an item of mean length on an engine which takes
	// twice the median time for an event. It grows with the length.
	costPace      = 3.0
	costSilent    = 6.0
	gainSameGroup = 3.0
	// backoffMS is the pause after an engine has turned a task away, and
	// maxBackoffMS the longest after repeated failures.
	backoffMS    rollout.Millis = 120
	maxBackoffMS rollout.Millis = 3_000
	// orderRetryMS is the pause after an order that was not accepted.
	orderRetryMS rollout.Millis = 300
)

type engine struct {
	discovery.Upstream
	// versions are the newest known ones by model.
	versions map[string]uint64
	running  int
	failures int
	// notBefore is when the engine may be tried again.
	notBefore rollout.Millis
	// loading is the model that is being changed, until loadedAt.
	loading  string
	loadedAt rollout.Millis
	// orderAt is when the next order may be given.
	orderAt rollout.Millis
	// accepted is the number of orders accepted, when surveyed is true.
	accepted uint64
	surveyed bool
	ordering bool
	// groups holds the groups that have run here.
	groups map[string]bool
	pace   pace
}

// Scheduler is used by one thread at a time.
type Scheduler struct {
	cfg     Config
	engines map[string]*engine
	// models holds the models of each pool.
	models map[string][]string
	// targets holds the newest named version of each model.
	targets map[string]uint64
	// homes gives each engine the model that it is kept current for.
	homes map[string]string
	// bounds holds the oldest version that the newest job of a model allows.
	bounds map[string]uint64
	// work counts the events of each model, halved from time to time.
	work   map[string]float64
	workAt rollout.Millis
	// moveAt is when an engine may change its home again.
	moveAt  rollout.Millis
	waiting []Task
	running map[key]*run
	// meanTokens is the smoothed ExpectedTokens of the tasks.
	meanTokens float64
	// medians holds the median pace of each pool at mediansAt.
	medians   map[string]float64
	mediansAt rollout.Millis
}

// New returns a scheduler without engines.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg, engines: make(map[string]*engine), models: make(map[string][]string),
		targets: make(map[string]uint64), homes: make(map[string]string), running: make(map[key]*run),
		bounds: make(map[string]uint64), work: make(map[string]float64),
	}
}

// Add queues a task.
func (s *Scheduler) Add(t Task) {
	s.noteLength(t)
	i, _ := slices.BinarySearchFunc(s.waiting, t, compareTasks)
	s.waiting = slices.Insert(s.waiting, i, t)
}

// Drop removes the waiting tasks of a job.
func (s *Scheduler) Drop(jobID string) {
	s.waiting = slices.DeleteFunc(s.waiting, func(t Task) bool { return t.JobID == jobID })
}

// RunEnded notes that a task no longer runs on an engine.
func (s *Scheduler) RunEnded(now rollout.Millis, a Assignment, o Outcome) {
	delete(s.running, a.Task.key())
	e := s.engines[a.Engine]
	if e == nil {
		return
	}
	e.running = max(0, e.running-1)
	switch o {
	case OutcomeDone:
		e.failures = 0
	case OutcomeTurnedAway:
		e.notBefore = now + backoffMS
	case OutcomeOtherVersion:
		e.notBefore = now + backoffMS
		e.surveyed = false
		e.orderAt = max(e.orderAt, now)
		s.forgetVersions(e)
	case OutcomeBroken:
		e.failures++
		e.notBefore = now + min(backoffMS<<min(e.failures, 5), maxBackoffMS)
	}
}

// Outcome is how a run on an engine ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeDone runs ended with an answer of the engine.
	OutcomeDone Outcome = iota
	// OutcomeTurnedAway runs did not begin.
	OutcomeTurnedAway
	// OutcomeOtherVersion runs did not begin, for the engine is another one or
	// holds another version.
	OutcomeOtherVersion
	// OutcomeBroken runs broke off.
	OutcomeBroken
	// OutcomeCancelled runs were cancelled by the system.
	OutcomeCancelled
	// OutcomeMoved runs were broken off to go on at another engine.
	OutcomeMoved
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"Done", "TurnedAway", "OtherVersion", "Broken", "Cancelled", "Moved"}
	if int(o) < len(names) {
		return names[o]
	}
	return "Unknown"
}

// SetTargets sets the newest named version of each model.
func (s *Scheduler) SetTargets(targets map[string]uint64) { s.targets = targets }

// Sync takes the engines that are known and the models of their pools.
func (s *Scheduler) Sync(now rollout.Millis, us map[string]discovery.Upstream, models map[string][]string) {
	s.models = models
	for id, e := range s.engines {
		if u, ok := us[id]; !ok || u.Born != e.Born {
			delete(s.engines, id)
		}
	}
	for id, u := range us {
		if len(models[u.Pool]) == 0 {
			continue
		}
		e := s.engines[id]
		if e == nil {
			e = &engine{versions: make(map[string]uint64), groups: make(map[string]bool)}
			s.engines[id] = e
		}
		e.Upstream = u
		for _, m := range u.Models {
			e.versions[m.Name] = max(e.versions[m.Name], m.Version)
		}
	}
	s.assignHomes(now)
}

// Next returns the tasks that may start now, the most urgent first.
func (s *Scheduler) Next(now rollout.Millis) []Assignment {
	var as []Assignment
	kept := s.waiting[:0]
	for _, t := range s.waiting {
		e := s.choose(now, t)
		if e == nil {
			kept = append(kept, t)
			continue
		}
		e.running++
		s.running[t.key()] = &run{task: t, engine: e.ID, startedMS: now, lastMS: now}
		e.groups[t.Group] = true
		as = append(as, Assignment{Task: t, Engine: e.ID, Address: e.Address, Version: e.versions[t.Model]})
	}
	s.waiting = kept
	return as
}

// Waiting returns how many tasks wait.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// choose returns the engine that costs least, or nil when none is free.
func (s *Scheduler) choose(now rollout.Millis, t Task) *engine {
	var best *engine
	bestCost := 0.0
	for _, e := range s.engines {
		if !s.usable(now, e, t) {
			continue
		}
		slowness := s.slowness(now, e)
		cost := float64(e.running+1)*slowness + s.delay(now, e, t)
		if e.FailureDomain != s.cfg.FailureDomain {
			cost += costOtherDomain
		}
		if e.Silent {
			cost += costSilent
		}
		if t.Group != "" && e.groups[t.Group] && slowness == 1 {
			cost -= gainSameGroup
		}
		if best == nil || cost < bestCost || (cost == bestCost && e.ID < best.ID) {
			best, bestCost = e, cost
		}
	}
	return best
}

func (s *Scheduler) usable(now rollout.Millis, e *engine, t Task) bool {
	if e.Pool != t.Pool || e.State != discovery.StateReady || now < e.notBefore || float64(e.running)*s.slowness(now, e) >= float64(e.Slots) {
		return false
	}
	if e.loading == t.Model && now < e.loadedAt {
		return false
	}
	v := e.versions[t.Model]
	return v >= t.MinVersion && (t.OnlyVersion == 0 || v == t.OnlyVersion)
}

// compareTasks puts what is due first in front. Of one job those that have
// run before come first, as their groups wait for them, then the longest: a
// long item that starts last ends long after all others.
func compareTasks(a, b Task) int {
	if c := cmp.Compare(a.DueMS, b.DueMS); c != 0 {
		return c
	}
	if a.Begun != b.Begun {
		if a.Begun {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.ExpectedTokens, a.ExpectedTokens), cmp.Compare(a.Order, b.Order))
}
