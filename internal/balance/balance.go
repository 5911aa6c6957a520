// Package balance sends requests to the upstreams of a pool: it picks, tries
// again, hedges against slow upstreams, and gives the first good answer.
package balance

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/routing"
)

const (
	// maxSends bounds the sends of one request, those turned away included.
	maxSends = 6
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 8 << 20
	// busyRetryMS is when to come back after every upstream was full.
	busyRetryMS rollout.Millis = 200
)

// Request is a request to a pool.
type Request struct {
	// Exchange holds all but the upstream and the time that is left.
	Exchange rollout.Exchange
	Pool     string
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxAttempts bounds the upstreams that may have run the request.
	MaxAttempts int
	// Deadline is when the caller gives up.
	Deadline time.Time
	// HedgeAfter is when a repeatable request is sent to a second upstream.
	// Zero stands for never.
	HedgeAfter time.Duration
	// OnStarted is called when an upstream has begun to run the request.
	OnStarted func()
}

// Response is the answer of an upstream.
type Response struct {
	Head rollout.ExchangeResponse
	// Body is the whole body unless Head.Streaming is set.
	Body     []byte
	Upstream string
	// Close ends a stream. It is never nil.
	Close func()
}

// Balancer sends requests. It is safe for use by several threads.
type Balancer struct {
	upstreams rollout.Upstreams
	clock     rollout.Clock
	log       *zap.Logger

	mu     sync.Mutex
	router *routing.Router
	// crashes holds requests whose connections broke off.
	crashes poison.SightingLog
}

// lockedRandom is the random source of the router, which is used under a lock.
type lockedRandom struct{}

// Int64N implements rollout.Random.
func (lockedRandom) Int64N(n int64) int64 { return rand.Int64N(n) }

// New returns a balancer for a failure domain.
func New(upstreams rollout.Upstreams, clock rollout.Clock, domain string, log *zap.Logger) *Balancer {
	cfg := routing.DefaultConfig(domain)
	cfg.EjectAfter, cfg.EjectMS, cfg.MaxEjectMS = ejectAfter, ejectMS, maxEjectMS
	return &Balancer{upstreams: upstreams, clock: clock, log: log, router: routing.New(cfg, lockedRandom{})}
}

const (
	// ejectAfter failures in a row put an upstream out for ejectMS at first;
	// a restart takes a few seconds.
	ejectAfter                = 2
	ejectMS    rollout.Millis = 500
	maxEjectMS rollout.Millis = 4_000
)

