package jobstore

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

const (
	statusUnprocessable = 422
	statusServerError   = 500
	// scoreRetryDelay is the delay before a failed call to a scorer is retried.
	scoreRetryDelay = 150 * time.Millisecond
	// scoreTimeout limits one call to a scorer.
	scoreTimeout = 3 * time.Second
	// itemLimitPatience and scoreLimitPatience are how long an item and a call to a scorer
	// wait for an upstream that has reached the limit that it names.
	itemLimitPatience  = 300 * time.Millisecond
	scoreLimitPatience = time.Second
	// maxLimitPauseMS bounds the pause of an engine whose limit lets nothing through. The
	// predicted wait may be too long, as other hosts may want less by then.
	maxLimitPauseMS rollout.Millis = 1_000
	// maxUpstreamsAgeMS is the age of the view up to which the leader relies on the software
	// versions in it. An engine that ends takes seconds to start again.
	maxUpstreamsAgeMS rollout.Millis = 3_000
	// savePollInterval is the interval at which commitResult checks whether a
	// piece is still being stored.
	savePollInterval = 10 * time.Millisecond
	// proposeRetryDelay is the delay before a failed proposal is retried.
	proposeRetryDelay = 100 * time.Millisecond
)

// runItem runs an item on the assigned engine, then scores, abandons or queues
// it again. An assignment without an engine is for an item whose text is already
// complete.
func (r *runner) runItem(ctx context.Context, w *workItem, a dispatch.Assignment) {
	outcome := dispatch.OutcomeDone
	if a.Engine != "" {
		started := time.Now()
		outcome = r.generateInterruptible(ctx, w, a)
		r.store.metrics.runs.WithLabelValues(outcome.String()).Inc()
		r.store.metrics.runSeconds.Observe(time.Since(started).Seconds())
	}
	r.mu.Lock()
	if a.Engine != "" {
		r.sched.RunEnded(r.store.clock.Now(), a, outcome)
		r.wakeUp()
	}
	if w.text.complete {
		w.text.discardUnlessAllowed(w.spec.MinVersion, w.route.SingleVersion)
	}
	abandon := w.failures >= max(1, w.route.MaxAttempts)
	complete := w.text.complete
	r.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return
	case abandon:
		r.abandon(ctx, w, abandonedForFailures)
	case complete:
		r.score(ctx, w)
	default:
		r.mu.Lock()
		r.enqueue(w)
		r.mu.Unlock()
	}
}

// generateInterruptible calls generate with a context that w.interrupt cancels,
// so that the item can continue on another engine.
func (r *runner) generateInterruptible(ctx context.Context, w *workItem, a dispatch.Assignment) dispatch.Outcome {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	w.interrupt, w.stalled, w.anew = cancel, false, false
	r.mu.Unlock()
	outcome := r.generate(runCtx, w, a)
	r.mu.Lock()
	defer r.mu.Unlock()
	w.interrupt = nil
	if outcome != dispatch.OutcomeCancelled || ctx.Err() != nil {
		return outcome
	}
	if w.anew {
		r.discardText(w)
	}
	if w.stalled {
		return dispatch.OutcomeBroken
	}
	return dispatch.OutcomeMoved
}

