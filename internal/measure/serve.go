package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fair"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/routing"
)

const (
	poolName  = "pool"
	groupName = "g"
	// knownAfterMS is how long entries take to learn of a swap.
	knownAfterMS = 50
)

var domains = []string{"one", "two", "three"}

// farm is a pool of fake engines behind entries.
type farm struct {
	t       *timeline
	rand    *rand.Rand
	engines []*engine
	entries []*frontend
	cat     *catalog.Catalog
	// published is the newest weight version.
	published uint64
}

// publish announces a weight version. Engines swap two at a time.
func (f *farm) publish(fetchMS, swapMS rollout.Millis) {
	f.published++
	v := f.published
	for i, e := range f.engines {
		wave := rollout.Millis(i/2 + 1)
		f.t.after(fetchMS+wave*swapMS, func() {
			e.version = max(e.version, v)
			f.t.after(knownAfterMS, f.tellVersions)
		})
	}
}

// tellVersions lets the entries know which version each engine serves.
func (f *farm) tellVersions() {
	for _, e := range f.engines {
		f.cat.Upstreams[e.id] = f.cat.Upstreams[e.id].WithVersions(map[string]uint64{groupName: e.version})
	}
	for _, fe := range f.entries {
		fe.router.Sync(f.cat)
	}
}

// request is one request of an account.
type request struct {
	account string
	weight  int
	prefix  int
	prompt  int
	tokens  int
	slow    float64
	arrived rollout.Millis
	done    func(ok bool, e *engine)
	// job is set once the request is at an engine.
	job *job
}

// frontend is one entry with its queue and its choice of engines.
type frontend struct {
	f      *farm
	ours   bool
	queue  *fair.Queue
	router *routing.Router
	// fifo, running and next serve the baseline: first come, first served and
	// round robin.
	fifo    []*request
	running int
	next    int
	byID    map[uint64]*request
	id      uint64
}

func newFarm(seed uint64, engines, slots, entries int, ours bool) *farm {
	f := &farm{t: &timeline{}, rand: newRand(seed), cat: catalog.New()}
	cat := f.cat
	for i := range engines {
		e := &engine{t: f.t, id: fmt.Sprintf("engine-%d", i), slots: slots, speed: 1}
		f.engines = append(f.engines, e)
		cat.Upstreams[e.id] = catalog.Upstream{
			ID: e.id, Pool: poolName, FailureDomain: domains[i%len(domains)], Slots: slots, Incarnation: "1",
		}
	}
	for i := range entries {
		fe := &frontend{f: f, ours: ours, byID: make(map[uint64]*request)}
		fe.queue = fair.New(fair.Config{MaxQueued: math.MaxInt, MinLimit: 4, MaxLimit: f.limit(entries)}, f.limit(entries))
		fe.router = routing.New(routing.DefaultConfig(domains[i%len(domains)]), f.rand)
		fe.router.Sync(cat)
		f.entries = append(f.entries, fe)
	}
	return f
}

// limit is the share of all slots that one entry may use.
func (f *farm) limit(entries int) int {
	total := 0
	for _, e := range f.engines {
		total += e.slots
	}
	return total / entries
}

// arrive gives a request to any entry, as a balancer does.
func (f *farm) arrive(r *request) {
	r.arrived = f.t.now
	fe := f.entries[f.rand.IntN(len(f.entries))]
	if fe.ours {
		fe.push(r)
		return
	}
	fe.fifo = append(fe.fifo, r)
	fe.drainFIFO()
}

func (fe *frontend) push(r *request) {
	fe.id++
	id := fe.id
	fe.byID[id] = r
	started, err := fe.queue.Push(fe.f.t.now, fair.Request{
		ID: id, Account: r.account, Weight: r.weight, Cost: float64(r.prompt + r.tokens), DeadlineMS: math.MaxInt32,
	})
	if err != nil {
		delete(fe.byID, id)
		r.done(false, nil)
		return
	}
	if started {
		fe.dispatch(id)
	}
}

// dispatch sends an admitted request to an engine.
func (fe *frontend) dispatch(id uint64) {
	r := fe.byID[id]
	delete(fe.byID, id)
	e := fe.choose(r)
	r.job = &job{engine: e, prefix: r.prefix, prompt: r.prompt, tokens: r.tokens, slow: r.slow, done: func(ok bool) {
		elapsed, _ := r.job.progress(fe.f.t.now)
		fe.router.Finished(fe.f.t.now, e.id, routing.Outcome{Failed: !ok && e.down, Running: e.running, TookMS: elapsed, Tokens: tokensOf(r, ok)})
		r.done(ok, e)
		for _, it := range fe.queue.Finish(fe.f.t.now, id, float64(r.prompt+r.tokens)) {
			fe.dispatch(it.ID)
		}
	}}
	e.submit(r.job)
}

// tokensOf returns the tokens that tell a pace.
func tokensOf(r *request, ok bool) int {
	if !ok {
		return 0
	}
	return r.tokens
}

func (fe *frontend) choose(r *request) *engine {
	q := routing.Query{Pool: poolName, Prefix: uint64(r.prefix+1) * 0x9e3779b97f4a7c15}
	if fe.f.published > 0 {
		q.Group, q.NewestVersion = groupName, fe.f.published
	}
	c, ok := fe.router.Pick(fe.f.t.now, q)
	if !ok {
		return fe.f.engines[fe.f.rand.IntN(len(fe.f.engines))]
	}
	for _, e := range fe.f.engines {
		if e.id == c.Upstream.ID {
			return e
		}
	}
	return nil
}

// drainFIFO sends requests in order of arrival, engine after engine.
func (fe *frontend) drainFIFO() {
	for len(fe.fifo) > 0 && fe.running < fe.f.limit(len(fe.f.entries)) {
		r := fe.fifo[0]
		fe.fifo = fe.fifo[1:]
		fe.running++
		e := fe.f.engines[fe.next%len(fe.f.engines)]
		fe.next++
		r.job = &job{engine: e, prefix: r.prefix, prompt: r.prompt, tokens: r.tokens, slow: r.slow, done: func(ok bool) {
			fe.running--
			r.done(ok, e)
			fe.drainFIFO()
		}}
		e.submit(r.job)
	}
}
