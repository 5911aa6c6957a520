// Package attempt is the client for attempts that an agent runs.
package attempt

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/internal/budget"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/reply"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Stream reads the answer of one attempt from an agent. It rejects chunks of other
// attempts and checks that the answer is complete.
type Stream struct {
	attempt string
	ctx     context.Context
	stream  wire.DRPCAgent_RunClient
	cancel  context.CancelFunc
	// Head is set once the head of the answer has been received. It is the head as a caller
	// gets it.
	Head *wire.Head
	// UpstreamStatus is the status of the upstream, which Head may replace.
	UpstreamStatus int
	// received is the number of data bytes received.
	received uint64
	// End is set once the end marker has been received.
	End *wire.End
	// firstData is the data of the first chunk until Next returns it.
	firstData []byte
	// OpenedMS is the time at which the attempt was opened.
	OpenedMS rollout.Millis
	// Held is the memory that ReadAll takes. It may be nil.
	Held *budget.Lease
	// sent is true once the request may have reached the agent.
	sent bool
}

// Open sends a request to an agent and waits for the first chunk. Along with an
// error it may return a closed stream, whose End may be set.
func Open(ctx context.Context, dialer *link.Dialer, clock rollout.Clock, address string, req *wire.RunRequest) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{attempt: req.Attempt, ctx: ctx, cancel: cancel, OpenedMS: clock.Now()}
	stream, err := wire.NewDRPCAgentClient(dialer.Conn(ctx, address)).Run(ctx, req)
	if err != nil {
		err = s.openError(ctx, err)
		cancel()
		return nil, err
	}
	s.stream, s.sent = stream, true
	firstData, err := s.receive()
	if err != nil {
		s.Close()
		return s, err
	}
	s.firstData = firstData
	return s, nil
}

// openError converts an error of sending the request. The request is known not to
// have run only if no connection was made.
func (s *Stream) openError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return rollout.AsError(cause)
	}
	e := rollout.AsError(err)
	if e.Kind == rollout.KindUnavailable && e.NotRun {
		return e
	}
	return rollout.NewError(rollout.KindUpstreamFailed, "failed to send attempt %s to the agent", s.attempt).WithCause(err)
}

// Next returns the next data. The answer is complete once Next has returned without
// an error and End is set.
func (s *Stream) Next() ([]byte, error) {
	if data := s.firstData; data != nil {
		s.firstData = nil
		return data, nil
	}
	return s.receive()
}

// receive receives and checks one chunk and returns its data.
func (s *Stream) receive() ([]byte, error) {
	c, err := s.stream.Recv()
	if err != nil {
		return nil, s.receiveError(err)
	}
	if c.Attempt != s.attempt {
		return nil, rollout.NewError(rollout.KindInternal, "received a chunk of attempt %s on the stream of attempt %s", c.Attempt, s.attempt)
	}
	if c.Head != nil {
		// fasthttp sends a status of 0 as 200.
		if !reply.IsFinalStatus(int(c.Head.Status)) {
			return nil, rollout.NewError(rollout.KindUpstreamFailed, "answer of attempt %s has the invalid status %d", s.attempt, c.Head.Status)
		}
		s.Head, s.UpstreamStatus = callerHead(c.Head), int(c.Head.Status)
	}
	s.received += uint64(len(c.Data))
	if c.End != nil {
		return c.Data, s.checkEnd(c.End)
	}
	return c.Data, nil
}

// callerHead returns the head of an answer as a caller gets it. An upstream that answers may
// have run the request.
func callerHead(head *wire.Head) *wire.Head {
	r := rollout.UpstreamResponse{Status: int(head.Status)}
	for _, h := range head.Headers {
		r.Header = append(r.Header, rollout.HeaderField{Name: h.Name, Value: h.Value})
	}
	r = r.ForCaller()
	out := &wire.Head{Status: int32(r.Status)}
	for _, f := range r.Header {
		out.Headers = append(out.Headers, &wire.Header{Name: f.Name, Value: f.Value})
	}
	return out
}

// More reports whether there is more to read.
func (s *Stream) More() bool { return s.firstData != nil || s.End == nil }

// receiveError converts an error of receiving a chunk. An answer whose head has been
// received is truncated; otherwise the upstream has failed.
func (s *Stream) receiveError(err error) error {
	if cause := context.Cause(s.ctx); cause != nil && rollout.AsError(cause).Kind != rollout.KindInternal {
		return rollout.AsError(cause)
	}
	kind := rollout.KindUpstreamFailed
	if s.Head != nil {
		kind = rollout.KindTruncated
	}
	return rollout.NewError(kind, "failed to receive the answer of attempt %s from the agent: got %d bytes", s.attempt, s.received).WithCause(err)
}

// checkEnd stores the end marker and returns its error, or an error if the length of
// the answer is wrong.
func (s *Stream) checkEnd(end *wire.End) error {
	s.End = end
	if end.Error != "" {
		e := rollout.ParseError(end.Error)
		e.NotRun = end.NotRun
		return e
	}
	if end.Length != s.received {
		return rollout.NewError(rollout.KindTruncated, "answer of attempt %s truncated: got %d of %d bytes", s.attempt, s.received, end.Length)
	}
	return nil
}

// ReadAll returns the rest of the answer. It calls observe, which may be nil, with
// each piece of data as it is received.
func (s *Stream) ReadAll(observe func([]byte)) ([]byte, error) {
	var all []byte
	for s.More() {
		data, err := s.Next()
		if err != nil {
			return nil, err
		}
		if err := s.Held.Take(len(data)); err != nil {
			return nil, err
		}
		if observe != nil {
			observe(data)
		}
		all = append(all, data...)
	}
	return all, nil
}

// Close closes the stream. Unless the attempt is detached, the agent then ends it.
func (s *Stream) Close() {
	s.cancel()
	s.Held.Release()
	if s.stream != nil {
		_ = s.stream.Close()
	}
}
