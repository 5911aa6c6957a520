package jobstore

import (
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// heldShare is the part of the memory, as a divisor, that the items of open jobs may take.
	// A host holds an item in its state and, until a snapshot, in its log.
	heldShare = 5
	// smallJobShare is the part of that, as a divisor, that large jobs cannot take.
	smallJobShare = 4
	// smallJobBytes is the size up to which a job is small.
	smallJobBytes = 1 << 20
	// largestJobShare is the part of the memory that one job may take. The rest is for the
	// process itself and its log.
	largestJobShare = 2.0 / 3
	// fullRetryMS is about the time between two ends of jobs of a trainer.
	fullRetryMS rollout.Millis = 2_000
	// claimMS is how long memory is kept free for a large job that was refused. Callers come
	// back after fullRetryMS.
	claimMS = 3 * fullRetryMS
)

// memoryClaim is the memory that is kept free for a large job that was refused. Without it, a
// job that needs most of the memory would wait as long as other jobs come and go.
type memoryClaim struct {
	jobID   string
	bytes   int64
	untilMS rollout.Millis
}

// heldMemory is the memory of the items of jobs that are open or being submitted, by the size
// of the jobs.
type heldMemory struct {
	small, large int64
}

func (h *heldMemory) add(bytes int64) {
	if bytes <= smallJobBytes {
		h.small += bytes
	} else {
		h.large += bytes
	}
}

func (h heldMemory) total() int64 { return h.small + h.large }

// admit reserves memory for the items of a job that is being submitted. The returned function
// must be called once the job has been accepted or refused. A job of which this host has a part
// or another submission is admitted with that.
func (s *Store) admit(jobID string, bytes int64) (done func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, joins := s.submitting[jobID]
	if !joins && s.state.Uploads[jobID] == nil {
		if err := s.checkMemory(jobID, bytes); err != nil {
			return nil, err
		}
	}
	if s.submitting == nil {
		s.submitting = make(map[string]submission)
	}
	sub := s.submitting[jobID]
	s.submitting[jobID] = submission{bytes, sub.calls + 1}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		sub := s.submitting[jobID]
		if sub.calls--; sub.calls == 0 {
			delete(s.submitting, jobID)
			return
		}
		s.submitting[jobID] = sub
	}, nil
}

// submission is a job that is being submitted, by one or more calls at a time.
type submission struct {
	bytes int64
	calls int
}

// checkMemory returns an error unless there is memory for the items of a job. The caller holds
// mu.
func (s *Store) checkMemory(jobID string, bytes int64) error {
	limit := s.opts.MemoryBytes / heldShare
	if limit <= 0 {
		return nil
	}
	if most := int64(largestJobShare * float64(s.opts.MemoryBytes)); bytes > most {
		return rollout.NewError(rollout.KindBodyTooLarge, "job %s takes %d bytes of memory, limit %d", jobID, bytes, most).WithNotRun()
	}
	held, now := s.heldMemory(), s.clock.Now()
	claim := s.claim
	if claim.jobID == jobID || now >= claim.untilMS {
		claim = memoryClaim{}
	}
	if held.fits(bytes, claim.bytes, limit) {
		if s.claim.jobID == jobID {
			s.claim = memoryClaim{}
		}
		return nil
	}
	if bytes > smallJobBytes && claim.jobID == "" {
		s.claim = memoryClaim{jobID: jobID, bytes: bytes, untilMS: now + claimMS}
	}
	return rollout.NewError(rollout.KindOverloaded, "open jobs hold %d bytes of items, %d are kept for job %q, job %s adds %d, limit %d", held.total(), claim.bytes, claim.jobID, jobID, bytes, limit).
		WithNotRun().WithRetryAfter(fullRetryMS)
}

// fits reports whether a job fits beside what is held and claimed. Large jobs cannot take the
// part of the small ones. One that is larger than the rest is taken as the only large job.
func (h heldMemory) fits(bytes, claimed, limit int64) bool {
	smallPart := limit / smallJobShare
	if bytes <= smallJobBytes {
		isReserved := claimed > 0 && h.small+bytes <= smallPart
		return h.total()+bytes <= limit && (isReserved || h.total()+bytes+claimed <= limit)
	}
	largePart := limit - smallPart
	if bytes > largePart {
		return h.large+claimed == 0 && h.small <= smallPart
	}
	return h.large+claimed+bytes <= largePart && h.total()+bytes <= limit
}

// heldMemory returns the memory of the items of open jobs, and of those that are being
// submitted. The caller holds mu.
func (s *Store) heldMemory() heldMemory {
	var held heldMemory
	for _, j := range s.state.Jobs {
		if !j.Ended {
			held.add(j.Spec.Bytes())
		}
	}
	for _, u := range s.state.Uploads {
		held.add(u.Memory)
	}
	for id, sub := range s.submitting {
		if s.state.Uploads[id] == nil && s.state.Jobs[id] == nil {
			held.add(sub.bytes)
		}
	}
	return held
}
