package jobstore

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

const (
	statusUnprocessable = 422
	statusServerError   = 500
	// scoreRetryPause is the pause after a scorer could not be reached.
	scoreRetryPause = 150 * time.Millisecond
	// scoreBudget is the time that one call to a scorer may take.
	scoreBudget = 3 * time.Second
	// keepEvents is how many new events of an item the book is told of at
	// once: about a second of work of an engine.
	keepEvents = 20
	// keepPause is the time between two looks at a piece on its way.
	keepPause = 10 * time.Millisecond
	// proposeRetryPause is the pause after a result could not be listed.
	proposeRetryPause = 100 * time.Millisecond
	// crashPause is the pause of an item that seems to crash the engines that
	// run it. The users' rules want an item at an engine each 5 s.
	crashPause = 4 * time.Second
)

// runItem runs an item on an engine, or only scores it when its text is
// complete.
func (r *runner) runItem(ctx context.Context, w *work, a dispatch.Assignment) {
	outcome := dispatch.OutcomeDone
	if a.Engine != "" {
		started := time.Now()
		outcome = r.generateMovable(ctx, w, a)
		r.s.metrics.runs.WithLabelValues(outcome.String()).Inc()
		r.s.metrics.seconds.Observe(time.Since(started).Seconds())
	}
	r.mu.Lock()
	if a.Engine != "" {
		r.sched.RunEnded(r.s.clock.Now(), a, outcome)
		r.nudge()
	}
	if w.text.complete {
		w.text.fit(w.spec.MinVersion, w.route.SingleVersion)
	}
	abandon := w.failures >= max(1, w.route.MaxAttempts)
	complete := w.text.complete
	r.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return
	case abandon:
		r.finish(ctx, w, job.Result{ItemID: w.item.ID, State: job.StateAbandoned})
	case complete:
		r.score(ctx, w)
	default:
		if !pause(ctx, w.breakPause()) {
			return
		}
		r.mu.Lock()
		r.queue(w)
		r.mu.Unlock()
	}
}

// generateMovable runs generate so that it can be broken off to go on at
// another engine.
func (r *runner) generateMovable(ctx context.Context, w *work, a dispatch.Assignment) dispatch.Outcome {
	moveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	w.move, w.stalled = cancel, false
	r.mu.Unlock()
	outcome := r.generate(moveCtx, w, a)
	r.mu.Lock()
	defer r.mu.Unlock()
	w.move = nil
	if outcome != dispatch.OutcomeCancelled || ctx.Err() != nil {
		return outcome
	}
	if w.stalled {
		return dispatch.OutcomeBroken
	}
	return dispatch.OutcomeMoved
}

// generate reads the stream of an engine into the text of an item.
func (r *runner) generate(ctx context.Context, w *work, a dispatch.Assignment) dispatch.Outcome {
	x := r.exchange(w, a)
	started := time.Now()
	head, err := r.s.opts.Upstreams.Open(ctx, x)
	if err != nil {
		r.logRun(w, a, started, 0, err)
		if ctx.Err() != nil {
			return dispatch.OutcomeCancelled
		}
		if !rollout.AsError(err).NotRun {
			w.broke(0)
		}
		return dispatch.OutcomeBroken
	}
	defer func() { _ = head.Body.Close() }()
	switch {
	case head.Misdirected:
		r.logRun(w, a, started, head.Status, nil)
		return dispatch.OutcomeOtherVersion
	case head.NotRun:
		r.logRun(w, a, started, head.Status, nil)
		return dispatch.OutcomeTurnedAway
	case head.Status >= 300 || !head.Streaming:
		r.logRun(w, a, started, head.Status, nil)
		return r.failed(w, head.Status)
	}
	w.begun = true
	version, events := head.WeightVersion, 0
	err = r.s.opts.Upstreams.Events(head.Body, func(e rollout.StreamEvent) {
		if e.WeightVersion != 0 {
			version = e.WeightVersion
		}
		events++
		r.mu.Lock()
		w.text.add(e, version)
		r.keepLong(w)
		r.sched.Progress(r.s.clock.Now(), a.Task)
		r.mu.Unlock()
	})
	r.logRun(w, a, started, head.Status, err)
	if err != nil {
		if ctx.Err() != nil {
			return dispatch.OutcomeCancelled
		}
		w.broke(events)
		return dispatch.OutcomeBroken
	}
	r.mu.Lock()
	w.text.complete = true
	r.mu.Unlock()
	return dispatch.OutcomeDone
}

// broke counts a run that the engine broke off after some events.
func (w *work) broke(events int) {
	if events > 0 {
		w.breaks = 0
		return
	}
	w.breaks++
}

// breakPause returns how long an item waits before it runs again.
func (w *work) breakPause() time.Duration {
	if w.breaks < poison.CrashLimit {
		return 0
	}
	return crashPause
}

// failed counts a failure that the engine itself answered.
func (r *runner) failed(w *work, status int) dispatch.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
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

