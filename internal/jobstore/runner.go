package jobstore

import (
	"cmp"
	"context"
	"crypto/rand"
	"reflect"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

const (
	// pollInterval is the maximum time between two scheduling passes. The pause of
	// an engine can end without an event that wakes the runner up.
	pollInterval = 60 * time.Millisecond
	// planIntervalMS is the minimum time between two looks for weight orders and
	// moves, which take all engines and runs into account.
	planIntervalMS rollout.Millis = 20
	// orderTimeout limits a weight order, with the report that it may need.
	orderTimeout = time.Second
	// minLeaseLeftMS is the minimum remaining lease for a scheduling pass and for
	// sending an order.
	minLeaseLeftMS rollout.Millis = 100
	// expiryInterval is the interval at which expired jobs and texts are deleted.
	expiryInterval = 10 * time.Second
	// textRetentionMS is how long the text of an item is kept for a later job.
	// Groups that are submitted again come with one of the next steps.
	textRetentionMS rollout.Millis = 30_000
	// maxClockSkewMS is the assumed maximum difference between the clocks of two
	// hosts.
	maxClockSkewMS rollout.Millis = 20_000
)

// workItem is an item of an open job that had no result when this leader opened
// the job.
type workItem struct {
	spec *job.Spec
	item *job.Item
	// request is the digest of the request of the item.
	request []byte
	route   document.Route
	// routeVersion is the version of the configuration with the route, or 0 if the route is
	// unknown.
	routeVersion uint64
	// regions are those in which the item may run.
	regions jobRegions
	// queuedMS is when this leader first queued the item, by its own clock. Unlike
	// the submission time, it does not depend on the clocks of other hosts and is
	// never before the actual submission.
	queuedMS rollout.Millis
	// ageMS is how long before queuedMS the job was submitted, as far as this leader
	// knows. Jobs that a former leader accepted keep their distance in time from each
	// other.
	ageMS rollout.Millis
	// dueMS is when the result is due, by the clock of this leader.
	dueMS rollout.Millis
	// queuePosition numbers the items in the order in which this leader opened
	// them.
	queuePosition uint64
	text          *textBuffer
	// begun is true once an engine has started to run the item.
	begun bool
	// failedBy holds the engines that have answered a run of the item with a failure.
	failedBy map[string]bool
	// failures counts responses with status 500. A response with status 422 sets
	// it to the maximum.
	failures int
	// cancel stops the work on the item.
	cancel context.CancelFunc
	// interrupt cancels the current run so that it can continue on another engine.
	// It is nil while no engine runs the item.
	interrupt context.CancelFunc
	// stalled is true if the run was interrupted because it had stalled.
	stalled bool
	// anew is true if the run was interrupted so that the item starts anew.
	anew bool
	// done is true once the item has a result or its job has ended.
	done bool
}

// runner runs the items of all open jobs during one term of this host as leader.
type runner struct {
	store *Store
	term  uint64
	// writer identifies this runner in replicated commands.
	writer string
	ctx    context.Context
	// wake starts a scheduling pass.
	wake        chan struct{}
	goroutines  sync.WaitGroup
	scorerLanes *scorerLanes

	mu sync.Mutex
	// The fields below are guarded by mu.
	sched *dispatch.Scheduler
	jobs  map[string][]*workItem
	index *document.Index
	// models holds the models of each pool, and upstreams what control knows of them.
	models    map[string][]string
	upstreams map[string]discovery.Upstream
	// nextSyncMS is when the scheduler must be synced because of leaving engines, or 0.
	nextSyncMS        rollout.Millis
	lastQueuePosition uint64
	// plannedMS is the time of the last look for weight orders and moves.
	plannedMS rollout.Millis
	paces     paceRecord
	orders    orderClaim
	// isWriter is true once the SetWriter command of this runner is committed.
	isWriter bool
}

func newRunner(s *Store, term uint64) *runner {
	cfg := dispatch.DefaultConfig(s.opts.FailureDomain)
	cfg.Regions = s.regions
	return &runner{
		store: s, term: term, writer: rand.Text(), wake: make(chan struct{}, 1),
		sched: dispatch.New(cfg),
		jobs:  make(map[string][]*workItem), scorerLanes: newScorerLanes(),
	}
}

// run schedules items and weight orders until the context ends.
func (r *runner) run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	if !r.claimWriter(ctx) {
		return
	}
	r.syncView()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for ctx.Err() == nil {
		r.schedule(ctx)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-ticker.C:
		case <-expiry.C:
			r.deleteExpired(ctx)
			r.dropIdleUploads(ctx)
		}
	}
	r.goroutines.Wait()
}

