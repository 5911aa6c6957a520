package jobstore

import (
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const (
	// heldShare is the part of the memory, as a divisor, that the items of open jobs may take.
	// A host holds an item in its state and, until a snapshot, in its log.
	heldShare = 5
	// smallJobShare is the part of that, as a divisor, that large jobs cannot take.
	smallJobShare = 4
	// smallJobBytes is the size up to which a job is small.
	smallJobBytes = 1 << 20
	// fullRetryMS is about the time between two ends of jobs of a trainer.
	fullRetryMS rollout.Millis = 2_000
)

// admit reserves memory for the items of a job that is being submitted. The returned function
// must be called once the job has been accepted or refused.
func (s *Store) admit(spec job.Spec) (done func(), err error) {
	bytes := spec.Bytes()
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.submitting
	for _, j := range s.state.Jobs {
		if !j.Ended {
			held += j.Spec.Bytes()
		}
	}
	if limit := s.heldLimit(bytes); limit > 0 && held > 0 && held+bytes > limit {
		return nil, rollout.NewError(rollout.KindOverloaded, "open jobs hold %d bytes of items, job %s adds %d, limit %d", held, spec.ID, bytes, limit).
			WithNotRun().WithRetryAfter(fullRetryMS)
	}
	s.submitting += bytes
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.submitting -= bytes
	}, nil
}

// heldLimit returns the bytes of items that may be held with a job of a size, or 0 for no limit.
func (s *Store) heldLimit(bytes int64) int64 {
	limit := s.opts.MemoryBytes / heldShare
	if bytes > smallJobBytes {
		limit -= limit / smallJobShare
	}
	return limit
}
