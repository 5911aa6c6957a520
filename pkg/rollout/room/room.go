// Package room shares the capacity of a pool that is short among the callers of one
// entry. A window bounds the requests at the upstreams, and the others wait in a fair
// queue or are refused with the time at which there will be room for them.
package room

import (
	"math"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// shrinkFactor is applied to the window in a round trip with maxRejections or more for
	// each request. With fewer rejections the window shrinks proportionally less, and with
	// minRejections not at all: a full upstream among several doesn't mean that the pool is
	// full. A request that no upstream took counts as refusedRejections more.
	shrinkFactor      = 0.8
	minRejections     = 0.5
	maxRejections     = 1.5
	refusedRejections = 4
	minWindow         = 1
	// steadyWindows is the number of windows of successes without a rejection after which
	// the growth doubles with each further one, up to maxStep. With a constant growth, a
	// large window takes seconds to reach the capacity of upstreams that return.
	steadyWindows = 1
	maxStep       = 32
	// largeGrowth is applied to the growth unless a request of an account that is not large
	// has had to wait longer than its patience divided by smallWaitDivisor within
	// smallShortMS, so that the entries of accounts with less than their share get the
	// capacity.
	largeGrowth                     = 0.25
	smallWaitDivisor                = 4
	smallShortMS     rollout.Millis = 1_000
	// calmMS is the time without a rejection and without waiting requests after which the
	// window is unlimited again.
	calmMS rollout.Millis = 3_000
	// latencyWeight is the weight of the newest sample in the mean latency, which is
	// firstLatencyMS until the first request succeeds.
	latencyWeight  = 1.0 / 8
	firstLatencyMS = 100.0
	meanWindowMS   = 1_000.0
	// bufferDivisor divides the patience of requests that wait in any case, so that there is
	// always one for a slot whose place is not used.
	bufferDivisor = 6
	// maxWaiting and maxPlaces bound the memory and the time for one decision.
	maxWaiting = 1_024
	maxPlaces  = 4_096
	// placeGraceMS is how long a place is kept after the time that its caller was told. After
	// placeLateMS it is not expected to be used any more.
	placeGraceMS rollout.Millis = 500
	placeLateMS  rollout.Millis = 50
	// maxRetryMS bounds the time that a caller is told. Nobody returns after longer times.
	maxRetryMS rollout.Millis = 30_000
	// useWeight is the weight of one place in the part of the places that are used, which
	// stays above minUse so that the places of callers that never return still differ. The
	// part depends on how long callers are told to wait; a class spans useClassMS, and the
	// last one all longer times.
	useWeight                 = 0.05
	minUse                    = 0.05
	useClasses                = 32
	useClassMS rollout.Millis = 250
)

// Request describes a request to a pool.
type Request struct {
	Account string
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Key identifies the request when its caller sends it again. It is empty if the caller
	// is not known to.
	Key string
	// PatienceMS is how long the request may wait.
	PatienceMS rollout.Millis
}

// Waiter is a request that waits, or the place of a refused caller.
type Waiter struct {
	request Request
	// tag is the virtual time at which the request starts.
	tag float64
	// cost is the virtual time that the account is charged: 1, or for a place the part of
	// such places that are used.
	cost float64
	seq  uint64
	// dueMS is the time at which the caller of a place was told to return, or 0.
	dueMS rollout.Millis
	// useClass is the class of the time that the caller of a place was told.
	useClass int
	// done is closed when the request is admitted or refused.
	done chan struct{}
	err  error
}

// Done returns a channel that is closed when the request is admitted or refused.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Err returns why the request was refused, or nil. It is valid once Done is closed.
func (w *Waiter) Err() error { return w.err }

