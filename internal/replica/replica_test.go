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

// testTimeout ends a test that hangs. No assertion depends on its value.
const testTimeout = time.Minute

// recordingMachine is a state machine that records all commands in order.
type recordingMachine struct {
	mu       sync.Mutex
	commands []string
}

func (m *recordingMachine) Apply(_ uint64, command []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return len(m.commands)
}

func (m *recordingMachine) Restore(from io.Reader) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.NewDecoder(from).Decode(&m.commands)
}

func (m *recordingMachine) Freeze() func(io.Writer) error {
	commands := m.all()
	return func(w io.Writer) error { return json.NewEncoder(w).Encode(commands) }
}

func (m *recordingMachine) all() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// host simulates a process that runs one replica.
type host struct {
	*replica.Replica
	machine *recordingMachine
	address string
	dir     string
	stop    func()
}

// cluster is a set of hosts on the loopback address.
type cluster struct {
	t       *testing.T
	hosts   []*host
	compact int
	// addresses are the addresses of all founders. They do not change.
	addresses []string
	// listeners accept the connections to the founders.
	listeners []*silenceableListener
}

func newCluster(t *testing.T, n, compact int) *cluster {
	t.Helper()
	t.Parallel()
	c := &cluster{t: t, compact: compact}
	var founders replica.Founders
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c.listeners = append(c.listeners, &silenceableListener{Listener: l})
		founders = append(founders, l.Addr().String())
	}
	c.addresses = founders
	for _, l := range c.listeners {
		c.hosts = append(c.hosts, c.start(l, t.TempDir(), founders))
	}
	return c
}

func (c *cluster) start(l net.Listener, dir string, founders replica.Founders) *host {
	c.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	dialer := link.NewDialer("s")
	h := &host{machine: &recordingMachine{}, address: l.Addr().String(), dir: dir}
	r, err := replica.Open(ctx, replica.Options{
		Dir: dir, Address: h.address, FailureDomain: h.address, TargetVoters: 3, CompactBytes: c.compact,
		Clock: clock.Boottime{}, Dialer: dialer, Client: fabric.NewClient(dialer), Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
		RunAsLeader: func(ctx context.Context, _ uint64) { <-ctx.Done() },
	}, h.machine)
	if err != nil {
		c.t.Fatal(err)
	}
	h.Replica = r
	handler, err := r.Handler()
	if err != nil {
		c.t.Fatal(err)
	}
	mux := fabric.NewMux(handler)
	r.Register(mux)
	var wait sync.WaitGroup
	wait.Go(func() { _ = r.Run(ctx) })
	wait.Go(func() { _ = link.NewServer(l, "s", mux, zap.NewNop()).Serve(ctx) })
	wait.Go(func() { _ = r.JoinQuorum(ctx, fabric.NewClient(dialer), founders, c.knownHosts) })
	h.stop = sync.OnceFunc(func() {
		cancel()
		wait.Wait()
	})
	c.t.Cleanup(h.stop)
	return h
}

func (c *cluster) knownHosts() []string { return slices.Clone(c.addresses) }

// eventually waits until a condition holds and fails the test after
// testTimeout.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting for: %s", what)
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

// commit proposes a command until it is committed. A retry may commit it twice.
func (c *cluster) commit(command string) {
	c.t.Helper()
	c.eventually("commit of "+command, func() bool {
		_, err := c.leader().Propose(context.Background(), []byte(command))
		return err == nil
	})
}

// restart starts a host again at the same address with the given data directory.
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

// assertHolds waits until a host has applied the given commands. Repeated
// commands count once, because commit may retry.
func (c *cluster) assertHolds(h *host, want ...string) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%v at %s, which holds %v", want, h.address, h.machine.all()), func() bool {
		return slices.Equal(slices.Compact(h.machine.all()), want)
	})
}

func TestFoundersBootstrapQuorum(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	c.commit("a")
	c.commit("b")
	for _, h := range c.hosts {
		c.assertHolds(h, "a", "b")
	}
}

func TestFollowerReturnsLeaderAddress(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	leader := c.leader()
	for _, h := range c.hosts {
		if h == leader {
			continue
		}
		c.eventually("the follower knows the leader", func() bool { return h.Status().Leader.Address == leader.address })
		_, err := h.Propose(t.Context(), []byte("x"))
		if e := rollout.AsError(err); e.Kind != rollout.KindNotLeader || e.Message != "leader is "+leader.address {
			t.Fatalf("error %v, want NotLeader with the address %s", err, leader.address)
		}
	}
}

func TestCommittedCommandsSurviveLeaderLoss(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	c.commit("a")
	c.stop(c.leader())
	c.commit("b")
	for _, h := range c.hosts {
		c.assertHolds(h, "a", "b")
	}
}

// A host that has lost its disk becomes a voter again. From then on the quorum
// must survive the loss of another host.
func TestHostWithEmptyDiskBecomesVoter(t *testing.T) {
	for name, compact := range map[string]int{"from the log": 1 << 20, "from a snapshot": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, compact)
			c.commit("a")
			c.commit("b")
			var lost *host
			leader := c.leader()
			for _, h := range c.hosts {
				if h != leader {
					lost = h
				}
			}
			c.stop(lost)
			back := c.restart(lost, t.TempDir())
			c.eventually("the new member is a voter and the old one is removed", func() bool {
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

func TestCommittedCommandsSurviveFullRestart(t *testing.T) {
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

func TestTransferLeadership(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	c.commit("a")
	leader := c.leader()
	leader.TransferLeadership(t.Context())
	c.eventually("another host leads", func() bool { return c.leader() != leader })
	c.commit("b")
}

func TestMinorityDoesNotCommit(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	c.commit("a")
	leader := c.leader()
	for _, h := range slices.Clone(c.hosts) {
		if h != leader {
			c.stop(h)
		}
	}
	c.eventually("the lease expires", func() bool { _, leads := leader.Leading(0); return !leads })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := leader.Propose(ctx, []byte("x")); err == nil {
		t.Fatal("committed without a majority")
	}
	if got := leader.machine.all(); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("applied commands %v, want [a]", got)
	}
}

func TestHostWithoutDiskStaysBlank(t *testing.T) {
	c := newCluster(t, 3, 1<<20)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	diskless := c.start(l, "", nil)
	c.commit("a")
	if s := diskless.Status(); !s.Blank() || s.Member == "" {
		t.Fatalf("status %+v, want a blank one with a member ID", s)
	}
	if _, err := diskless.Propose(t.Context(), []byte("x")); rollout.AsError(err).Kind != rollout.KindNotLeader {
		t.Fatalf("error %v, want NotLeader", err)
	}
}
