package view

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

const (
	// watchWaitMS is the maximum time that the leader holds a watch open.
	watchWaitMS rollout.Millis = 800
	// watchTimeout ends a watch whose connection failed without notice. It
	// exceeds watchWaitMS.
	watchTimeout = 1_200 * time.Millisecond
	// searchTimeout ends a watch while the leader is unknown. The leader
	// replies to such a watch at once.
	searchTimeout = 400 * time.Millisecond
	// unresponsiveTimeout is how long a host that failed to reply is skipped.
	unresponsiveTimeout = 2 * time.Second
	// retryDelay is the delay between attempts to reach control hosts.
	retryDelay = 80 * time.Millisecond
)

// State is a daemon's copy of the control state. It is immutable.
type State struct {
	Epoch uint64
	// Index is nil until the first configuration is received.
	Index         *document.Index
	Upstreams     map[string]discovery.Upstream
	TableRevision uint64
	Facts         Facts
	FactsRevision uint64
	// ConfirmedMS is the time for which a leader last confirmed that the copy is
	// current, or 0 if none has yet.
	ConfirmedMS rollout.Millis
}

// Options configures a Watcher.
type Options struct {
	Host          string
	Role          Role
	Address       string
	FailureDomain string
	// Seeds returns the configured addresses of control hosts. They may change.
	Seeds  func() []string
	Client *fabric.Client
	// Clock must include the time during which the host was suspended.
	Clock rollout.Clock
	Log   *zap.Logger
	// Registry receives the metrics of the watcher. It may be nil.
	Registry *prometheus.Registry
	// Usage returns the totals to report, or is nil.
	Usage func() *Usage
	// Store returns the status of the host's job store, or is nil.
	Store func() *StoreStatus
	// BrokenConnections returns the broken connections to report and a revision that
	// changes with them, or is nil.
	BrokenConnections func() (uint64, []poison.BrokenConnection)
	// OnChange is called after each change, on the goroutine of Run.
	OnChange func(State)
	// Active reports whether to watch. If it is nil, the watcher is always
	// active.
	Active func() bool
}

// Watcher keeps a State up to date with the control leader.
type Watcher struct {
	opts  Options
	state atomic.Pointer[State]
	// leader is the address of the leader, or empty if the last watch failed.
	leader atomic.Value
	// target is the address that the next watch is sent to.
	target string
	// addressIndex modulo the number of control hosts is the one to try next.
	addressIndex int
	// searching is true until a watch succeeds.
	searching bool
	// sentConnectionsRevision is the revision of the broken connections that a
	// leader last received, and sentConnectionsEpoch the epoch of that watch.
	sentConnectionsRevision uint64
	sentConnectionsEpoch    uint64
	// unresponsive holds the time at which a host last failed to reply, by address.
	unresponsive map[string]time.Time
	metrics      *metrics
	// lapse logs once that no leader has confirmed the copy for outdatedAge.
	lapse *time.Timer
	// waitingFor is the address of the host whose reply Run waits for.
	waitingFor atomic.Value
}

// NewWatcher returns a watcher with an empty state.
func NewWatcher(opts Options) *Watcher {
	w := &Watcher{opts: opts, addressIndex: rand.IntN(1 << 16), searching: true, unresponsive: make(map[string]time.Time), metrics: newMetrics(opts.Registry)}
	w.state.Store(&State{Upstreams: map[string]discovery.Upstream{}})
	w.leader.Store("")
	w.waitingFor.Store("")
	w.lapse = time.AfterFunc(outdatedAge, w.logLapse)
	w.lapse.Stop()
	return w
}

// State returns the current state.
func (w *Watcher) State() State { return *w.state.Load() }

// Leader returns the address of the control leader, or an empty string while no
// leader replies.
func (w *Watcher) Leader() string { return w.leader.Load().(string) }

// Run watches the control leader until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	reached := false
	defer w.lapse.Stop()
	for ctx.Err() == nil {
		if w.opts.Active != nil && !w.opts.Active() {
			w.lapse.Stop()
			sleep(ctx, retryDelay)
			continue
		}
		err := w.watch(ctx)
		w.searching = err != nil
		if err == nil {
			w.leader.Store(w.target)
			delete(w.unresponsive, w.target)
		} else {
			w.leader.Store("")
		}
		if reached != (err == nil) && ctx.Err() == nil {
			reached = err == nil
			w.opts.Log.Info("ControlConnectionChanged", zap.Bool("Reached", reached), zap.String("Address", w.target), zap.Error(err))
		}
		if err != nil && !w.chooseTarget(err) {
			sleep(ctx, retryDelay)
		}
	}
	return nil
}

