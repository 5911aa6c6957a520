// Package balance sends requests to the upstreams of a pool. It selects an
// upstream, retries failed attempts, hedges slow ones and returns the first
// final response.
package balance

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/budget"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/routing"
)

const (
	// maxSends limits how often one request is sent. Attempts that an upstream
	// rejected without running the request count too.
	maxSends = 6
	// busyRetryMS is the retry delay that the caller is told if every upstream
	// was at capacity.
	busyRetryMS rollout.Millis = 200
)

// Request is a request to a pool.
type Request struct {
	// UpstreamRequest is the request to send. The balancer sets its Address,
	// Instance and BudgetMS for each attempt.
	UpstreamRequest rollout.UpstreamRequest
	Pool            string
	// Software is the only version of the upstreams' software that may run the request,
	// or empty for any.
	Software string
	// Avoid holds the IDs of upstreams that are selected only if there is no other.
	Avoid []string
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// MaxAttempts limits the attempts that may have run the request. Attempts
	// that are known not to have run it do not count.
	MaxAttempts int
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// HedgeAfter is the delay after which a repeatable request is also sent to
	// another upstream. Zero disables hedging.
	HedgeAfter time.Duration
	// Permit is called before each attempt. An error ends the request without further
	// attempts. It may be nil.
	Permit func() error
	// Priority ranks requests that wait for an upstream with a limit; 0 is the highest.
	Priority int
	// Background is true if no caller waits for the response.
	Background bool
	// LimitPatience is how long the request may wait for an upstream with a limit if no
	// other one is free.
	LimitPatience time.Duration
	// OnStarted is called once, after the first attempt that may have run the
	// request has returned. It may be nil.
	OnStarted func()
	// Restrict returns the failure domains to which the request may be sent at present. It
	// is called before each attempt. It may be nil.
	Restrict func() Restriction
}

// Restriction reports whether a request may be sent to the upstreams of a failure domain.
// It is nil if it may be sent to all.
type Restriction func(domain string) bool

// Restriction returns the restriction of an attempt that begins now.
func (r Request) Restriction() Restriction {
	if r.Restrict == nil {
		return nil
	}
	return r.Restrict()
}

// Response is the response of an upstream.
type Response struct {
	Head rollout.UpstreamResponse
	// Body is the complete body, or nil if Head.Streaming is true.
	Body     []byte
	Upstream string
	// Born identifies the incarnation of the upstream.
	Born int64
	// Software is the version of the upstream's software, or empty if it is unknown.
	Software string
	// Runs is the number of attempts that may have run the request.
	Runs int
	// Close closes a stream. It is never nil.
	Close func()
}

// Balancer sends requests to upstreams. It is safe for concurrent use.
type Balancer struct {
	upstreams rollout.UpstreamClient
	clock     rollout.Clock
	log       *zap.Logger

	mu     sync.Mutex
	router *routing.Router
	// brokenConnections holds the requests whose connections broke.
	brokenConnections poison.BrokenConnectionLog
	// crashes decides from the broken connections of this host alone.
	crashes *poison.Detector
	// suspectRuns counts the attempts of suspects that run, by upstream ID.
	suspectRuns map[string]int
	// crashRecorded receives a value when a connection to an upstream that has ended was
	// recorded.
	crashRecorded chan struct{}
	// leaving holds the upstreams whose responses said that they leave.
	leaving *discovery.LeavingLog
	// buffered counts the bytes of the bodies that are being read.
	buffered *budget.Bytes
	// limits holds requests to upstreams that name a limit.
	limits *limit.Gate
	// known holds the upstreams as control knows them.
	known   map[string]discovery.Upstream
	metrics *metrics
	// nextSyncMS is when the router must be synced because of leaving upstreams, or 0.
	nextSyncMS rollout.Millis
}

// globalRandom is the random source of the router. It uses the global generator.
type globalRandom struct{}

// Int64N implements rollout.Random.
func (globalRandom) Int64N(n int64) int64 { return rand.Int64N(n) }

// New returns a balancer for a host in the given failure domain.
func New(upstreams rollout.UpstreamClient, clock rollout.Clock, domain string, log *zap.Logger) *Balancer {
	cfg := routing.DefaultConfig(domain)
	cfg.EjectAfter, cfg.EjectMS, cfg.MaxEjectMS = ejectAfter, ejectMS, maxEjectMS
	cfg.LocalLoadLimit, cfg.ReuseMS = localLoadLimit, reuseMS
	return &Balancer{upstreams: upstreams, clock: clock, log: log, router: routing.New(cfg, globalRandom{}), leaving: discovery.NewLeavingLog(), buffered: budget.New(maxBufferedBytes), limits: limit.NewGate(clock), crashes: poison.NewDetector(), suspectRuns: make(map[string]int), crashRecorded: make(chan struct{}, 1), metrics: newMetrics()}
}

