// Package dispatch schedules the items of jobs on engines and decides which
// engine loads which weight version.
package dispatch

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/residency"
)

// Task is an item of a job that is queued for an engine. It is immutable.
type Task struct {
	JobID, ItemID string
	Pool          string
	Model         string
	// Group is common to the items that share a prompt.
	Group string
	// MinVersion is the oldest weight version that may run the task.
	MinVersion uint64
	// OnlyVersion is the only weight version that may run the task, or 0 for any
	// from MinVersion on.
	OnlyVersion uint64
	// SingleVersion is true if one weight version must generate the whole text.
	SingleVersion bool
	// Software is the only version of the engines' software that may run the task, because
	// it generated the text so far, or empty for any.
	Software string
	// Policy holds the regions whose engines may run the task.
	Policy residency.Policy
	// TextEvents is the number of events in the text so far.
	TextEvents uint64
	// QueuedMS is when the task was queued.
	QueuedMS rollout.Millis
	// ExpiresMS is the time from which TakeExpired may take the task, or 0 for none.
	ExpiresMS rollout.Millis
	// Begun is true if the item has run before.
	Begun bool
	// ExpectedTokens is the caller's estimate of the output length, or 0.
	ExpectedTokens int
	// DueMS is when the result is due. Within a job, tasks that have begun come first, then
	// those with the highest ExpectedTokens. Order breaks ties.
	DueMS rollout.Millis
	Order uint64
	// latestStartMS is the primary sort key of the queue. It is the same for all tasks of a
	// job.
	latestStartMS rollout.Millis
}

// runKey identifies a running task.
type runKey struct{ jobID, itemID string }

func (t Task) runKey() runKey { return runKey{t.JobID, t.ItemID} }

// requirements are the properties of a task that decide which engines are
// eligible for it.
type requirements struct {
	pool, model, software   string
	minVersion, onlyVersion uint64
	policy                  residency.Policy
}

func (t Task) requirements() requirements {
	return requirements{t.Pool, t.Model, t.Software, t.MinVersion, t.OnlyVersion, t.Policy}
}

// withoutText returns the task as it is once its text has been discarded.
func (t Task) withoutText() Task {
	t.OnlyVersion, t.Software, t.TextEvents = 0, "", 0
	return t
}

// allows reports whether an engine may run the task with its region and the versions of its
// weights and software.
func (t Task) allows(e *engine) bool {
	v := e.knownVersions[t.Model]
	return t.Policy.Allows(e.region) && v >= t.MinVersion && (t.OnlyVersion == 0 || v == t.OnlyVersion) && (t.Software == "" || e.Software == t.Software)
}

// Assignment is a task and the engine that is to run it.
type Assignment struct {
	Task    Task
	Engine  string
	Address string
	Version uint64
	// Born is the start time of the engine's incarnation, and Software the version of its
	// software, or empty if it is unknown.
	Born     int64
	Software string
}

// WeightLoad is a weight order to send to an engine.
type WeightLoad struct {
	Engine, Address string
	Model           string
	Version         uint64
	// Accepted is the number of weight orders that the engine has accepted since
	// its start.
	Accepted uint64
	// NeedsReport is true if a report of the engine must be fetched before the
	// order is sent.
	NeedsReport bool
}

// Config holds the parameters of a Scheduler.
type Config struct {
	// FailureDomain is the failure domain of this host. Its engines are
	// preferred.
	FailureDomain string
	// Regions holds the region of each failure domain.
	Regions residency.Map
	// WeightLoadMS is how long an engine takes to load weights.
	WeightLoadMS rollout.Millis
	// EnginesPerWeightLoad is the number of engines of a pool for each one that may
	// load weights at the same time.
	EnginesPerWeightLoad int
}

// DefaultConfig returns the settings for engines that load weights in 0.9 s,
// and more slowly while more than about a fifth of them load at once.
func DefaultConfig(domain string) Config {
	return Config{FailureDomain: domain, WeightLoadMS: 900, EnginesPerWeightLoad: 5}
}

const (
	// The costs of an engine, in units of one running request.
	costOtherFailureDomain = 1.0
	// costSlowEngine is the cost of an item of mean length on an engine whose
	// event interval is twice the median. It is proportional to the length.
	costSlowEngine   = 3.0
	costSilentEngine = 6.0
	// costColdEngine exceeds the cost of any warm engine with a free slot.
	costColdEngine    = 1_000.0
	discountSameGroup = 3.0
	// backoffMS is the delay before an engine gets another task after it turned
	// one away. It doubles with each consecutive failure up to maxBackoffMS.
	backoffMS    rollout.Millis = 120
	maxBackoffMS rollout.Millis = 3_000
	// orderRetryDelayMS is the delay after the end of a weight order before the
	// engine gets another one.
	orderRetryDelayMS rollout.Millis = 300
	// awayAfterFailures is the number of consecutive failures from which no task waits for
	// an engine. One may have broken off a single run; at the second it has probably crashed.
	awayAfterFailures = 2
)

