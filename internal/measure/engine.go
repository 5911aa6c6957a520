// Package measure simulates seeded workloads modelled on the two deployments and compares the
// decision cores with simple baseline policies. The decision cores are the packages of pkg/rollout
// that decide about queueing, routing, hedging, retries and capacity.
package measure

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// event is a callback scheduled at a simulated time. seq breaks ties in scheduling order.
type event struct {
	at  rollout.Millis
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// scheduler runs events in order of simulated time.
type scheduler struct {
	now    rollout.Millis
	events eventHeap
	seq    int
}

// after schedules a callback d milliseconds from now, or now if d is negative.
func (s *scheduler) after(d rollout.Millis, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + max(d, 0), s.seq, run})
}

// runUntil runs the events up to and including end and sets the simulated time to end.
func (s *scheduler) runUntil(end rollout.Millis) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// execution is a request that is queued or running at an engine.
type execution struct {
	prefix       int
	promptTokens int
	outputTokens int
	slowdown     float64
	onDone       func(ok bool)
	// startMS and durationMS are set when the execution starts.
	startMS, durationMS rollout.Millis
	running             bool
	engine              *engine
	// version is the weight version that the engine served at the start.
	version uint64
}

// progress returns how long an execution has run and how many tokens it has generated.
func (x *execution) progress(now rollout.Millis) (rollout.Millis, int) {
	if !x.running || x.durationMS == 0 {
		return 0, 0
	}
	elapsed := now - x.startMS
	return elapsed, int(float64(x.outputTokens) * float64(elapsed) / float64(x.durationMS))
}

// engine simulates a model engine that batches requests: the time per token grows with the size of
// the batch, and an LRU cache of prefixes shortens prefill.
type engine struct {
	sched       *scheduler
	id          string
	slots       int
	speed       float64
	running     int
	active      map[*execution]bool
	queue       []*execution
	prefixCache []int
	down        bool
	// version is the weight version that the engine serves.
	version uint64

	hits, misses, generatedTokens int
}

const (
	prefixCacheSize       = 10
	baseTokenMS           = 20.0
	batchSlowdown         = 0.6
	prefillMissMSPerToken = 0.6
	prefillHitMSPerToken  = 0.05
)

// submit queues an execution, or fails it at once while the engine is down.
func (e *engine) submit(x *execution) {
	if e.down {
		x.onDone(false)
		return
	}
	e.queue = append(e.queue, x)
	e.startQueued()
}

// startQueued starts queued executions while slots are free.
func (e *engine) startQueued() {
	for len(e.queue) > 0 && e.running < e.slots {
		x := e.queue[0]
		e.queue = e.queue[1:]
		e.start(x)
	}
}

func (e *engine) start(x *execution) {
	e.running++
	prefillMSPerToken := prefillMissMSPerToken
	if e.touch(x.prefix) {
		prefillMSPerToken = prefillHitMSPerToken
	}
	batchFactor := 1 + batchSlowdown*float64(e.running)/float64(e.slots)
	durationMS := float64(x.promptTokens)*prefillMSPerToken + float64(x.outputTokens)*baseTokenMS*batchFactor*x.slowdown/e.speed
	if e.active == nil {
		e.active = make(map[*execution]bool)
	}
	e.active[x] = true
	x.startMS, x.durationMS, x.running, x.engine = e.sched.now, rollout.Millis(durationMS), true, e
	x.version = e.version
	e.sched.after(rollout.Millis(durationMS), func() {
		if !e.active[x] {
			return
		}
		delete(e.active, x)
		e.running--
		e.generatedTokens += x.outputTokens
		e.startQueued()
		x.onDone(true)
	})
}

// touch reports whether a prefix is cached and makes it the most recently used.
func (e *engine) touch(prefix int) bool {
	i := slices.Index(e.prefixCache, prefix)
	if i >= 0 {
		e.prefixCache = slices.Delete(e.prefixCache, i, i+1)
		e.hits++
	} else {
		e.misses++
	}
	e.prefixCache = append(e.prefixCache, prefix)
	if len(e.prefixCache) > prefixCacheSize {
		e.prefixCache = e.prefixCache[1:]
	}
	return i >= 0
}

// cancel ends an execution early. The tokens it has generated count towards generatedTokens.
func (e *engine) cancel(x *execution) {
	if i := slices.Index(e.queue, x); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		x.onDone(false)
		return
	}
	if !e.active[x] {
		return
	}
	_, generated := x.progress(e.sched.now)
	e.generatedTokens += generated
	delete(e.active, x)
	e.running--
	e.startQueued()
	x.onDone(false)
}

// crash fails all queued and running executions, and all later ones until restart.
func (e *engine) crash() {
	e.down = true
	e.running = 0
	interrupted := len(e.active)
	for x := range e.active {
		e.queue = append(e.queue, x)
	}
	e.active = nil
	failed := e.queue
	e.queue, e.prefixCache = nil, nil
	slices.SortFunc(failed[len(failed)-interrupted:], func(a, b *execution) int { return a.outputTokens - b.outputTokens })
	for _, x := range failed {
		x.onDone(false)
	}
}

func (e *engine) restart() { e.down = false }

// newRand returns a generator that depends only on the seed.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }
