// Package upstream is the HTTP client for upstreams, which are engines and services.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/budget"
	"github.com/coltsfootspoke/coltsfootspoke/internal/reply"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	dialTimeout        = 500 * time.Millisecond
	maxIdlePerUpstream = 256
	readBufferBytes    = 32 << 10
	// maxAnswerBytes limits the size of one answer.
	maxAnswerBytes = 64 << 20
	// maxChunkBytes limits the data of one chunk of an answer.
	maxChunkBytes = 256 << 10
	// maxHeadBytes is the maximum length of the head of a response.
	maxHeadBytes = 64 << 10
)

// NewClient returns an HTTP client for upstreams. Requests that must not run twice
// need a client without connection reuse, because net/http resends some requests
// over a new connection when a reused connection breaks.
func NewClient(reuse bool) *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: reply.NewTransport(&http.Transport{
			DialContext:         reply.Dial(dialer),
			MaxIdleConnsPerHost: maxIdlePerUpstream,
			DisableKeepAlives:   !reuse,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Sink receives the chunks of an answer in order.
type Sink func(c *wire.RunChunk) error

// Outcome is the outcome of a call to an upstream.
type Outcome struct {
	// Err is nil if the answer is complete.
	Err *rollout.Error
	// ConnectionBroken is true if the connection failed, as it does when the
	// upstream crashes.
	ConnectionBroken bool
	// Bytes is the length of the body.
	Bytes uint64
	// Buffered holds the head and the data of an answer that is not an event
	// stream. It is not passed to the sink, so that the caller can send the last
	// chunk with the end marker.
	Buffered []*wire.RunChunk
}

// Call sends a request to an upstream. It passes an event stream to sink as it is
// received and returns any other answer in Outcome.Buffered. Versions and token
// counts of the answer are recorded in obs. What is held of the answer is taken from held, which
// may be nil; the caller releases it.
func Call(ctx context.Context, client *http.Client, baseURL string, req *wire.RunRequest, sink Sink, obs *Observer, held *budget.Lease) Outcome {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, baseURL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return Outcome{Err: rollout.NewError(rollout.KindInvalidInput, "invalid request %s %s to upstream %s", req.Method, req.Path, req.Upstream).WithCause(err).WithNotRun()}
	}
	httpReq.GetBody = nil
	for _, h := range req.Headers {
		httpReq.Header.Add(h.Name, h.Value)
	}
	resp, err := client.Do(httpReq)
	if err != nil {
		return transportOutcome(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	obs.Streamed = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if obs.Streamed {
		return forwardStream(ctx, req.Attempt, resp, sink, obs, held)
	}
	buffered := []*wire.RunChunk{{Attempt: req.Attempt, Head: responseHead(resp)}}
	outcome := copyBody(ctx, resp, func(data []byte) error {
		if err := held.Take(len(data)); err != nil {
			return err
		}
		last := buffered[len(buffered)-1]
		if len(last.Data)+len(data) > maxChunkBytes {
			last = &wire.RunChunk{Attempt: req.Attempt}
			buffered = append(buffered, last)
		}
		if len(last.Data) > 0 {
			last.Data = slices.Grow(last.Data, maxChunkBytes-len(last.Data))
		}
		last.Data = append(last.Data, data...)
		return nil
	})
	outcome.Buffered = buffered
	if outcome.Err != nil {
		return outcome
	}
	// The decoder holds the document once more.
	if err := held.Take(int(outcome.Bytes)); err != nil {
		outcome.Err = rollout.AsError(err)
		return outcome
	}
	var document []io.Reader
	for _, c := range buffered {
		document = append(document, bytes.NewReader(c.Data))
	}
	obs.finishDocument(io.MultiReader(document...))
	return outcome
}

func forwardStream(ctx context.Context, attempt string, resp *http.Response, sink Sink, obs *Observer, held *budget.Lease) Outcome {
	if err := sink(&wire.RunChunk{Attempt: attempt, Head: responseHead(resp)}); err != nil {
		return Outcome{Err: callerError(err)}
	}
	taken := 0
	outcome := copyBody(ctx, resp, func(data []byte) error {
		obs.Add(data)
		if more := len(obs.pending) - taken; more > 0 {
			if err := held.Take(more); err != nil {
				return err
			}
			taken += more
		}
		return sink(&wire.RunChunk{Attempt: attempt, Data: bytes.Clone(data)})
	})
	if outcome.Err == nil && !obs.done {
		outcome.Err = rollout.NewError(rollout.KindTruncated, "the stream of the upstream ended after %d bytes without an end marker", outcome.Bytes)
	}
	return outcome
}

// callerError returns the error of a chunk that the caller did not take.
func callerError(err error) *rollout.Error {
	var typed *rollout.Error
	if errors.As(err, &typed) {
		return typed
	}
	return rollout.NewError(rollout.KindUnavailable, "the caller disconnected").WithCause(err)
}

// copyBody reads a body and passes each piece of it to forward, which must not keep it.
func copyBody(ctx context.Context, resp *http.Response, forward func(data []byte) error) Outcome {
	var outcome Outcome
	buf := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			outcome.Bytes += uint64(n)
			if err := forward(buf[:n]); err != nil {
				outcome.Err = callerError(err)
				return outcome
			}
		}
		if outcome.Bytes > maxAnswerBytes {
			outcome.Err = rollout.NewError(rollout.KindUpstreamFailed, "the answer of the upstream exceeds the limit of %d bytes", maxAnswerBytes)
			return outcome
		}
		if errors.Is(err, io.EOF) {
			return outcome
		}
		if err != nil {
			failed := transportOutcome(ctx, err)
			failed.Bytes = outcome.Bytes
			if failed.Err.Kind == rollout.KindUpstreamFailed {
				failed.Err.Kind = rollout.KindTruncated
			}
			return failed
		}
	}
}

// transportOutcome converts a transport error to an Outcome. The request is known
// not to have run only if no connection was made.
func transportOutcome(ctx context.Context, err error) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Outcome{Err: rollout.NewError(rollout.KindDeadlineExceeded, "the deadline passed while waiting for the upstream")}
	}
	if ctx.Err() != nil {
		return Outcome{Err: rollout.NewError(rollout.KindUnavailable, "the caller cancelled the request")}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e := rollout.NewError(rollout.KindUnavailable, "failed to connect to the upstream").WithCause(err).WithNotRun()
		return Outcome{Err: e, ConnectionBroken: true}
	}
	return Outcome{Err: rollout.NewError(rollout.KindUpstreamFailed, "the connection to the upstream failed").WithCause(err), ConnectionBroken: true}
}

func responseHead(resp *http.Response) *wire.Head {
	head := &wire.Head{Status: int32(resp.StatusCode)}
	for name, values := range resp.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return head
}
