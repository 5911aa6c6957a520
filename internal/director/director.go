// Package director runs a control host: the configuration by version, the
// table of upstreams, named weight versions, usage windows and the membership
// of the job store.
package director

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/replica"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/authority"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

const (
	// compactBytes bounds the log well below the smallest disk of a control
	// host, which holds 64 MB.
	compactBytes = 8 << 20
)

// Options set a control host up.
type Options struct {
	Host          string
	Dir           string
	Address       string
	FailureDomain string
	// Seeds returns addresses of control hosts, this one perhaps included.
	// They may change.
	Seeds func() []string
	// Founding is true when the whole system starts for the first time.
	Founding bool
	// Losses is the number of hosts that may be lost at once.
	Losses int
	// BeatMS is the time between two announcements of an upstream.
	BeatMS rollout.Millis
	// WindowMS is the length of a usage window.
	WindowMS rollout.Millis
	// HolderGapMS is the least time between two actions of one holder with
	// another holder between them.
	HolderGapMS rollout.Millis
	Usage       rollout.UsageSink
	Secret      string
	Log         *zap.Logger
	Registry    *prometheus.Registry
}

// host is a daemon that watches.
type host struct {
	req  view.Request
	seen rollout.Millis
}

// Director is a control host.
type Director struct {
	opts    Options
	clock   rollout.Clock
	dialer  *link.Dialer
	client  *fabric.Client
	replica *replica.Replica
	watcher *view.Watcher

	mu sync.Mutex
	// The fields below are guarded by mu.
	state *registry.State
	table *discovery.Table
	// hosts, usage and since are the leader's; lead is the term that they
	// belong to.
	lead  uint64
	since rollout.Millis
	hosts map[string]host
	usage map[uint64]map[string]map[string]uint64
	// storeFacts changes with what the leader of the job store reports.
	storeLeader string
	storeTerm   uint64
	stores      []string
	storeRev    uint64
	// judge finds requests that crash upstreams.
	judge     *poison.Detector
	poisonRev uint64
	// duties tells when this host may call the platform.
	duties  authority.Cooldown
	changed chan struct{}
}

// New opens a control host.
func New(ctx context.Context, opts Options) (*Director, error) {
	d := &Director{
		opts: opts, clock: clock.Boottime{}, dialer: link.NewDialer(opts.Secret),
		state: registry.New(), table: discovery.New(opts.BeatMS),
		hosts: make(map[string]host), usage: make(map[uint64]map[string]map[string]uint64),
		judge: poison.NewDetector(), changed: make(chan struct{}),
	}
	d.duties = authority.NewCooldown(d.clock.Now(), opts.HolderGapMS)
	d.client = fabric.NewClient(d.dialer)
	var err error
	d.replica, err = replica.Open(ctx, replica.Options{
		Dir: opts.Dir, Address: opts.Address, FailureDomain: opts.FailureDomain,
		TargetVoters: 2*opts.Losses + 1, CompactBytes: compactBytes, Clock: d.clock,
		Dialer: d.dialer, Client: d.client, Log: opts.Log, Registry: opts.Registry, RunAsLeader: d.onLead,
	}, machine{d})
	if err != nil {
		return nil, err
	}
	d.watcher = view.NewWatcher(view.Options{
		Host: opts.Host, Role: view.RoleControl, Address: opts.Address, FailureDomain: opts.FailureDomain,
		Seeds: opts.Seeds, Client: d.client, Log: opts.Log,
		Active:   func() bool { _, leads := d.replica.Leading(0); return !leads },
		OnChange: d.follow,
	})
	return d, nil
}

// Serve answers other daemons and does the duties of the host until the
// context ends. Then it gives the lead away.
func (d *Director) Serve(ctx context.Context, listener net.Listener) error {
	var founding replica.Founders
	if d.opts.Founding {
		founding = d.opts.Seeds()
	}
	return d.replica.Serve(ctx, replica.Service{
		Listener: listener, Secret: d.opts.Secret, Register: d.register, Founders: founding,
		KnownHosts: d.controls, Background: d.watcher.Run,
	})
}

// controls returns the addresses of control hosts.
func (d *Director) controls() []string {
	addresses := d.opts.Seeds()
	return append(addresses, d.watcher.Copy().Facts.Controls...)
}

// follow keeps a follower's table like the leader's, to begin with it when it
// takes the lead.
func (d *Director) follow(c view.Copy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	us := make([]discovery.Upstream, 0, len(c.Upstreams))
	for _, u := range c.Upstreams {
		us = append(us, u)
	}
	d.table.Restore(d.clock.Now(), us)
}

// notify wakes all watches. It is called with mu held.
func (d *Director) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// onLead begins a lead with empty tallies.
func (d *Director) onLead(ctx context.Context, term uint64) {
	d.mu.Lock()
	d.lead, d.since = term, d.clock.Now()
	d.hosts = make(map[string]host)
	d.usage = make(map[uint64]map[string]map[string]uint64)
	d.judge = poison.NewDetector()
	d.notify()
	d.mu.Unlock()
	d.doDuties(ctx, term)
}

// propose commits a command.
func (d *Director) propose(ctx context.Context, c registry.Command) error {
	data, err := json.Marshal(c)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode command").WithCause(err)
	}
	_, err = d.replica.Propose(ctx, data)
	return err
}

// machine applies the log to the state.
type machine struct{ d *Director }

// Apply implements replica.StateMachine.
func (m machine) Apply(_ uint64, command []byte) any {
	var c registry.Command
	if err := json.Unmarshal(command, &c); err != nil {
		m.d.opts.Log.Error("CommandUnreadable", zap.Error(err))
		return nil
	}
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	before := m.d.state.Revision
	m.d.state.Apply(c)
	if m.d.state.Revision != before {
		m.d.notify()
	}
	return nil
}

// Freeze implements replica.StateMachine.
func (m machine) Freeze() func(w io.Writer) error {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	return m.d.state.Freeze()
}

// Restore implements replica.StateMachine.
func (m machine) Restore(r io.Reader) error {
	m.d.mu.Lock()
	defer m.d.mu.Unlock()
	err := m.d.state.Restore(r)
	m.d.notify()
	return err
}
