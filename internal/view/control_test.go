package view_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

// applyBound is the time after its acknowledgement at which a configuration must be
// in force, the smallest of the deployments.
const applyBound = 2 * time.Second

// controlHosts is a set of control hosts on loopback that answer watches. Each is
// reached through a proxy.
type controlHosts struct {
	version atomic.Uint64
	// leader is the index of the host that leads.
	leader atomic.Int32
	// delay is how long the leader takes for each reply.
	delay   time.Duration
	proxies []*proxy
	// seeds is how many hosts the watcher knows from the start, or 0 for all.
	seeds int
	// searches counts the calls to the leader that wait for no change.
	searches atomic.Int32
}

func newControlHosts(t *testing.T, n int) *controlHosts {
	t.Helper()
	c := &controlHosts{}
	c.version.Store(1)
	for i := range n {
		listener := listen(t)
		mux := fabric.NewMux(nil)
		fabric.Handle(mux, view.MethodWatch, func(ctx context.Context, req view.Request) (view.Reply, error) {
			return c.watch(ctx, int32(i), req)
		})
		server := link.NewServer(listener, "", mux, zap.NewNop())
		runUntilEnd(t, func(ctx context.Context) { _ = server.Serve(ctx) })
		c.proxies = append(c.proxies, newProxy(t, listener.Addr().String()))
	}
	return c
}

func (c *controlHosts) addresses() []string {
	var addresses []string
	for _, p := range c.proxies {
		addresses = append(addresses, p.listener.Addr().String())
	}
	return addresses
}

// watch answers as the host with the given index.
func (c *controlHosts) watch(ctx context.Context, host int32, req view.Request) (view.Reply, error) {
	received := time.Now()
	if host != c.leader.Load() {
		return view.Reply{}, rollout.NewError(rollout.KindNotLeader, "leader is %s", c.addresses()[c.leader.Load()])
	}
	if req.WaitMS == 0 {
		c.searches.Add(1)
	}
	time.Sleep(c.delay)
	wait := time.Duration(req.WaitMS) * time.Millisecond
	for c.version.Load() <= req.DocumentVersion && time.Since(received) < wait+c.delay {
		select {
		case <-ctx.Done():
			return view.Reply{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
	return view.Reply{
		Epoch: 1, HeldMS: rollout.Millis(time.Since(received).Milliseconds()),
		Document: &document.Document{Version: c.version.Load()},
	}, nil
}

// silence makes all connections through the proxies silent; new ones work.
func (c *controlHosts) silence() {
	for _, p := range c.proxies {
		p.silence()
	}
}

// newWatcher starts a watcher of the hosts.
func (c *controlHosts) newWatcher(t *testing.T) *view.Watcher {
	t.Helper()
	seeds := c.addresses()
	if c.seeds > 0 {
		seeds = seeds[:c.seeds]
	}
	w := view.NewWatcher(view.Options{
		Host: "entry-1", Role: view.RoleEntry, Seeds: func() []string { return seeds }, Client: fabric.NewClient(link.NewDialer("")),
		Clock: clock.Boottime{}, Log: zap.NewNop(),
	})
	runUntilEnd(t, func(ctx context.Context) { _ = w.Run(ctx) })
	return w
}

// assertInForce waits until the watcher has a version.
func assertInForce(t *testing.T, w *view.Watcher, version uint64, within time.Duration) {
	t.Helper()
	start := time.Now()
	for w.CopyInfo().Version < version {
		if time.Since(start) > within {
			t.Fatalf("version %d is not in force after %v, the copy is %+v", version, within, w.CopyInfo())
		}
		time.Sleep(time.Millisecond)
	}
}

// proxy forwards connections to a target.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// silent holds a flag for each open connection that drops all bytes once set.
	silent []*atomic.Bool
	// hanging is true if new connections are silent from the start.
	hanging bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	p := &proxy{listener: listen(t), target: target}
	runUntilEnd(t, func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
		defer stop()
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.forward(ctx, conn)
		}
	})
	return p
}

func (p *proxy) forward(ctx context.Context, conn net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _, _ = conn.Close(), out.Close() })
	defer stop()
	silent := &atomic.Bool{}
	p.mu.Lock()
	silent.Store(p.hanging)
	p.silent = append(p.silent, silent)
	p.mu.Unlock()
	ended := make(chan struct{}, 2)
	pipe := func(to io.Writer, from io.Reader) {
		defer func() { ended <- struct{}{} }()
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			if n > 0 && !silent.Load() {
				_, _ = to.Write(buf[:n])
			}
			if err != nil {
				return
			}
		}
	}
	go pipe(out, conn)
	go pipe(conn, out)
	<-ended
	if !silent.Load() {
		_, _ = conn.Close(), out.Close()
	}
	<-ended
}

// hang makes the open and all new connections silent.
func (p *proxy) hang() {
	p.mu.Lock()
	p.hanging = true
	p.mu.Unlock()
	p.silence()
}

func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.silent {
		s.Store(true)
	}
	p.silent = nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// runUntilEnd runs a function until the test ends and waits for it.
func runUntilEnd(t *testing.T, run func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}
