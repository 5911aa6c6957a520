package callers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// readAheadBytes is what the server may read beyond a head, into its buffer.
	readAheadBytes = 4 << 10
	// freeHeadBytes is the memory of a head that counts as part of its connection.
	freeHeadBytes = 8 << 10
	// headFieldBytes is the memory of a field of a head beside its text.
	headFieldBytes = 160
	// receiveBufferBytes is the receive buffer of a connection. Linux doubles it, and would let
	// it grow to megabytes for a connection that is not read.
	receiveBufferBytes = 32 << 10
	// writePieceBytes is what a client must read within writeTimeout.
	writePieceBytes = 64 << 10
	writeTimeout    = 30 * time.Second
	// refusalTimeout bounds the write of a refusal to a client that does not read.
	refusalTimeout = time.Second
	// acceptRetryDelay is the delay after an error of the listener that may pass, such as
	// too many open descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// connections are the open connections of a server. It is a net.Listener.
type connections struct {
	net.Listener
	opts Options

	mu sync.Mutex
	// open and closing are guarded by mu.
	open map[*connection]struct{}
	// closing is true once connections that wait for a request end.
	closing bool
}

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

func newConnections(l net.Listener, opts Options) *connections {
	opts = opts.withDefaults()
	if err := setReceiveBuffer(l, receiveBufferBytes); err != nil {
		opts.Log.Warn("ReceiveBufferNotSet", zap.String("Address", l.Addr().String()), zap.Error(err))
	}
	return &connections{Listener: l, opts: opts, open: make(map[*connection]struct{})}
}

// Accept implements net.Listener. It does not fail for want of descriptors: connections are
// closed to make room.
func (s *connections) Accept() (net.Conn, error) {
	for {
		raw, err := s.Listener.Accept()
		if err != nil {
			if !isTemporary(err) {
				return nil, err
			}
			if victim := s.silentLongest(); victim != nil {
				victim.drop()
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.makeRoom(s.opts.MaxConnections - 1) {
			_ = raw.Close()
			continue
		}
		return s.add(raw), nil
	}
}

func (s *connections) add(raw net.Conn) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &connection{Conn: raw, owner: s, active: time.Now(), closing: s.closing}
	c.timer = time.AfterFunc(s.opts.limits().IdleTimeout, c.expire)
	s.open[c] = struct{}{}
	return c
}

// count returns the number of open connections.
func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// makeRoom closes the connection that has been silent for longest if more than a number are
// open. It returns false if there are too many and none can be closed.
func (s *connections) makeRoom(most int) bool {
	for s.count() > most {
		s.opts.Intake.Refused(intake.ReasonConnections)
		victim := s.silentLongest()
		if victim == nil {
			return false
		}
		victim.drop()
	}
	return true
}

// silentLongest returns the connection that has been silent for longest of those that wait
// for their clients, or nil.
func (s *connections) silentLongest() *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *connection
	var since time.Time
	for c := range s.open {
		if active, ok := c.silentSince(); ok && (longest == nil || active.Before(since)) {
			longest, since = c, active
		}
	}
	return longest
}

// observe follows the states of the connections. It is the ConnState function of a server.
func (s *connections) observe(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*connection); ok && state == http.StateIdle {
		c.beginIdle()
	}
}

// end ends connections that wait for a request, now and later. It reports whether it was
// called for the first time.
func (s *connections) end() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.closing = true
	for c := range s.open {
		c.end()
	}
	return true
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
	c.mu.Unlock()
	if expires {
		c.owner.opts.Intake.Refused(reason)
		c.interrupt()
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

// head is what has been read of a head.
type head struct {
	bytes, lines int
	began        bool
}

// recordRead follows what is read. It returns the head if one is being read, and false if
// nothing more may be read.
func (c *connection) recordRead(p []byte) (*head, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = time.Now()
	began := c.phase == phaseIdle
	if began {
		c.phase, c.headBytes, c.headLines = phaseHead, 0, 0
	}
	if c.expired {
		return nil, false
	}
	if c.interrupted {
		// A byte arrived before the deadline took effect, so the request is served.
		c.interrupted = false
		_ = c.SetReadDeadline(time.Time{})
	}
	if c.phase != phaseHead {
		return nil, true
	}
	c.headBytes += len(p)
	c.headLines += bytes.Count(p, []byte("\n"))
	return &head{c.headBytes, c.headLines, began}, true
}

// chargeHead limits the length, the time and the memory of a head. It returns false if the
// head is refused.
func (c *connection) chargeHead(h head) bool {
	limits := c.owner.opts.limits()
	if h.began {
		c.timer.Reset(limits.HeaderTimeout)
	}
	if most := limits.HeaderBytes + readAheadBytes; h.bytes > most {
		c.owner.opts.Intake.Refused(intake.ReasonHead)
		c.refuseHead(rollout.NewError(rollout.KindHeaderTooLarge, "the head of the request is longer than %d bytes", limits.HeaderBytes).WithNotRun())
		return false
	}
	memory := int64(h.bytes + headFieldBytes*h.lines)
	if memory <= freeHeadBytes {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), limits.HeaderTimeout)
	defer cancel()
	if err := c.open().Reserve(ctx, memory); err != nil {
		c.refuseHead(rollout.AsError(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charged = memory
	return true
}

// refuseHead writes a response to a request whose head is not read to its end.
func (c *connection) refuseHead(err *rollout.Error) {
	body := c.owner.opts.ErrorBody(err)
	status := err.Kind.Response().Status
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
	c.interrupt()
}

// setReceiveBuffer sets the receive buffers of the connections that a listener will accept. Of
// a listener that is not a socket it sets none.
func setReceiveBuffer(l net.Listener, bytes int) error {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	return errors.Join(err, optErr)
}

// isTemporary reports whether a listener may accept connections again after an error.
func isTemporary(err error) bool {
	var e interface{ Temporary() bool }
	return errors.As(err, &e) && e.Temporary()
}