// Room holds the window of one pool at one entry. It is not safe for concurrent use.
type Room struct {
	pool string
	// window is the maximum number of requests at the upstreams, or 0 if it is unlimited.
	// Its fraction is not rounded, so that small increments add up.
	window float64
	// inFlight counts the admitted requests that have not finished.
	inFlight int
	// meanWindow is the mean window over meanWindowMS before meanMS. Predictions use it, as
	// the window itself goes up and down.
	meanWindow float64
	meanMS     rollout.Millis
	// latencyMS is the mean time of successful requests at the upstreams.
	latencyMS float64
	// sampled is true once a request has succeeded.
	sampled bool
	// limitedMS is when the window became limited.
	limitedMS rollout.Millis
	// lastShrinkMS is when the window last shrank. admitted and rejections count requests
	// and rejections since then.
	lastShrinkMS         rollout.Millis
	admitted, rejections int
	// steady counts the windows of successes since the window last shrank.
	steady float64
	// lastShortMS is when an upstream last rejected a request or a request last waited.
	lastShortMS rollout.Millis

	// waiting is empty unless the window is full.
	waiting []*Waiter
	// places holds the refused callers that are expected to return.
	places []*Waiter
	// use is the mean part of the places that are used, by class.
	use [useClasses]float64
	// overflowMS is the time told to the last caller for whom there was no place.
	overflowMS rollout.Millis
	// finish holds the virtual time after the last request of each account.
	finish map[string]float64
	// virtualTime never decreases. It is at most the lowest tag of the requests and places
	// of the class that was served last.
	virtualTime float64
	seq         uint64
	// smallShortMS is when a request of an account that is not large last had to wait long.
	smallShortMS rollout.Millis
	// large holds the accounts that have had more than their share.
	large []string
}

// New returns the room of a pool with an unlimited window.
func New(pool string) *Room { return &Room{pool: pool, latencyMS: firstLatencyMS} }

// Limited reports whether the window is limited.
func (r *Room) Limited() bool { return r.window > 0 }

// Window returns the maximum number of requests at the upstreams, or 0 if it is unlimited.
func (r *Room) Window() float64 { return r.window }

// InFlight returns the number of admitted requests that have not finished.
func (r *Room) InFlight() int { return r.inFlight }

// Waiting returns the number of requests that wait.
func (r *Room) Waiting() int { return len(r.waiting) }

// SetLarge sets the accounts whose requests wait behind those of others.
func (r *Room) SetLarge(accounts []string) { r.large = accounts }

// Enter admits a request, queues it or refuses it. It returns nil if the request is
// admitted.
func (r *Room) Enter(now rollout.Millis, req Request) (*Waiter, error) {
	r.endIfCalm(now)
	if !r.Limited() {
		r.inFlight++
		return nil, nil
	}
	r.expirePlaces(now)
	w := r.takePlace(req)
	returned := w != nil
	if !returned {
		w = r.newWaiter(req)
	}
	if r.hasRoom() {
		r.admit(w)
		return nil, nil
	}
	r.lastShortMS = now
	wait := r.waitOf(now, w)
	if wait > req.PatienceMS/smallWaitDivisor && !r.isLarge(w) {
		r.smallShortMS = now
	}
	switch {
	case wait > req.PatienceMS && r.timeFor(float64(len(r.waiting)+1)) > req.PatienceMS/bufferDivisor:
		return nil, r.refuse(now, w, wait)
	case len(r.waiting) >= maxWaiting:
		if last := slices.MaxFunc(r.waiting, r.compare); r.compare(w, last) < 0 {
			r.evict(now, last)
		} else {
			return nil, r.refuse(now, w, wait)
		}
	}
	w.done = make(chan struct{})
	r.waiting = append(r.waiting, w)
	return w, nil
}

// Leave removes a waiting request whose caller has left. It reports whether the request
// was waiting.
func (r *Room) Leave(now rollout.Millis, w *Waiter) bool {
	if !r.removeWaiting(w) {
		return false
	}
	r.lastShortMS = now
	r.release(w)
	return true
}

// GiveUp refuses a request that has waited as long as it may. It returns nil if the
// request is not waiting.
func (r *Room) GiveUp(now rollout.Millis, w *Waiter) error {
	if !r.removeWaiting(w) {
		return nil
	}
	r.lastShortMS = now
	return r.refuse(now, w, r.waitOf(now, w))
}

// Reject records that an upstream rejected a request as full.
func (r *Room) Reject(now rollout.Millis) {
	r.lastShortMS = now
	r.rejections++
	if !r.Limited() {
		r.window = float64(max(minWindow, r.inFlight))
		r.meanWindow, r.meanMS, r.limitedMS = r.window, now, now
		r.finish = make(map[string]float64)
		for i := range r.use {
			r.use[i] = 1
		}
	} else {
		if float64(now-r.lastShrinkMS) <= r.latencyMS {
			return
		}
		perRequest := float64(r.rejections) / float64(max(1, r.admitted))
		part := min(max(0, (perRequest-minRejections)/(maxRejections-minRejections)), 1)
		if part == 0 {
			r.lastShrinkMS, r.admitted, r.rejections = now, 0, 0
			return
		}
		r.window = max(minWindow, min(r.window, float64(r.inFlight))*(1-(1-shrinkFactor)*part))
	}
	r.lastShrinkMS, r.admitted, r.rejections, r.steady = now, 0, 0, 0
}

