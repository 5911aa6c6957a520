// Package director implements a control host. It maintains the versioned
// configuration, the table of upstreams, the named weight versions, the usage
// windows and the membership of the job store.
package director

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/replica"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/authority"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

const (
	// compactBytes is the log size at which a snapshot replaces the log. It
	// is well below the smallest disk of a control host, which has 64 MB.
	compactBytes = 8 << 20
)

// Options configures a control host.
type Options struct {
	Host          string
	Dir           string
	Address       string
	FailureDomain string
	// Seeds returns addresses of control hosts, which may include this one.
	// The addresses may change between calls.
	Seeds func() []string
	// Regions holds the region of each failure domain of the deployment. It may be empty.
	Regions map[string]string
	// ColdBound bounds the requests that a cold upstream gets.
	ColdBound limit.ColdBound
	// Founding is true on the first start of the whole system, when the seeds
	// form the initial quorum.
	Founding bool
	// MaxLostHosts is the number of simultaneous host failures to tolerate.
	MaxLostHosts int
	// AnnounceIntervalMS is the interval between announcements of an upstream.
	AnnounceIntervalMS rollout.Millis
	// WindowMS is the length of a usage window.
	WindowMS rollout.Millis
	// CooldownMS is the minimum time between two usage reports of one host
	// under different terms, since another host may have led in between.
	CooldownMS rollout.Millis
	Usage      rollout.UsageSink
	Secret     string
	Log        *zap.Logger
	Registry   *prometheus.Registry
}

// watchingDaemon is a daemon that has sent a watch request to the leader.
type watchingDaemon struct {
	lastRequest view.Request
	lastSeenMS  rollout.Millis
	// returnedMS is when the daemon came back after it had been absent, or 0.
	returnedMS rollout.Millis
}

// Director runs a control host.
type Director struct {
	opts    Options
	clock   rollout.Clock
	dialer  *link.Dialer
	client  *fabric.Client
	replica *replica.Replica
	watcher *view.Watcher
	// announcements passes announcements on while this host does not lead.
	announcements *announcementBatcher

	mu sync.Mutex
	// The fields below are guarded by mu.
	state *registry.State
	table *discovery.Table
	// packedDocument is the document of version packedVersion as hosts get it.
	packedDocument []byte
	// documentCommittedMS is when this host applied the commit of the document, or 0
	// if it restored the document from its disk or from another host.
	documentCommittedMS rollout.Millis
	packedVersion       uint64
	// tableBase is the table of the former leader that this host's table continues.
	tableBase tableBase
	// leadStartMS, daemons and usage are in use while this host leads. They
	// are reset when it becomes the leader in term leadTerm.
	leadTerm    uint64
	leadStartMS rollout.Millis
	// daemons is keyed by host and role.
	daemons map[string]watchingDaemon
	// usage holds request counts by window, entry incarnation and client
	// account.
	usage map[uint64]map[string]map[string]uint64
	// storeLeader, storeTerm and storeAddresses are as last reported by the
	// leader of the job store. storeRevision increases when they change.
	storeLeader    string
	storeTerm      uint64
	storeAddresses []string
	storeRevision  uint64
	// poisonDetector detects requests that crash upstreams. poisonRevision
	// increases when the set of refused requests changes.
	poisonDetector *poison.Detector
	poisonRevision uint64
	// divider divides the limits of upstreams among the hosts.
	divider *limit.Divider
	// shares records which shares of cold upstreams absent hosts have.
	shares limit.Shares
	// refusalsToPropose holds the refused requests that the replicated state lacks.
	refusalsToPropose []string
	// origins holds where streams of callers began. Each control host holds its own part.
	origins *origin.Log
	// usageCooldown decides when this host may send usage reports to the
	// platform.
	usageCooldown authority.Cooldown
	// changed is closed and replaced at each change that watches wait for.
	changed chan struct{}
	// routingChanged is the same without changes of the models of engines.
	routingChanged chan struct{}
}

// tableBase is the table of a leader at a revision.
type tableBase struct {
	// epoch is the term of that leader, or 0 for none.
	epoch, revision uint64
}

// covers reports whether all that a caller knows of the table is in the base.
func (b tableBase) covers(req view.Request) bool {
	return b.epoch != 0 && req.Epoch == b.epoch && req.TableRevision <= b.revision
}

// New returns a control host. It opens the replica in opts.Dir.
func New(ctx context.Context, opts Options) (*Director, error) {
	d := &Director{
		opts: opts, clock: clock.Boottime{}, dialer: link.NewDialer(opts.Secret),
		state: registry.New(), table: discovery.New(opts.AnnounceIntervalMS),
		daemons: make(map[string]watchingDaemon), usage: make(map[uint64]map[string]map[string]uint64),
		poisonDetector: poison.NewDetector(), divider: limit.NewDivider(), origins: origin.NewLog(), changed: make(chan struct{}), routingChanged: make(chan struct{}),
	}
	d.usageCooldown = authority.NewCooldown(d.clock.Now(), opts.CooldownMS)
	d.client = fabric.NewClient(d.dialer)
	d.announcements = newAnnouncementBatcher(d.clock, d.passOn)
	opts.Registry.MustRegister(newUpstreamCollector(d))
	var err error
	d.replica, err = replica.Open(ctx, replica.Options{
		Dir: opts.Dir, Address: opts.Address, FailureDomain: opts.FailureDomain,
		TargetVoters: 2*opts.MaxLostHosts + 1, CompactBytes: compactBytes, Clock: d.clock,
		Dialer: d.dialer, Client: d.client, Log: opts.Log, Registry: opts.Registry, RunAsLeader: d.runAsLeader,
	}, stateMachine{d})
	if err != nil {
		return nil, err
	}
	d.watcher = view.NewWatcher(view.Options{
		Host: opts.Host, Role: view.RoleControl, Address: opts.Address, FailureDomain: opts.FailureDomain,
		Seeds: opts.Seeds, Client: d.client, Clock: d.clock, Log: opts.Log, Registry: opts.Registry,
		Active:   func() bool { _, leads := d.replica.Leading(0); return !leads },
		OnChange: d.restoreTable,
	})
	return d, nil
}

