package balance

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

// FingerprintOf returns the fingerprint of an exchange.
func FingerprintOf(x rollout.Exchange) string {
	return poison.Fingerprint(x.Account, x.Method, x.URI, x.Body)
}

// Crashes returns the requests whose connections upstreams have broken off,
// and a number that changes with them.
func (b *Balancer) Crashes() (uint64, []poison.Sighting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Report()
}

// noteCrash keeps account of connections that broke off and of answers that
// came. An answer is only looked up while something is held against anyone.
func (c *call) noteCrash(a attempt) {
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.cut:
		// Sync has written the number.
		born, _ := strconv.ParseInt(a.incarnation, 10, 64)
		b.crashes.Record(b.clock.Now(), poison.Sighting{Fingerprint: FingerprintOf(c.req.Exchange), Upstream: a.upstream, Born: born})
	case a.err == nil && !a.answer.Head.Streaming && !b.crashes.Empty():
		b.crashes.Clear(FingerprintOf(c.req.Exchange))
	}
}

// noteStream notes how a stream ended. A caller that left says nothing of the
// upstream.
func (c *call) noteStream(a attempt, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	a.cut, a.answer.Head.Streaming = !errors.Is(err, io.EOF), false
	c.noteCrash(a)
}

// watchedStream tells once how a stream has ended.
type watchedStream struct {
	io.ReadCloser
	ended func(error)
	done  bool
}

// Read implements io.Reader.
func (s *watchedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !s.done {
		s.done = true
		s.ended(err)
	}
	return n, err
}
