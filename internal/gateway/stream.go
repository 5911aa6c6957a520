package gateway

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// silentAfter is the time without an event after which a stream goes on at another
	// upstream. Callers give up after two seconds without an event at the earliest.
	silentAfter = 1_500 * time.Millisecond
	// continueTimeout bounds the search for another upstream, since callers give up.
	continueTimeout = 2 * time.Second
	// continueRetryDelay is the delay between two attempts to find another upstream.
	continueRetryDelay = 100 * time.Millisecond
	// maxRunsPerBreak is one run to go on with a stream, and one beside it if that is silent.
	maxRunsPerBreak = 2
	copyBufferBytes = 16 << 10
	statusMultiple  = 300
)

// Response is the response to a request of a caller.
type Response struct {
	balance.Response
	// stream is set if the response is a stream that may go on at another upstream.
	stream *stream
}

// CopyStream passes the stream of a response on as it arrives. It returns nil only if the
// stream is complete.
func (r Response) CopyStream(write func([]byte) error) error {
	if r.stream != nil {
		return r.stream.copy(write)
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := r.Head.Body.Read(buf)
		if n > 0 {
			if writeErr := write(buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// stream is the stream of a response on a resumable route. It consists of the events of one
// or more runs, all at upstreams of one pool and software version.
type stream struct {
	gateway *Gateway
	ctx     context.Context
	request balance.Request
	// current is the response of the last run.
	current balance.Response
	// lastID is the ID of the last event that the caller has received, or 0.
	lastID uint64
	// unnumbered is true if the caller has received an event without an ID, after which no
	// upstream can go on.
	unnumbered atomic.Bool
	// runs counts the attempts that may have run the request.
	runs int
	// begun receives whether the software version of the first run is certain. It is nil once
	// that is known to be so.
	begun <-chan bool
	// callerGone is true once the caller has not taken an event.
	callerGone bool
}

// copy passes the events of the stream on until it is complete.
func (s *stream) copy(write func([]byte) error) error {
	for {
		err := s.copyRun(write)
		if err == nil || s.callerGone || s.ctx.Err() != nil {
			return err
		}
		s.current.Close()
		if !s.next(err) {
			s.log("StreamBrokenOff", zap.Error(err))
			s.gateway.metrics.streams.WithLabelValues("BrokenOff").Inc()
			return err
		}
	}
}

// copyRun passes the events of the current run on. It ends the run if it falls silent while
// another upstream could go on. Bytes that complete no event do not count, nor does the time
// for which the caller does not read.
func (s *stream) copyRun(write func([]byte) error) error {
	run, isFirst := s.current, true
	silence := time.NewTimer(silentAfter)
	ended, watched := make(chan struct{}), make(chan bool, 1)
	go func() { watched <- s.endSilentRun(run, silence, ended) }()
	err := s.gateway.opts.Upstreams.ReadRawEvents(run.Head.Body, func(id uint64, raw []byte) error {
		silence.Stop()
		defer silence.Reset(silentAfter)
		if err := s.checkNext(id, isFirst); err != nil {
			return err
		}
		isFirst = false
		if err := write(raw); err != nil {
			s.callerGone = true
			return err
		}
		s.lastID = max(s.lastID, id)
		if id == 0 {
			s.unnumbered.Store(true)
		}
		return nil
	})
	close(ended)
	if silent := <-watched; silent && err != nil {
		return rollout.NewError(rollout.KindTruncated, "upstream %s was silent for %v", run.Upstream, silentAfter)
	}
	return err
}

// checkNext returns an error if an event of the current run cannot be the next one of the stream.
// The first event of a run that goes on is the one after the last that the caller has. Anything
// else is none of the stream, like the text of an error.
func (s *stream) checkNext(id uint64, isFirst bool) error {
	if (isFirst && s.lastID > 0 && id != s.lastID+1) || (id > 0 && id <= s.lastID) {
		return rollout.NewError(rollout.KindUpstreamFailed, "event %d of upstream %s follows event %d", id, s.current.Upstream, s.lastID)
	}
	return nil
}

// endSilentRun ends a run once its silence has lasted while another upstream could go on
// with the stream, and reports whether it did. It returns when the run has ended.
func (s *stream) endSilentRun(run balance.Response, silence *time.Timer, ended <-chan struct{}) bool {
	defer silence.Stop()
	for {
		select {
		case <-ended:
			return false
		case <-silence.C:
		}
		if s.mayRunAgain() && s.gateway.balancer.HasUpstream(s.request.Pool, s.request.Software, s.request.Restriction(), run.Upstream) {
			run.Close()
			return true
		}
		silence.Reset(silentAfter)
	}
}

// mayRunAgain reports whether the route allows another run and the software version of the
// stream is known.
func (s *stream) mayRunAgain() bool {
	return s.request.Software != "" && !s.unnumbered.Load() && s.runs < s.request.MaxAttempts
}

// next starts the next run after one that ended with an error. It returns false if no
// upstream can go on with the stream.
func (s *stream) next(cause error) bool {
	broken := s.current.Upstream
	req := s.request
	req.Avoid, req.OnStarted = []string{broken}, nil
	if s.lastID > 0 {
		req.UpstreamRequest.ResumeAfter = strconv.FormatUint(s.lastID, 10)
	}
	giveUp := time.Now().Add(continueTimeout)
	if req.Deadline.Before(giveUp) {
		giveUp = req.Deadline
	}
	if !s.awaitBegun(giveUp) {
		return false
	}
	for s.mayRunAgain() && s.gateway.balancer.HasUpstream(req.Pool, req.Software, req.Restriction()) && time.Now().Before(giveUp) {
		if s.gateway.confirmUpstreams(s.ctx) != nil {
			if !s.pause() {
				return false
			}
			continue
		}
		req.MaxAttempts = min(maxRunsPerBreak, s.request.MaxAttempts-s.runs)
		response, err := s.gateway.balancer.Do(s.ctx, req)
		if err == nil && response.Head.Streaming && response.Head.Status < statusMultiple && s.gateway.checkSoftware(s.ctx, response, req.Software) == nil {
			s.runs += response.Runs
			s.current = response
			s.log("StreamContinued", zap.String("After", req.UpstreamRequest.ResumeAfter), zap.String("Broken", broken), zap.NamedError("Cause", cause))
			s.gateway.metrics.streams.WithLabelValues("Continued").Inc()
			return true
		}
		if err == nil {
			response.Close()
		}
		if err == nil || !rollout.AsError(err).NotRun {
			s.runs += req.MaxAttempts
		}
		if err != nil && rollout.AsError(err).Kind == rollout.KindPoisoned {
			return false
		}
		if !s.pause() {
			return false
		}
	}
	return false
}

// pause waits before another attempt to go on. It returns false if the caller leaves.
func (s *stream) pause() bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(continueRetryDelay):
		return true
	}
}

// close ends the current run.
func (s *stream) close() { s.current.Close() }

func (s *stream) log(event string, fields ...zap.Field) {
	s.gateway.opts.Log.Info(event, append([]zap.Field{
		zap.String("Request", s.request.UpstreamRequest.AttemptID), zap.String("Upstream", s.current.Upstream), zap.String("Software", s.request.Software),
	}, fields...)...)
}

// newStream returns the stream of a response on a resumable route, and records where it
// began unless it goes on with another one.
func (g *Gateway) newStream(ctx context.Context, req balance.Request, first balance.Response) *stream {
	s := &stream{gateway: g, ctx: ctx, request: req, current: first, runs: first.Runs}
	s.lastID, _ = strconv.ParseUint(req.UpstreamRequest.ResumeAfter, 10, 64)
	if req.Software != "" {
		return s
	}
	s.request.Software = first.Software
	s.log("StreamBegun", zap.String("Pool", req.Pool))
	g.metrics.streams.WithLabelValues("Begun").Inc()
	if first.Software != "" {
		s.begun = g.confirmOrigin(ctx, s.request, first)
	}
	return s
}