// claimWriter makes this runner the only writer of texts and results. Commands
// of earlier leaders are either applied before it returns or refused. It returns
// false if the context ends first.
func (r *runner) claimWriter(ctx context.Context) bool {
	for {
		err := r.store.propose(ctx, job.Command{Write: &job.SetWriter{Writer: r.writer}})
		r.store.opts.Log.Info("WriterClaimed", zap.Uint64("Term", r.term), zap.Error(err))
		if err == nil {
			r.loadPaces()
			r.mu.Lock()
			defer r.mu.Unlock()
			r.isWriter = true
			return true
		}
		if !sleep(ctx, proposeRetryDelay) {
			return false
		}
	}
}

// closeJob stops the items of a job that has ended. It stores their text if a
// later step may still use it.
func (r *runner) closeJob(jobID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.DropJob(jobID)
	for _, w := range r.jobs[jobID] {
		w.done = true
		if w.cancel != nil {
			w.cancel()
		}
		if len(w.text.unsaved) > 0 && !w.text.saving && job.VersionsAllowed(w.text.versions, w.spec.MinVersion+1, w.route.SingleVersion) {
			w.text.saving = true
			r.goroutines.Go(func() { r.saveText(r.ctx, w) })
		}
	}
	delete(r.jobs, jobID)
}

// saveAllTexts stores the unsaved text of all items and waits for the commits.
func (r *runner) saveAllTexts(ctx context.Context) {
	var group sync.WaitGroup
	r.mu.Lock()
	for _, items := range r.jobs {
		for _, w := range items {
			if !w.done && !w.text.saving && len(w.text.unsaved) > 0 {
				w.text.saving = true
				group.Go(func() { r.saveText(ctx, w) })
			}
		}
	}
	r.mu.Unlock()
	group.Wait()
}

// openJob queues the items of a job that have no result yet. The job was
// submitted ageMS ago as far as this leader knows.
func (r *runner) openJob(jobID string, ageMS rollout.Millis) {
	r.store.mu.Lock()
	j := r.store.state.Jobs[jobID]
	var items []*workItem
	var spec job.Spec
	var last *job.RouteInForce
	if j != nil && !j.Ended {
		spec, last = j.Spec, j.Route
		for i := range spec.Items {
			it := &spec.Items[i]
			if !j.HasResult(it.ID) {
				items = append(items, &workItem{spec: &spec, item: it, request: job.RequestDigest(&spec, it), text: newTextBuffer(r.store.state.Text(j, it.ID))})
			}
		}
	}
	r.store.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.jobs[jobID]; known || len(items) == 0 || r.index == nil {
		return
	}
	r.jobs[jobID] = items
	r.sched.RaiseMinVersion(spec.Model, spec.MinVersion)
	route, now := r.routeAtOpening(&spec, last), r.store.clock.Now()
	regions := regionsAtSubmission(&spec).with(r.index, &spec, route)
	if last != nil && !reflect.DeepEqual(route.Route, last.Route) {
		r.goroutines.Go(func() { r.recordRoute(r.ctx, items[0], route) })
	}
	for _, w := range items {
		r.lastQueuePosition++
		w.queuePosition, w.queuedMS, w.ageMS = r.lastQueuePosition, now, ageMS
		w.setRoute(route)
		w.regions = regions
		r.enqueue(w)
	}
	r.wakeUp()
}

// enqueue hands an item to the scheduler. It abandons the item instead after the
// maximum queueing time, and goes on to scoring if the text is complete. The
// caller holds r.mu.
func (r *runner) enqueue(w *workItem) {
	if w.done {
		return
	}
	t := dispatch.Task{
		JobID: w.spec.ID, ItemID: w.item.ID, Pool: w.route.PickPool(0), Model: w.spec.Model, Group: w.item.Group,
		MinVersion: w.spec.MinVersion, Begun: w.begun, ExpectedTokens: w.item.ExpectedTokens, DueMS: w.dueMS, Order: w.queuePosition,
		SingleVersion: w.route.SingleVersion, Policy: w.regions.policy(),
	}
	w.text.discardUnlessAllowed(w.spec.MinVersion, w.route.SingleVersion)
	w.text.discardIfSoftwareUnknown()
	if w.route.MaxQueueMS > 0 {
		t.ExpiresMS = w.queuedMS + w.route.MaxQueueMS
	}
	t.Software, t.TextEvents, t.QueuedMS = w.text.software, w.text.lastID, r.store.clock.Now()
	if w.route.SingleVersion && len(w.text.versions) > 0 {
		t.OnlyVersion = w.text.versions[0]
	}
	if r.pastMaxQueue(w) {
		r.goroutines.Go(func() {
			r.abandon(r.ctx, w, abandonedForAge)
		})
		return
	}
	if w.text.complete {
		r.startItem(w, dispatch.Assignment{Task: t})
		return
	}
	r.sched.Add(t)
}

