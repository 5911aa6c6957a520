// Package fair implements weighted fair queueing of the requests of client
// accounts, with a limit on the running requests. Higher priority classes go
// first; within a class, accounts are ordered by a virtual time that advances
// with the cost of their requests divided by their weight.
package fair

import (
	"container/heap"
	"math"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Config configures a Queue.
type Config struct {
	// MaxQueued is the maximum number of waiting requests of one account. A
	// request may override it.
	MaxQueued int
	// MinLimit and MaxLimit are the bounds of the limit on running requests.
	MinLimit, MaxLimit int
}

// Request describes a request to schedule.
type Request struct {
	ID       uint64
	Account  string
	Weight   int
	Priority int
	// MaxQueued overrides Config.MaxQueued for the account unless it is zero.
	MaxQueued int
	// Cost is the expected cost in tokens, at least 1.
	Cost float64
	// DeadlineMS is the time at which a waiting request expires.
	DeadlineMS rollout.Millis
}

// Queue schedules requests. It is not safe for concurrent use.
type Queue struct {
	cfg Config
	// limit is the maximum number of running requests. Its fraction is not
	// rounded, so that small increments add up.
	limit    float64
	running  map[uint64]Request
	accounts map[string]*account
	// accountOrder lists the accounts in the order of their first request.
	accountOrder []*account
	// virtualTime is the highest virtual start time of a request so far. It
	// never decreases.
	virtualTime float64
	// waiting is the number of waiting requests of all accounts.
	waiting int
	// completionRate is the smoothed number of requests completed per second.
	completionRate float64
	lastCompletion rollout.Millis
}

type account struct {
	// virtualFinish is the virtual finish time of the account's last request.
	virtualFinish float64
	queue         requestHeap
}

// New returns an empty queue that initially runs up to limit requests.
func New(cfg Config, limit int) *Queue {
	return &Queue{
		cfg: cfg, limit: float64(limit),
		running:  make(map[uint64]Request),
		accounts: make(map[string]*account),
	}
}

// Push adds a request. The request starts immediately, waits, or is rejected. A
// rejection carries the estimated time for the waiting requests to complete as
// its retry delay.
func (q *Queue) Push(now rollout.Millis, r Request) (started bool, err error) {
	a := q.account(r.Account)
	if q.waiting == 0 && float64(len(q.running)) < q.limit {
		q.start(r)
		return true, nil
	}
	maxQueued := r.MaxQueued
	if maxQueued == 0 {
		maxQueued = q.cfg.MaxQueued
	}
	if len(a.queue) >= maxQueued {
		return false, rollout.NewError(rollout.KindOverloaded,
			"queue of client account %s is full: %d requests waiting, limit %d", r.Account, len(a.queue), maxQueued).WithNotRun().WithRetryAfter(q.timeToComplete(len(a.queue)))
	}
	if wait := q.timeToComplete(q.waiting); now+wait > r.DeadlineMS {
		return false, rollout.NewError(rollout.KindOverloaded,
			"request of client account %s would wait %d ms, but its deadline is in %d ms", r.Account, wait, r.DeadlineMS-now).WithNotRun().WithRetryAfter(wait)
	}
	heap.Push(&a.queue, r)
	q.waiting++
	return false, nil
}

// Finish ends a running request, corrects the charge of its account to the
// actual cost, and returns the requests that start as a result.
func (q *Queue) Finish(now rollout.Millis, id uint64, cost float64) []Request {
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	q.charge(r, cost-r.Cost)
	q.recordCompletion(now)
	return q.startWaiting()
}

// Expire removes the waiting requests whose deadline has passed and returns
// them.
func (q *Queue) Expire(now rollout.Millis) []Request {
	return q.removeWaiting(func(r Request) bool { return r.DeadlineMS <= now })
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	return len(q.removeWaiting(func(r Request) bool { return r.ID == id })) > 0
}

// CancelAll removes all waiting requests and returns them.
func (q *Queue) CancelAll() []Request {
	return q.removeWaiting(func(Request) bool { return true })
}

// Limit returns the maximum number of running requests.
func (q *Queue) Limit() int { return int(q.limit) }

// LowerLimit lowers the limit by 5%, starting from the number of running
// requests if that is lower. It is called when the upstreams were full.
func (q *Queue) LowerLimit() {
	q.limit = math.Max(float64(q.cfg.MinLimit), math.Min(q.limit, float64(len(q.running)))*0.95)
}

// RaiseLimit raises the limit additively if the running requests reach it, and
// returns the requests that start as a result. It is called after a request that
// found no upstream full.
func (q *Queue) RaiseLimit() []Request {
	if float64(len(q.running))+1 >= q.limit {
		q.limit = math.Min(float64(q.cfg.MaxLimit), q.limit+1/q.limit)
	}
	return q.startWaiting()
}

// SetMaxLimit changes the upper bound of the limit and returns the requests that
// start as a result. If the bound rises, the limit rises by the same amount.
func (q *Queue) SetMaxLimit(maxLimit int) []Request {
	if maxLimit > q.cfg.MaxLimit {
		q.limit += float64(maxLimit - q.cfg.MaxLimit)
	}
	q.cfg.MaxLimit = max(maxLimit, q.cfg.MinLimit)
	q.limit = math.Max(float64(q.cfg.MinLimit), math.Min(q.limit, float64(q.cfg.MaxLimit)))
	return q.startWaiting()
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
		q.accountOrder = append(q.accountOrder, a)
	}
	return a
}

