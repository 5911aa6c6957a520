package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
)

const (
	// writePieceBytes is what a client must read within writeTimeout.
	writePieceBytes = 64 << 10
	writeTimeout    = 30 * time.Second
	// refusalTimeout bounds the write of a refusal to a client that does not read.
	refusalTimeout = time.Second
)

// phase is what a connection is used for.
type phase uint8

const (
	// phaseIdle lasts until the first byte of a request is read.
	phaseIdle phase = iota
	// phaseHead lasts until the handler is called.
	phaseHead
	// phaseBody is the part of a request in which the handler waits for the body.
	phaseBody
	// phaseServed is the rest of a request.
	phaseServed
	// phaseRest lasts from the end of the handler of a request whose body has not been read
	// to its end.
	phaseRest
)

// connection is a connection of a client. While it waits for a request it can be ended
// without losing one: either a byte of the request has been read, and the request is
// answered, or none is ever read.
type connection struct {
	net.Conn
	owner *connections
	// timer ends the connection in phaseIdle, phaseHead and phaseRest.
	timer *time.Timer

	mu    sync.Mutex
	phase phase
	// active is the time of the last read, or when the connection became idle.
	active time.Time
	// headBytes and headLines count what was read of the head.
	headBytes, headLines int
	// lease holds the memory of the request, or is nil.
	lease *intake.Lease
	// charged is the part of the lease that is for the head.
	charged int64
	// bodyRead is true once the body of the request has been read to its end.
	bodyRead bool
	// interrupted is true while the read deadline is set to end a read that waits.
	interrupted bool
	closing     bool
	// expired is true once nothing more is read.
	expired bool
}

// beginBody records that the handler waits for the body.
func (c *connection) beginBody() { c.setPhase(phaseBody) }

// endBody records that the handler does not wait for the body any more.
func (c *connection) endBody(read bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.bodyRead = phaseServed, read
}

// beginIdle records that the connection waits for a request.
func (c *connection) beginIdle() {
	c.release()
	c.setPhase(phaseIdle)
	c.timer.Reset(c.owner.opts.limits().IdleTimeout)
}

// beginServed records that a head has been read.
func (c *connection) beginServed(hasBody bool) {
	c.timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.active, c.bodyRead = phaseServed, time.Now(), !hasBody
}

// drop closes the connection at once, unless a request has begun to be served.
func (c *connection) drop() {
	c.mu.Lock()
	served := c.phase == phaseServed
	c.expired = c.expired || !served
	c.mu.Unlock()
	if !served {
		_ = c.Close()
	}
}

func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.phase == phaseIdle {
		c.interrupted = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// expire ends a connection that was idle for too long or did not finish a head in time.
func (c *connection) expire() {
	c.mu.Lock()
	reason := intake.ReasonIdle
	if c.phase == phaseHead {
		reason = intake.ReasonHead
	}
	expires := c.phase == phaseIdle || c.phase == phaseHead || c.phase == phaseRest
	c.expired = c.expired || expires
	c.mu.Unlock()
	if expires {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		c.owner.opts.Intake.Refused(reason)
	}
}

// interrupt ends the read that waits, and lets all later ones fail.
func (c *connection) interrupt() {
	c.mu.Lock()
	c.expired = true
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// open returns the lease of the request.
func (c *connection) open() *intake.Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease == nil {
		c.lease = c.owner.opts.Intake.Open(c.evict)
	}
	return c.lease
}

// evict ends the transfer of the request. A refusal can still be written.
func (c *connection) evict() {
	c.interrupt()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
}

// beginRest records that the handler has returned. The server may read the rest of a short
// body then, within lingerTimeout.
func (c *connection) beginRest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyRead {
		return
	}
	c.phase = phaseRest
	c.timer.Reset(lingerTimeout)
}

// hold charges the request for a response that is in memory until its client has read it.
func (c *connection) hold(bytes int64) {
	lease := c.open()
	lease.Add(bytes)
	lease.Transfer()
}

// skipBody reads a short rest of the body of a request. It reports whether the connection can
// be used again.
func (c *connection) skipBody(r *http.Request) bool {
	c.mu.Lock()
	read, expired := c.bodyRead, c.expired
	c.mu.Unlock()
	if read || expired || r.ContentLength > maxUnusedBodyBytes || r.Header.Get("Expect") != "" {
		return read && !expired
	}
	c.beginBody()
	stop := c.interruptAt(time.Now().Add(lingerTimeout))
	defer stop()
	_, err := io.CopyN(io.Discard, r.Body, maxUnusedBodyBytes+1)
	read = errors.Is(err, io.EOF)
	c.endBody(read)
	return read
}

// release gives back the memory of the request.
func (c *connection) release() {
	c.mu.Lock()
	lease := c.lease
	c.lease, c.charged = nil, 0
	c.mu.Unlock()
	if lease != nil {
		lease.Close()
	}
}

func (c *connection) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.active = p, time.Now()
}

// silentSince returns the time of the last read and whether the connection can be closed.
func (c *connection) silentSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active, c.phase != phaseServed && !c.expired
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	c.timer.Stop()
	err := c.Conn.Close()
	c.release()
	return err
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	ends := c.expired || (c.phase == phaseIdle && c.closing)
	c.mu.Unlock()
	if ends {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	head, ok := c.recordRead(p[:n])
	if !ok {
		return 0, io.EOF
	}
	if head != nil && !c.chargeHead(*head) {
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn. It fails if the client does not read.
func (c *connection) Write(p []byte) (int, error) {
	written := 0
	for {
		c.mu.Lock()
		timeout, lease := writeTimeout, c.lease
		if c.expired {
			timeout = refusalTimeout
		}
		c.mu.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(timeout))
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if lease != nil {
			lease.Moved(n)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
