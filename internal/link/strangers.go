package link

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxStrangers is the number of connections that may be in their handshake.
	maxStrangers = 256
	// acceptRetryDelay is the delay after an error of the listener that may pass, such as
	// too many open descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// strangers are connections in their handshake. Beyond maxStrangers the oldest are closed.
type strangers struct {
	mu sync.Mutex
	// conns holds the connections in the order in which they were accepted.
	conns []net.Conn
}

func (s *strangers) add(conn net.Conn) {
	s.mu.Lock()
	s.conns = append(s.conns, conn)
	tooMany := len(s.conns) > maxStrangers
	s.mu.Unlock()
	if tooMany {
		s.closeOldest()
	}
}

// closeOldest closes the oldest connection.
func (s *strangers) closeOldest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) > 0 {
		_ = s.conns[0].Close()
		s.conns = slices.Delete(s.conns, 0, 1)
	}
}

func (s *strangers) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = slices.DeleteFunc(s.conns, func(c net.Conn) bool { return c == conn })
}

// isTemporary reports whether a listener may accept connections again after an error.
func isTemporary(err error) bool {
	var e interface{ Temporary() bool }
	return errors.As(err, &e) && e.Temporary()
}