type engine struct {
	discovery.Upstream
	// region is the region of the engine's failure domain, or empty if it is unknown.
	region string
	// knownVersions holds the newest known weight version by model.
	knownVersions map[string]uint64
	running       int
	failures      int
	// retryAt is the time from which the engine may get tasks again.
	retryAt rollout.Millis
	// loadingModel is the model whose weights are being loaded until loadEndsAt.
	loadingModel string
	loadEndsAt   rollout.Millis
	// nextOrderAt is the time from which the next weight order may be sent.
	nextOrderAt rollout.Millis
	// acceptedOrders is the number of weight orders that the engine has accepted.
	// It is valid only if reportKnown is true.
	acceptedOrders uint64
	reportKnown    bool
	orderPending   bool
	// groups holds the groups of the tasks that have run on the engine.
	groups        map[string]bool
	eventInterval eventInterval
	// newestPace is the pace of the last moments, and lastingPace that of the hardware.
	newestPace, lastingPace paceMeter
	// hasPressingRun is true if a run takes most of the time that is left until it is due.
	hasPressingRun bool
	// starts holds the times at which runs started within startWindowMS, if the engine can
	// be cold.
	starts []rollout.Millis
}

// Scheduler assigns queued tasks to engines and plans weight loads and moves of
// runs. It is not safe for concurrent use.
type Scheduler struct {
	cfg     Config
	engines map[string]*engine
	// pools holds the engines of each pool by ID, and ready those of them that are
	// ready, as far as readyEngines has been asked. Both are built anew by Sync.
	pools, ready map[string][]*engine
	// models holds the models of each pool.
	models map[string][]string
	// targets holds the newest named weight version of each model.
	targets map[string]uint64
	// assignedModels maps each engine to the one model whose weights it keeps
	// current.
	assignedModels map[string]string
	// minVersions holds the oldest weight version that the newest job of a model
	// allows.
	minVersions map[string]uint64
	// recentEvents counts the stream events of each model. The counts are halved
	// every eventHalfLifeMS.
	recentEvents         map[string]float64
	recentEventsHalvedAt rollout.Millis
	// nextReassignmentAt is the time from which an engine may be reassigned to
	// another model.
	nextReassignmentAt rollout.Millis
	waiting            []Task
	// latestStarts holds for each job when the longest text of its model would have to start
	// to be complete in time. Any of its texts may become that long.
	latestStarts map[string]rollout.Millis
	// backlogs holds the models whose tasks found no engine in the last pass, by the policy
	// of the tasks.
	backlogs map[backlogKey]backlog
	// runMS is the moving average of the time of complete runs, or 0.
	runMS   float64
	running map[runKey]*run
	// reservations holds the slots that are kept for moving runs.
	reservations map[runKey]reservation
	// lengths is what is known of the lengths of texts.
	lengths lengths
	// medianIntervals holds the median event interval of each pool, computed at
	// medianIntervalsAt.
	medianIntervals   map[string]float64
	medianIntervalsAt rollout.Millis
	// knownPaces holds the paces that a former scheduler measured.
	knownPaces Paces
	// coldBounds holds, for each pool whose engines can be cold, the requests that a cold one
	// may get in a second.
	coldBounds map[string]float64
	// syncedFirstMS is the time of the first Sync.
	syncedFirstMS rollout.Millis
}

// New returns a scheduler without engines.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg, engines: make(map[string]*engine), models: make(map[string][]string),
		targets: make(map[string]uint64), assignedModels: make(map[string]string), running: make(map[runKey]*run),
		minVersions: make(map[string]uint64), recentEvents: make(map[string]float64), backlogs: make(map[backlogKey]backlog),
		reservations: make(map[runKey]reservation), lengths: newLengths(), latestStarts: make(map[string]rollout.Millis), medianIntervals: make(map[string]float64),
	}
}

// Add queues a task.
func (s *Scheduler) Add(t Task) {
	s.lengths.queued(t)
	t.latestStartMS = s.latestStart(t)
	i, _ := slices.BinarySearchFunc(s.waiting, t, compareTasks)
	s.waiting = slices.Insert(s.waiting, i, t)
}

// latestStart returns the primary sort key of a task.
func (s *Scheduler) latestStart(t Task) rollout.Millis {
	at, known := s.latestStarts[t.JobID]
	if !known {
		at = t.DueMS - rollout.Millis(s.lengths.longestEvents[t.Model]*s.medianInterval(t.QueuedMS, t.Pool))
		s.latestStarts[t.JobID] = at
	}
	return at
}

