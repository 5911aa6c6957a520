package balance

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

// FingerprintOf returns the fingerprint under which broken connections of a
// request are counted.
func FingerprintOf(req rollout.UpstreamRequest) string {
	return poison.Fingerprint(req.Account, req.Method, req.URI, req.Body)
}

// BrokenConnections returns the requests whose connections broke while an upstream
// ran them, and a revision that changes with them.
func (b *Balancer) BrokenConnections() (uint64, []poison.BrokenConnection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.brokenConnections.Report()
}

// updateCrashes decides anew which requests are refused. The caller holds mu.
func (b *Balancer) updateCrashes() {
	revision, connections := b.brokenConnections.Report()
	b.crashes.SetReport(b.clock.Now(), poison.Reporter{}, poison.Report{Revision: revision, Connections: connections})
	b.crashes.UpdateRefused(b.clock.Now(), func(poison.BrokenConnection) bool { return false })
}

// HasBrokenConnections reports whether there are any. While there are none, no request
// is refused.
func (b *Balancer) HasBrokenConnections() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.brokenConnections.Empty()
}

// Refuses reports whether the crashes that this host has seen suffice to refuse a
// request.
func (b *Balancer) Refuses(fingerprint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Refuses(b.clock.Now(), fingerprint)
}

// isSuspect reports whether an upstream has crashed while it ran the request.
func (c *call) isSuspect() bool {
	b := c.balancer
	if !b.HasBrokenConnections() {
		return false
	}
	fingerprint := FingerprintOf(c.req.UpstreamRequest)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Crashes(fingerprint) > 0
}

// CrashRecorded returns a channel that receives a value when a request broke off at an
// upstream that has ended.
func (b *Balancer) CrashRecorded() <-chan struct{} { return b.crashRecorded }

// endCheckTimeout bounds the check of an upstream whose connection broke. It spans some
// round trips between failure domains; a process that has ended refuses after one.
const endCheckTimeout = 100 * time.Millisecond

// hasEnded reports whether an upstream accepts no connections any more. It returns false if
// that is unknown, as for a host without power; control then learns it from the silence.
func (b *Balancer) hasEnded(upstream, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	listening, err := b.upstreams.IsListening(ctx, address)
	if err != nil {
		b.log.Info("UpstreamCheckFailed", zap.String("Upstream", upstream), zap.String("Address", address), zap.Error(err))
		return false
	}
	return !listening
}

// updateBrokenConnections records the connection of an attempt if it broke, and
// clears the broken connections of a request that was answered. A failure does not
// clear them: the upstream may have failed before it ran the request. It computes the
// fingerprint of an answered request only while there are broken connections.
func (c *call) updateBrokenConnections(a attempt) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.connectionBroken:
		born := bornOf(a.incarnation)
		fingerprint := FingerprintOf(c.req.UpstreamRequest)
		b.brokenConnections.Record(b.clock.Now(), poison.BrokenConnection{Fingerprint: fingerprint, Upstream: a.upstream, Born: born, Ended: a.upstreamEnded})
		b.log.Warn("BrokenConnectionRecorded", zap.String("Request", c.req.UpstreamRequest.AttemptID), zap.String("Fingerprint", fingerprint),
			zap.String("Upstream", a.upstream), zap.Int64("Born", born), zap.Bool("Ended", a.upstreamEnded))
		b.updateCrashes()
		if a.upstreamEnded {
			select {
			case b.crashRecorded <- struct{}{}:
			default:
			}
		}
	case a.isFinal() && !a.response.Head.Streaming && !b.brokenConnections.Empty():
		fingerprint := FingerprintOf(c.req.UpstreamRequest)
		if b.brokenConnections.Clear(fingerprint) {
			b.log.Info("BrokenConnectionsCleared", zap.String("Request", c.req.UpstreamRequest.AttemptID), zap.String("Fingerprint", fingerprint),
				zap.String("Upstream", a.upstream), zap.Int("Status", a.response.Head.Status))
			b.updateCrashes()
		}
	}
}

// recordStreamEnd records how a stream ended. An end by cancellation or deadline
// is ignored because it says nothing about the upstream.
func (c *call) recordStreamEnd(a attempt, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	a.connectionBroken, a.response.Head.Streaming = !errors.Is(err, io.EOF), false
	if a.connectionBroken {
		a.upstreamEnded = c.balancer.hasEnded(a.upstream, c.addresses[a.upstream])
	}
	c.updateBrokenConnections(a)
}

// observedStream calls onEnd with the first error of a stream, io.EOF included.
type observedStream struct {
	io.ReadCloser
	onEnd func(error)
	ended bool
}

// Read implements io.Reader.
func (s *observedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !s.ended {
		s.ended = true
		s.onEnd(err)
	}
	return n, err
}
