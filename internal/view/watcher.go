package view

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

const (
	// watchWaitMS is the maximum time that the leader holds a watch open.
	watchWaitMS rollout.Millis = 800
	// minReplyTime and maxReplyTime bound how long a reply may take beyond the time for
	// which the leader holds the watch open. A connection that failed without an error
	// is noticed after that time.
	minReplyTime rollout.Millis = 400
	maxReplyTime rollout.Millis = 1_600
	// replyTimeFactor is the allowed factor between the time for a reply and the
	// usual one.
	replyTimeFactor = 3
	// retryDelay is the delay between attempts to reach control hosts.
	retryDelay = 80 * time.Millisecond
)

// State is a daemon's copy of the control state. It is immutable.
type State struct {
	Epoch uint64
	// Index is nil until the first configuration is received.
	Index     *document.Index
	Upstreams map[string]discovery.Upstream
	// Ended holds the upstreams that ended last, oldest first. The next leader of control
	// needs them to refuse late announcements of them.
	Ended         []discovery.Upstream
	TableRevision uint64
	Facts         Facts
	FactsRevision uint64
	// ConfirmedMS is the time for which a leader last confirmed that the copy is
	// current, or 0 if none has yet.
	ConfirmedMS rollout.Millis
	// ColdShare is the share of an entry if it loses control, as of ConfirmedMS. It is zero
	// if no upstream can be cold.
	ColdShare limit.Share
	// Senders describes the entries that have such shares to the next leader of control.
	Senders []limit.Sender
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
	// BrokenConnections returns the broken connections to report, or is nil.
	BrokenConnections func() BrokenConnections
	// CrashRecorded receives a value when the broken connections must be reported at
	// once. It may be nil.
	CrashRecorded <-chan struct{}
	// Leaving returns the leaving upstreams to report and a revision that changes with
	// them, or is nil.
	Leaving func() (uint64, []discovery.Incarnation)
	// OnChange is called with the new state at each change, on the goroutine of Run, before
	// State returns it.
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
	// target is the address of the leader, or of the host to ask first for it.
	target string
	// addressIndex modulo the number of control hosts is the one to ask next.
	addressIndex int
	// replyTime is the time that the last reply took beyond the requested wait.
	replyTime rollout.Millis
	// sent is what a leader last received of the reports.
	sent    sentReports
	metrics *metrics
	// lapse logs once that no leader has confirmed the copy for outdatedAge.
	lapse *time.Timer
	// waitingFor is the address of the host whose reply Run waits for.
	waitingFor atomic.Value

	confirmedMu sync.Mutex
	// confirmed is closed and replaced each time a leader confirms the copy.
	confirmed chan struct{}
}

// NewWatcher returns a watcher with an empty state.
func NewWatcher(opts Options) *Watcher {
	w := &Watcher{opts: opts, addressIndex: rand.IntN(1 << 16), metrics: newMetrics(opts.Registry), confirmed: make(chan struct{})}
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
	reached, silent := false, false
	defer w.lapse.Stop()
	reporterEnded := make(chan struct{})
	go func() {
		defer close(reporterEnded)
		w.reportCrashes(ctx)
	}()
	defer func() { <-reporterEnded }()
	for ctx.Err() == nil {
		if !w.isActive() {
			w.lapse.Stop()
			sleep(ctx, retryDelay)
			continue
		}
		var err error
		if reached {
			err = w.watch(ctx)
		} else {
			err = w.search(ctx, silent)
		}
		if reached == (err == nil) || ctx.Err() != nil {
			continue
		}
		reached = err == nil
		silent = !reached && rollout.AsError(err).Kind == rollout.KindDeadlineExceeded
		w.opts.Log.Info("ControlConnectionChanged", zap.Bool("Reached", reached), zap.String("Address", w.target), zap.Error(err))
		w.leader.Store("")
		if reached {
			w.leader.Store(w.target)
		} else if leader := namedLeader(err); leader != "" {
			w.target = leader
		}
	}
	return nil
}

