package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/replica"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// patience ends a test that hangs; no verdict depends on it.
const patience = time.Minute

// register is a machine that keeps all commands in order.
type register struct {
	mu       sync.Mutex
	commands []string
}

func (r *register) Apply(_ uint64, command []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, string(command))
	return len(r.commands)
}

func (r *register) Restore(from io.Reader) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.NewDecoder(from).Decode(&r.commands)
}

func (r *register) Freeze() func(io.Writer) error {
	commands := r.all()
	return func(w io.Writer) error { return json.NewEncoder(w).Encode(commands) }
}

func (r *register) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.commands)
}

// host is a process with one replica.
type host struct {
	*replica.Replica
	machine *register
	address string
	dir     string
	stop    func()
}

// cluster is a set of hosts on the loopback address.
type cluster struct {
	t       *testing.T
	hosts   []*host
	compact int
	// known are the addresses of all hosts. They do not change.
	known []string
}

func newCluster(t *testing.T, n, compact int) *cluster {
	t.Helper()
	t.Parallel()
	c := &cluster{t: t, compact: compact}
	var listeners []net.Listener
	var founding replica.Founders
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		founding = append(founding, l.Addr().String())
	}
	c.known = founding
	for _, l := range listeners {
		c.hosts = append(c.hosts, c.start(l, t.TempDir(), founding))
	}
	return c
}

func (c *cluster) start(l net.Listener, dir string, founding replica.Founders) *host {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	dialer := link.NewDialer("s")
	h := &host{machine: &register{}, address: l.Addr().String(), dir: dir}
	r, err := replica.Open(ctx, replica.Options{
		Dir: dir, Address: h.address, FailureDomain: h.address, TargetVoters: 3, CompactBytes: c.compact,
		Clock: clock.Boottime{}, Dialer: dialer, Client: fabric.NewClient(dialer), Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
		RunAsLeader: func(ctx context.Context, _ uint64) { <-ctx.Done() },
	}, h.machine)
	if err != nil {
		c.t.Fatal(err)
	}
	h.Replica = r
	inner, err := r.Handler()
	if err != nil {
		c.t.Fatal(err)
	}
	mux := fabric.NewMux(inner)
	r.Register(mux)
	var wait sync.WaitGroup
	wait.Go(func() { _ = r.Run(ctx) })
	wait.Go(func() { _ = link.NewServer(l, "s", mux, zap.NewNop()).Serve(ctx) })
	wait.Go(func() { _ = r.Introduce(ctx, fabric.NewClient(dialer), founding, c.addresses) })
	h.stop = sync.OnceFunc(func() {
		cancel()
		wait.Wait()
	})
	c.t.Cleanup(h.stop)
	return h
}

func (c *cluster) addresses() []string { return slices.Clone(c.known) }

// eventually waits until a condition holds.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("never: %s", what)
		}
	}
}

func (c *cluster) leader() *host {
	var found *host
	c.eventually("a leader", func() bool {
		for _, h := range c.hosts {
			if _, leads := h.Leading(0); leads {
				found = h
			}
		}
		return found != nil
	})
	return found
}

// commit proposes until a command is committed.
func (c *cluster) commit(command string) {
	c.t.Helper()
	c.eventually("commit of "+command, func() bool {
		_, err := c.leader().Propose(context.Background(), []byte(command))
		return err == nil
	})
}

// restart starts a host again, with its folder or an empty one.
func (c *cluster) restart(h *host, dir string) *host {
	c.t.Helper()
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		c.t.Fatal(err)
	}
	next := c.start(l, dir, nil)
	c.hosts = append(slices.DeleteFunc(c.hosts, func(o *host) bool { return o == h }), next)
	return next
}

func (c *cluster) stop(h *host) {
	h.stop()
	c.hosts = slices.DeleteFunc(c.hosts, func(o *host) bool { return o == h })
}

func (c *cluster) assertHolds(h *host, want ...string) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%v at %s, which holds %v", want, h.address, h.machine.all()), func() bool {
		return slices.Equal(slices.Compact(h.machine.all()), want)
	})
}

func TestFoundersAgree(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	c.commit("a")
	c.commit("b")
	for _, h := range c.hosts {
		c.assertHolds(h, "a", "b")
	}
}

func TestFollowersNameTheLeader(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	lead := c.leader()
	for _, h := range c.hosts {
		if h == lead {
			continue
		}
		c.eventually("the follower knows the leader", func() bool { return h.Status().Leader.Address == lead.address })
		_, err := h.Propose(t.Context(), []byte("x"))
		if e := rollout.AsError(err); e.Kind != rollout.KindNotLeader || e.Message != "leader is "+lead.address {
			t.Fatalf("error %v", err)
		}
	}
}

func TestCommitsOutliveTheLeader(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	c.commit("a")
	c.stop(c.leader())
	c.commit("b")
	for _, h := range c.hosts {
		c.assertHolds(h, "a", "b")
	}
}

// After the repair another host may go at once.
func TestHostWithAnEmptyDiskCatchesUpAndVotes(t *testing.T) {
	for name, compact := range map[string]int{"from the log": 1 << 20, "from a snapshot": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, compact)
			c.commit("a")
			c.commit("b")
			var lost *host
			lead := c.leader()
			for _, h := range c.hosts {
				if h != lead {
					lost = h
				}
			}
			c.stop(lost)
			back := c.restart(lost, t.TempDir())
			c.eventually("the new member votes and the old one is gone", func() bool {
				m := c.leader().Status().Members
				return m.IsVoter(back.Status().Member) && len(m.Voters) == 3 && len(m.Learners) == 0
			})
			c.assertHolds(back, "a", "b")
			c.stop(c.leader())
			c.commit("c")
			c.assertHolds(c.hosts[0], "a", "b", "c")
		})
	}
}

func TestAllHostsRestartWithWhatTheyHeld(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	c.commit("a")
	old := slices.Clone(c.hosts)
	for _, h := range old {
		h.stop()
	}
	for _, h := range old {
		c.restart(h, h.dir)
	}
	c.commit("b")
	for _, h := range c.hosts {
		c.assertHolds(h, "a", "b")
	}
}

func TestLeadIsHandedOver(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	c.commit("a")
	lead := c.leader()
	lead.Transfer()
	c.eventually("another host leads", func() bool { return c.leader() != lead })
	c.commit("b")
}

func TestMinorityCommitsNothing(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	c.commit("a")
	lead := c.leader()
	for _, h := range slices.Clone(c.hosts) {
		if h != lead {
			c.stop(h)
		}
	}
	c.eventually("the lease ends", func() bool { _, leads := lead.Leading(0); return !leads })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := lead.Propose(ctx, []byte("x")); err == nil {
		t.Fatal("committed without a majority")
	}
	if got := lead.machine.all(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("applied %v", got)
	}
}

func TestHostWithoutDiskStaysOut(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := c.start(l, "", nil)
	c.commit("a")
	if s := relay.Status(); !s.Blank() || s.Member == "" {
		t.Fatalf("status %+v", s)
	}
	if _, err := relay.Propose(t.Context(), []byte("x")); rollout.AsError(err).Kind != rollout.KindNotLeader {
		t.Fatalf("error %v", err)
	}
}
