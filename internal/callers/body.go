package callers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// firstBodyBytes is the length of the first buffer of a body whose length is not known.
	firstBodyBytes = 4 << 10
	// heldResponseBytes is the length from which a response counts as memory of its request.
	heldResponseBytes = 64 << 10
	// maxMemoryWait bounds the wait of a request for memory beside its deadline.
	maxMemoryWait = 30 * time.Second
)

// BodyOptions limits a body that is read.
type BodyOptions struct {
	// MaxBytes is the length that the body may have.
	MaxBytes int64
	// Deadline is the time by which the body must have been received, or zero.
	Deadline time.Time
	// Copies is how many times its length the request takes beside the body itself.
	Copies int64
}

// ReadBody reads the body of a request, whose memory is released when its handler returns. It
// fails with KindBodyTooLarge, with KindOverloaded if the memory is not free in time or the
// body makes no progress while others wait, and with KindDeadlineExceeded.
func ReadBody(r *http.Request, opts BodyOptions) ([]byte, error) {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return nil, rollout.NewError(rollout.KindInternal, "the request was not received by a server of this package")
	}
	return c.readBody(r.Context(), r.Body, r.ContentLength, opts)
}

// HoldResponse charges a request for a response that is in memory until its client has read
// it.
func HoldResponse(r *http.Request, bytes int) {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && bytes > heldResponseBytes {
		c.hold(int64(bytes))
	}
}

// readBody reads a body whose length is -1 if it is not known.
func (c *connection) readBody(ctx context.Context, body io.Reader, length int64, opts BodyOptions) ([]byte, error) {
	if length == 0 || body == nil || body == http.NoBody {
		return nil, nil
	}
	if length > opts.MaxBytes {
		return nil, c.bodyTooLarge(opts)
	}
	c.beginBody()
	wait := time.Now().Add(maxMemoryWait)
	if !opts.Deadline.IsZero() && opts.Deadline.Before(wait) {
		wait = opts.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, wait)
	defer cancel()
	b := &bodyReader{connection: c, lease: c.open(), opts: opts, head: c.headCharge()}
	stop := c.interruptAt(opts.Deadline)
	defer stop()
	var err error
	if length > 0 {
		err = b.readLength(ctx, body, length)
	} else {
		err = b.readToEnd(ctx, body)
	}
	c.endBody(err == nil)
	b.lease.Settle()
	return b.data, b.explain(err)
}

func (c *connection) bodyTooLarge(opts BodyOptions) error {
	c.owner.opts.Intake.Refused(intake.ReasonBodyTooLarge)
	return rollout.NewError(rollout.KindBodyTooLarge, "the body is longer than %d bytes", opts.MaxBytes).WithNotRun()
}

// headCharge returns the memory of the head of the request.
func (c *connection) headCharge() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.charged
}

// interruptAt interrupts the reading of a body at a time, unless it is zero or the returned
// function is called first.
func (c *connection) interruptAt(at time.Time) (stop func()) {
	if at.IsZero() {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(at), func() {
		c.mu.Lock()
		waits := c.phase == phaseBody
		c.mu.Unlock()
		if waits {
			c.interrupt()
		}
	})
	return func() { timer.Stop() }
}

// bodyReader reads one body.
type bodyReader struct {
	connection *connection
	lease      *intake.Lease
	opts       BodyOptions
	// head is the memory of the head, which the lease holds already.
	head int64
	data []byte
}

// explain returns the error of a body that was not read to its end.
func (b *bodyReader) explain(err error) error {
	var refused *rollout.Error
	switch {
	case b.lease.Evicted():
		return rollout.NewError(rollout.KindOverloaded, "the body was not received in time while others waited for its memory").WithNotRun()
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return err
	case !b.opts.Deadline.IsZero() && !time.Now().Before(b.opts.Deadline):
		b.connection.owner.opts.Intake.Refused(intake.ReasonBodyTimeout)
		return rollout.NewError(rollout.KindDeadlineExceeded, "%d bytes of the body were received before the deadline of the request", len(b.data)).WithNotRun()
	default:
		return rollout.NewError(rollout.KindInvalidInput, "read request body").WithCause(err).WithNotRun()
	}
}

// read reads into the free part of the buffer.
func (b *bodyReader) read(body io.Reader) error {
	n, err := body.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	b.lease.Moved(n)
	return err
}

// readLength reads a body of a known length. Its memory is reserved first, so that it never
// waits for memory while it holds some.
func (b *bodyReader) readLength(ctx context.Context, body io.Reader, length int64) error {
	if err := b.reserve(ctx, length); err != nil {
		return err
	}
	b.data = make([]byte, 0, length)
	for {
		err := b.read(body)
		if errors.Is(err, io.EOF) && int64(len(b.data)) == length {
			return nil
		}
		if err != nil {
			return err
		}
		if int64(len(b.data)) == length {
			return b.expectEnd(body)
		}
	}
}

// expectEnd reads the end of a body that fills the buffer.
func (b *bodyReader) expectEnd(body io.Reader) error {
	var next [1]byte
	n, err := io.ReadFull(body, next[:])
	if n > 0 {
		return b.connection.bodyTooLarge(b.opts)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// readToEnd reads a body of unknown length. Its memory grows as it arrives.
func (b *bodyReader) readToEnd(ctx context.Context, body io.Reader) error {
	for {
		if len(b.data) == cap(b.data) {
			if int64(len(b.data)) == b.opts.MaxBytes {
				return b.expectEnd(body)
			}
			if err := b.grow(ctx); err != nil {
				return err
			}
		}
		err := b.read(body)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the buffer. Both are held while the data is copied.
func (b *bodyReader) grow(ctx context.Context) error {
	old := int64(cap(b.data))
	next := min(max(2*old, firstBodyBytes), b.opts.MaxBytes)
	if err := b.reserve(ctx, old+next); err != nil {
		return err
	}
	data := make([]byte, len(b.data), next)
	copy(data, b.data)
	b.data = data
	b.lease.Shrink(b.head + next*(1+b.opts.Copies))
	return nil
}

// reserve waits until the lease may hold a number of bytes of the body.
func (b *bodyReader) reserve(ctx context.Context, bytes int64) error {
	return b.lease.Reserve(ctx, b.head+bytes*(1+b.opts.Copies))
}
