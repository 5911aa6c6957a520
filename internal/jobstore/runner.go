package jobstore

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const (
	// pollInterval is the longest time between two looks at the queue; pauses
	// of engines end between events.
	pollInterval = 60 * time.Millisecond
	// orderTimeout ends an order that gets no answer.
	orderTimeout = time.Second
	// orderSpareMS must be left of the lease when an order is sent.
	orderSpareMS rollout.Millis = 100
	// forgetInterval is the time between two removals of old jobs.
	forgetInterval = 10 * time.Second
	// textKeepMS is how long the text of an item is kept for a later job; a
	// group that comes again does so with the next steps.
	textKeepMS rollout.Millis = 30_000
	// clockSlackMS bounds how far the clocks of two hosts differ.
	clockSlackMS rollout.Millis = 20_000
)

// work is the state of one item while its job is open.
type work struct {
	spec  *job.Spec
	item  *job.Item
	route document.Route
	// openedMS is when this leader has queued the item. It is never before the
	// submission, whatever the clocks of other hosts say.
	openedMS rollout.Millis
	order    uint64
	text     *text
	// begun is true when an engine has run the item.
	begun bool
	// failures counts answers of 500.
	failures int
	// breaks counts the runs in a row that engines broke off before an event.
	breaks int
	cancel context.CancelFunc
	// move breaks the run on the present engine off. It is nil while none
	// runs.
	move context.CancelFunc
	// stalled is true when the run was broken off for the engine's silence.
	stalled bool
	done    bool
}

// runner runs the items of all open jobs while the host leads.
type runner struct {
	s    *Store
	term uint64
	// writer names this lead in the log.
	writer string
	ctx    context.Context
	wake   chan struct{}
	wait   sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	sched *dispatch.Scheduler
	jobs  map[string][]*work
	index *document.Index
	order uint64
	// writing is true once this lead is the only writer.
	writing bool
}

func newRunner(s *Store, term uint64) *runner {
	return &runner{
		s: s, term: term, writer: rand.Text(), wake: make(chan struct{}, 1),
		sched: dispatch.New(dispatch.DefaultConfig(s.opts.FailureDomain)),
		jobs:  make(map[string][]*work),
	}
}

// run starts items and orders until the lead ends.
func (r *runner) run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	if !r.takeOver(ctx) {
		return
	}
	r.sync(r.s.watcher.Copy())
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for ctx.Err() == nil {
		r.turn(ctx)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-ticker.C:
		case <-forget.C:
			r.forget(ctx)
		}
	}
	r.wait.Wait()
}

// takeOver makes this lead the only writer. What earlier leads have sent is
// applied before it returns.
func (r *runner) takeOver(ctx context.Context) bool {
	for {
		err := r.s.propose(ctx, job.Command{Write: &job.SetWriter{Writer: r.writer}})
		r.s.opts.Log.Info("WriterTaken", zap.Uint64("Term", r.term), zap.Error(err))
		if err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.writing = true
			return true
		}
		if !pause(ctx, proposeRetryPause) {
			return false
		}
	}
}

// close stops the items of a job that has ended. Their text is kept where a
// later step may still use it.
func (r *runner) close(jobID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.Drop(jobID)
	for _, w := range r.jobs[jobID] {
		w.done = true
		if w.cancel != nil {
			w.cancel()
		}
		if len(w.text.events) > 0 && !w.text.keeping && job.VersionsAllowed(w.text.versions, w.spec.MinVersion+1, w.route.SingleVersion) {
			w.text.keeping = true
			r.wait.Go(func() { r.keep(r.ctx, w) })
		}
	}
	delete(r.jobs, jobID)
}

// keepAll has the book keep what is new of all texts.
func (r *runner) keepAll(ctx context.Context) {
	var group sync.WaitGroup
	r.mu.Lock()
	for _, works := range r.jobs {
		for _, w := range works {
			if !w.done && !w.text.keeping && len(w.text.events) > 0 {
				w.text.keeping = true
				group.Go(func() { r.keep(ctx, w) })
			}
		}
	}
	r.mu.Unlock()
	group.Wait()
}

// open queues the items of a job that have no result.
func (r *runner) open(jobID string) {
	r.s.mu.Lock()
	j := r.s.book.Jobs[jobID]
	var works []*work
	var spec job.Spec
	if j != nil && !j.Ended {
		spec = j.Spec
		for i := range spec.Items {
			it := &spec.Items[i]
			if !j.HasResult(it.ID) {
				t := r.s.book.Texts[job.TextKey{Account: j.Spec.Account, ItemID: it.ID}]
				works = append(works, &work{spec: &spec, item: it, text: newText(t)})
			}
		}
	}
	r.s.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.jobs[jobID]; known || len(works) == 0 || r.index == nil {
		return
	}
	r.jobs[jobID] = works
	r.sched.RaiseMinVersion(spec.Model, spec.MinVersion)
	route, now := r.routeOf(&spec), r.s.clock.Now()
	for _, w := range works {
		r.order++
		w.route, w.order, w.openedMS = route, r.order, now
		r.queue(w)
	}
	r.nudge()
}

