package e2e

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

// proxy is a TCP proxy that simulates a network partition. While it is blocked, it
// keeps connections open but drops the data that arrives on them.
type proxy struct {
	listener net.Listener
	blocked  atomic.Bool
}

// newProxy returns a proxy that listens on a free port.
func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	return newProxyAt(t, "127.0.0.1:0", to)
}

// newProxyAt returns a proxy that listens on the given address.
func newProxyAt(t *testing.T, at, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", at)
	must(t, err)
	p := &proxy{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn, to)
		}
	}()
	return p
}

// freeAddress returns a loopback address that was free when it was tried.
func freeAddress(t *testing.T) string {
	t.Helper()
	ports, err := demo.FreePorts(1)
	must(t, err)
	return fmt.Sprintf("127.0.0.1:%d", ports[0])
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// forward connects to the target and copies data both ways. While the proxy is
// blocked, new connections wait.
func (p *proxy) forward(conn net.Conn, to string) {
	for p.blocked.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		_ = conn.Close()
		return
	}
	go p.copyData(out, conn)
	p.copyData(conn, out)
}

func (p *proxy) copyData(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !p.blocked.Load() && n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil || n == 0 {
			return
		}
	}
}