// generate sends an item to an engine and appends the events of the stream to
// its text.
func (r *runner) generate(ctx context.Context, w *workItem, a dispatch.Assignment) dispatch.Outcome {
	started := time.Now()
	if err := r.acquire(ctx, a.Engine, limit.Request{Priority: w.route.Priority, Background: true, OwnColdBound: true, Patience: itemLimitPatience}); err != nil {
		r.logRun(w, a, started, 0, err)
		if ctx.Err() != nil {
			return dispatch.OutcomeCancelled
		}
		r.mu.Lock()
		r.sched.Pause(a.Engine, r.store.clock.Now()+min(rollout.AsError(err).RetryDelay(), maxLimitPauseMS))
		r.mu.Unlock()
		return dispatch.OutcomeTurnedAway
	}
	r.mu.Lock()
	w.text.discardUnnumbered()
	r.mu.Unlock()
	x := r.newExchange(w, a)
	if x.ResumeAfter != "" {
		r.recordContinuation(w, a, x.ResumeAfter)
	}
	resp, err := r.store.opts.Upstreams.SendRequest(ctx, x)
	if resp.Leaving {
		r.markLeaving(a.Engine)
	}
	if resp.Status != 0 && !resp.Misdirected {
		r.recordLimit(a.Engine, resp.Limit)
	}
	if err != nil {
		r.logRun(w, a, started, 0, err)
		if ctx.Err() != nil {
			return dispatch.OutcomeCancelled
		}
		return dispatch.OutcomeBroken
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.Misdirected:
		r.logRun(w, a, started, resp.Status, nil)
		return dispatch.OutcomeOtherVersion
	case resp.NotRun:
		r.logRun(w, a, started, resp.Status, nil)
		return dispatch.OutcomeTurnedAway
	case resp.Status >= 300 || !resp.Streaming:
		r.logRun(w, a, started, resp.Status, nil)
		return r.recordErrorStatus(w, a.Engine, resp.Status)
	}
	w.begun = true
	err = r.readEvents(w, a, resp)
	r.logRun(w, a, started, resp.Status, err)
	// A text that one run has generated whole is of one version, whichever that is.
	isCertain := (err == nil && x.ResumeAfter == "") || r.store.confirmCopy(ctx, maxUpstreamsAgeMS) == nil
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isCertain || r.softwareChanged(a) {
		r.discardText(w)
		return dispatch.OutcomeBroken
	}
	if err != nil {
		if ctx.Err() != nil {
			return dispatch.OutcomeCancelled
		}
		return dispatch.OutcomeBroken
	}
	w.text.complete = true
	return dispatch.OutcomeDone
}

