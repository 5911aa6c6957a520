package jobstore

import (
	"context"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/dispatch"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// pacesIntervalMS is the time between two looks for paces to record. The pace of hardware is
// measured over some seconds, and engines announce themselves to a new leader within that time.
const pacesIntervalMS rollout.Millis = 5_000

// paceRecord is what a runner has recorded of the paces of engines for the next leader.
type paceRecord struct {
	recorded dispatch.Paces
	lookedMS rollout.Millis
	// recording is true while a command that records paces is being committed.
	recording bool
}

// loadPaces passes the paces that a former leader recorded to the scheduler, before that has
// any engines.
func (r *runner) loadPaces() {
	r.store.mu.Lock()
	stored := r.store.state.Paces
	r.store.mu.Unlock()
	known := make(dispatch.Paces, len(stored))
	for _, p := range stored {
		known[discovery.Incarnation{ID: p.Engine, Born: p.Born}] = p.IntervalMS
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paces.recorded, r.paces.lookedMS = known, r.store.clock.Now()
	r.sched.SetKnownPaces(known)
}

// recordPacesIfDue starts to record the paces of engines if they have changed. The caller
// holds r.mu.
func (r *runner) recordPacesIfDue(ctx context.Context, now rollout.Millis) {
	if r.paces.recording || now-r.paces.lookedMS < pacesIntervalMS {
		return
	}
	r.paces.lookedMS = now
	known := r.sched.Paces()
	if !known.DiffersFrom(r.paces.recorded) {
		return
	}
	r.paces.recording = true
	r.goroutines.Go(func() { r.recordPaces(ctx, known) })
}

func (r *runner) recordPaces(ctx context.Context, known dispatch.Paces) {
	command := job.SetPaces{Writer: r.writer}
	for engine, ms := range known {
		command.Paces = append(command.Paces, job.Pace{Engine: engine.ID, Born: engine.Born, IntervalMS: ms})
	}
	err := r.store.propose(ctx, job.Command{Paces: &command})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paces.recording = false
	if err != nil {
		r.store.opts.Log.Info("PacesNotRecorded", zap.Int("Engines", len(known)), zap.Error(err))
		return
	}
	r.paces.recorded = known
}
