package view

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

const (
	// waitMS is how long the leader may hold a watch.
	waitMS rollout.Millis = 800
	// watchTimeout ends a watch whose connection has gone silent.
	watchTimeout = 1_200 * time.Millisecond
	// searchTimeout ends a watch while the leader is looked for; it is not
	// held then.
	searchTimeout = 400 * time.Millisecond
	// suspectTime is how long a host that did not answer is passed over.
	suspectTime = 2 * time.Second
	// retryPause is the time between tries at control hosts.
	retryPause = 80 * time.Millisecond
)

// State is what a daemon knows. It is immutable.
type State struct {
	Epoch uint64
	// Index is nil until a configuration is known.
	Index         *document.Index
	Upstreams     map[string]discovery.Upstream
	TableRevision uint64
	Facts         Facts
	FactsRevision uint64
}

// Options set a Watcher up.
type Options struct {
	Host          string
	Role          Role
	Address       string
	FailureDomain string
	// Seeds returns addresses of control hosts. They may change.
	Seeds  func() []string
	Client *fabric.Client
	Log    *zap.Logger
	// Usage returns the totals to send, or nil.
	Usage func() *Usage
	// Store returns the state of the job store, or nil.
	Store func() *StoreStatus
	// Crashes returns sightings to send and a number that changes with them,
	// or is nil.
	Crashes func() (uint64, []poison.Sighting)
	// OnChange is called after each change, by the watcher's thread.
	OnChange func(State)
	// Active tells whether to watch at all. Nil stands for always.
	Active func() bool
}

// Watcher follows the leader of control.
type Watcher struct {
	opts Options
	copy atomic.Pointer[State]
	// leader is the address that answered last, or empty.
	leader atomic.Value
	target string
	next   int
	// searching is true while no leader answers.
	searching bool
	// crashes and crashEpoch tell which sightings which leader has.
	crashes    uint64
	crashEpoch uint64
	// suspects holds when a host last failed to answer.
	suspects map[string]time.Time
}

// NewWatcher returns a watcher that knows nothing yet.
func NewWatcher(opts Options) *Watcher {
	w := &Watcher{opts: opts, next: rand.IntN(1 << 16), searching: true, suspects: make(map[string]time.Time)}
	w.copy.Store(&State{Upstreams: map[string]discovery.Upstream{}})
	w.leader.Store("")
	return w
}

// State returns what is known.
func (w *Watcher) State() State { return *w.copy.Load() }

// Leader returns the address of the leader of control while it answers, or an
// empty string.
func (w *Watcher) Leader() string { return w.leader.Load().(string) }

// Run follows control until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	reached := false
	for ctx.Err() == nil {
		if w.opts.Active != nil && !w.opts.Active() {
			pause(ctx, retryPause)
			continue
		}
		err := w.watchOnce(ctx)
		w.searching = err != nil
		if err == nil {
			w.leader.Store(w.target)
			delete(w.suspects, w.target)
		} else {
			w.leader.Store("")
		}
		if reached != (err == nil) && ctx.Err() == nil {
			reached = err == nil
			w.opts.Log.Info("ControlReached", zap.Bool("Reached", reached), zap.String("Address", w.target), zap.Error(err))
		}
		if err != nil && !w.follow(err) {
			pause(ctx, retryPause)
		}
	}
	return nil
}

// follow takes the leader's address from a refusal, or goes on to the next
// control host. Hosts that did not answer lately are passed over. It tells
// whether the leader is known.
func (w *Watcher) follow(err error) bool {
	e := rollout.AsError(err)
	if e.Kind != rollout.KindNotLeader {
		w.suspects[w.target] = time.Now()
	}
	address := strings.TrimPrefix(e.Message, "leader is ")
	if e.Kind == rollout.KindNotLeader && address != "" && address != w.target && !w.isSuspect(address) {
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
		w.next++
		w.target = addresses[w.next%len(addresses)]
		if !w.isSuspect(w.target) {
			break
		}
	}
	return false
}

func (w *Watcher) isSuspect(address string) bool {
	at, known := w.suspects[address]
	return known && time.Since(at) < suspectTime
}

func (w *Watcher) watchOnce(ctx context.Context) error {
	if w.target == "" {
		seeds := w.opts.Seeds()
		w.target = seeds[w.next%len(seeds)]
	}
	old := w.State()
	req := Request{
		Host: w.opts.Host, Role: w.opts.Role, Address: w.opts.Address, FailureDomain: w.opts.FailureDomain,
		Epoch: old.Epoch, TableRevision: old.TableRevision, FactsRevision: old.FactsRevision, WaitMS: waitMS,
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
	crashes := w.addCrashes(&req)
	timeout := watchTimeout
	if w.searching {
		req.WaitMS, timeout = 0, searchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	if err := w.opts.Client.Call(ctx, w.target, MethodWatch, req, &reply); err != nil {
		return err
	}
	w.crashes, w.crashEpoch = crashes, req.Epoch
	w.take(old, reply)
	return nil
}

// addCrashes adds the sightings that the leader lacks and returns their
// number. A leader that has just begun has none.
func (w *Watcher) addCrashes(req *Request) uint64 {
	if w.opts.Crashes == nil {
		return 0
	}
	revision, sightings := w.opts.Crashes()
	if revision != w.crashes || (revision != 0 && req.Epoch != w.crashEpoch) {
		req.Crashes = &Crashes{Sightings: sightings}
	}
	return revision
}

// take merges a reply into the copy.
func (w *Watcher) take(old State, r Reply) {
	next := old.With(r)
	w.copy.Store(&next)
	if r.Document != nil {
		w.opts.Log.Info("DocumentTaken", zap.Uint64("Version", r.Document.Version), zap.Uint64("Epoch", r.Epoch))
	}
	for _, u := range r.Upstreams {
		if before, ok := old.Upstreams[u.ID]; !ok || before.State != u.State || before.Born != u.Born || before.Silent != u.Silent {
			w.opts.Log.Info("UpstreamTaken", zap.String("Upstream", u.ID), zap.String("Pool", u.Pool),
				zap.String("Address", u.Address), zap.String("State", string(u.State)), zap.Bool("Silent", u.Silent))
		}
	}
	if w.opts.OnChange != nil && (r.Document != nil || r.Facts != nil || len(r.Upstreams) > 0) {
		w.opts.OnChange(next)
	}
}

// With returns the copy with the changes of a reply. A document of a lower
// version is never taken. Upstreams that a new leader does not know stay, as
// silent ones.
func (c State) With(r Reply) State {
	next := c
	next.Epoch, next.TableRevision = r.Epoch, r.TableRevision
	if r.Document != nil && (c.Index == nil || r.Document.Version > c.Index.Document.Version) {
		next.Index = document.NewIndex(*r.Document)
	}
	if r.Facts != nil {
		next.Facts = *r.Facts
	}
	next.FactsRevision = r.FactsRevision
	if !r.Whole && len(r.Upstreams) == 0 {
		return next
	}
	next.Upstreams = make(map[string]discovery.Upstream, len(c.Upstreams)+len(r.Upstreams))
	taken := make(map[string]bool)
	for _, u := range r.Upstreams {
		taken[u.Address] = true
	}
	for id, u := range c.Upstreams {
		if r.Whole && !taken[u.Address] {
			u.Silent = true
		}
		if r.Whole && (taken[u.Address] || u.State == discovery.StateGone) {
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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
