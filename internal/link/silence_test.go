package link_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
)

// silenceableListener accepts connections that can be silenced.
type silenceableListener struct {
	net.Listener
	accepted atomic.Int32

	mu    sync.Mutex
	conns []*silenceableConn
}

// silenceableConn loses requests, replies or both once it is silent.
type silenceableConn struct {
	net.Conn
	losesRequests, losesReplies atomic.Bool
}

func (l *silenceableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	c := &silenceableConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *silenceableListener) silence(requests, replies bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.losesRequests.Store(requests)
		c.losesReplies.Store(replies)
	}
}

func (c *silenceableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.losesRequests.Load() {
			return n, err
		}
	}
}

func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.losesReplies.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// newSilenceableServer starts a server whose method Wait waits for a number of
// milliseconds.
func newSilenceableServer(t *testing.T) *silenceableListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &silenceableListener{Listener: inner}
	mux := fabric.NewMux(nil)
	fabric.Handle(mux, "Wait", func(_ context.Context, ms int) (int, error) {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return ms, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- link.NewServer(l, "", mux, zap.NewNop()).Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

// callWait calls Wait and gives up after a timeout.
func callWait(t *testing.T, c *fabric.Client, address string, ms int, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	var out int
	return c.Call(ctx, address, "Wait", ms, &out)
}

// Guards against requests refused by an old copy (CONFIG): each of the pooled connections
// to a host had gone silent, and each cost a call its whole timeout.
func TestCallAfterOneWithoutReplyUsesNewConnection(t *testing.T) {
	for name, lost := range map[string]struct{ requests, replies bool }{
		"requests lost": {requests: true}, "replies lost": {replies: true}, "all lost": {requests: true, replies: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testCallAfterSilence(t, func(l *silenceableListener) { l.silence(lost.requests, lost.replies) })
		})
	}
}

func testCallAfterSilence(t *testing.T, silence func(*silenceableListener)) {
	t.Helper()
	const pooled, timeout = 3, 300 * time.Millisecond
	l := newSilenceableServer(t)
	c := fabric.NewClient(link.NewDialer(""))
	address := l.Addr().String()
	var wait sync.WaitGroup
	for range pooled {
		wait.Go(func() {
			if err := callWait(t, c, address, 100, 5*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	if got := l.accepted.Load(); got != pooled {
		t.Fatalf("%d connections, want %d", got, pooled)
	}
	silence(l)
	if err := callWait(t, c, address, 0, timeout); err == nil {
		t.Fatal("a call over a silent connection succeeded")
	}
	if err := callWait(t, c, address, 0, timeout); err != nil {
		t.Fatalf("the call after one without a reply: %v", err)
	}
}

// Guards against a call that outlives its deadline: the handshake with a host that accepts
// connections but hangs took 3 s.
func TestHandshakeEndsWithItsCall(t *testing.T) {
	const timeout, bound = 200 * time.Millisecond, time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	start := time.Now()
	err = callWait(t, fabric.NewClient(link.NewDialer("")), l.Addr().String(), 0, timeout)
	if took := time.Since(start); err == nil || took > bound {
		t.Fatalf("the call ended after %v with %v, want an error within %v", took, err, bound)
	}
	if errors.Is(err, context.Canceled) {
		t.Fatalf("error %v says that the caller left", err)
	}
}