// Refuse returns the refusal of an admitted request that all upstreams rejected. Finish
// must be called too.
func (r *Room) Refuse(now rollout.Millis, req Request) error {
	r.expirePlaces(now)
	r.rejections += refusedRejections
	if r.Limited() && float64(now-r.limitedMS) <= r.latencyMS {
		// In the first round trip the window holds many requests that no upstream takes.
		r.window = max(minWindow, min(r.window, float64(r.inFlight-1)))
		r.meanWindow = r.window
	}
	if !r.Limited() {
		return r.refusal(max(1, rollout.Millis(r.latencyMS)))
	}
	w := r.newWaiter(req)
	return r.refuse(now, w, r.waitOf(now, w))
}

// Finish ends an admitted request and admits those that wait for its room. tookMS is its
// time at the upstreams if it succeeded, or 0.
func (r *Room) Finish(now, tookMS rollout.Millis) {
	if tookMS > 0 {
		r.recordSuccess(now, tookMS)
	}
	r.inFlight--
	if !r.Limited() {
		return
	}
	if len(r.waiting) > 0 {
		r.lastShortMS = now
	}
	r.meanWindow += (r.window - r.meanWindow) * -math.Expm1(-float64(now-r.meanMS)/meanWindowMS)
	r.meanMS = now
	r.expirePlaces(now)
	for len(r.waiting) > 0 && r.hasRoom() {
		w := slices.MinFunc(r.waiting, r.compare)
		r.removeWaiting(w)
		r.admit(w)
		close(w.done)
	}
	r.endIfCalm(now)
}

// recordSuccess updates the latency, and grows the window if it was full.
func (r *Room) recordSuccess(now, tookMS rollout.Millis) {
	if !r.sampled {
		r.latencyMS, r.sampled = float64(tookMS), true
	}
	r.latencyMS += (float64(tookMS) - r.latencyMS) * latencyWeight
	if !r.Limited() || float64(r.inFlight+1) <= r.window {
		return
	}
	r.steady += 1 / r.window
	step := min(maxStep, math.Exp2(max(0, math.Floor(r.steady-steadyWindows))))
	if len(r.large) > 0 && now-r.smallShortMS > smallShortMS {
		step *= largeGrowth
	}
	r.window += step / r.window
}

// endIfCalm makes the window unlimited once the pool has not been short for some time.
func (r *Room) endIfCalm(now rollout.Millis) {
	if !r.Limited() || len(r.waiting) > 0 || now-r.lastShortMS < calmMS {
		return
	}
	r.window, r.virtualTime, r.steady = 0, 0, 0
	r.places, r.finish = nil, nil
}

func (r *Room) hasRoom() bool { return float64(r.inFlight+1) <= r.window }

// admit admits a request that holds a tag but is in no queue.
func (r *Room) admit(w *Waiter) {
	r.inFlight++
	r.admitted++
	reached := w.tag
	for _, queue := range [][]*Waiter{r.waiting, r.places} {
		for _, o := range queue {
			if r.compareClass(o, w) == 0 {
				reached = min(reached, o.tag)
			}
		}
	}
	r.virtualTime = max(r.virtualTime, reached)
}

// newWaiter returns a request with the next tag of its account.
func (r *Room) newWaiter(req Request) *Waiter {
	r.seq++
	tag := max(r.virtualTime, r.finish[req.Account])
	r.finish[req.Account] = tag + 1
	return &Waiter{request: req, tag: tag, cost: 1, seq: r.seq}
}

// charge changes the cost of a request.
func (r *Room) charge(w *Waiter, cost float64) {
	r.finish[w.request.Account] += cost - w.cost
	w.cost = cost
}

// release gives the tag of a request that does not run back to its account.
func (r *Room) release(w *Waiter) {
	for _, queue := range [][]*Waiter{r.waiting, r.places} {
		for _, o := range queue {
			if o.request.Account == w.request.Account && o.tag > w.tag {
				o.tag -= w.cost
			}
		}
	}
	r.finish[w.request.Account] -= w.cost
}