// Serve answers other daemons and runs the tasks of a control host until ctx is
// done. It then transfers the leadership to another host.
func (d *Director) Serve(ctx context.Context, listener net.Listener) error {
	var founding replica.Founders
	if d.opts.Founding {
		founding = d.opts.Seeds()
	}
	return d.replica.Serve(ctx, replica.Service{
		Listener: listener, Secret: d.opts.Secret, Register: d.register, Founders: founding,
		KnownHosts: d.controlAddresses, Background: d.runBackground,
	})
}

// runBackground follows the leader and passes announcements on to it.
func (d *Director) runBackground(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.watcher.Run(ctx) })
	group.Go(func() error { return d.announcements.run(ctx) })
	return group.Wait()
}

// controlAddresses returns the seeds and the addresses of the known control
// hosts.
func (d *Director) controlAddresses() []string {
	addresses := d.opts.Seeds()
	return append(addresses, d.watcher.State().Facts.Controls...)
}

// restoreTable copies the leader's upstreams into the table of a follower, so
// that the table is current if the follower becomes the leader. A host without a
// disk never does.
func (d *Director) restoreTable(v view.State) {
	if d.opts.Dir == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Epoch <= d.leadTerm {
		// A late reply of the former leader must not replace the table of this one.
		return
	}
	us := make([]discovery.Upstream, 0, len(v.Upstreams)+len(v.Ended))
	for _, u := range v.Ended {
		if _, again := v.Upstreams[u.ID]; !again {
			us = append(us, u)
		}
	}
	for _, u := range v.Upstreams {
		us = append(us, u)
	}
	d.table.Restore(d.clock.Now(), us, v.TableRevision)
	d.tableBase = tableBase{epoch: v.Epoch, revision: v.TableRevision}
}

// notifyWatches wakes all waiting watch requests. The caller holds mu.
func (d *Director) notifyWatches() {
	d.notifyModelWatches()
	close(d.routingChanged)
	d.routingChanged = make(chan struct{})
}

// notifyModelWatches wakes the watch requests of hosts that follow the models of
// engines. The caller holds mu.
func (d *Director) notifyModelWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// runAsLeader resets the state that belongs to one term of leadership and runs the
// leader's tasks until ctx is done.
func (d *Director) runAsLeader(ctx context.Context, term uint64) {
	d.mu.Lock()
	d.shares = d.inheritShares()
	d.leadTerm, d.leadStartMS = term, d.clock.Now()
	d.daemons = make(map[string]watchingDaemon)
	d.usage = make(map[uint64]map[string]map[string]uint64)
	d.poisonDetector = poison.NewDetector()
	d.refusalsToPropose = nil
	d.divider = limit.NewSuccessor(d.leadStartMS)
	d.markColdAfterEvacuations()
	d.inheritDepartures()
	d.notifyWatches()
	d.mu.Unlock()
	d.runLeaderTasks(ctx, term)
}

// propose replicates a command and returns once it is committed and applied.
func (d *Director) propose(ctx context.Context, c registry.Command) error {
	data, err := json.Marshal(c)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode command").WithCause(err)
	}
	_, err = d.replica.Propose(ctx, data)
	return err
}

// stateMachine applies the replicated log to the state of a Director.
type stateMachine struct{ director *Director }

// Apply implements replica.StateMachine.
func (m stateMachine) Apply(_ uint64, command []byte) any {
	var c registry.Command
	if err := json.Unmarshal(command, &c); err != nil {
		m.director.opts.Log.Error("CommandDecodeFailed", zap.Error(err))
		return nil
	}
	m.director.mu.Lock()
	defer m.director.mu.Unlock()
	before, version := m.director.state.Revision, m.director.state.Document.Version
	m.director.state.Apply(c)
	if m.director.state.Document.Version != version {
		m.director.documentCommittedMS = m.director.clock.Now()
		m.director.syncColdPools()
	}
	if c.EndEvacuation != nil {
		m.director.table.MarkCold(m.director.clock.Now(), c.EndEvacuation.FailureDomain)
	}
	if m.director.state.Revision != before {
		m.director.notifyWatches()
	}
	return nil
}

// Freeze implements replica.StateMachine.
func (m stateMachine) Freeze() func(w io.Writer) error {
	m.director.mu.Lock()
	defer m.director.mu.Unlock()
	return m.director.state.Freeze()
}

// Restore implements replica.StateMachine.
func (m stateMachine) Restore(r io.Reader) error {
	m.director.mu.Lock()
	defer m.director.mu.Unlock()
	err := m.director.state.Restore(r)
	m.director.documentCommittedMS = 0
	m.director.syncColdPools()
	m.director.notifyWatches()
	return err
}