func (r *runner) exchange(w *work, a dispatch.Assignment) rollout.Exchange {
	x := rollout.Exchange{
		Address: a.Address, Instance: a.Engine, Method: "POST", URI: w.item.Path, Host: w.spec.Host,
		AttemptID: w.item.ID, Account: w.spec.Account, Body: w.item.Body, WeightVersion: a.Version,
		BudgetMS: max(1_000, w.openedMS+w.route.MaxQueueMS-r.s.clock.Now()),
	}
	for _, h := range w.item.Headers {
		x.Header = append(x.Header, rollout.HeaderField{Name: h.Name, Value: h.Value})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.text.lastID > 0 {
		x.ResumeAfter = strconv.FormatUint(w.text.lastID, 10)
	}
	return x
}

// score has the text of an item scored and lists the result.
func (r *runner) score(ctx context.Context, w *work) {
	result := job.Result{ItemID: w.item.ID, State: job.StateCompleted}
	if w.item.Scorer == nil {
		r.finish(ctx, w, result)
		return
	}
	for scoreFailures := 0; ; {
		score, failures := r.callScorer(ctx, w.item.Scorer)
		switch {
		case ctx.Err() != nil:
			return
		case score != "":
			result.Score = score
			r.finish(ctx, w, result)
			return
		}
		scoreFailures += failures
		if scoreFailures >= r.scorerAttempts(w.item.Scorer) {
			r.finish(ctx, w, job.Result{ItemID: w.item.ID, State: job.StateAbandoned})
			return
		}
		if !pause(ctx, scoreRetryPause) {
			return
		}
	}
}

// scorerAttempts returns how many failures of a scorer's call end an item.
func (r *runner) scorerAttempts(sc *job.Scorer) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	route, _ := r.index.Route(sc.Host, sc.Path)
	return max(1, route.MaxAttempts)
}

// callScorer returns the signature of the scorer's answer, or how often the
// scorer itself has failed.
func (r *runner) callScorer(ctx context.Context, sc *job.Scorer) (score string, failures int) {
	r.mu.Lock()
	index := r.index
	r.mu.Unlock()
	route, ok := index.Route(sc.Host, sc.Path)
	if !ok {
		r.s.opts.Log.Warn("ScorerUnknown", zap.String("Request", sc.ID), zap.String("Host", sc.Host))
		return "", 0
	}
	answer, err := r.s.balancer.Do(ctx, balance.Request{
		Exchange: rollout.Exchange{Method: "POST", URI: sc.Path, Host: sc.Host, AttemptID: sc.ID, Body: sc.Body},
		Pool:     route.PickPool(0), Repeatable: true, MaxAttempts: 1,
		Deadline: time.Now().Add(scoreBudget),
	})
	if err != nil {
		r.s.opts.Log.Info("ScorerFailed", zap.String("Request", sc.ID), zap.Error(err))
		return "", 0
	}
	if answer.Head.Status >= 300 {
		r.s.opts.Log.Info("ScorerFailed", zap.String("Request", sc.ID), zap.Int("Status", answer.Head.Status))
		if answer.Head.Status == statusServerError {
			return "", 1
		}
		return "", 0
	}
	return answer.Head.Stamp, 0
}

// finish lists a result. It tries until the lead or the job ends.
func (r *runner) finish(ctx context.Context, w *work, result job.Result) {
	for r.isKeeping(w) {
		if !pause(ctx, keepPause) {
			return
		}
	}
	for {
		f := job.Finish{Writer: r.writer, JobID: w.spec.ID, Result: result}
		if result.State == job.StateCompleted {
			var err error
			if f.Piece, _, err = r.piece(w); err != nil {
				r.s.opts.Log.Error("TextUnreadable", zap.String("Request", w.item.ID), zap.Error(err))
				return
			}
		}
		err := r.s.propose(ctx, job.Command{Finish: &f})
		r.s.opts.Log.Info("ItemListed", zap.String("Request", w.item.ID), zap.String("Job", w.spec.ID),
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
		if !pause(ctx, proposeRetryPause) {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.done = true
	r.s.metrics.items.WithLabelValues(string(result.State)).Inc()
}

func (r *runner) isKeeping(w *work) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return w.text.keeping
}

// keepLong has the book keep the text of an item once much of it is new, so
// that another leader goes on from there. It is called with mu held.
func (r *runner) keepLong(w *work) {
	if w.text.keeping || len(w.text.events) < keepEvents {
		return
	}
	w.text.keeping = true
	r.wait.Go(func() { r.keep(r.ctx, w) })
}

// keep has the book keep what is new of the text of an item.
func (r *runner) keep(ctx context.Context, w *work) {
	piece, events, err := r.piece(w)
	if err == nil {
		err = r.s.propose(ctx, job.Command{Extend: &job.Extend{Writer: r.writer, JobID: w.spec.ID, ItemID: w.item.ID, Piece: piece}})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.text.keeping = false
	switch {
	case err == nil:
		w.text.kept(piece, events)
	case rollout.AsError(err).Kind == rollout.KindConflict:
		w.text.rewrite = true
	default:
		r.s.opts.Log.Info("TextNotKept", zap.String("Request", w.item.ID), zap.Error(err))
	}
}

// piece returns what the book lacks of the text of an item, and the number of
// new events in it.
func (r *runner) piece(w *work) (job.Piece, int, error) {
	r.mu.Lock()
	t := *w.text
	r.mu.Unlock()
	p, err := t.piece(r.s.packer)
	return p, len(t.events), err
}

func (r *runner) logRun(w *work, a dispatch.Assignment, started time.Time, status int, err error) {
	r.mu.Lock()
	events := w.text.total
	r.mu.Unlock()
	r.s.opts.Log.Info("ItemRun", zap.String("Request", w.item.ID), zap.String("Job", w.spec.ID), zap.String("Upstream", a.Engine),
		zap.Uint64("Version", a.Version), zap.Int("Status", status), zap.Int("Events", events),
		zap.Duration("Took", time.Since(started)), zap.Error(err))
}

// pause waits and tells whether the context goes on.
func pause(ctx context.Context, d time.Duration) bool {
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
