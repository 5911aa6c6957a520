// Package admission lets requests run in their turn: one fair queue per pool.
package admission

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

// Queues holds one fair queue per pool.
type Queues struct {
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

// New returns queues without pools.
func New(clock rollout.Clock, maxInFlight, maxQueued int) *Queues {
	return &Queues{clock: clock, maxInFlight: maxInFlight, maxQueued: maxQueued, pools: make(map[string]*poolQueue)}
}

// Admit waits until a request may run. Release must be called with its true
// cost; full tells that it met full upstreams.
func (q *Queues) Admit(ctx context.Context, pool string, it fair.Item) (release func(cost float64, full bool), err error) {
	q.mu.Lock()
	p := q.pool(pool)
	q.next++
	it.ID = q.next
	started, err := p.queue.Push(q.clock.Now(), it)
	if err != nil {
		q.mu.Unlock()
		return nil, err
	}
	release = func(cost float64, full bool) { q.release(p, it.ID, cost, full) }
	if started {
		q.mu.Unlock()
		return release, nil
	}
	ready := make(chan error, 1)
	p.waiting[it.ID] = ready
	q.mu.Unlock()
	select {
	case err := <-ready:
		return release, err
	case <-ctx.Done():
		return nil, q.abandon(ctx, p, it.ID, ready, release)
	}
}

// abandon takes a waiting request out again.
func (q *Queues) abandon(ctx context.Context, p *poolQueue, id uint64, ready chan error, release func(float64, bool)) error {
	q.mu.Lock()
	cancelled := p.queue.Cancel(id)
	delete(p.waiting, id)
	q.mu.Unlock()
	if !cancelled {
		if err := <-ready; err == nil {
			release(0, false)
		}
	}
	return rollout.AsError(context.Cause(ctx)).WithNotRun()
}

// Expire gives up the waiting requests whose deadline has passed.
func (q *Queues) Expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, p := range q.pools {
		for _, it := range p.queue.Expire(q.clock.Now()) {
			e := rollout.NewError(rollout.KindDeadlineExceeded, "the deadline passed while waiting for pool %s", name)
			p.waiting[it.ID] <- e.WithNotRun()
			delete(p.waiting, it.ID)
		}
	}
}

func (q *Queues) pool(name string) *poolQueue {
	p := q.pools[name]
	if p == nil {
		cfg := fair.Config{MaxQueued: q.maxQueued, MinLimit: minRunning, MaxLimit: minRunning}
		p = &poolQueue{queue: fair.New(cfg, minRunning), waiting: make(map[uint64]chan error)}
		q.pools[name] = p
	}
	return p
}

// Queued returns the number of waiting requests of each pool that has any.
func (q *Queues) Queued() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]int)
	for name, p := range q.pools {
		if n := p.queue.Waiting(); n > 0 {
			out[name] = n
		}
	}
	return out
}

func (q *Queues) release(p *poolQueue, id uint64, cost float64, full bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.start(p.queue.Done(q.clock.Now(), id, cost))
	if full {
		p.queue.Backoff()
		return
	}
	p.start(p.queue.Grow())
}

// SetSlots takes the slots of the pools as they stand.
func (q *Queues) SetSlots(slots map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, n := range slots {
		p := q.pool(name)
		p.start(p.queue.SetMax(min(int(overcommit*float64(n)), q.maxInFlight)))
	}
}

func (p *poolQueue) start(items []fair.Item) {
	for _, it := range items {
		p.waiting[it.ID] <- nil
		delete(p.waiting, it.ID)
	}
}