// pastMaxQueue reports whether an item may be given up for its age.
func (r *runner) pastMaxQueue(w *workItem) bool {
	return w.route.MaxQueueMS > 0 && r.store.clock.Now() > w.queuedMS+w.route.MaxQueueMS
}

// syncView applies the newest view of the store. The first one with a configuration opens
// all jobs that have not ended.
func (r *runner) syncView() {
	if !r.setView() {
		return
	}
	ids, agesMS := r.store.openJobs()
	for i, id := range ids {
		r.openJob(id, agesMS[i])
	}
}

// setView passes the newest view of the store to the scheduler. It reports whether that is the
// first one with a configuration since this runner became the writer. It reads the view under
// the lock, so that of two concurrent calls the later one does not apply the older view.
func (r *runner) setView() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.store.view.Load()
	if !r.isWriter || v == nil || v.Index == nil {
		return false
	}
	first := r.index == nil
	changed := r.index != v.Index
	r.index = v.Index
	models, coldBounds := make(map[string][]string), make(map[string]float64)
	for _, p := range v.Index.Document.Pools {
		models[p.Name] = p.Models
		if p.CanBeCold() {
			coldBounds[p.Name] = r.store.opts.ColdBound.PerSecond(p.ColdPerSecond)
		}
	}
	r.sched.SetColdBounds(coldBounds)
	r.sched.SetTargets(v.Facts.Versions)
	r.models, r.upstreams = models, discovery.WithEvacuated(v.Upstreams, v.Facts.Evacuated)
	r.syncUpstreams()
	if changed {
		r.updateRoutes()
	}
	r.wakeUp()
	return first
}

// syncUpstreams passes the known engines to the scheduler, with those that leave
// draining. The caller holds r.mu.
func (r *runner) syncUpstreams() {
	now := r.store.clock.Now()
	us, next := r.store.balancer.Leaving().Apply(now, r.upstreams)
	r.nextSyncMS = next
	r.sched.Sync(now, us, r.models)
}

// markLeaving records that an engine said that it leaves.
func (r *runner) markLeaving(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, known := r.upstreams[engine]
	if !known || !r.store.balancer.Leaving().Mark(r.store.clock.Now(), discovery.Incarnation{ID: engine, Born: u.Born}) {
		return
	}
	r.store.opts.Log.Info("UpstreamLeaving", zap.String("Upstream", engine), zap.Int64("Born", u.Born))
	r.syncUpstreams()
	r.wakeUp()
}

// incarnationOf returns the incarnation of an engine that control knows.
func (r *runner) incarnationOf(engine string) discovery.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return discovery.Incarnation{ID: engine, Born: r.upstreams[engine].Born}
}

// acquire waits until the limit that an engine names allows a request.
func (r *runner) acquire(ctx context.Context, engine string, req limit.Request) error {
	return r.store.balancer.Limits().Acquire(ctx, r.incarnationOf(engine), req)
}

// recordLimit records the limit that an engine named in a response.
func (r *runner) recordLimit(engine string, l rollout.RateLimit) {
	r.store.balancer.Limits().Said(r.incarnationOf(engine), l)
}

