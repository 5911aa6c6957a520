package e2e

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

// relay forwards connections until it is cut. A cut relay keeps connections
// open and drops what they carry.
type relay struct {
	listener net.Listener
	cut      atomic.Bool
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	return newRelayAt(t, "127.0.0.1:0", to)
}

// newRelayAt returns a relay that listens at an address.
func newRelayAt(t *testing.T, at, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", at)
	must(t, err)
	r := &relay{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(conn, to)
		}
	}()
	return r
}

// freeAddress returns a loopback address that was free just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	ports, err := demo.FreePorts(1)
	must(t, err)
	return fmt.Sprintf("127.0.0.1:%d", ports[0])
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) forward(conn net.Conn, to string) {
	for r.cut.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		_ = conn.Close()
		return
	}
	go r.copy(out, conn)
	r.copy(conn, out)
}

func (r *relay) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !r.cut.Load() && n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil || n == 0 {
			return
		}
	}
}