const (
	// ejectAfter is the number of consecutive failures after which an upstream
	// is ejected, for ejectMS at first and for at most maxEjectMS. A restart of
	// an upstream takes a few seconds.
	ejectAfter                = 2
	ejectMS    rollout.Millis = 500
	maxEjectMS rollout.Millis = 4_000
	// localLoadLimit is the load per slot from which a request goes to another
	// failure domain if that has a less loaded upstream.
	localLoadLimit = 0.5
	// reuseMS is below the time for which idle connections are kept.
	reuseMS rollout.Millis = 10_000
)

// Sync replaces the set of known upstreams.
func (b *Balancer) Sync(us map[string]discovery.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = us
	b.limits.Sync(us)
	b.syncRouter()
}

// syncRouter passes the known upstreams to the router, with those that leave draining.
// The caller holds mu.
func (b *Balancer) syncRouter() {
	us, next := b.leaving.Apply(b.clock.Now(), b.known)
	b.nextSyncMS = next
	c := &catalog.Catalog{Upstreams: make(map[string]catalog.Upstream, len(us))}
	for id, u := range us {
		c.Upstreams[id] = catalog.Upstream{
			ID: id, Pool: u.Pool, FailureDomain: u.FailureDomain, Address: u.Address, Slots: u.Slots,
			Incarnation: strconv.FormatInt(u.Born, 10), Leaving: u.State != discovery.StateReady,
		}
	}
	b.router.Sync(c)
}

// Limits returns the gate for upstreams that name a limit.
func (b *Balancer) Limits() *limit.Gate { return b.limits }

// Leaving returns the log of the upstreams that leave.
func (b *Balancer) Leaving() *discovery.LeavingLog { return b.leaving }

// bornOf returns the start time of an incarnation.
func bornOf(incarnation string) int64 {
	// Parsing cannot fail: syncRouter formatted the number.
	born, _ := strconv.ParseInt(incarnation, 10, 64)
	return born
}

// markLeaving records that an upstream said that it leaves.
func (b *Balancer) markLeaving(id, incarnation string) {
	born := bornOf(incarnation)
	if !b.leaving.Mark(b.clock.Now(), discovery.Incarnation{ID: id, Born: born}) {
		return
	}
	b.log.Info("UpstreamLeaving", zap.String("Upstream", id), zap.Int64("Born", born))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.syncRouter()
}

// attempt is the result of sending a request to one upstream.
type attempt struct {
	upstream    string
	incarnation string
	response    Response
	err         *rollout.Error
	started     time.Time
	// connectionBroken is true if the connection broke, other than by
	// cancellation, while the upstream may have run the request.
	connectionBroken bool
	// upstreamEnded is true if the upstream accepted no connections right after the
	// connection broke.
	upstreamEnded bool
}

// mayHaveRun reports whether the upstream may have run the request.
func (a attempt) mayHaveRun() bool { return a.err == nil || !a.err.NotRun }

// countsAsFailure reports whether the attempt counts towards the ejection of the
// upstream. A rejection for lack of capacity does not.
func (a attempt) countsAsFailure() bool {
	return a.err != nil && (!a.err.NotRun || a.err.Kind != rollout.KindOverloaded)
}

// isFinal reports whether the response goes to the caller without further attempts. Another
// upstream may serve a request that one has failed or refused.
func (a attempt) isFinal() bool {
	return a.err == nil && a.response.Head.Status < 500 && !a.response.Head.IsRefusal()
}

// call is the state of one request.
type call struct {
	balancer *Balancer
	req      Request
	results  chan attempt
	// addresses holds the addresses of the upstreams that the request was sent to.
	addresses map[string]string
	// cancels holds the attempts that can be cancelled by upstream ID.
	cancels map[string]cancellable
	// tried holds the IDs of the upstreams that the request was sent to.
	tried []string
	// running counts the attempts that have not ended.
	running int
	// possibleRuns counts the ended attempts that may have run the request.
	possibleRuns int
	// sends counts all attempts.
	sends int
	// best is the result that the caller gets if no attempt is final.
	best attempt
}

// cancellable is an attempt that runs, or whose response is being read.
type cancellable struct {
	cancel      context.CancelFunc
	incarnation string
}