// charge adds a cost, which may be negative, to the virtual finish time of the
// account of a request.
func (q *Queue) charge(r Request, cost float64) {
	q.account(r.Account).virtualFinish += cost / float64(max(r.Weight, 1))
}

// timeToComplete returns the estimated time to complete n requests at the
// current rate, or zero while the rate is unknown.
func (q *Queue) timeToComplete(n int) rollout.Millis {
	if q.completionRate <= 0 {
		return 0
	}
	return rollout.Millis(math.Ceil(float64(n) / q.completionRate * 1_000))
}

// removeWaiting removes the waiting requests that match and returns them.
func (q *Queue) removeWaiting(match func(Request) bool) []Request {
	var dropped []Request
	for _, a := range q.accountOrder {
		kept := a.queue[:0]
		for _, r := range a.queue {
			if match(r) {
				dropped = append(dropped, r)
			} else {
				kept = append(kept, r)
			}
		}
		a.queue = kept
		heap.Init(&a.queue)
	}
	q.waiting -= len(dropped)
	return dropped
}

// startWaiting starts waiting requests up to the limit and returns them.
func (q *Queue) startWaiting() []Request {
	var started []Request
	for q.waiting > 0 && float64(len(q.running)) < q.limit {
		a := q.nextAccount()
		r := heap.Pop(&a.queue).(Request)
		q.waiting--
		q.start(r)
		started = append(started, r)
	}
	return started
}

// nextAccount returns the account to serve next: of those with a waiting
// request of the highest priority, the one with the lowest virtual finish time.
func (q *Queue) nextAccount() *account {
	var best *account
	for _, a := range q.accountOrder {
		if len(a.queue) == 0 {
			continue
		}
		if best == nil || a.before(best) {
			best = a
		}
	}
	return best
}

// recordCompletion updates the completion rate, a harmonic moving average over
// about ten requests.
func (q *Queue) recordCompletion(now rollout.Millis) {
	const weight = 0.1
	gap := max(now-q.lastCompletion, 1)
	if q.lastCompletion > 0 {
		sample := 1_000 / float64(gap)
		if q.completionRate == 0 {
			q.completionRate = sample
		}
		mean := 1/q.completionRate*(1-weight) + 1/sample*weight
		q.completionRate = 1 / mean
	}
	q.lastCompletion = now
}

// start starts a request and advances the virtual time. An account that was
// idle continues at the current virtual time, so that it accumulates no credit
// while idle.
func (q *Queue) start(r Request) {
	a := q.account(r.Account)
	a.virtualFinish = math.Max(a.virtualFinish, q.virtualTime)
	q.virtualTime = math.Max(q.virtualTime, a.virtualFinish)
	q.charge(r, r.Cost)
	q.running[r.ID] = r
}

// before reports whether a is served before o.
func (a *account) before(o *account) bool {
	if a.queue[0].Priority != o.queue[0].Priority {
		return a.queue[0].Priority > o.queue[0].Priority
	}
	return a.virtualFinish < o.virtualFinish
}

// requestHeap orders the requests of one account by priority and then by ID,
// which is the order of arrival.
type requestHeap []Request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].ID < h[j].ID
}

func (h requestHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) { *h = append(*h, x.(Request)) }

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
