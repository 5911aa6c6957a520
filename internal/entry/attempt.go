package entry

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// attemptStream is the answer of one attempt as it comes from an agent. It
// takes chunks of its own attempt only and checks that the answer is whole.
type attemptStream struct {
	attempt string
	ctx     context.Context
	stream  wire.DRPCAgent_RunClient
	cancel  context.CancelFunc
	head    *wire.Head
	bytes   uint64
	end     *wire.End
	// first is the data of the first chunk, not yet read.
	first []byte
	// openedMS is when the attempt was begun.
	openedMS rollout.Millis
	// sent is true once the request may have reached the agent.
	sent bool
}

// openAttempt sends a request to an agent and waits for the first chunk. With
// an error it may return a stream that is closed, for its end marker.
func (e *entry) openAttempt(ctx context.Context, address string, req *wire.RunRequest) (*attemptStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &attemptStream{attempt: req.Attempt, ctx: ctx, cancel: cancel, openedMS: e.clock.Now()}
	stream, err := wire.NewDRPCAgentClient(e.dialer.Conn(ctx, address)).Run(ctx, req)
	if err != nil {
		err = s.openError(ctx, err)
		cancel()
		return nil, err
	}
	s.stream, s.sent = stream, true
	first, err := s.receive()
	if err != nil {
		s.close()
		return s, err
	}
	s.first = first
	return s, nil
}

// openError tells whether the request never left: only when no connection was
// made.
func (s *attemptStream) openError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return rollout.AsError(cause)
	}
	e := rollout.AsError(err)
	if e.Kind == rollout.KindUnavailable && e.NotRun {
		return e
	}
	return rollout.NewError(rollout.KindUpstreamFailed, "the agent failed").WithCause(err)
}

// next returns the next data. The answer has ended well once end is set.
func (s *attemptStream) next() ([]byte, error) {
	if data := s.first; data != nil {
		s.first = nil
		return data, nil
	}
	return s.receive()
}

// receive takes one chunk.
func (s *attemptStream) receive() ([]byte, error) {
	c, err := s.stream.Recv()
	if err != nil {
		return nil, s.receiveError(err)
	}
	if c.Attempt != s.attempt {
		return nil, rollout.NewError(rollout.KindInternal, "answer of attempt %s came for %s", c.Attempt, s.attempt)
	}
	if c.Head != nil {
		s.head = c.Head
	}
	s.bytes += uint64(len(c.Data))
	if c.End != nil {
		return c.Data, s.finish(c.End)
	}
	return c.Data, nil
}

// more tells whether there is more to read.
func (s *attemptStream) more() bool { return s.first != nil || s.end == nil }

func (s *attemptStream) receiveError(err error) error {
	if cause := context.Cause(s.ctx); cause != nil && rollout.AsError(cause).Kind != rollout.KindInternal {
		return rollout.AsError(cause)
	}
	kind := rollout.KindUpstreamFailed
	if s.head != nil {
		kind = rollout.KindTruncated
	}
	return rollout.NewError(kind, "the agent's answer broke off").WithCause(err)
}

// finish checks the end marker.
func (s *attemptStream) finish(end *wire.End) error {
	s.end = end
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

// readAll returns the rest of the answer. Note, which may be nil, sees the data
// as it comes.
func (s *attemptStream) readAll(note func([]byte)) ([]byte, error) {
	var all []byte
	for s.more() {
		data, err := s.next()
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

func (s *attemptStream) close() {
	s.cancel()
	if s.stream != nil {
		_ = s.stream.Close()
	}
}
