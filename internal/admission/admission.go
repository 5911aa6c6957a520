// Package admission limits the running requests of each pool and schedules the
// waiting ones with one fair queue per pool.
package admission

import (
	"context"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fair"
)

const (
	// minLimit is the lower bound of the limit on the running requests of a
	// pool, and the limit of a pool whose slots are not known yet.
	minLimit = 4
	// overcommit is the ratio of running requests to slots. It exceeds 1 so that
	// an entry can use the upstreams that other entries leave idle.
	overcommit = 1.25
)

// Queues holds one fair queue per pool.
type Queues struct {
	clock       rollout.Clock
	maxInFlight int
	maxQueued   int

	mu     sync.Mutex
	pools  map[string]*poolQueue
	lastID uint64
}

type poolQueue struct {
	queue *fair.Queue
	// waiting holds the channels of the waiting requests by ID. A nil error is
	// sent when a request starts, any other when it expires. The channels have
	// room for one value, so that sending never blocks.
	waiting map[uint64]chan error
}

// New returns queues without pools. maxInFlight bounds the running requests of
// each pool, but not below minLimit, and maxQueued the waiting requests of each
// client account in a pool.
func New(clock rollout.Clock, maxInFlight, maxQueued int) *Queues {
	return &Queues{clock: clock, maxInFlight: maxInFlight, maxQueued: maxQueued, pools: make(map[string]*poolQueue)}
}

// Admit waits until a request may run. The caller must call release when the
// request has ended, with its actual cost and with whether it found the
// upstreams at capacity.
func (q *Queues) Admit(ctx context.Context, pool string, req fair.Request) (release func(cost float64, upstreamsFull bool), err error) {
	q.mu.Lock()
	p := q.pool(pool)
	q.lastID++
	req.ID = q.lastID
	started, err := p.queue.Push(q.clock.Now(), req)
	if err != nil {
		q.mu.Unlock()
		return nil, err
	}
	release = func(cost float64, upstreamsFull bool) { q.release(p, req.ID, cost, upstreamsFull) }
	if started {
		q.mu.Unlock()
		return release, nil
	}
	ready := make(chan error, 1)
	p.waiting[req.ID] = ready
	q.mu.Unlock()
	select {
	case err := <-ready:
		return release, err
	case <-ctx.Done():
		return nil, q.abandon(ctx, p, req.ID, ready, release)
	}
}

// abandon removes a waiting request whose context has ended. If the request has
// started in the meantime, it is released.
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

// Expire rejects the waiting requests whose deadline has passed.
func (q *Queues) Expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, p := range q.pools {
		for _, req := range p.queue.Expire(q.clock.Now()) {
			e := rollout.NewError(rollout.KindDeadlineExceeded, "the deadline passed while waiting for pool %s", name)
			p.waiting[req.ID] <- e.WithNotRun()
			delete(p.waiting, req.ID)
		}
	}
}

// Refuse rejects all waiting requests of a pool with an error.
func (q *Queues) Refuse(pool string, err *rollout.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pools[pool]
	if p == nil {
		return
	}
	for _, req := range p.queue.CancelAll() {
		p.waiting[req.ID] <- err
		delete(p.waiting, req.ID)
	}
}

func (q *Queues) pool(name string) *poolQueue {
	p := q.pools[name]
	if p == nil {
		cfg := fair.Config{MaxQueued: q.maxQueued, MinLimit: minLimit, MaxLimit: minLimit}
		p = &poolQueue{queue: fair.New(cfg, minLimit), waiting: make(map[uint64]chan error)}
		q.pools[name] = p
	}
	return p
}

// Queued returns the number of waiting requests by pool, without the pools that
// have none.
func (q *Queues) Queued() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	queued := make(map[string]int)
	for name, p := range q.pools {
		if n := p.queue.Waiting(); n > 0 {
			queued[name] = n
		}
	}
	return queued
}

func (q *Queues) release(p *poolQueue, id uint64, cost float64, upstreamsFull bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p.signalStarted(p.queue.Finish(q.clock.Now(), id, cost))
	if upstreamsFull {
		p.queue.LowerLimit()
		return
	}
	p.signalStarted(p.queue.RaiseLimit())
}

// SetSlots sets the upper bounds of the limits of the given pools from their
// current numbers of slots.
func (q *Queues) SetSlots(slots map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, n := range slots {
		p := q.pool(name)
		p.signalStarted(p.queue.SetMaxLimit(min(int(overcommit*float64(n)), q.maxInFlight)))
	}
}

// signalStarted wakes the requests that the queue has started.
func (p *poolQueue) signalStarted(started []fair.Request) {
	for _, req := range started {
		p.waiting[req.ID] <- nil
		delete(p.waiting, req.ID)
	}
}