// queue is called with mu held.
func (r *runner) queue(w *work) {
	if w.done {
		return
	}
	t := dispatch.Task{
		JobID: w.spec.ID, ItemID: w.item.ID, Pool: w.route.PickPool(0), Model: w.spec.Model, Group: w.item.Group,
		MinVersion: w.spec.MinVersion, Begun: w.begun, ExpectedTokens: w.item.ExpectedTokens, DueMS: w.openedMS + w.route.ResultDeadlineMS, Order: w.order,
	}
	w.text.fit(w.spec.MinVersion, w.route.SingleVersion)
	if w.route.SingleVersion && len(w.text.versions) > 0 {
		t.OnlyVersion = w.text.versions[0]
	}
	if w.route.MaxQueueMS > 0 && r.s.clock.Now() > w.openedMS+w.route.MaxQueueMS {
		r.wait.Go(func() {
			r.finish(r.ctx, w, job.Result{ItemID: w.item.ID, State: job.StateAbandoned})
		})
		return
	}
	if w.text.complete {
		r.start(w, dispatch.Assignment{Task: t})
		return
	}
	r.sched.Add(t)
}

// routeOf is called with mu held.
func (r *runner) routeOf(spec *job.Spec) document.Route {
	if route, ok := r.index.RouteByName(spec.Route); ok {
		return route
	}
	return document.Route{MaxAttempts: 1, Split: []document.Share{{Weight: 1}}}
}

// sync takes what control has decided. With the first configuration the open
// jobs are queued.
func (r *runner) sync(c view.Copy) {
	if c.Index == nil || !r.take(c) {
		return
	}
	for _, id := range r.s.openJobs() {
		r.open(id)
	}
}

// take tells whether the configuration is the first.
func (r *runner) take(c view.Copy) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.writing {
		return false
	}
	first := r.index == nil
	r.index = c.Index
	models := make(map[string][]string)
	for _, p := range c.Index.Document.Pools {
		models[p.Name] = p.Models
	}
	r.sched.SetTargets(c.Facts.Versions)
	r.sched.Sync(r.s.clock.Now(), c.Upstreams, models)
	r.nudge()
	return first
}

func (r *runner) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// turn starts what may start now.
func (r *runner) turn(ctx context.Context) {
	now := r.s.clock.Now()
	if _, leads := r.s.replica.Leading(orderSpareMS); !leads {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayOrder(now) {
		for _, l := range r.sched.PlanLoads(now) {
			r.wait.Go(func() { r.load(ctx, l) })
		}
	}
	for _, m := range r.sched.PlanMoves(now) {
		w := r.workOf(dispatch.Task{JobID: m.JobID, ItemID: m.ItemID})
		if w == nil || w.move == nil {
			continue
		}
		r.s.opts.Log.Info("RunMoved", zap.String("Request", m.ItemID), zap.String("Upstream", m.Engine), zap.Bool("Stalled", m.Stalled))
		w.stalled = m.Stalled
		w.move()
	}
	defer func() { r.s.metrics.waiting.Set(float64(r.sched.Waiting())) }()
	for _, a := range r.sched.Next(now) {
		if w := r.workOf(a.Task); w != nil {
			r.start(w, a)
		}
	}
}

// start is called with mu held.
func (r *runner) start(w *work, a dispatch.Assignment) {
	ctx, cancel := context.WithCancel(r.ctx)
	w.cancel = cancel
	r.wait.Go(func() {
		defer cancel()
		r.runItem(ctx, w, a)
	})
}

// workOf is called with mu held.
func (r *runner) workOf(t dispatch.Task) *work {
	for _, w := range r.jobs[t.JobID] {
		if w.item.ID == t.ItemID && !w.done {
			return w
		}
	}
	return nil
}

// forget drops old jobs and texts.
func (r *runner) forget(ctx context.Context) {
	now := rollout.Millis(time.Now().UnixMilli())
	before, textsBefore := now-r.s.opts.RetentionMS-clockSlackMS, now-textKeepMS
	r.s.mu.Lock()
	old := false
	for _, j := range r.s.book.Jobs {
		old = old || (j.Ended && j.Spec.SubmittedMS < before)
	}
	for _, t := range r.s.book.Texts {
		old = old || t.UsedMS < textsBefore
	}
	r.s.mu.Unlock()
	if !old {
		return
	}
	if err := r.s.propose(ctx, job.Command{Forget: &job.Forget{BeforeMS: before, TextsBeforeMS: textsBefore}}); err != nil {
		r.s.opts.Log.Warn("JobsNotForgotten", zap.Error(err))
	}
}

// openJobs returns the jobs that have not ended, the oldest first.
func (s *Store) openJobs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, j := range s.book.Jobs {
		if !j.Ended {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return int(s.book.Jobs[a].Spec.SubmittedMS - s.book.Jobs[b].Spec.SubmittedMS)
	})
	return ids
}