// chooseTarget sets the target after a failed watch: to the leader that a NotLeader
// error names, or else to the next control host. It skips hosts that recently
// failed to reply, unless all have. It reports whether the leader is known.
func (w *Watcher) chooseTarget(err error) bool {
	e := rollout.AsError(err)
	if e.Kind != rollout.KindNotLeader {
		w.unresponsive[w.target] = time.Now()
	}
	address := strings.TrimPrefix(e.Message, "leader is ")
	if e.Kind == rollout.KindNotLeader && address != "" && address != w.target && !w.isUnresponsive(address) {
		w.target = address
		return true
	}
	addresses := slices.Clone(w.opts.Seeds())
	for _, a := range w.State().Facts.Controls {
		if !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	for range addresses {
		w.addressIndex++
		w.target = addresses[w.addressIndex%len(addresses)]
		if !w.isUnresponsive(w.target) {
			break
		}
	}
	return false
}

func (w *Watcher) isUnresponsive(address string) bool {
	at, known := w.unresponsive[address]
	return known && time.Since(at) < unresponsiveTimeout
}

// watch sends one watch request to the target and applies the reply.
func (w *Watcher) watch(ctx context.Context) error {
	if w.target == "" {
		seeds := w.opts.Seeds()
		w.target = seeds[w.addressIndex%len(seeds)]
	}
	old := w.State()
	req := Request{
		Host: w.opts.Host, Role: w.opts.Role, Address: w.opts.Address, FailureDomain: w.opts.FailureDomain,
		Epoch: old.Epoch, TableRevision: old.TableRevision, FactsRevision: old.FactsRevision, WaitMS: watchWaitMS, AcceptsPacked: true,
	}
	if old.Index != nil {
		req.DocumentVersion = old.Index.Document.Version
	}
	if w.opts.Usage != nil {
		req.Usage = w.opts.Usage()
	}
	if w.opts.Store != nil {
		req.Store = w.opts.Store()
	}
	connectionsRevision := w.addBrokenConnections(&req)
	timeout := watchTimeout
	if w.searching {
		req.WaitMS, timeout = 0, searchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := w.opts.Clock.Now()
	w.waitingFor.Store(w.target)
	var reply Reply
	if err := w.opts.Client.Call(ctx, w.target, MethodWatch, req, &reply); err != nil {
		return err
	}
	if err := reply.unpackDocument(fabric.Packer()); err != nil {
		return err
	}
	w.sentConnectionsRevision, w.sentConnectionsEpoch = connectionsRevision, req.Epoch
	old.ConfirmedMS = sent + reply.HeldMS
	if reply.DocumentAgeMS > 0 {
		reply.DocumentAgeMS += w.opts.Clock.Now() - old.ConfirmedMS
	}
	w.apply(old, reply)
	w.lapse.Reset(outdatedAge)
	return nil
}

// addBrokenConnections adds the broken connections to a request if the leader may
// not have them, and returns their revision. A new leader has none.
func (w *Watcher) addBrokenConnections(req *Request) uint64 {
	if w.opts.BrokenConnections == nil {
		return 0
	}
	revision, connections := w.opts.BrokenConnections()
	if revision != w.sentConnectionsRevision || (revision != 0 && req.Epoch != w.sentConnectionsEpoch) {
		req.BrokenConnections = &BrokenConnections{Connections: connections}
	}
	return revision
}

// apply merges a reply into the state, logs the changes and calls OnChange.
func (w *Watcher) apply(old State, r Reply) {
	next := old.With(r)
	w.state.Store(&next)
	if r.Document != nil {
		w.opts.Log.Info("DocumentReceived", zap.Uint64("Version", r.Document.Version), zap.Uint64("Epoch", r.Epoch), zap.Int64("DelayMS", int64(r.DocumentAgeMS)))
		w.metrics.observeDocument(r.DocumentAgeMS)
	}
	for _, u := range r.Upstreams {
		if before, ok := old.Upstreams[u.ID]; !ok || before.State != u.State || before.Born != u.Born || before.Silent != u.Silent {
			w.opts.Log.Info("UpstreamChanged", zap.String("Upstream", u.ID), zap.String("Pool", u.Pool),
				zap.String("Address", u.Address), zap.String("State", string(u.State)), zap.Bool("Silent", u.Silent))
		}
	}
	if w.opts.OnChange != nil && (r.Document != nil || r.Facts != nil || len(r.Upstreams) > 0) {
		w.opts.OnChange(next)
	}
}

// With returns the state with the changes of a reply. It ignores a document whose
// version is not higher. Upstreams that a new leader does not know are kept and
// marked as silent, unless the leader knows another upstream at their address.
func (s State) With(r Reply) State {
	next := s
	next.Epoch, next.TableRevision = r.Epoch, r.TableRevision
	if r.Document != nil && (s.Index == nil || r.Document.Version > s.Index.Document.Version) {
		next.Index = document.NewIndex(*r.Document)
	}
	if r.Facts != nil {
		next.Facts = *r.Facts
	}
	next.FactsRevision = r.FactsRevision
	if !r.Whole && len(r.Upstreams) == 0 {
		return next
	}
	next.Upstreams = make(map[string]discovery.Upstream, len(s.Upstreams)+len(r.Upstreams))
	addresses := make(map[string]bool)
	for _, u := range r.Upstreams {
		addresses[u.Address] = true
	}
	for id, u := range s.Upstreams {
		if r.Whole && !addresses[u.Address] {
			u.Silent = true
		}
		if r.Whole && (addresses[u.Address] || u.State == discovery.StateGone) {
			continue
		}
		next.Upstreams[id] = u
	}
	for _, u := range r.Upstreams {
		if u.State == discovery.StateGone {
			delete(next.Upstreams, u.ID)
			continue
		}
		next.Upstreams[u.ID] = u
	}
	return next
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