// reportCrashes sends the broken connections to the leader each time a crash is recorded,
// until the context ends. The next watch request repeats a report that fails.
func (w *Watcher) reportCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.opts.CrashRecorded:
		}
		leader := w.Leader()
		if leader == "" {
			continue
		}
		report := CrashReport{Host: w.opts.Host, Role: w.opts.Role, BrokenConnections: w.opts.BrokenConnections()}
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(minReplyTime)*time.Millisecond)
		err := w.opts.Client.Call(callCtx, leader, MethodReportCrashes, report, &struct{}{})
		cancel()
		if err != nil {
			w.opts.Log.Warn("CrashReportFailed", zap.String("Address", leader), zap.Int("Connections", len(report.BrokenConnections.Connections)), zap.Error(err))
		}
	}
}

func (w *Watcher) isActive() bool { return w.opts.Active == nil || w.opts.Active() }

// watch sends one watch request to the leader and applies the reply.
func (w *Watcher) watch(ctx context.Context) error {
	allowed := min(max(replyTimeFactor*w.replyTime, minReplyTime), maxReplyTime)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(watchWaitMS+allowed)*time.Millisecond)
	defer cancel()
	w.waitingFor.Store(w.target)
	u, err := w.call(ctx, w.target, w.newRequest(watchWaitMS))
	if err != nil {
		return err
	}
	w.accept(u)
	return nil
}

// update is a reply with what was sent for it.
type update struct {
	reply Reply
	// base is the state whose changes the reply holds.
	base State
	// confirmedMS is the time for which the reply confirms the state.
	confirmedMS rollout.Millis
	// replyTime is the time that the reply took beyond the requested wait.
	replyTime rollout.Millis
	sent      sentReports
}

// watchRequest is a request with the state that it was built from.
type watchRequest struct {
	Request
	base State
	sent sentReports
}

// requestSince returns a request for the changes since a state, without reports, that the leader
// may hold for a time.
func (w *Watcher) requestSince(base State, wait rollout.Millis) Request {
	req := Request{
		Host: w.opts.Host, Role: w.opts.Role, Address: w.opts.Address, FailureDomain: w.opts.FailureDomain,
		Epoch: base.Epoch, TableRevision: base.TableRevision, FactsRevision: base.FactsRevision, WaitMS: wait, AcceptsPacked: true,
	}
	req.CopyAgeMS = neverConfirmedMS
	if base.ConfirmedMS > 0 {
		req.CopyAgeMS = w.opts.Clock.Now() - base.ConfirmedMS
	}
	if base.Index != nil {
		req.DocumentVersion = base.Index.Document.Version
	}
	return req
}

// newRequest returns a request that the leader may hold for a time.
func (w *Watcher) newRequest(wait rollout.Millis) watchRequest {
	base := w.State()
	req := w.requestSince(base, wait)
	if w.opts.Usage != nil {
		req.Usage = w.opts.Usage()
	}
	if w.opts.Store != nil {
		req.Store = w.opts.Store()
	}
	sent := w.addReports(&req)
	return watchRequest{Request: req, base: base, sent: sent}
}

// call sends a request to a control host. It may run beside other calls.
func (w *Watcher) call(ctx context.Context, address string, req watchRequest) (update, error) {
	u := update{base: req.base, sent: req.sent}
	sentMS := w.opts.Clock.Now()
	if err := w.opts.Client.Call(ctx, address, MethodWatch, req.Request, &u.reply); err != nil {
		return u, err
	}
	if err := u.reply.unpackDocument(fabric.Packer()); err != nil {
		return u, err
	}
	receivedMS := w.opts.Clock.Now()
	u.confirmedMS = sentMS + u.reply.HeldMS
	u.replyTime = receivedMS - sentMS - min(u.reply.HeldMS, req.WaitMS)
	if u.reply.DocumentAgeMS > 0 {
		u.reply.DocumentAgeMS += receivedMS - u.confirmedMS
	}
	return u, nil
}

// accept applies a reply of the leader.
func (w *Watcher) accept(u update) {
	w.replyTime = u.replyTime
	w.sent = u.sent
	u.base.ConfirmedMS = u.confirmedMS
	w.apply(u.base, u.reply)
	w.notifyConfirmed()
	w.lapse.Reset(outdatedAge)
}

