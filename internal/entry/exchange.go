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

// exchange is one request on its way through the filters.
type exchange struct {
	rc   *fasthttp.RequestCtx
	ctx  context.Context
	view *catalog.Catalog
	id   string

	// secret is the caller's key as it came. It never leaves the entry.
	secret  string
	key     catalog.Key
	account catalog.Account

	// open exchanges need no key.
	open       bool
	pool       string
	group      string
	minVersion uint64
	// newest is the newest published weight version of the group.
	newest uint64
	// repeatable exchanges may be sent again after a failure.
	repeatable bool
	// requestID is the caller's own ID of a request that may run once.
	requestID   string
	streamed    bool
	prefix      uint64
	fingerprint string
	suspect     bool
	// crashed is true after an attempt whose upstream crashed.
	crashed  bool
	cost     float64
	deadline rollout.Millis

	method  string
	path    string
	headers []*wire.Header
	body    []byte

	// claimed is the attempt that the claim binds the exchange to.
	claimed *boundAttempt
	// release gives back what admit took. It may be nil.
	release func(cost float64, full bool)
	// forget takes the exchange out of the sessions.
	forget func()
	cancel context.CancelCauseFunc
	full   bool
	tokens uint64
}

// filter takes one step of an exchange. An error ends it.
type filter func(e *entry, x *exchange) error

// callFilters is the way of a caller's request before it is forwarded.
var callFilters = []filter{
	(*entry).classify,
	(*entry).authenticate,
	(*entry).checkPoison,
	(*entry).stripKey,
	(*entry).admit,
	(*entry).claim,
}

// handle serves one HTTP request.
func (e *entry) handle(rc *fasthttp.RequestCtx) {
	x := &exchange{rc: rc, view: e.renewer.View(), id: newID()}
	start := e.clock.Now()
	if e.stopping.Load() {
		rc.SetConnectionClose()
	}
	x.ctx, x.cancel = context.WithCancelCause(context.Background())
	err := e.serve(x)
	if err != nil {
		e.refuse(x, err)
	}
	e.metrics.requests.WithLabelValues(outcomeName(err)).Inc()
	e.log.Debug("Request", zap.String("Request", x.id), zap.String("Account", x.account.Name),
		zap.String("Pool", x.pool), zap.Int("Status", rc.Response.StatusCode()), zap.Int64("MS", int64(e.clock.Now()-start)), zap.Error(err))
}

func (e *entry) serve(x *exchange) error {
	if handler := trainerHandler(x); handler != nil {
		defer x.end(e)
		return handler(e, x)
	}
	for _, f := range callFilters {
		if err := f(e, x); err != nil {
			x.end(e)
			return err
		}
	}
	if err := e.forward(x); err != nil {
		x.end(e)
		return err
	}
	return nil
}

// end gives back what the exchange holds.
func (x *exchange) end(_ *entry) {
	if x.release != nil {
		x.release(max(float64(x.tokens), 1), x.full)
		x.release = nil
	}
	if x.forget != nil {
		x.forget()
		x.forget = nil
	}
	x.cancel(nil)
}

// left returns the time until the deadline.
func (x *exchange) left(e *entry) rollout.Millis { return x.deadline - e.clock.Now() }

// withDeadline bounds the context of the exchange by its deadline.
func (x *exchange) withDeadline(e *entry) {
	left := time.Duration(x.left(e)) * time.Millisecond
	cause := rollout.NewError(rollout.KindDeadlineExceeded, "the deadline passed")
	ctx, stop := context.WithTimeoutCause(x.ctx, left, cause)
	x.ctx = ctx
	context.AfterFunc(ctx, stop)
}

// outcomeName returns the label of an outcome.
func outcomeName(err error) string {
	if err == nil {
		return "ok"
	}
	return rollout.AsError(err).Kind.String()
}
