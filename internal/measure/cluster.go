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
	// versionSyncDelayMS is the delay until the entries see the new weight version of an engine.
	versionSyncDelayMS = 50
)

var domains = []string{"one", "two", "three"}

// cluster simulates one pool of engines and the entries that route requests to it.
type cluster struct {
	sched   *scheduler
	rand    *rand.Rand
	engines []*engine
	entries []*entry
	catalog *catalog.Catalog
	// published is the newest published weight version, or 0 before the first.
	published uint64
}

// publish publishes a new weight version. Engines fetch it and then swap to it two at a time.
func (c *cluster) publish(fetchMS, swapMS rollout.Millis) {
	c.published++
	v := c.published
	for i, e := range c.engines {
		wave := rollout.Millis(i/2 + 1)
		c.sched.after(fetchMS+wave*swapMS, func() {
			e.version = max(e.version, v)
			c.sched.after(versionSyncDelayMS, c.syncVersions)
		})
	}
}

// syncVersions updates the weight version of each engine in the catalog and passes the catalog to
// the router of each entry.
func (c *cluster) syncVersions() {
	for _, e := range c.engines {
		c.catalog.Upstreams[e.id] = c.catalog.Upstreams[e.id].WithVersions(map[string]uint64{groupName: e.version})
	}
	for _, en := range c.entries {
		en.router.Sync(c.catalog)
	}
}

// request is a request of a client account.
type request struct {
	account      string
	weight       int
	prefix       int
	promptTokens int
	outputTokens int
	slowdown     float64
	arrived      rollout.Millis
	onDone       func(ok bool, e *engine)
	// exec is nil until the request is dispatched to an engine.
	exec *execution
}

// entry simulates an entry: it queues requests and selects an engine for each.
type entry struct {
	cluster *cluster
	// useCores selects the decision cores instead of the baseline policy.
	useCores bool
	queue    *fair.Queue
	router   *routing.Router
	// fifo, running and nextEngine are used by the baseline policy: a FIFO queue and round-robin
	// selection of engines.
	fifo       []*request
	running    int
	nextEngine int
	// queued holds the requests in the fair queue by ID.
	queued map[uint64]*request
	lastID uint64
}

func newCluster(seed uint64, engines, slots, entries int, useCores bool) *cluster {
	c := &cluster{sched: &scheduler{}, rand: newRand(seed), catalog: catalog.New()}
	cat := c.catalog
	for i := range engines {
		e := &engine{sched: c.sched, id: fmt.Sprintf("engine-%d", i), slots: slots, speed: 1}
		c.engines = append(c.engines, e)
		cat.Upstreams[e.id] = catalog.Upstream{
			ID: e.id, Pool: poolName, FailureDomain: domains[i%len(domains)], Slots: slots, Incarnation: "1",
		}
	}
	for i := range entries {
		en := &entry{cluster: c, useCores: useCores, queued: make(map[uint64]*request)}
		en.queue = fair.New(fair.Config{MaxQueued: math.MaxInt, MinLimit: 4, MaxLimit: c.slotsPerEntry(entries)}, c.slotsPerEntry(entries))
		en.router = routing.New(routing.DefaultConfig(domains[i%len(domains)]), c.rand)
		en.router.Sync(cat)
		c.entries = append(c.entries, en)
	}
	return c
}

// slotsPerEntry returns how many of the slots of the cluster one entry may use at a time.
func (c *cluster) slotsPerEntry(entries int) int {
	total := 0
	for _, e := range c.engines {
		total += e.slots
	}
	return total / entries
}

// arrive passes a request to a random entry, as a load balancer in front of the entries would.
func (c *cluster) arrive(r *request) {
	r.arrived = c.sched.now
	en := c.entries[c.rand.IntN(len(c.entries))]
	if en.useCores {
		en.enqueue(r)
		return
	}
	en.fifo = append(en.fifo, r)
	en.dispatchFIFO()
}

func (en *entry) enqueue(r *request) {
	en.lastID++
	id := en.lastID
	en.queued[id] = r
	started, err := en.queue.Push(en.cluster.sched.now, fair.Request{
		ID: id, Account: r.account, Weight: r.weight, Cost: float64(r.promptTokens + r.outputTokens), DeadlineMS: math.MaxInt32,
	})
	if err != nil {
		delete(en.queued, id)
		r.onDone(false, nil)
		return
	}
	if started {
		en.dispatch(id)
	}
}

// dispatch sends a request that the fair queue has admitted to an engine.
func (en *entry) dispatch(id uint64) {
	r := en.queued[id]
	delete(en.queued, id)
	e := en.pickEngine(r)
	r.exec = &execution{engine: e, prefix: r.prefix, promptTokens: r.promptTokens, outputTokens: r.outputTokens, slowdown: r.slowdown, onDone: func(ok bool) {
		elapsed, _ := r.exec.progress(en.cluster.sched.now)
		en.router.Finished(en.cluster.sched.now, e.id, routing.Outcome{Failed: !ok && e.down, Running: e.running, TookMS: elapsed, Tokens: completedTokens(r, ok)})
		r.onDone(ok, e)
		for _, admitted := range en.queue.Finish(en.cluster.sched.now, id, float64(r.promptTokens+r.outputTokens)) {
			en.dispatch(admitted.ID)
		}
	}}
	e.submit(r.exec)
}

// completedTokens returns the tokens that the router may use to estimate the token rate of an
// engine: none for a request that did not complete.
func completedTokens(r *request, ok bool) int {
	if !ok {
		return 0
	}
	return r.outputTokens
}

// pickEngine returns the engine that the router selects, or a random one if the router selects
// none.
func (en *entry) pickEngine(r *request) *engine {
	q := routing.Query{Pool: poolName, Prefix: uint64(r.prefix+1) * 0x9e3779b97f4a7c15}
	if en.cluster.published > 0 {
		q.Group, q.NewestVersion = groupName, en.cluster.published
	}
	candidate, ok := en.router.Pick(en.cluster.sched.now, q)
	if !ok {
		return en.cluster.engines[en.cluster.rand.IntN(len(en.cluster.engines))]
	}
	for _, e := range en.cluster.engines {
		if e.id == candidate.Upstream.ID {
			return e
		}
	}
	return nil
}

// dispatchFIFO implements the baseline policy: it sends requests to the engines in order of arrival
// and in round-robin order.
func (en *entry) dispatchFIFO() {
	for len(en.fifo) > 0 && en.running < en.cluster.slotsPerEntry(len(en.cluster.entries)) {
		r := en.fifo[0]
		en.fifo = en.fifo[1:]
		en.running++
		e := en.cluster.engines[en.nextEngine%len(en.cluster.engines)]
		en.nextEngine++
		r.exec = &execution{engine: e, prefix: r.prefix, promptTokens: r.promptTokens, outputTokens: r.outputTokens, slowdown: r.slowdown, onDone: func(ok bool) {
			en.running--
			r.onDone(ok, e)
			en.dispatchFIFO()
		}}
		e.submit(r.exec)
	}
}
