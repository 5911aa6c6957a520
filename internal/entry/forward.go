package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/attempt"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/retry"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/routing"
)

const (
	msPerSecond = 1_000
	// closeDelay is the time between the error event of a broken stream and the
	// closing of the connection, so that the event reaches the caller.
	closeDelay = 50 * time.Millisecond
	// fullUpstreamsDelay is the time before upstreams that were full are tried
	// again.
	fullUpstreamsDelay = 20 * time.Millisecond
)

// hopByHopHeaders lists the response headers that concern only the connection
// between an agent and its upstream. They are not sent to the caller.
var hopByHopHeaders = []string{"connection", "transfer-encoding", "content-length", "keep-alive", "upgrade", "trailer", "te"}

// forward sends the request to upstreams until one answers it or no retry is
// allowed. Upstreams that were full are tried again until the deadline and do not
// count as attempts.
func (e *entry) forward(x *exchange) error {
	if x.claimed != nil {
		return e.forwardClaimed(x)
	}
	var tried []string
	begun := false
	for number := 1; ; number++ {
		choice, err := e.route(x, tried)
		if err != nil && x.upstreamsFull && !e.poolEvacuated(x.pool) && e.waitForCapacity(x) {
			tried, number = nil, 0
			continue
		}
		if err != nil {
			return withBegun(err, begun)
		}
		err = e.tryUpstream(x, choice)
		if err == nil {
			return nil
		}
		if err := e.checkSuspect(x); err != nil {
			return err
		}
		a := retry.Attempt{
			Err: rollout.AsError(err), Repeatable: x.repeatable && x.ctx.Err() == nil,
			Number: number, Remaining: x.remaining(e),
		}
		begun = begun || !a.Err.NotRun
		if !e.mayRetry(a) {
			return withBegun(e.finalError(x, a), begun)
		}
		if a.Err.Kind == rollout.KindOverloaded {
			x.upstreamsFull = true
			number--
		}
		tried = append(tried, choice.Upstream.ID)
		e.log.Info("Retried", zap.String("Request", x.id), zap.Int("Attempt", number), zap.String("Upstream", choice.Upstream.ID), zap.Error(err))
	}
}

// withBegun returns the error of a request without NotRun if an earlier attempt has
// begun at an upstream.
func withBegun(err error, begun bool) error {
	r := *rollout.AsError(err)
	r.NotRun = r.NotRun && !begun
	return &r
}

// waitForCapacity waits before upstreams that were full are tried again. It returns
// false if the context ends first.
func (e *entry) waitForCapacity(x *exchange) bool {
	select {
	case <-x.ctx.Done():
		return false
	case <-time.After(fullUpstreamsDelay):
		return true
	}
}

// openAttempt opens the stream of an attempt at an agent.
func (e *entry) openAttempt(ctx context.Context, address string, req *wire.RunRequest) (*attempt.Stream, error) {
	s, err := attempt.Open(ctx, e.dialer, e.clock, address, req)
	if s != nil {
		s.Held = e.responses.Open()
	}
	return s, err
}

// route chooses an upstream and logs the decision.
func (e *entry) route(x *exchange, tried []string) (routing.Choice, error) {
	e.routeMu.Lock()
	choice, ok := e.router.Pick(e.clock.Now(), routing.Query{
		Pool: x.pool, Group: x.group, MinVersion: x.minVersion, NewestVersion: x.newestVersion, Prefix: x.prefix, Exclude: tried,
	})
	e.routeMu.Unlock()
	if !ok {
		return choice, e.routeError(x, len(tried))
	}
	fields := []zap.Field{
		zap.String("Request", x.id), zap.String("Account", x.account.Name), zap.String("Pool", x.pool),
		zap.String("Upstream", choice.Upstream.ID), zap.String("Reason", string(choice.Reason)), zap.Float64("Load", choice.Load),
	}
	if len(choice.Evacuated) > 0 {
		fields = append(fields, zap.Strings("Evacuated", choice.Evacuated))
	}
	e.log.Info("Routed", fields...)
	return choice, nil
}

// recordOutcome reports the outcome of an attempt to the router. The stream may be
// nil.
func (e *entry) recordOutcome(upstream string, err error, s *attempt.Stream) {
	now := e.clock.Now()
	out := routing.Outcome{Running: -1}
	if s != nil && s.End != nil {
		out.Running = int(s.End.Running)
		out.TookMS, out.Tokens = now-s.OpenedMS, int(s.End.OutputTokens)
	}
	if err != nil {
		switch k := rollout.AsError(err).Kind; k {
		case rollout.KindUpstreamFailed, rollout.KindTruncated, rollout.KindUnavailable, rollout.KindNoUpstream:
			out.Failed = true
		}
	}
	e.routeMu.Lock()
	defer e.routeMu.Unlock()
	e.router.Finished(now, upstream, out)
}

// mayRetry reports whether a failed attempt may be retried, and charges the retry
// budget.
func (e *entry) mayRetry(a retry.Attempt) bool {
	if !retry.Allowed(a) {
		return false
	}
	if !retry.Charged(a) {
		return true
	}
	e.routeMu.Lock()
	defer e.routeMu.Unlock()
	return e.budget.Take()
}