// wakeUp triggers a scheduling pass. It does not block.
func (r *runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// schedule starts the weight orders, moves and runs that are due.
func (r *runner) schedule(ctx context.Context) {
	now := r.store.clock.Now()
	if _, leads := r.store.replica.Leading(minLeaseLeftMS); !leads {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nextSyncMS > 0 && now >= r.nextSyncMS {
		r.syncUpstreams()
	}
	if now-r.plannedMS >= planIntervalMS {
		r.plannedMS = now
		r.planOrdersAndMoves(ctx, now)
		r.restartStranded(now)
		r.abandonExpired(now)
		r.recordPacesIfDue(ctx, now)
	}
	defer func() { r.store.metrics.waitingItems.Set(float64(r.sched.Waiting())) }()
	for _, a := range r.sched.AssignTasks(now) {
		if w := r.findItem(a.Task); w != nil {
			r.startItem(w, a)
		}
	}
}

// planOrdersAndMoves starts the weight orders and moves that are due. The caller
// holds r.mu.
func (r *runner) planOrdersAndMoves(ctx context.Context, now rollout.Millis) {
	if r.maySendOrders(ctx, now) {
		for _, l := range r.sched.PlanWeightLoads(now) {
			r.goroutines.Go(func() { r.orderLoad(ctx, l) })
		}
	}
	for _, m := range r.sched.PlanMoves(now) {
		w := r.findItem(dispatch.Task{JobID: m.JobID, ItemID: m.ItemID})
		if w == nil || w.interrupt == nil {
			continue
		}
		r.store.opts.Log.Info("RunMoved", zap.String("Request", m.ItemID), zap.String("Upstream", m.Engine), zap.String("Target", m.Target), zap.Bool("Stalled", m.Stalled), zap.Bool("Anew", m.Anew))
		w.stalled, w.anew = m.Stalled, m.Anew
		w.interrupt()
	}
}

// restartStranded discards the text of queued items that only engines that have left or
// have no slot could continue, so that they run from the start at others. The caller holds
// r.mu.
func (r *runner) restartStranded(now rollout.Millis) {
	for _, t := range r.sched.TakeStranded(now) {
		w := r.findItem(t)
		if w == nil {
			continue
		}
		r.discardText(w)
		r.enqueue(w)
	}
}

// abandonExpired abandons queued items that have waited their maximum queueing time while no
// engine was in a region where they may run. The caller holds r.mu.
func (r *runner) abandonExpired(now rollout.Millis) {
	for _, t := range r.sched.TakeExpired(now) {
		if w := r.findItem(t); w != nil {
			r.enqueue(w)
		}
	}
}

// startItem runs an item in a new goroutine. The caller holds r.mu.
func (r *runner) startItem(w *workItem, a dispatch.Assignment) {
	ctx, cancel := context.WithCancel(r.ctx)
	w.cancel = cancel
	r.goroutines.Go(func() {
		defer cancel()
		r.runItem(ctx, w, a)
	})
}

// findItem returns the item of a task, or nil if it is done or its job is
// closed. The caller holds r.mu.
func (r *runner) findItem(t dispatch.Task) *workItem {
	for _, w := range r.jobs[t.JobID] {
		if w.item.ID == t.ItemID && !w.done {
			return w
		}
	}
	return nil
}

// deleteExpired deletes the jobs and texts whose retention time has passed.
func (r *runner) deleteExpired(ctx context.Context) {
	now := rollout.Millis(time.Now().UnixMilli())
	before, textsBefore := now-r.store.opts.RetentionMS-maxClockSkewMS, now-textRetentionMS
	r.store.mu.Lock()
	expired := false
	for _, j := range r.store.state.Jobs {
		expired = expired || (j.Ended && j.Spec.SubmittedMS < before)
	}
	expired = expired || r.store.state.Texts.HasUnusedSince(textsBefore)
	r.store.mu.Unlock()
	if !expired {
		return
	}
	if err := r.store.propose(ctx, job.Command{Forget: &job.Forget{BeforeMS: before, TextsBeforeMS: textsBefore}}); err != nil {
		r.store.opts.Log.Warn("JobExpiryFailed", zap.Error(err))
	}
}

// openJobs returns the IDs of the jobs that have not ended, oldest first, and how
// much earlier than the newest each was submitted. Ages from the clock of this
// host would depend on how it differs from the clocks of other hosts.
func (s *Store) openJobs() (ids []string, agesMS []rollout.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.state.Jobs {
		if !j.Ended {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.state.Jobs[a].Spec.SubmittedMS, s.state.Jobs[b].Spec.SubmittedMS), cmp.Compare(a, b))
	})
	for _, id := range ids {
		newest := s.state.Jobs[ids[len(ids)-1]].Spec.SubmittedMS
		agesMS = append(agesMS, newest-s.state.Jobs[id].Spec.SubmittedMS)
	}
	return ids, agesMS
}