// Sync takes the upstreams that are known.
func (b *Balancer) Sync(us map[string]discovery.Upstream) {
	c := &catalog.Catalog{Upstreams: make(map[string]catalog.Upstream, len(us))}
	for id, u := range us {
		c.Upstreams[id] = catalog.Upstream{
			ID: id, Pool: u.Pool, FailureDomain: u.FailureDomain, Address: u.Address, Slots: u.Slots,
			Incarnation: strconv.FormatInt(u.Born, 10), Leaving: u.State != discovery.StateReady,
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Sync(c)
}

// attempt is how one send ended.
type attempt struct {
	upstream    string
	incarnation string
	answer      Response
	err         *rollout.Error
	started     time.Time
	// cut is true when the upstream broke the connection off.
	cut bool
}

// ran tells whether an upstream may have run the request.
func (a attempt) ran() bool { return a.err == nil || !a.err.NotRun }

// broke tells whether the attempt counts against the upstream. Being full
// does not.
func (a attempt) broke() bool {
	return a.err != nil && (!a.err.NotRun || a.err.Kind != rollout.KindOverloaded)
}

// good tells whether the answer ends the request whatever else is possible.
func (a attempt) good() bool { return a.err == nil && a.answer.Head.Status < 500 }

// call is the state of one request.
type call struct {
	b       *Balancer
	req     Request
	results chan attempt
	cancels map[string]context.CancelFunc
	tried   []string
	running int
	runs    int
	sends   int
	best    attempt
}

// Do sends a request until an answer is good, nothing more may be tried, or
// the context ends. The error tells whether the request has not run.
func (b *Balancer) Do(ctx context.Context, req Request) (Response, error) {
	c := &call{
		b: b, req: req, results: make(chan attempt, maxSends), cancels: make(map[string]context.CancelFunc),
		best: attempt{err: rollout.NewError(rollout.KindNoUpstream, "pool %s has no upstream", req.Pool).WithNotRun()},
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	winner := ""
	defer func() {
		if winner == "" {
			cancel()
		}
	}()
	if !c.launch(ctx) {
		return Response{}, c.best.err
	}
	hedge := newHedgeTimer(req)
	defer hedge.Stop()
	for c.running > 0 {
		select {
		case <-ctx.Done():
			c.abandon("")
			return Response{}, c.overdue()
		case <-hedge.C:
			if c.mayRun() && c.launch(ctx) {
				b.log.Info("Hedged", zap.String("Request", req.Exchange.AttemptID), zap.Strings("Tried", c.tried))
				hedge.Reset(req.HedgeAfter)
			}
		case a := <-c.results:
			c.note(a)
			if a.good() {
				winner = a.upstream
				c.abandon(winner)
				return c.won(a, cancel), nil
			}
			if c.mayRetry(a) {
				c.launch(ctx)
			}
		}
	}
	if c.best.err != nil {
		return Response{}, c.best.err
	}
	winner = c.best.upstream
	return c.won(c.best, cancel), nil
}

// newHedgeTimer fires when a second upstream is to be tried.
func newHedgeTimer(req Request) *time.Timer {
	if !req.Repeatable || req.HedgeAfter <= 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(req.HedgeAfter)
}

// abandon cancels all sends but one and counts the slow ones as failures.
func (c *call) abandon(winner string) {
	for id, cancel := range c.cancels {
		if id == winner {
			continue
		}
		cancel()
		c.b.finished(id, true)
	}
}

func (c *call) launch(ctx context.Context) bool {
	if c.sends >= maxSends {
		return false
	}
	choice, ok := c.b.pick(c.req.Pool, c.tried)
	if !ok {
		return false
	}
	u := choice.Upstream
	c.b.log.Info("Routed", zap.String("Request", c.req.Exchange.AttemptID), zap.String("Pool", c.req.Pool), zap.String("Upstream", u.ID),
		zap.String("Reason", string(choice.Reason)), zap.Float64("Load", choice.Load), zap.Int("Sends", c.sends+1), zap.Int("Running", c.running))
	x := c.req.Exchange
	x.Address, x.Instance = u.Address, u.ID
	x.BudgetMS = max(1, rollout.Millis(time.Until(c.req.Deadline).Milliseconds()))
	sendCtx, cancel := context.WithCancel(ctx)
	c.cancels[u.ID] = cancel
	c.tried = append(c.tried, u.ID)
	c.running++
	c.sends++
	go func() {
		a := c.b.send(sendCtx, x)
		a.upstream, a.incarnation = u.ID, u.Incarnation
		a.cut = a.ran() && a.err != nil && sendCtx.Err() == nil
		c.results <- a
	}()
	return true
}

// mayRetry tells whether the request may be sent again after an attempt.
func (c *call) mayRetry(a attempt) bool {
	if !a.ran() {
		return true
	}
	return c.req.Repeatable && c.mayRun()
}

// mayRun tells whether one more upstream may run the request.
func (c *call) mayRun() bool { return c.runs+c.running < c.req.MaxAttempts }

// note counts an attempt and keeps what is best to tell the caller.
func (c *call) note(a attempt) {
	c.running--
	if cancel := c.cancels[a.upstream]; cancel != nil && !a.good() {
		cancel()
		delete(c.cancels, a.upstream)
	}
	c.b.finished(a.upstream, a.broke())
	c.noteCrash(a)
	if a.ran() {
		c.runs++
		if c.req.OnStarted != nil {
			c.req.OnStarted()
			c.req.OnStarted = nil
		}
	}
	level := zap.DebugLevel
	if !a.good() {
		level = zap.WarnLevel
	}
	c.b.log.Log(level, "AttemptEnded", zap.String("Request", c.req.Exchange.AttemptID), zap.String("Upstream", a.upstream),
		zap.Int("Status", a.answer.Head.Status), zap.Duration("Took", time.Since(a.started)), errorField(a.err))
	if c.best.err == nil {
		return
	}
	if a.err == nil || c.best.err.NotRun {
		c.best = a
	}
}

// overdue is the error of a request whose time is up or whose caller has
// left.
func (c *call) overdue() error {
	return rollout.NewError(rollout.KindDeadlineExceeded, "no answer from pool %s in time", c.req.Pool)
}

// won returns the answer. Closing it releases what the attempt holds.
func (c *call) won(a attempt, cancel context.CancelFunc) Response {
	a.answer.Upstream = a.upstream
	body := a.answer.Head.Body
	if a.answer.Head.Streaming {
		a.answer.Head.Body = &watchedStream{ReadCloser: body, ended: func(err error) { c.noteStream(a, err) }}
	}
	a.answer.Close = func() {
		if body != nil {
			_ = body.Close()
		}
		cancel()
	}
	if !a.answer.Head.Streaming {
		a.answer.Close()
	}
	return a.answer
}

func (b *Balancer) finished(id string, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Finished(b.clock.Now(), id, routing.Outcome{Failed: failed, Running: -1})
}

func (b *Balancer) pick(pool string, tried []string) (routing.Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Pick(b.clock.Now(), routing.Query{Pool: pool, Exclude: tried})
}

// send runs one attempt. Answers that are no streams are read whole.
func (b *Balancer) send(ctx context.Context, x rollout.Exchange) attempt {
	a := attempt{started: time.Now()}
	head, err := b.upstreams.Open(ctx, x)
	if err != nil {
		a.err = rollout.AsError(err)
		return a
	}
	a.answer.Head = head
	if head.NotRun {
		_ = head.Body.Close()
		a.err = rollout.NewError(rollout.KindOverloaded, "upstream %s turned the request away with %d", x.Instance, head.Status).
			WithNotRun().WithRetryAfter(busyRetryMS)
		if head.Misdirected {
			a.err.Kind = rollout.KindNoUpstream
		}
		return a
	}
	if head.Streaming && head.Status < 300 {
		return a
	}
	a.answer.Head.Streaming = false
	a.answer.Body, err = io.ReadAll(io.LimitReader(head.Body, maxAnswerBytes))
	if err = errors.Join(err, head.Body.Close()); err != nil {
		a.err = rollout.NewError(rollout.KindTruncated, "answer of upstream %s", x.Instance).WithCause(err)
	}
	return a
}

func errorField(err *rollout.Error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.Error(err)
}
