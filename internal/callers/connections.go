package callers

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
)

const (
	// receiveBufferBytes is the receive buffer of a connection. Linux doubles it, and would let
	// it grow to megabytes for a connection that is not read.
	receiveBufferBytes = 32 << 10
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
