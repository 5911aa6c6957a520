// Package upstream is the HTTP client towards engines and plain services.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	upstreamDialTimeout = 500 * time.Millisecond
	idlePerUpstream     = 256
	readBufferBytes     = 32 << 10
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 64 << 20
)

// NewClient returns the HTTP client towards upstreams. Connections that may
// not be reused serve requests that may not be repeated, because the client
// would send such a request again over a new connection by itself.
func NewClient(reuse bool) *http.Client {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerUpstream,
			DisableKeepAlives:   !reuse,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Sink takes the chunks of an answer in order.
type Sink func(c *wire.RunChunk) error

// Outcome is how a call of an upstream ended.
type Outcome struct {
	// Err is nil when the answer is whole.
	Err *rollout.Error
	// Broken is true when the connection failed, as after a crash.
	Broken bool
	// Bytes is the length of the body.
	Bytes uint64
	// Whole holds the head and the data of an answer that is no stream. It goes
	// out together with the end.
	Whole *wire.RunChunk
}

// Call sends a request to an upstream and passes a stream on as it comes.
func Call(ctx context.Context, client *http.Client, base string, req *wire.RunRequest, out Sink, obs *Observer) Outcome {
	hreq, err := http.NewRequestWithContext(ctx, req.Method, base+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return Outcome{Err: rollout.NewError(rollout.KindInvalidInput, "request").WithCause(err).WithNotRun()}
	}
	hreq.GetBody = nil
	for _, h := range req.Headers {
		hreq.Header.Add(h.Name, h.Value)
	}
	resp, err := client.Do(hreq)
	if err != nil {
		return failedCall(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	obs.Streamed = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if obs.Streamed {
		return passStream(ctx, req.Attempt, resp, out, obs)
	}
	whole := &wire.RunChunk{Attempt: req.Attempt, Head: headOf(resp)}
	result := copyBody(ctx, resp, obs, func(data []byte) error {
		whole.Data = append(whole.Data, data...)
		return nil
	})
	result.Whole = whole
	return result
}

func passStream(ctx context.Context, attempt string, resp *http.Response, out Sink, obs *Observer) Outcome {
	if err := out(&wire.RunChunk{Attempt: attempt, Head: headOf(resp)}); err != nil {
		return Outcome{Err: callerGone(err)}
	}
	return copyBody(ctx, resp, obs, func(data []byte) error {
		return out(&wire.RunChunk{Attempt: attempt, Data: data})
	})
}

func callerGone(err error) *rollout.Error {
	return rollout.NewError(rollout.KindUnavailable, "the caller went away").WithCause(err)
}

// copyBody passes a body on as it is read.
func copyBody(ctx context.Context, resp *http.Response, obs *Observer, pass func(data []byte) error) Outcome {
	var out Outcome
	buf := make([]byte, readBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			data := bytes.Clone(buf[:n])
			obs.Add(data)
			out.Bytes += uint64(n)
			if err := pass(data); err != nil {
				out.Err = callerGone(err)
				return out
			}
		}
		if out.Bytes > maxAnswerBytes {
			out.Err = rollout.NewError(rollout.KindUpstreamFailed, "answer exceeds %d bytes", maxAnswerBytes)
			return out
		}
		if errors.Is(err, io.EOF) {
			obs.finish()
			if !obs.done {
				out.Err = rollout.NewError(rollout.KindTruncated, "the stream of the upstream has no end marker")
			}
			return out
		}
		if err != nil {
			failed := failedCall(ctx, err)
			failed.Bytes = out.Bytes
			if failed.Err.Kind == rollout.KindUpstreamFailed {
				failed.Err.Kind = rollout.KindTruncated
			}
			return failed
		}
	}
}

// failedCall turns a transport error into an Outcome. Only a connection that
// was never made is known not to have run the request.
func failedCall(ctx context.Context, err error) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Outcome{Err: rollout.NewError(rollout.KindDeadlineExceeded, "the deadline passed at the upstream")}
	}
	if ctx.Err() != nil {
		return Outcome{Err: rollout.NewError(rollout.KindUnavailable, "the caller went away")}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e := rollout.NewError(rollout.KindUnavailable, "the upstream takes no connection").WithCause(err).WithNotRun()
		return Outcome{Err: e, Broken: true}
	}
	return Outcome{Err: rollout.NewError(rollout.KindUpstreamFailed, "the upstream failed").WithCause(err), Broken: true}
}

func headOf(resp *http.Response) *wire.Head {
	head := &wire.Head{Status: int32(resp.StatusCode)}
	for name, values := range resp.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return head
}
