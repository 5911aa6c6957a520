package gateway

import (
	"context"
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootspoke/coltsfootspoke/internal/jobstore"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const (
	// maxWholeJobBytes is the length of the text up to which a job is sent in one call.
	maxWholeJobBytes = 1 << 20
	// partBytes is the length of a part of a longer job. Every host that the part passes holds
	// it in several forms.
	partBytes = 512 << 10
	// uploadTimeout bounds the time that the parts of a job take.
	uploadTimeout = 30 * time.Second
	// partRetryDelay is the delay before a part is sent again for which there was no room.
	partRetryDelay = 50 * time.Millisecond
)

// JobItems are the items of a job that is being submitted. They are decoded when they are
// needed, as those of a long job would take much of the memory of an entry.
type JobItems struct {
	// Count is the number of items.
	Count int
	// TextBytes is the length of the text of the job.
	TextBytes int
	// All returns the items in order. It may be called several times, and each time returns the
	// same items. An error ends it.
	All iter.Seq2[job.Item, error]
}

// memory returns about how much memory the items take once they are decoded. Most of a long
// text is the base64 form of bodies.
func (i JobItems) memory() int64 {
	return int64(i.TextBytes)*3/4 + int64(i.Count)*job.ItemBytes
}

// upload is a job whose items are sent in parts.
type upload struct {
	gateway *Gateway
	call    storeCall
	spec    job.Spec
	items   JobItems
	// held is the number of parts that the job store is known to hold.
	held int
	// accepted is true if the job store has accepted the job before.
	accepted bool
}

// submitInParts submits a job whose items are sent before it. No part of it can run before all
// of them and the submission are committed.
func (g *Gateway) submitInParts(ctx context.Context, call storeCall, spec job.Spec, items JobItems) error {
	partCall := call
	partCall.method = jobstore.MethodAddPart
	u := &upload{gateway: g, call: partCall, spec: spec, items: items}
	staged, err := u.send(ctx)
	if err != nil || u.accepted {
		return err
	}
	spec.Staged = &staged
	return callStore(ctx, g, call, spec, &jobstore.Empty{})
}

// send sends the parts until the job store holds all of them, or has accepted the job.
func (u *upload) send(ctx context.Context) (job.StagedItems, error) {
	ctx, cancel := context.WithTimeout(ctx, uploadTimeout)
	defer cancel()
	for {
		staged, err := u.pass(ctx)
		if err != nil {
			return staged, u.withoutRun(err)
		}
		if u.accepted || u.held >= staged.Parts {
			return staged, nil
		}
		if ctx.Err() != nil {
			return staged, u.withoutRun(rollout.NewError(rollout.KindUnavailable, "the job store holds %d of %d parts of job %s after %v", u.held, staged.Parts, u.spec.ID, uploadTimeout))
		}
	}
}

// withoutRun returns the error of a part. Parts do not run, whatever became of the call.
func (u *upload) withoutRun(err error) error {
	e := rollout.AsError(err)
	if e.Kind == rollout.KindOutcomeUnknown {
		e = rollout.NewError(rollout.KindUnavailable, "send the items of job %s", u.spec.ID).WithCause(err)
	}
	return e.WithNotRun()
}

// pass encodes the items from the start and sends the parts that the job store does not hold. It
// ends early if the job store has lost parts that it held.
func (u *upload) pass(ctx context.Context) (job.StagedItems, error) {
	p := &partWriter{digest: xxhash.New(), buf: make([]byte, 0, partBytes), send: func(part job.Part) error { return u.sendPart(ctx, part) }}
	for it, err := range u.items.All {
		if err == nil {
			err = job.WriteItem(p, it)
		}
		if err != nil {
			return job.StagedItems{}, err
		}
		if u.accepted || u.held < p.number {
			return job.StagedItems{Parts: p.number + 1}, nil
		}
	}
	if err := p.flush(); err != nil {
		return job.StagedItems{}, err
	}
	return job.StagedItems{Parts: p.number, Digest: p.digest.Sum64(), Items: u.items.Count}, nil
}

// sendPart sends a part unless the job store holds it. After it, the job store holds the part, has
// accepted the job, or has lost parts before this one.
func (u *upload) sendPart(ctx context.Context, part job.Part) error {
	part.JobID, part.Account, part.Memory = u.spec.ID, u.spec.Account, u.items.memory()
	for !u.accepted && u.held == part.Number {
		var reply jobstore.PartReply
		if err := callStore(ctx, u.gateway, u.call, jobstore.PartRequest{Spec: u.spec, Part: part}, &reply); err != nil {
			return err
		}
		u.held, u.accepted = reply.Parts, reply.Accepted
		if u.held != part.Number {
			break
		}
		select {
		case <-ctx.Done():
			return rollout.NewError(rollout.KindUnavailable, "the job store has no room for part %d of job %s", part.Number, part.JobID).WithCause(ctx.Err())
		case <-time.After(partRetryDelay):
		}
	}
	return nil
}

// partWriter cuts a stream of items into parts.
type partWriter struct {
	digest *xxhash.Digest
	// buf holds the part that is not complete.
	buf []byte
	// number is the number of parts that were sent.
	number int
	send   func(part job.Part) error
}

// Write implements io.Writer.
func (p *partWriter) Write(data []byte) (int, error) {
	written := len(data)
	for len(data) > 0 {
		n := min(len(data), partBytes-len(p.buf))
		p.buf, data = append(p.buf, data[:n]...), data[n:]
		if len(p.buf) < partBytes {
			break
		}
		if err := p.flush(); err != nil {
			return 0, err
		}
	}
	return written, nil
}

// flush sends what is left over as the next part.
func (p *partWriter) flush() error {
	if len(p.buf) == 0 {
		return nil
	}
	_, _ = p.digest.Write(p.buf)
	if err := p.send(job.Part{Number: p.number, Bytes: p.buf, Digest: p.digest.Sum64()}); err != nil {
		return err
	}
	p.number++
	p.buf = p.buf[:0]
	return nil
}
