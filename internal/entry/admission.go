package entry

import (
	"context"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fair"
)

const (
	minRunning = 4
	// overcommit lets an entry use upstreams that other entries leave idle.
	overcommit = 1.25
)

// admission holds one fair queue per pool.
type admission struct {
	clock       rollout.Clock
	maxInFlight int
	maxQueued   int

	mu    sync.Mutex
	pools map[string]*poolQueue
	next  uint64
}

type poolQueue struct {
	queue *fair.Queue
	// waiting holds the channels of the waiting requests. Nil is sent when a
	// request starts, an error when it is given up.
	waiting map[uint64]chan error
}

func newAdmission(clock rollout.Clock, maxInFlight, maxQueued int) *admission {
	return &admission{clock: clock, maxInFlight: maxInFlight, maxQueued: maxQueued, pools: make(map[string]*poolQueue)}
}

// admit waits until a request may run. Release must be called with its true
// cost; full tells that it met full upstreams.
func (a *admission) admit(ctx context.Context, pool string, it fair.Item) (release func(cost float64, full bool), err error) {
	a.mu.Lock()
	p := a.pool(pool)
	a.next++
	it.ID = a.next
	started, err := p.queue.Push(a.clock.Now(), it)
	if err != nil {
		a.mu.Unlock()
		return nil, err
	}
	release = func(cost float64, full bool) { a.release(p, it.ID, cost, full) }
	if started {
		a.mu.Unlock()
		return release, nil
	}
	ready := make(chan error, 1)
	p.waiting[it.ID] = ready
	a.mu.Unlock()
	select {
	case err := <-ready:
		return release, err
	case <-ctx.Done():
		return nil, a.abandon(ctx, p, it.ID, ready, release)
	}
}

// abandon takes a waiting request out again.
func (a *admission) abandon(ctx context.Context, p *poolQueue, id uint64, ready chan error, release func(float64, bool)) error {
	a.mu.Lock()
	cancelled := p.queue.Cancel(id)
	delete(p.waiting, id)
	a.mu.Unlock()
	if !cancelled {
		if err := <-ready; err == nil {
			release(0, false)
		}
	}
	return rollout.AsError(context.Cause(ctx)).WithNotRun()
}

// expire gives up the waiting requests whose deadline has passed.
func (a *admission) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.pools {
		for _, it := range p.queue.Expire(a.clock.Now()) {
			e := rollout.NewError(rollout.KindDeadlineExceeded, "the deadline passed while waiting for pool %s", name)
			p.waiting[it.ID] <- e.WithNotRun()
			delete(p.waiting, it.ID)
		}
	}
}

func (a *admission) pool(name string) *poolQueue {
	p := a.pools[name]
	if p == nil {
		cfg := fair.Config{MaxQueued: a.maxQueued, MinLimit: minRunning, MaxLimit: minRunning}
		p = &poolQueue{queue: fair.New(cfg, minRunning), waiting: make(map[uint64]chan error)}
		a.pools[name] = p
	}
	return p
}

// queued returns the number of waiting requests of each pool that has any.
func (a *admission) queued() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int)
	for name, p := range a.pools {
		if n := p.queue.Waiting(); n > 0 {
			out[name] = n
		}
	}
	return out
}

func (a *admission) release(p *poolQueue, id uint64, cost float64, full bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p.start(p.queue.Done(a.clock.Now(), id, cost))
	if full {
		p.queue.Backoff()
		return
	}
	p.start(p.queue.Grow())
}

// setSlots takes the slots of the pools as they stand.
func (a *admission) setSlots(slots map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, n := range slots {
		p := a.pool(name)
		p.start(p.queue.SetMax(min(int(overcommit*float64(n)), a.maxInFlight)))
	}
}

func (p *poolQueue) start(items []fair.Item) {
	for _, it := range items {
		p.waiting[it.ID] <- nil
		delete(p.waiting, it.ID)
	}
}