// readEvents appends the events of a stream to the text of an item. It returns nil only if the
// stream is complete and ends where the text does.
func (r *runner) readEvents(w *workItem, a dispatch.Assignment, resp rollout.UpstreamResponse) error {
	version, last := resp.WeightVersion, uint64(0)
	var misplaced error
	err := r.store.opts.Upstreams.ReadEvents(resp.Body, func(e rollout.StreamEvent) {
		if misplaced != nil {
			return
		}
		if e.WeightVersion != 0 {
			version = e.WeightVersion
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if misplaced = w.text.checkNext(e, last); misplaced != nil {
			// Ends the run, which would go on at its engine otherwise.
			_ = resp.Body.Close()
			return
		}
		last = e.ID
		w.text.add(e, version, a.Software)
		r.saveIfLong(w)
		r.sched.EventReceived(r.store.clock.Now(), a.Task)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if misplaced == nil && last > 0 && last < w.text.lastID {
		misplaced = rollout.NewError(rollout.KindTruncated, "the stream ends with event %d, the text with event %d", last, w.text.lastID)
	}
	return cmp.Or(misplaced, err)
}

// discardText discards the text of an item, so that it runs from the start. The caller holds
// r.mu.
func (r *runner) discardText(w *workItem) {
	r.store.opts.Log.Info("TextDiscarded", zap.String("Request", w.item.ID), zap.String("Job", w.spec.ID),
		zap.Uint64s("Versions", w.text.versions), zap.String("Software", w.text.software), zap.Uint64("Events", w.text.lastID))
	w.text.discard()
}

// softwareChanged reports whether an engine has started again with another version of its
// software, under the same ID, since it was assigned. The run may have been at either. The
// caller holds r.mu.
func (r *runner) softwareChanged(a dispatch.Assignment) bool {
	u, known := r.upstreams[a.Engine]
	return known && u.Born != a.Born && u.Software != a.Software
}

// recordErrorStatus records an error response of an engine. After a 422 the item
// is abandoned without another run.
func (r *runner) recordErrorStatus(w *workItem, engine string, status int) dispatch.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.failedBy == nil {
		w.failedBy = make(map[string]bool)
	}
	w.failedBy[engine] = true
	switch status {
	case statusUnprocessable:
		w.failures = max(1, w.route.MaxAttempts)
		return dispatch.OutcomeDone
	case statusServerError:
		w.failures++
		return dispatch.OutcomeDone
	}
	return dispatch.OutcomeBroken
}

// recordContinuation records that a run continues a text.
func (r *runner) recordContinuation(w *workItem, a dispatch.Assignment, after string) {
	r.mu.Lock()
	software := w.text.software
	r.mu.Unlock()
	r.store.opts.Log.Info("ItemContinued", zap.String("Request", w.item.ID), zap.String("Job", w.spec.ID), zap.String("Upstream", a.Engine),
		zap.String("Software", a.Software), zap.String("TextSoftware", software), zap.String("After", after))
	r.store.metrics.continuations.WithLabelValues(continuationOf(a.Software, software)).Inc()
}

// continuationOf returns the label of a run that continues a text.
func continuationOf(engine, text string) string {
	switch {
	case engine == "" || text == "":
		return "Unknown"
	case engine == text:
		return "Same"
	}
	return "Other"
}

// newExchange returns the request that runs an item on its assigned engine.
func (r *runner) newExchange(w *workItem, a dispatch.Assignment) rollout.UpstreamRequest {
	x := rollout.UpstreamRequest{
		Address: a.Address, Instance: a.Engine, Method: "POST", URI: w.item.Path, Host: w.spec.Host,
		AttemptID: w.item.ID, Account: w.spec.Account, Body: w.item.Body, WeightVersion: a.Version,
		BudgetMS: max(1_000, w.queuedMS+w.route.MaxQueueMS-r.store.clock.Now()),
	}
	for _, h := range w.item.Headers {
		x.Header = append(x.Header, rollout.HeaderField{Name: h.Name, Value: h.Value})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x.NewConnection = w.failedBy[a.Engine]
	if w.text.lastID > 0 {
		x.ResumeAfter = strconv.FormatUint(w.text.lastID, 10)
	}
	return x
}

// score calls the scorer of an item, if it has one, and commits the result.
func (r *runner) score(ctx context.Context, w *workItem) {
	result := job.Result{ItemID: w.item.ID, State: job.StateCompleted}
	if w.item.Scorer == nil {
		r.commitResult(ctx, w, result)
		return
	}
	for scoreFailures := 0; ; {
		score, failures := r.callScorer(ctx, w)
		switch {
		case ctx.Err() != nil:
			return
		case score != "":
			result.Score = score
			r.commitResult(ctx, w, result)
			return
		}
		scoreFailures += failures
		if scoreFailures >= r.maxScorerFailures(w.item.Scorer) {
			r.abandon(ctx, w, abandonedForScorer)
			return
		}
		if r.pastMaxQueue(w) {
			r.abandon(ctx, w, abandonedForAge)
			return
		}
		if !sleep(ctx, scoreRetryDelay) {
			return
		}
	}
}

// The reasons for which an item is abandoned, as logged. The end of an engine under a run
// is none of them.
const (
	// abandonedForFailures follows a 422 or as many responses with status 500 as the
	// route allows attempts.
	abandonedForFailures = "Failures"
	// abandonedForScorer follows as many responses of the scorer with status 500 as
	// its route allows attempts.
	abandonedForScorer = "Scorer"
	// abandonedForAge follows the maximum queueing time of the route.
	abandonedForAge = "Age"
)

// abandon commits that an item has no result.
func (r *runner) abandon(ctx context.Context, w *workItem, reason string) {
	r.store.opts.Log.Info("ItemAbandoned", zap.String("Request", w.item.ID), zap.String("Job", w.spec.ID), zap.String("Reason", reason))
	r.commitResult(ctx, w, job.Result{ItemID: w.item.ID, State: job.StateAbandoned})
}

// maxScorerFailures returns the number of scorer failures after which an item is
// abandoned.
func (r *runner) maxScorerFailures(sc *job.Scorer) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	route, _ := r.index.Route(sc.Host, sc.Path)
	return max(1, route.MaxAttempts)
}

// callScorer returns the scorer's signature of its response to an item. If there is
// none, failures is 1 if the scorer responded with a 500, or else 0.
func (r *runner) callScorer(ctx context.Context, w *workItem) (score string, failures int) {
	sc := w.item.Scorer
	route, ok := r.scorerRoute(sc)
	if !ok {
		r.store.opts.Log.Warn("ScorerRouteNotFound", zap.String("Request", sc.ID), zap.String("Host", sc.Host))
		return "", 0
	}
	pool := route.PickPool(0)
	if !r.scorerLanes.enter(ctx, pool, r.store.balancer.Slots(pool)) {
		return "", 0
	}
	defer r.scorerLanes.leave(pool)
	response, err := r.store.balancer.Do(ctx, balance.Request{
		UpstreamRequest: rollout.UpstreamRequest{Method: "POST", URI: sc.Path, Host: sc.Host, AttemptID: sc.ID, Body: sc.Body},
		Pool:            pool, Repeatable: true, MaxAttempts: 1,
		Deadline: time.Now().Add(scoreTimeout), Priority: route.Priority, Background: true, LimitPatience: scoreLimitPatience,
		Restrict: func() balance.Restriction { return r.restrictScorer(w, route) },
	})
	if err != nil {
		r.store.opts.Log.Info("ScorerFailed", zap.String("Request", sc.ID), zap.Error(err))
		return "", 0
	}
	if response.Head.Status >= 300 {
		r.store.opts.Log.Info("ScorerFailed", zap.String("Request", sc.ID), zap.Int("Status", response.Head.Status))
		if response.Head.Status == statusServerError {
			return "", 1
		}
		return "", 0
	}
	return response.Head.Stamp, 0
}

// commitResult commits the result of an item. It retries until the context ends
// or the command is refused because the term or the job has ended.
func (r *runner) commitResult(ctx context.Context, w *workItem, result job.Result) {
	for r.isSaving(w) {
		if !sleep(ctx, savePollInterval) {
			return
		}
	}
	for {
		f := job.FinishItem{Writer: r.writer, JobID: w.spec.ID, Result: result}
		if result.State == job.StateCompleted {
			p, err := r.unsavedPiece(w)
			f.Piece = p.TextPiece
			if err != nil {
				r.store.opts.Log.Error("TextDecodeFailed", zap.String("Request", w.item.ID), zap.Error(err))
				return
			}
		}
		err := r.store.propose(ctx, job.Command{Finish: &f})
		r.store.opts.Log.Info("ItemFinished", zap.String("Request", w.item.ID), zap.String("Job", w.spec.ID),
			zap.String("State", string(result.State)), zap.Uint64s("Versions", f.Piece.Versions), zap.Error(err))
		if err == nil {
			break
		}
		switch rollout.AsError(err).Kind {
		case rollout.KindNoAuthority, rollout.KindNotFound:
			return
		case rollout.KindConflict:
			r.mu.Lock()
			w.text.rewrite = true
			r.mu.Unlock()
		}
		if !sleep(ctx, proposeRetryDelay) {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.done = true
	r.store.metrics.items.WithLabelValues(string(result.State)).Inc()
}

// isSaving reports whether a piece of the text is being stored.
func (r *runner) isSaving(w *workItem) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.text.saving
}

// saveIfLong starts to store the unsaved text of an item once there is enough of
// it, so that another leader can resume from it. The caller holds r.mu.
func (r *runner) saveIfLong(w *workItem) {
	if !w.text.isSaveDue() {
		return
	}
	w.text.saving = true
	r.goroutines.Go(func() { r.saveText(r.ctx, w) })
}

// saveText stores the unsaved text of an item.
func (r *runner) saveText(ctx context.Context, w *workItem) {
	p, err := r.unsavedPiece(w)
	if err == nil {
		err = r.store.propose(ctx, job.Command{Extend: &job.ExtendText{Writer: r.writer, JobID: w.spec.ID, ItemID: w.item.ID, Piece: p.TextPiece}})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.text.saving = false
	switch {
	case err == nil:
		w.text.markSaved(p)
	case rollout.AsError(err).Kind == rollout.KindConflict:
		w.text.rewrite = true
	default:
		r.store.opts.Log.Info("TextSaveFailed", zap.String("Request", w.item.ID), zap.Error(err))
	}
}

// unsavedPiece returns the piece that brings the stored text of an item up to
// date.
func (r *runner) unsavedPiece(w *workItem) (unsavedPiece, error) {
	r.mu.Lock()
	t := *w.text
	r.mu.Unlock()
	p, err := t.unsavedPiece(r.store.packer)
	p.Request = w.request
	return p, err
}

func (r *runner) logRun(w *workItem, a dispatch.Assignment, started time.Time, status int, err error) {
	r.mu.Lock()
	events := w.text.received
	r.mu.Unlock()
	r.store.opts.Log.Info("ItemRun", zap.String("Request", w.item.ID), zap.String("Job", w.spec.ID), zap.String("Upstream", a.Engine),
		zap.Uint64("Version", a.Version), zap.String("Software", a.Software), zap.Int("Status", status), zap.Int("Events", events),
		zap.Duration("Took", time.Since(started)), zap.Error(err))
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
