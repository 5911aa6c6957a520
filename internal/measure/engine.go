// Package measure runs the decision cores over seeded workloads in the shape
// of the two deployments and compares them with plain baselines.
package measure

import (
	"container/heap"
	"math/rand/v2"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// event is something that happens at a time.
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

// timeline runs events in order of time.
type timeline struct {
	now    rollout.Millis
	events eventHeap
	seq    int
}

func (t *timeline) after(d rollout.Millis, run func()) {
	t.seq++
	heap.Push(&t.events, event{t.now + max(d, 0), t.seq, run})
}

func (t *timeline) runUntil(end rollout.Millis) {
	for len(t.events) > 0 && t.events[0].at <= end {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}

// job is a request at an engine.
type job struct {
	prefix int
	prompt int
	tokens int
	slow   float64
	done   func(ok bool)
	// startMS and tookMS are set once it runs.
	startMS, tookMS rollout.Millis
	running         bool
	engine          *engine
	// version is the weight version that it began with.
	version uint64
}

// progress returns how long a job has run and the tokens it has made.
func (j *job) progress(now rollout.Millis) (rollout.Millis, int) {
	if !j.running || j.tookMS == 0 {
		return 0, 0
	}
	elapsed := now - j.startMS
	return elapsed, int(float64(j.tokens) * float64(elapsed) / float64(j.tookMS))
}

// engine is a fake model engine: it batches, its tokens slow down as the batch
// grows, and it caches the prefixes used last.
type engine struct {
	t       *timeline
	id      string
	slots   int
	speed   float64
	running int
	active  map[*job]bool
	queue   []*job
	cache   []int
	down    bool
	// version is the weight version that it serves.
	version uint64

	hits, misses, tokens int
}

const (
	cacheSize      = 10
	tokenMS        = 20.0
	batchSlowdown  = 0.6
	missPerTokenMS = 0.6
	hitPerTokenMS  = 0.05
)

func (e *engine) submit(j *job) {
	if e.down {
		j.done(false)
		return
	}
	e.queue = append(e.queue, j)
	e.fill()
}

func (e *engine) fill() {
	for len(e.queue) > 0 && e.running < e.slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.start(j)
	}
}

func (e *engine) start(j *job) {
	e.running++
	perToken := missPerTokenMS
	if e.touch(j.prefix) {
		perToken = hitPerTokenMS
	}
	batch := 1 + batchSlowdown*float64(e.running)/float64(e.slots)
	took := float64(j.prompt)*perToken + float64(j.tokens)*tokenMS*batch*j.slow/e.speed
	if e.active == nil {
		e.active = make(map[*job]bool)
	}
	e.active[j] = true
	j.startMS, j.tookMS, j.running, j.engine = e.t.now, rollout.Millis(took), true, e
	j.version = e.version
	e.t.after(rollout.Millis(took), func() {
		if !e.active[j] {
			return
		}
		delete(e.active, j)
		e.running--
		e.tokens += j.tokens
		e.fill()
		j.done(true)
	})
}

// touch tells whether a prefix is cached, and makes it the newest.
func (e *engine) touch(prefix int) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		e.hits++
	} else {
		e.misses++
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cacheSize {
		e.cache = e.cache[1:]
	}
	return i >= 0
}

// cancel ends a job early. Its tokens so far count.
func (e *engine) cancel(j *job) {
	if i := slices.Index(e.queue, j); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		j.done(false)
		return
	}
	if !e.active[j] {
		return
	}
	_, made := j.progress(e.t.now)
	e.tokens += made
	delete(e.active, j)
	e.running--
	e.fill()
	j.done(false)
}

// crash ends all that runs and waits.
func (e *engine) crash() {
	e.down = true
	e.running = 0
	lost := len(e.active)
	for j := range e.active {
		e.queue = append(e.queue, j)
	}
	e.active = nil
	ended := e.queue
	e.queue, e.cache = nil, nil
	slices.SortFunc(ended[len(ended)-lost:], func(a, b *job) int { return a.tokens - b.tokens })
	for _, j := range ended {
		j.done(false)
	}
}

func (e *engine) back() { e.down = false }

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }
