package callers

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// readAheadBytes is what the server may read beyond a head, into its buffer.
	readAheadBytes = 4 << 10
	// freeHeadBytes is the memory of a head that counts as part of its connection.
	freeHeadBytes = 8 << 10
	// headFieldBytes is the memory of a field of a head beside its text.
	headFieldBytes = 160
)

// head is what has been read of a head.
type head struct {
	bytes, lines int
	began        bool
}

// recordRead follows what is read. It returns the head if one is being read, and false if
// nothing more may be read.
func (c *connection) recordRead(p []byte) (*head, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = time.Now()
	began := c.phase == phaseIdle
	if began {
		c.phase, c.headBytes, c.headLines = phaseHead, 0, 0
	}
	if c.expired {
		return nil, false
	}
	if c.interrupted {
		// A byte arrived before the deadline took effect, so the request is served.
		c.interrupted = false
		_ = c.SetReadDeadline(time.Time{})
	}
	if c.phase != phaseHead {
		return nil, true
	}
	c.headBytes += len(p)
	if end := bytes.Index(p, []byte("\r\n\r\n")); end >= 0 {
		// What follows are lines of the body.
		p = p[:end]
	}
	c.headLines += bytes.Count(p, []byte("\n"))
	return &head{c.headBytes, c.headLines, began}, true
}

// chargeHead limits the length, the time and the memory of a head. It returns false if the
// head is refused.
func (c *connection) chargeHead(h head) bool {
	limits := c.owner.opts.limits()
	if h.began {
		c.timer.Reset(limits.HeaderTimeout)
	}
	if most := limits.HeaderBytes + readAheadBytes; h.bytes > most {
		c.owner.opts.Intake.Refused(intake.ReasonHead)
		c.refuseHead(rollout.NewError(rollout.KindHeaderTooLarge, "the head of the request is longer than %d bytes", limits.HeaderBytes).WithNotRun())
		return false
	}
	memory := int64(h.bytes + headFieldBytes*h.lines)
	if memory <= freeHeadBytes {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), limits.HeaderTimeout)
	defer cancel()
	if err := c.open().Reserve(ctx, memory); err != nil {
		c.refuseHead(rollout.AsError(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charged = memory
	return true
}

// refuseHead writes a response to a request whose head is not read to its end.
func (c *connection) refuseHead(err *rollout.Error) {
	body := c.owner.opts.ErrorBody(err)
	status := err.Status()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
	c.interrupt()
}
