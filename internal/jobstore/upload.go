package jobstore

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const (
	// maxLogBytes is the length of the log up to which parts of jobs are taken at once. The log
	// is in memory too, and a snapshot that shortens it takes seconds.
	maxLogBytes = compactBytes + compactBytes/2 + compactBytes/4
	// logWait bounds the wait of a part for a shorter log. It is below the time limit of the
	// call.
	logWait         = 400 * time.Millisecond
	logPollInterval = 10 * time.Millisecond
	// uploadIdleMS is how long an upload may get no part before it is dropped.
	uploadIdleMS rollout.Millis = 10_000
)

// PartRequest adds a part to a job that is too long for one message.
type PartRequest struct {
	// Spec is the submission without items.
	Spec job.Spec
	Part job.Part
}

// PartReply says how far the upload of a job is.
type PartReply struct {
	// Parts is the number of parts that the job store holds.
	Parts int
	// Accepted is true if the job has been accepted before.
	Accepted bool
}

// addPart adds a part to the upload of a job. A reply that does not count the part asks for the
// part that follows those it counts.
func (s *Store) addPart(ctx context.Context, req PartRequest) (PartReply, error) {
	r, err := s.leadingRunner()
	if err != nil {
		return PartReply{}, err
	}
	if reply := s.uploadState(req.Part.JobID); reply.Accepted || reply.Parts < req.Part.Number {
		return reply, nil
	}
	if err := r.checkMembers(&req.Spec); err != nil {
		return PartReply{}, err
	}
	done, err := s.admitLogged(&req.Spec, req.Part.Memory)
	if err != nil {
		return PartReply{}, err
	}
	defer done()
	if !s.awaitLogSpace(ctx) {
		return s.uploadState(req.Part.JobID), nil
	}
	if err := s.propose(ctx, job.Command{Part: &req.Part}); err != nil {
		return PartReply{}, err
	}
	return s.uploadState(req.Part.JobID), nil
}

// uploadState returns how far the upload of a job is.
func (s *Store) uploadState(jobID string) PartReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := PartReply{Accepted: s.state.Jobs[jobID] != nil}
	if u := s.state.Uploads[jobID]; u != nil {
		reply.Parts = len(u.Digests)
		u.TouchedMS = s.clock.Now()
	}
	return reply
}

// awaitLogSpace waits until the log is short enough for another part. It returns false if that
// takes too long.
func (s *Store) awaitLogSpace(ctx context.Context) bool {
	end := time.Now().Add(logWait)
	for s.replica.LogBytes() > maxLogBytes {
		if !time.Now().Before(end) || !sleep(ctx, logPollInterval) {
			return false
		}
	}
	return true
}

// dropIdleUploads drops the uploads that have got no part for long. Their callers have left.
func (r *runner) dropIdleUploads(ctx context.Context) {
	now := r.store.clock.Now()
	var idle []string
	r.store.mu.Lock()
	for id, u := range r.store.state.Uploads {
		if u.TouchedMS == 0 {
			// The parts came to a former leader.
			u.TouchedMS = now
		}
		if now-u.TouchedMS > uploadIdleMS {
			idle = append(idle, id)
		}
	}
	r.store.mu.Unlock()
	if len(idle) == 0 {
		return
	}
	err := r.store.propose(ctx, job.Command{Drop: &job.DropUploads{JobIDs: idle}})
	r.store.opts.Log.Info("UploadsDropped", zap.Strings("Jobs", idle), zap.Error(err))
}