// DropJob removes the queued tasks of a job.
func (s *Scheduler) DropJob(jobID string) {
	delete(s.latestStarts, jobID)
	s.waiting = slices.DeleteFunc(s.waiting, func(t Task) bool { return t.JobID == jobID })
}

// TakeJob removes the queued tasks of a job and returns them.
func (s *Scheduler) TakeJob(jobID string) []Task {
	var taken []Task
	for _, t := range s.waiting {
		if t.JobID == jobID {
			taken = append(taken, t)
		}
	}
	s.DropJob(jobID)
	return taken
}

// TakeStranded removes the tasks that only few engines may run, while others could run
// them from the start, and returns them: those for which no such engine answers, as engines
// never go back to an earlier version, and those that have waited for one with a slot as
// long as it takes to generate their text anew.
func (s *Scheduler) TakeStranded(now rollout.Millis) []Task {
	var stranded []Task
	s.waiting = slices.DeleteFunc(s.waiting, func(t Task) bool {
		if (t.OnlyVersion == 0 && t.Software == "") || !s.isStranded(now, t) {
			return false
		}
		stranded = append(stranded, t)
		return true
	})
	return stranded
}

func (s *Scheduler) isStranded(now rollout.Millis, t Task) bool {
	left, others, othersFree := false, false, false
	fresh := t.withoutText()
	for _, e := range s.pools[t.Pool] {
		switch {
		case e.State != discovery.StateReady || !fresh.allows(e):
		case !t.allows(e):
			others = true
			othersFree = othersFree || s.eligible(now, e, fresh)
		case s.eligible(now, e, t):
			return false
		case e.Silent || e.failures >= awayAfterFailures:
		default:
			left = true
		}
	}
	if !left {
		return others
	}
	return t.Software != "" && othersFree && now-t.QueuedMS > s.textMS(now, t)
}

// TakeExpired removes the tasks that have waited too long for an engine in a region that
// they allow, as their pool has none, and returns them.
func (s *Scheduler) TakeExpired(now rollout.Millis) []Task {
	var expired []Task
	s.waiting = slices.DeleteFunc(s.waiting, func(t Task) bool {
		if t.ExpiresMS == 0 || now <= t.ExpiresMS || !t.Policy.IsRestricted() || s.hasEngineInRegions(t) {
			return false
		}
		expired = append(expired, t)
		return true
	})
	return expired
}

func (s *Scheduler) hasEngineInRegions(t Task) bool {
	return slices.ContainsFunc(s.pools[t.Pool], func(e *engine) bool { return e.State == discovery.StateReady && t.Policy.Allows(e.region) })
}

// textMS returns how long an engine takes to generate the text of a task.
func (s *Scheduler) textMS(now rollout.Millis, t Task) rollout.Millis {
	return rollout.Millis(float64(t.TextEvents) * s.medianInterval(now, t.Pool))
}

// RunEnded records the outcome of a run on an engine.
func (s *Scheduler) RunEnded(now rollout.Millis, a Assignment, o Outcome) {
	if r := s.running[a.Task.runKey()]; r != nil && o == OutcomeDone {
		s.updateRunMS(now - r.startedMS)
		s.lengths.completed(r.task, r.textEvents())
	}
	delete(s.running, a.Task.runKey())
	e := s.engines[a.Engine]
	if e == nil {
		return
	}
	e.running = max(0, e.running-1)
	switch o {
	case OutcomeDone:
		e.failures = 0
	case OutcomeTurnedAway:
		e.retryAt = max(e.retryAt, now+backoffMS)
	case OutcomeOtherVersion:
		e.retryAt = now + backoffMS
		e.reportKnown = false
		e.nextOrderAt = max(e.nextOrderAt, now)
		s.resetVersions(e)
	case OutcomeBroken:
		e.failures++
		e.retryAt = now + min(backoffMS<<min(e.failures, 5), maxBackoffMS)
	}
}

// Pause assigns nothing to an engine until a time, because its limit lets nothing through
// before.
func (s *Scheduler) Pause(engine string, until rollout.Millis) {
	if e := s.engines[engine]; e != nil {
		e.retryAt = max(e.retryAt, until)
	}
}

// Outcome is the result of a run on an engine.
type Outcome uint8