// finalError returns the error that the caller gets for the last failed attempt.
func (e *entry) finalError(x *exchange, a retry.Attempt) error {
	if !x.repeatable && !a.Err.NotRun && x.requestID != "" {
		return rollout.NewError(rollout.KindOutcomeUnknown, "the request may have run; repeat it with the same %s", headerRequestID).WithCause(a.Err)
	}
	return a.Err
}

func (e *entry) runRequest(x *exchange, choice routing.Choice, attempt string) *wire.RunRequest {
	return &wire.RunRequest{
		Attempt: attempt, Upstream: choice.Upstream.ID, Incarnation: choice.Upstream.Incarnation,
		Account: x.account.Name, Group: x.group, Method: x.method, Path: x.path, Headers: x.headers, Body: x.body,
		DeadlineMs: int64(x.remaining(e)), Fingerprint: x.fingerprint, Suspect: x.suspect, Priority: int32(x.account.Priority),
	}
}

// tryUpstream makes one attempt. It returns nil once the response is complete or is
// being streamed to the caller.
func (e *entry) tryUpstream(x *exchange, choice routing.Choice) error {
	req := e.runRequest(x, choice, newID())
	s, err := e.openAttempt(x.ctx, choice.Upstream.Address, req)
	x.recordCrash(s)
	if err != nil {
		e.recordOutcome(choice.Upstream.ID, err, s)
		return err
	}
	if x.streaming && s.Head != nil && s.End == nil {
		e.streamResponse(x, choice, s)
		return nil
	}
	defer s.Close()
	body, err := s.ReadAll(nil)
	x.recordCrash(s)
	e.recordOutcome(choice.Upstream.ID, err, s)
	if err != nil {
		return err
	}
	x.tokens = s.End.InputTokens + s.End.OutputTokens
	e.clearSuspect(x)
	e.respond(x, s, body)
	x.cleanUp(e)
	return nil
}

// respond sends the caller a complete response.
func (e *entry) respond(x *exchange, s *attempt.Stream, body []byte) {
	if s.UpstreamStatus != int(s.Head.Status) {
		e.log.Warn("UpstreamStatusReplaced", zap.String("Request", x.id), zap.Int("UpstreamStatus", s.UpstreamStatus), zap.Int32("Status", s.Head.Status))
	}
	writeHead(x.rc, s)
	x.rc.Response.SetBodyRaw(body)
}

// streamResponse streams the response to the caller as it arrives. A stream that
// fails ends with an error event and a closed connection, never with an end
// marker.
func (e *entry) streamResponse(x *exchange, choice routing.Choice, s *attempt.Stream) {
	writeHead(x.rc, s)
	conn := x.rc.Conn()
	x.rc.SetBodyStreamWriter(func(w *bufio.Writer) {
		err := copyStream(x.ctx, w, s)
		e.recordOutcome(choice.Upstream.ID, err, s)
		if s.End != nil {
			x.tokens = s.End.InputTokens + s.End.OutputTokens
		}
		s.Close()
		if err == nil {
			e.clearSuspect(x)
		}
		if err != nil {
			e.log.Warn("StreamBroken", zap.String("Request", x.id), zap.String("Upstream", choice.Upstream.ID), zap.Error(err))
			_, _ = w.WriteString("event: error\ndata: " + errorJSON(x, rollout.AsError(err)) + "\n\n")
			_ = w.Flush()
			time.Sleep(closeDelay)
			_ = conn.Close()
		}
		x.cleanUp(e)
	})
}

func copyStream(ctx context.Context, w *bufio.Writer, s *attempt.Stream) error {
	for s.More() {
		data, err := s.Next()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}
			return err
		}
		if _, err := w.Write(data); err != nil {
			return rollout.NewError(rollout.KindUnavailable, "the caller closed the connection").WithCause(err)
		}
		if err := w.Flush(); err != nil {
			return rollout.NewError(rollout.KindUnavailable, "the caller closed the connection").WithCause(err)
		}
	}
	return nil
}

func writeHead(rc *fasthttp.RequestCtx, s *attempt.Stream) {
	rc.Response.SetStatusCode(int(s.Head.Status))
	for _, h := range s.Head.Headers {
		if !isHopByHopHeader(h.Name) {
			rc.Response.Header.Add(h.Name, h.Value)
		}
	}
}

func isHopByHopHeader(name string) bool {
	for _, h := range hopByHopHeaders {
		if strings.EqualFold(h, name) {
			return true
		}
	}
	return false
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error        string
	Message      string
	NotRun       bool
	RetryAfterMS rollout.Millis `json:",omitempty"`
	Request      string
}

func errorJSON(x *exchange, err *rollout.Error) string {
	data, _ := json.Marshal(errorResponse{
		Error: err.Kind.String(), Message: err.Message, NotRun: err.NotRun, RetryAfterMS: err.RetryDelay(), Request: x.id,
	})
	return string(data)
}

// respondError replaces the response by an error response.
func (e *entry) respondError(x *exchange, err error) {
	r := rollout.AsError(err)
	rc := x.rc
	rc.Response.ResetBody()
	rc.Response.SetStatusCode(r.Status())
	rc.Response.Header.SetContentType("application/json")
	if retryAfter := r.RetryDelay(); retryAfter > 0 {
		seconds := (int64(retryAfter) + msPerSecond - 1) / msPerSecond
		rc.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	rc.Response.SetBodyString(errorJSON(x, r) + "\n")
}