// refuse keeps a place for a request that does not wait, and returns its refusal.
func (r *Room) refuse(now rollout.Millis, w *Waiter, wait rollout.Millis) error {
	wait = max(wait, w.dueMS-now, 1)
	if w.request.Key == "" || len(r.places) >= maxPlaces {
		r.release(w)
		r.overflowMS = max(now+wait, r.overflowMS+max(1, r.timeFor(1)))
		return r.refusal(min(r.overflowMS-now, maxRetryMS))
	}
	if wait > maxRetryMS {
		r.release(w)
		return r.refusal(maxRetryMS)
	}
	w.dueMS = now + wait
	w.useClass = min(int(wait/useClassMS), useClasses-1)
	r.charge(w, r.use[w.useClass])
	r.places = append(r.places, w)
	return r.refusal(wait)
}

func (r *Room) refusal(wait rollout.Millis) error {
	return rollout.NewError(rollout.KindOverloaded, "pool %s is full, the next place is free in %d ms", r.pool, wait).WithNotRun().WithRetryAfter(wait)
}

// evict refuses a waiting request in favor of one that goes before it.
func (r *Room) evict(now rollout.Millis, w *Waiter) {
	r.removeWaiting(w)
	w.err = r.refuse(now, w, r.waitOf(now, w))
	close(w.done)
}

// takePlace returns the place of a request whose caller has returned, or nil.
func (r *Room) takePlace(req Request) *Waiter {
	if req.Key == "" {
		return nil
	}
	i := slices.IndexFunc(r.places, func(p *Waiter) bool { return p.request.Key == req.Key })
	if i < 0 {
		return nil
	}
	w := r.places[i]
	r.places = slices.Delete(r.places, i, i+1)
	r.use[w.useClass] += (1 - r.use[w.useClass]) * useWeight
	w.request = req
	r.charge(w, 1)
	return w
}

// expirePlaces removes the places whose callers have not returned.
func (r *Room) expirePlaces(now rollout.Millis) {
	var expired []*Waiter
	r.places = slices.DeleteFunc(r.places, func(p *Waiter) bool {
		if now <= p.dueMS+placeGraceMS {
			return false
		}
		expired = append(expired, p)
		return true
	})
	for _, p := range expired {
		r.release(p)
		r.use[p.useClass] = max(minUse, r.use[p.useClass]*(1-useWeight))
	}
}

// waitOf returns the predicted wait of a request: the time for those before it and for
// itself to find room. Of the places before it, the usual part counts, and late ones don't.
func (r *Room) waitOf(now rollout.Millis, w *Waiter) rollout.Millis {
	before := 1.0
	for _, o := range r.waiting {
		if r.compare(o, w) < 0 {
			before++
		}
	}
	for _, p := range r.places {
		if now <= p.dueMS+placeLateMS && r.compare(p, w) < 0 {
			before += r.use[p.useClass]
		}
	}
	return r.timeFor(before)
}

// timeFor returns the time in which a number of requests find room.
func (r *Room) timeFor(requests float64) rollout.Millis {
	return rollout.Millis(math.Ceil(requests * r.latencyMS / max(r.meanWindow, minWindow)))
}

func (r *Room) removeWaiting(w *Waiter) bool {
	i := slices.Index(r.waiting, w)
	if i < 0 {
		return false
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	return true
}

// compare orders requests by the time at which they are served.
func (r *Room) compare(a, b *Waiter) int {
	if c := r.compareClass(a, b); c != 0 {
		return c
	}
	switch {
	case a.tag != b.tag && a.tag < b.tag:
		return -1
	case a.tag != b.tag:
		return 1
	case a.seq < b.seq:
		return -1
	case a.seq > b.seq:
		return 1
	default:
		return 0
	}
}

// compareClass orders requests by their account and their priority alone.
func (r *Room) compareClass(a, b *Waiter) int {
	if la, lb := r.isLarge(a), r.isLarge(b); la != lb {
		if lb {
			return -1
		}
		return 1
	}
	return a.request.Priority - b.request.Priority
}

func (r *Room) isLarge(w *Waiter) bool {
	return len(r.large) > 0 && slices.Contains(r.large, w.request.Account)
}
