// Package attempt is the client of one attempt at an agent.
package attempt

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Stream is the answer of one attempt as it comes from an agent. It
// takes chunks of its own attempt only and checks that the answer is whole.
type Stream struct {
	attempt string
	ctx     context.Context
	stream  wire.DRPCAgent_RunClient
	cancel  context.CancelFunc
	// Head is set once the upstream has answered.
	Head  *wire.Head
	bytes uint64
	// End is set once the answer has ended.
	End *wire.End
	// first is the data of the first chunk, not yet read.
	first []byte
	// OpenedMS is when the attempt was begun.
	OpenedMS rollout.Millis
	// sent is true once the request may have reached the agent.
	sent bool
}

// Open sends a request to an agent and waits for the first chunk. With
// an error it may return a stream that is closed, for its end marker.
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
	first, err := s.receive()
	if err != nil {
		s.Close()
		return s, err
	}
	s.first = first
	return s, nil
}

// openError tells whether the request never left: only when no connection was
// made.
func (s *Stream) openError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return rollout.AsError(cause)
	}
	e := rollout.AsError(err)
	if e.Kind == rollout.KindUnavailable && e.NotRun {
		return e
	}
	return rollout.NewError(rollout.KindUpstreamFailed, "the agent failed").WithCause(err)
}

// Next returns the next data. The answer has ended well once End is set.
func (s *Stream) Next() ([]byte, error) {
	if data := s.first; data != nil {
		s.first = nil
		return data, nil
	}
	return s.receive()
}

// receive takes one chunk.
func (s *Stream) receive() ([]byte, error) {
	c, err := s.stream.Recv()
	if err != nil {
		return nil, s.receiveError(err)
	}
	if c.Attempt != s.attempt {
		return nil, rollout.NewError(rollout.KindInternal, "answer of attempt %s came for %s", c.Attempt, s.attempt)
	}
	if c.Head != nil {
		s.Head = c.Head
	}
	s.bytes += uint64(len(c.Data))
	if c.End != nil {
		return c.Data, s.finish(c.End)
	}
	return c.Data, nil
}

// More tells whether there is more to read.
func (s *Stream) More() bool { return s.first != nil || s.End == nil }

func (s *Stream) receiveError(err error) error {
	if cause := context.Cause(s.ctx); cause != nil && rollout.AsError(cause).Kind != rollout.KindInternal {
		return rollout.AsError(cause)
	}
	kind := rollout.KindUpstreamFailed
	if s.Head != nil {
		kind = rollout.KindTruncated
	}
	return rollout.NewError(kind, "the agent's answer broke off").WithCause(err)
}

// finish checks the end marker.
func (s *Stream) finish(end *wire.End) error {
	s.End = end
	if end.Error != "" {
		e := rollout.ParseError(end.Error)
		e.NotRun = end.NotRun
		return e
	}
	if end.Length != s.bytes {
		return rollout.NewError(rollout.KindTruncated, "got %d of %d bytes", s.bytes, end.Length)
	}
	return nil
}

// ReadAll returns the rest of the answer. Note, which may be nil, sees the data
// as it comes.
func (s *Stream) ReadAll(note func([]byte)) ([]byte, error) {
	var all []byte
	for s.More() {
		data, err := s.Next()
		if err != nil {
			return nil, err
		}
		if note != nil {
			note(data)
		}
		all = append(all, data...)
	}
	return all, nil
}

// Close ends the attempt at the agent, unless it is detached.
func (s *Stream) Close() {
	s.cancel()
	if s.stream != nil {
		_ = s.stream.Close()
	}
}
