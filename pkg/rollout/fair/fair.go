// Package fair shares a bounded number of running requests among client
// accounts: higher priority classes first, and within a class by weighted
// virtual time over the cost of the service each account has had.
package fair

import (
	"container/heap"
	"math"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Config sets up a Queue.
type Config struct {
	// MaxQueued bounds the waiting requests of one account that sets no bound
	// of its own.
	MaxQueued int
	// MinLimit and MaxLimit bound the running requests.
	MinLimit, MaxLimit int
}

// Item is a request that wants to run.
type Item struct {
	ID        uint64
	Account   string
	Weight    int
	Priority  int
	MaxQueued int
	// Cost is the expected cost in tokens. At least 1.
	Cost float64
	// DeadlineMS is when the request is given up.
	DeadlineMS rollout.Millis
}

// Queue is used by one thread at a time.
type Queue struct {
	cfg Config
	// limit is how many requests may run.
	limit    float64
	running  map[uint64]Item
	accounts map[string]*account
	// order lists the accounts in the order of their first request.
	order []*account
	// virtual is the virtual time of the account served last. It never falls.
	virtual float64
	waiting int
	// rate is the smoothed number of requests finished in a second.
	rate     float64
	lastDone rollout.Millis
}

type account struct {
	// finish is the virtual time up to which the account has had its share.
	finish float64
	queue  itemHeap
}

// New returns an empty queue that may run up to limit requests.
func New(cfg Config, limit int) *Queue {
	return &Queue{
		cfg: cfg, limit: float64(limit),
		running:  make(map[uint64]Item),
		accounts: make(map[string]*account),
	}
}

// Push adds a request. It either starts at once, waits, or is refused with
// the time after which the queue will have drained.
func (q *Queue) Push(now rollout.Millis, it Item) (started bool, err error) {
	a := q.account(it.Account)
	if q.waiting == 0 && float64(len(q.running)) < q.limit {
		q.start(it)
		return true, nil
	}
	bound := it.MaxQueued
	if bound == 0 {
		bound = q.cfg.MaxQueued
	}
	if len(a.queue) >= bound {
		return false, rollout.NewError(rollout.KindOverloaded,
			"client account %s has %d requests waiting", it.Account, len(a.queue)).WithNotRun().WithRetryAfter(q.drainTime(len(a.queue)))
	}
	if wait := q.drainTime(q.waiting); now+wait > it.DeadlineMS {
		return false, rollout.NewError(rollout.KindOverloaded,
			"the wait of %d ms would pass the deadline", wait).WithNotRun().WithRetryAfter(wait)
	}
	heap.Push(&a.queue, it)
	q.waiting++
	return false, nil
}

// Done ends a running request with its true cost and returns what starts now.
func (q *Queue) Done(now rollout.Millis, id uint64, cost float64) []Item {
	it, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	q.charge(it, cost-it.Cost)
	q.noteDone(now)
	return q.fill()
}

// Expire drops the waiting requests whose deadline has passed and returns
// them.
func (q *Queue) Expire(now rollout.Millis) []Item {
	return q.drop(func(it Item) bool { return it.DeadlineMS <= now })
}

// Cancel drops one waiting request.
func (q *Queue) Cancel(id uint64) bool {
	return len(q.drop(func(it Item) bool { return it.ID == id })) > 0
}

// Limit returns how many requests may run.
func (q *Queue) Limit() int { return int(q.limit) }

// Backoff lowers the limit after the upstreams were found full.
func (q *Queue) Backoff() {
	q.limit = math.Max(float64(q.cfg.MinLimit), math.Min(q.limit, float64(len(q.running)))*0.95)
}

// Grow raises the limit after a request that met no full upstream, while the
// limit is in use.
func (q *Queue) Grow() []Item {
	if float64(len(q.running))+1 >= q.limit {
		q.limit = math.Min(float64(q.cfg.MaxLimit), q.limit+1/q.limit)
	}
	return q.fill()
}

// SetMax changes the upper bound of the limit. The limit follows it up when
// the bound grows.
func (q *Queue) SetMax(maxLimit int) []Item {
	if maxLimit > q.cfg.MaxLimit {
		q.limit += float64(maxLimit - q.cfg.MaxLimit)
	}
	q.cfg.MaxLimit = max(maxLimit, q.cfg.MinLimit)
	q.limit = math.Max(float64(q.cfg.MinLimit), math.Min(q.limit, float64(q.cfg.MaxLimit)))
	return q.fill()
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

func (q *Queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{}
		q.accounts[name] = a
		q.order = append(q.order, a)
	}
	return a
}

func (q *Queue) charge(it Item, cost float64) {
	q.account(it.Account).finish += cost / float64(max(it.Weight, 1))
}

// drainTime returns how long it takes to finish n requests at the present
// rate.
func (q *Queue) drainTime(n int) rollout.Millis {
	if q.rate <= 0 {
		return 0
	}
	return rollout.Millis(math.Ceil(float64(n) / q.rate * 1_000))
}

func (q *Queue) drop(match func(Item) bool) []Item {
	var dropped []Item
	for _, a := range q.order {
		kept := a.queue[:0]
		for _, it := range a.queue {
			if match(it) {
				dropped = append(dropped, it)
			} else {
				kept = append(kept, it)
			}
		}
		a.queue = kept
		heap.Init(&a.queue)
	}
	q.waiting -= len(dropped)
	return dropped
}

// fill starts waiting requests while the limit has room.
func (q *Queue) fill() []Item {
	var started []Item
	for q.waiting > 0 && float64(len(q.running)) < q.limit {
		a := q.next()
		it := heap.Pop(&a.queue).(Item)
		q.waiting--
		q.start(it)
		started = append(started, it)
	}
	return started
}

// next returns the account whose turn it is: the highest class waiting, then
// the one that is furthest behind.
func (q *Queue) next() *account {
	var best *account
	for _, a := range q.order {
		if len(a.queue) == 0 {
			continue
		}
		if best == nil || a.before(best) {
			best = a
		}
	}
	return best
}

// noteDone smooths the rate of finished requests over about ten of them.
func (q *Queue) noteDone(now rollout.Millis) {
	const weight = 0.1
	gap := max(now-q.lastDone, 1)
	if q.lastDone > 0 {
		sample := 1_000 / float64(gap)
		if q.rate == 0 {
			q.rate = sample
		}
		mean := 1/q.rate*(1-weight) + 1/sample*weight
		q.rate = 1 / mean
	}
	q.lastDone = now
}

// start runs a request and moves the virtual time on. An account that was
// idle starts from the present virtual time, so that it saves up no credit.
func (q *Queue) start(it Item) {
	a := q.account(it.Account)
	a.finish = math.Max(a.finish, q.virtual)
	q.virtual = math.Max(q.virtual, a.finish)
	q.charge(it, it.Cost)
	q.running[it.ID] = it
}

func (a *account) before(o *account) bool {
	if a.queue[0].Priority != o.queue[0].Priority {
		return a.queue[0].Priority > o.queue[0].Priority
	}
	return a.finish < o.finish
}

// itemHeap orders the requests of one account by class and arrival.
type itemHeap []Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].ID < h[j].ID
}

func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) { *h = append(*h, x.(Item)) }

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