// The outcomes of a run.
const (
	// OutcomeDone means that the run ended with a response of the engine.
	OutcomeDone Outcome = iota
	// OutcomeTurnedAway means that the engine rejected the run before it began.
	OutcomeTurnedAway
	// OutcomeOtherVersion means that the run did not begin because another
	// engine is at the address or the engine serves another weight version.
	OutcomeOtherVersion
	// OutcomeBroken means that the run failed before it was complete.
	OutcomeBroken
	// OutcomeCancelled means that the run was cancelled by the system.
	OutcomeCancelled
	// OutcomeMoved means that the run was interrupted to continue on another
	// engine.
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

// SetTargets sets the newest named weight version of each model.
func (s *Scheduler) SetTargets(targets map[string]uint64) { s.targets = targets }

// Sync replaces the known engines and the models of their pools. Engines of the
// same incarnation keep their state.
func (s *Scheduler) Sync(now rollout.Millis, upstreams map[string]discovery.Upstream, models map[string][]string) {
	s.models = models
	if s.syncedFirstMS == 0 {
		s.syncedFirstMS = now
	}
	for id, e := range s.engines {
		if u, ok := upstreams[id]; !ok || u.Born != e.Born {
			delete(s.engines, id)
		}
	}
	for id, u := range upstreams {
		if len(models[u.Pool]) == 0 {
			continue
		}
		e := s.engines[id]
		if e == nil {
			e = &engine{Upstream: u, knownVersions: make(map[string]uint64), groups: make(map[string]bool)}
			s.engines[id] = e
			s.adoptKnownPace(e)
		}
		e.Upstream, e.region = u, s.cfg.Regions.Region(u.FailureDomain)
		for _, m := range u.Models {
			e.knownVersions[m.Name] = max(e.knownVersions[m.Name], m.Version)
		}
	}
	s.groupByPool()
	s.assignModels(now)
}

// AssignTasks removes the tasks that can start now from the queue and returns their
// assignments, the most urgent first.
func (s *Scheduler) AssignTasks(now rollout.Millis) []Assignment {
	var assignments []Assignment
	kept := s.waiting[:0]
	// exhausted holds the requirements that no engine meets any more, by whether the tasks
	// yield. Engines only fill up during a pass.
	exhausted := make(map[bool]map[requirements]bool)
	exhausted[false], exhausted[true] = make(map[requirements]bool), make(map[requirements]bool)
	s.findPressingRuns(now)
	for _, t := range s.waiting {
		e, yields := s.takeReservation(now, t), s.yields(now, t)
		if e == nil && exhausted[yields][t.requirements()] {
			kept = append(kept, t)
			continue
		}
		if e == nil {
			e = s.choose(now, t, yields)
		}
		if e == nil {
			exhausted[yields][t.requirements()] = true
			kept = append(kept, t)
			continue
		}
		e.running++
		e.hasPressingRun = e.hasPressingRun || s.isPressingTask(now, t)
		s.recordStart(now, e)
		s.running[t.runKey()] = &run{task: t, engine: e.ID, startedMS: now, version: e.knownVersions[t.Model], lastEventMS: now}
		e.groups[t.Group] = true
		assignments = append(assignments, Assignment{Task: t, Engine: e.ID, Address: e.Address, Version: e.knownVersions[t.Model], Born: e.Born, Software: e.Software})
	}
	s.waiting = kept
	s.updateBacklogs(now)
	return assignments
}

// Waiting returns the number of queued tasks.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// choose returns the eligible engine of lowest cost, or nil if there is none.
func (s *Scheduler) choose(now rollout.Millis, t Task, yields bool) *engine {
	var best *engine
	bestCost := 0.0
	for _, e := range s.pools[t.Pool] {
		if !s.eligible(now, e, t) || !hasRoom(e, yields) {
			continue
		}
		slowness := s.slowness(now, e)
		cost := float64(e.running+1)*slowness + s.slowEngineCost(now, e, t)
		if e.FailureDomain != s.cfg.FailureDomain {
			cost += costOtherFailureDomain
		}
		if e.Silent {
			cost += costSilentEngine
		}
		if e.ColdLimit > 0 {
			cost += costColdEngine
		}
		if t.Group != "" && e.groups[t.Group] && slowness == 1 {
			cost -= discountSameGroup
		}
		if best == nil || cost < bestCost || (cost == bestCost && e.ID < best.ID) {
			best, bestCost = e, cost
		}
	}
	return best
}

// eligible reports whether an engine of the task's pool may run the task now.
func (s *Scheduler) eligible(now rollout.Millis, e *engine, t Task) bool {
	if e.State != discovery.StateReady || now < e.retryAt || e.running >= e.Slots || float64(e.running)*s.slowness(now, e) >= float64(e.Slots) {
		return false
	}
	if e.loadingModel == t.Model && now < e.loadEndsAt {
		return false
	}
	return t.allows(e) && s.startsLeft(now, e) > 0
}

// compareTasks orders tasks by the latest start of their jobs. Within a job, tasks that have run
// before come first, because their groups wait for them, then the longest ones,
// because a long item that starts last ends long after all others.
func compareTasks(a, b Task) int {
	if c := cmp.Compare(a.latestStartMS, b.latestStartMS); c != 0 {
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