// sentReports identifies the reports that a request or a leader has.
type sentReports struct {
	// epoch is the epoch of the request.
	epoch                uint64
	connections, leaving uint64
}

// addReports adds to a request the reports that the leader may not have, and returns
// what identifies them. A new leader has none.
func (w *Watcher) addReports(req *Request) sentReports {
	sent := sentReports{epoch: req.Epoch}
	due := func(revision, sentRevision uint64) bool {
		return revision != sentRevision || (revision != 0 && req.Epoch != w.sent.epoch)
	}
	if w.opts.BrokenConnections != nil {
		broken := w.opts.BrokenConnections()
		if sent.connections = broken.Revision; due(broken.Revision, w.sent.connections) {
			req.BrokenConnections = &broken
		}
	}
	if w.opts.Leaving != nil {
		revision, incarnations := w.opts.Leaving()
		if sent.leaving = revision; due(revision, w.sent.leaving) {
			req.Leaving = &LeavingUpstreams{Incarnations: incarnations}
		}
	}
	return sent
}

// apply merges a reply into the state, logs the changes and calls OnChange. State returns the new
// state once OnChange has returned, so that a host that finds a configuration in it has the
// upstreams that came with it.
func (w *Watcher) apply(old State, r Reply) {
	next := old.With(r)
	if r.Document != nil {
		w.opts.Log.Info("DocumentReceived", zap.Uint64("Version", r.Document.Version), zap.Uint64("Epoch", r.Epoch), zap.Int64("DelayMS", int64(r.DocumentAgeMS)))
		w.metrics.observeDocument(r.DocumentAgeMS)
	}
	for _, u := range r.Upstreams {
		if before, ok := old.Upstreams[u.ID]; !ok || before.State != u.State || before.Born != u.Born || before.Silent != u.Silent || before.ColdLimit != u.ColdLimit {
			w.opts.Log.Info("UpstreamChanged", zap.String("Upstream", u.ID), zap.String("Pool", u.Pool),
				zap.String("Address", u.Address), zap.String("State", string(u.State)), zap.Bool("Silent", u.Silent), coldField(u))
		}
	}
	if w.opts.OnChange != nil && (r.Document != nil || r.Facts != nil || len(r.Upstreams) > 0) {
		w.opts.OnChange(next)
	}
	w.state.Store(&next)
}

// coldField is the log field of an upstream that is cold.
func coldField(u discovery.Upstream) zap.Field {
	if u.ColdLimit <= 0 {
		return zap.Skip()
	}
	return zap.Float64("ColdLimit", u.ColdLimit)
}

// With returns the state with the changes of a reply. It ignores a document whose
// version is not higher. Upstreams that a new leader does not know are kept and
// marked as silent, unless the leader knows another upstream at their address.
func (s State) With(r Reply) State {
	next := s
	next.Epoch, next.TableRevision = r.Epoch, r.TableRevision
	next.ColdShare, next.Senders = limit.Share{}, r.Senders
	if r.ColdShare != nil {
		next.ColdShare = *r.ColdShare
	}
	if r.Document != nil && (s.Index == nil || r.Document.Version > s.Index.Document.Version) {
		next.Index = document.NewIndex(*r.Document)
	}
	if r.Facts != nil {
		next.Facts = r.Facts.withKnownDomains(s.Facts)
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
			if next.Upstreams[u.ID].Born <= u.Born {
				delete(next.Upstreams, u.ID)
			}
			next.Ended = next.withEnded(u)
			continue
		}
		next.Upstreams[u.ID] = u
	}
	return next
}

// maxEnded limits the ended upstreams that are kept. A release replaces a whole fleet while
// late announcements may arrive.
const maxEnded = 1_024

// withEnded returns the ended upstreams with another one, in place of an earlier
// incarnation of its ID.
func (s State) withEnded(u discovery.Upstream) []discovery.Upstream {
	ended := slices.DeleteFunc(slices.Clone(s.Ended), func(old discovery.Upstream) bool { return old.ID == u.ID })
	ended = append(ended, u)
	return ended[max(0, len(ended)-maxEnded):]
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
