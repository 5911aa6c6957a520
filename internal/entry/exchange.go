package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// exchange is one request and the state of its processing.
type exchange struct {
	rc      *fasthttp.RequestCtx
	ctx     context.Context
	catalog *catalog.Catalog
	id      string

	// secret is the caller's key in plain text. It must never leave the entry.
	secret  string
	key     catalog.Key
	account catalog.Account

	// openRoute is true if the route needs no key.
	openRoute  bool
	pool       string
	group      string
	minVersion uint64
	// newestVersion is the newest published weight version of the group.
	newestVersion uint64
	// repeatable is true if the request may run more than once.
	repeatable bool
	// requestID is the caller's ID of a request that may run only once, or
	// empty.
	requestID string
	// streaming is true if the caller wants the response as a stream.
	streaming bool
	// prefix is the hash of the prompt's prefix, or zero.
	prefix      uint64
	fingerprint string
	// suspect is true if the request ran on an upstream when it crashed.
	suspect bool
	// crashed is true after an attempt whose upstream crashed, until
	// checkSuspect has handled it.
	crashed bool
	// cost is the expected cost in tokens.
	cost     float64
	deadline rollout.Millis

	method  string
	path    string
	headers []*wire.Header
	body    []byte

	// claimed is the only attempt that the exchange may run, or nil if the
	// request needs no claim.
	claimed *claimedAttempt
	// release ends the admission. It is nil if the exchange holds none.
	release func(cost float64, upstreamsFull bool)
	// removeSession removes the exchange from its session table. It may be nil.
	removeSession func()
	cancel        context.CancelCauseFunc
	// upstreamsFull is true after an upstream has rejected the request because
	// it was full.
	upstreamsFull bool
	// tokens is the number of input and output tokens of the response.
	tokens uint64
}

// filter is one step in the processing of an exchange. An error ends the exchange.
type filter func(e *entry, x *exchange) error

// callerFilters are applied in order to a caller's request before it is forwarded.
var callerFilters = []filter{
	(*entry).classify,
	(*entry).authenticate,
	(*entry).checkPoison,
	(*entry).prepareUpstreamRequest,
	(*entry).admit,
	(*entry).claim,
}

// handle serves one HTTP request.
func (e *entry) handle(rc *fasthttp.RequestCtx) {
	x := &exchange{rc: rc, catalog: e.renewer.View(), id: newID()}
	start := e.clock.Now()
	if e.stopping.Load() {
		rc.SetConnectionClose()
	}
	x.ctx, x.cancel = context.WithCancelCause(context.Background())
	err := e.serve(x)
	if err != nil {
		e.respondError(x, err)
	}
	e.metrics.requests.WithLabelValues(outcomeName(err)).Inc()
	e.log.Debug("Request", zap.String("Request", x.id), zap.String("Account", x.account.Name),
		zap.String("Pool", x.pool), zap.Int("Status", rc.Response.StatusCode()), zap.Int64("MS", int64(e.clock.Now()-start)), zap.Error(err))
}

// refuse answers a request whose body was not received.
func (e *entry) refuse(rc *fasthttp.RequestCtx, err *rollout.Error) {
	x := &exchange{rc: rc, catalog: e.renewer.View(), id: newID()}
	e.respondError(x, err)
	e.metrics.requests.WithLabelValues(outcomeName(err)).Inc()
}

// serve processes an exchange. The response may still be streaming when it
// returns nil; the stream then cleans the exchange up.
func (e *entry) serve(x *exchange) error {
	if handler := trainerHandler(x); handler != nil {
		defer x.cleanUp(e)
		return handler(e, x)
	}
	for _, f := range callerFilters {
		if err := f(e, x); err != nil {
			x.cleanUp(e)
			return err
		}
	}
	if err := e.forward(x); err != nil {
		x.cleanUp(e)
		return err
	}
	return nil
}

// cleanUp releases the resources of the exchange and cancels its context.
func (x *exchange) cleanUp(_ *entry) {
	if x.release != nil {
		x.release(max(float64(x.tokens), 1), x.upstreamsFull)
		x.release = nil
	}
	if x.removeSession != nil {
		x.removeSession()
		x.removeSession = nil
	}
	x.cancel(nil)
}

// remaining returns the time until the deadline.
func (x *exchange) remaining(e *entry) rollout.Millis { return x.deadline - e.clock.Now() }

// withDeadline applies the deadline of the exchange to its context.
func (x *exchange) withDeadline(e *entry) {
	remaining := time.Duration(x.remaining(e)) * time.Millisecond
	cause := rollout.NewError(rollout.KindDeadlineExceeded, "no response within %d ms", remaining.Milliseconds())
	ctx, stop := context.WithTimeoutCause(x.ctx, remaining, cause)
	x.ctx = ctx
	context.AfterFunc(ctx, stop)
}

// outcomeName returns the metric label of an outcome.
func outcomeName(err error) string {
	if err == nil {
		return "ok"
	}
	return rollout.AsError(err).Kind.String()
}