// Do sends a request until a response is final, no further attempt is allowed
// or the context ends. NotRun of the error is true if no upstream has run the
// request.
func (b *Balancer) Do(ctx context.Context, req Request) (Response, error) {
	c := &call{
		balancer: b, req: req, results: make(chan attempt, maxSends), cancels: make(map[string]cancellable), addresses: make(map[string]string),
		best: attempt{err: rollout.NewError(rollout.KindNoUpstream, "pool %s has no upstream", req.Pool).WithNotRun()},
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	winner := ""
	defer func() {
		if winner == "" {
			cancel()
		}
	}()
	if !c.startAttempt(ctx, false) {
		return Response{}, c.best.err
	}
	hedge := newHedgeTimer(req)
	defer hedge.Stop()
	for c.running > 0 {
		select {
		case <-ctx.Done():
			// A caller that left says nothing about the upstreams.
			c.cancelExcept("", errors.Is(ctx.Err(), context.DeadlineExceeded))
			return Response{}, c.deadlineError()
		case <-hedge.C:
			if c.hasRunsLeft() && !c.isSuspect() && c.startAttempt(ctx, true) {
				b.log.Info("Hedged", zap.String("Request", req.UpstreamRequest.AttemptID), zap.Strings("Tried", c.tried))
				hedge.Reset(req.HedgeAfter)
			}
		case a := <-c.results:
			c.recordResult(a)
			if a.isFinal() {
				winner = a.upstream
				c.cancelExcept(winner, true)
				return c.callerResponse(a, cancel), nil
			}
			if c.canRetry(a) {
				c.startAttempt(ctx, false)
			}
		}
	}
	if c.best.err != nil {
		return Response{}, c.best.err
	}
	winner = c.best.upstream
	return c.callerResponse(c.best, cancel), nil
}

// newHedgeTimer returns the timer for hedged attempts. It never fires if the
// request must not be hedged.
func newHedgeTimer(req Request) *time.Timer {
	if !req.Repeatable || req.HedgeAfter <= 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(req.HedgeAfter)
}

// cancelExcept cancels all attempts but the winner and records whether those that
// have not ended count as failures of their upstreams.
func (c *call) cancelExcept(winner string, failed bool) {
	for id, a := range c.cancels {
		if id == winner {
			continue
		}
		a.cancel()
		c.balancer.recordOutcome(id, a.incarnation, failed)
	}
}

// startAttempt sends the request to an upstream that has not been tried. It
// reports whether there was one, and maxSends and Permit allowed it. A hedge does not use
// upstreams with a limit.
func (c *call) startAttempt(ctx context.Context, hedge bool) bool {
	if c.sends >= maxSends || !c.isPermitted() {
		return false
	}
	suspect := c.isSuspect()
	choice, err := c.balancer.selectUpstream(selection{pool: c.req.Pool, software: c.req.Software, avoid: c.req.Avoid, tried: c.tried, suspect: suspect, hedge: hedge, background: c.req.Background, last: c.sends == maxSends-1, patience: c.req.LimitPatience, within: c.req.Restriction()})
	if err != nil {
		if c.sends == 0 {
			c.refuse(err)
		}
		return false
	}
	u := choice.Upstream
	c.balancer.log.Info("Routed", zap.String("Request", c.req.UpstreamRequest.AttemptID), zap.String("Pool", c.req.Pool), zap.String("Upstream", u.ID),
		zap.String("Reason", string(choice.Reason)), zap.Float64("Load", choice.Load), zap.Int("Sends", c.sends+1), zap.Int("Running", c.running))
	req := c.req.UpstreamRequest
	req.Address, req.Instance = u.Address, u.ID
	sendCtx, cancel := context.WithCancel(ctx)
	c.cancels[u.ID] = cancellable{cancel, u.Incarnation}
	c.tried = append(c.tried, u.ID)
	c.addresses[u.ID] = u.Address
	c.running++
	c.sends++
	whole := c.req
	go func() {
		a := c.balancer.sendWithinLimit(sendCtx, req, u, whole)
		if suspect {
			c.balancer.endSuspectRun(u.ID)
		}
		if a.response.Head.Leaving {
			c.balancer.markLeaving(u.ID, u.Incarnation)
		}
		a.upstream, a.incarnation = u.ID, u.Incarnation
		a.connectionBroken = a.mayHaveRun() && a.err != nil && sendCtx.Err() == nil
		if a.connectionBroken {
			a.upstreamEnded = c.balancer.hasEnded(u.ID, u.Address)
		}
		c.results <- a
	}()
	return true
}

// isPermitted reports whether Permit allows another attempt. If it does not and the
// request has not run, the caller gets its error.
func (c *call) isPermitted() bool {
	if c.req.Permit == nil {
		return true
	}
	err := c.req.Permit()
	if err == nil {
		return true
	}
	c.refuse(err)
	return false
}

// refuse sets the error that the caller gets if the request has not run and no attempt
// is in progress.
func (c *call) refuse(err error) {
	if c.running == 0 && c.best.err != nil && c.best.err.NotRun {
		c.best.err = rollout.AsError(err)
	}
}

// canRetry reports whether the request may be sent again after an attempt.
func (c *call) canRetry(a attempt) bool {
	if !a.mayHaveRun() {
		return true
	}
	return c.req.Repeatable && c.hasRunsLeft()
}

// hasRunsLeft reports whether one more upstream may run the request.
func (c *call) hasRunsLeft() bool { return c.possibleRuns+c.running < c.req.MaxAttempts }

// recordResult records the result of an attempt and updates the best result so far.
func (c *call) recordResult(a attempt) {
	c.running--
	if running, ok := c.cancels[a.upstream]; ok && !a.isFinal() {
		running.cancel()
		delete(c.cancels, a.upstream)
	}
	c.balancer.recordOutcome(a.upstream, a.incarnation, a.countsAsFailure())
	c.updateBrokenConnections(a)
	if a.mayHaveRun() {
		c.possibleRuns++
		if c.req.OnStarted != nil {
			c.req.OnStarted()
			c.req.OnStarted = nil
		}
	}
	level := zap.DebugLevel
	if !a.isFinal() {
		level = zap.WarnLevel
	}
	c.balancer.log.Log(level, "AttemptEnded", zap.String("Request", c.req.UpstreamRequest.AttemptID), zap.String("Upstream", a.upstream),
		zap.Int("Status", a.response.Head.Status), zap.Duration("Took", time.Since(a.started)), errorField(a.err))
	if c.best.err == nil {
		return
	}
	if a.err == nil || c.best.err.NotRun {
		c.best = a
	}
}

// deadlineError returns the error of a request whose deadline has passed or whose
// caller has cancelled it.
func (c *call) deadlineError() error {
	return rollout.NewError(rollout.KindDeadlineExceeded, "no response from pool %s before the deadline", c.req.Pool)
}

// callerResponse returns the response for the caller. Its Close function closes the
// body and cancels the context of the request.
func (c *call) callerResponse(a attempt, cancel context.CancelFunc) Response {
	a.response.Upstream = a.upstream
	a.response.Runs = c.possibleRuns + c.running
	a.response.Born = bornOf(a.incarnation)
	a.response.Software = c.balancer.SoftwareOf(a.upstream, a.response.Born)
	upstreamStatus := a.response.Head.Status
	a.response.Head = a.response.Head.ForCaller()
	if a.response.Head.Status != upstreamStatus {
		c.balancer.log.Warn("UpstreamStatusReplaced", zap.String("Request", c.req.UpstreamRequest.AttemptID), zap.String("Upstream", a.upstream),
			zap.Int("UpstreamStatus", upstreamStatus), zap.Int("Status", a.response.Head.Status))
	}
	body := a.response.Head.Body
	if a.response.Head.Streaming {
		a.response.Head.Body = &observedStream{ReadCloser: body, onEnd: func(err error) { c.recordStreamEnd(a, err) }}
	}
	a.response.Close = func() {
		if body != nil {
			_ = body.Close()
		}
		cancel()
	}
	if !a.response.Head.Streaming {
		a.response.Close()
	}
	return a.response
}

// recordOutcome tells the router that an attempt has ended.
func (b *Balancer) recordOutcome(id, incarnation string, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Finished(b.clock.Now(), id, routing.Outcome{Incarnation: incarnation, Failed: failed, Running: -1})
}

// send runs one attempt. It reads the whole body unless the response is a stream.
func (b *Balancer) send(ctx context.Context, req rollout.UpstreamRequest) attempt {
	a := attempt{started: time.Now()}
	head, err := b.upstreams.SendRequest(ctx, req)
	a.response.Head = head
	if err != nil {
		a.err = rollout.AsError(err)
		return a
	}
	if head.NotRun {
		_ = head.Body.Close()
		a.err = rollout.NewError(rollout.KindOverloaded, "upstream %s rejected the request with status %d", req.Instance, head.Status).
			WithNotRun().WithRetryAfter(busyRetryMS)
		if head.Misdirected {
			a.err.Kind = rollout.KindNoUpstream
		}
		return a
	}
	if head.Streaming && head.Status < 300 {
		return a
	}
	a.response.Head.Streaming = false
	a.response.Body, err = readAll(head.Body, b.buffered)
	if err = errors.Join(err, head.Body.Close()); err != nil {
		a.response.Body = nil
		a.err = rollout.NewError(rollout.KindTruncated, "read response of upstream %s to request %s", req.Instance, req.AttemptID).WithCause(err)
	}
	return a
}

func errorField(err *rollout.Error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.Error(err)
}
