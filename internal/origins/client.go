// Package origins records where streams began at control hosts, and finds the records when
// callers take streams up at other entries.
package origins

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
)

// The calls of a holder of records. Each holder answers from its own memory, whether it
// leads or not.
const (
	MethodRecord = "Control.RecordOrigins"
	MethodFind   = "Control.FindOrigin"
)

const (
	// holders is the number of hosts that hold each record.
	holders = 3
	// recordWait bounds how long the first event of a stream waits for its records. It
	// spans many round trips between failure domains.
	recordWait = 40 * time.Millisecond
	// callTimeout bounds a call to a holder.
	callTimeout = 300 * time.Millisecond
	// retryAfterMS is when a caller may take a stream up again while a holder that may
	// have its record does not answer.
	retryAfterMS rollout.Millis = 500
)

// RecordRequest adds records.
type RecordRequest struct{ Records []origin.Record }

// RecordReply confirms that the records are held.
type RecordReply struct{}

// FindRequest asks for the origin of an attempt's stream.
type FindRequest struct{ Key origin.Key }

// FindReply holds the origin, if the holder knows it.
type FindReply struct {
	Known  bool
	Origin origin.Origin
}

// Caller calls methods of other processes. fabric.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, in, out any) error
}

// Options configures a Client.
type Options struct {
	Client Caller
	Clock  rollout.Clock
	// Hosts returns the addresses of the hosts that may hold records.
	Hosts func() []string
	Log   *zap.Logger
}

// Client records and finds origins. It is safe for concurrent use.
type Client struct {
	opts Options
	// recordWait bounds how long Record waits.
	recordWait time.Duration

	mu sync.Mutex
	// own holds the records of this host's streams.
	own *origin.Log
	// queued holds the records that wait for a call to a holder.
	queued map[string][]queuedRecord
	// calling holds the holders to which a call is in progress.
	calling map[string]bool
}

type queuedRecord struct {
	record origin.Record
	// done receives whether the holder has the record.
	done chan<- bool
}

// NewClient returns a client without records.
func NewClient(opts Options) *Client {
	return &Client{opts: opts, recordWait: recordWait, own: origin.NewLog(), queued: make(map[string][]queuedRecord), calling: make(map[string]bool)}
}

// Record records where the stream of an attempt began. It returns once all holders but one
// have the record, or after recordWait. A holder that does not answer delays no stream.
func (c *Client) Record(ctx context.Context, r origin.Record) {
	hosts := origin.Holders(r.Key, c.opts.Hosts(), holders)
	done := make(chan bool, len(hosts))
	c.mu.Lock()
	c.own.Add(c.opts.Clock.Now(), r)
	for _, host := range hosts {
		c.queued[host] = append(c.queued[host], queuedRecord{r, done})
		if !c.calling[host] {
			c.calling[host] = true
			go c.send(host)
		}
	}
	c.mu.Unlock()
	timeout := time.NewTimer(c.recordWait)
	defer timeout.Stop()
	for held, ended := 0, 0; ended < len(hosts) && held < max(1, len(hosts)-1); ended++ {
		select {
		case ok := <-done:
			if ok {
				held++
			}
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// send sends the queued records to a holder until there are none. Records that are queued
// during a call share the next one.
func (c *Client) send(host string) {
	for {
		c.mu.Lock()
		queued := c.queued[host]
		delete(c.queued, host)
		if len(queued) == 0 {
			delete(c.calling, host)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		var req RecordRequest
		for _, q := range queued {
			req.Records = append(req.Records, q.record)
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := c.opts.Client.Call(ctx, host, MethodRecord, req, &RecordReply{})
		cancel()
		if err != nil {
			c.opts.Log.Warn("OriginsNotRecorded", zap.String("Holder", host), zap.Int("Records", len(queued)), zap.Error(err))
		}
		for _, q := range queued {
			q.done <- err == nil
		}
	}
}

// Find returns where the stream of an attempt began. Its error says when the caller may
// try again, if a holder that may know it did not answer.
func (c *Client) Find(ctx context.Context, k origin.Key) (origin.Origin, error) {
	c.mu.Lock()
	found, known := c.own.Find(c.opts.Clock.Now(), k)
	c.mu.Unlock()
	if known {
		return found, nil
	}
	hosts := c.opts.Hosts()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	type result struct {
		reply FindReply
		err   error
	}
	results := make(chan result, len(hosts))
	for _, host := range hosts {
		go func() {
			var r result
			r.err = c.opts.Client.Call(ctx, host, MethodFind, FindRequest{Key: k}, &r.reply)
			results <- r
		}()
	}
	var last error
	for range hosts {
		r := <-results
		switch {
		case r.err != nil:
			last = r.err
		case r.reply.Known:
			return r.reply.Origin, nil
		}
	}
	e := rollout.NewError(rollout.KindNotResumable, "the software version that began the stream of attempt %s is not on record; the stream has to begin anew", k.Attempt).WithNotRun()
	if last != nil || len(hosts) == 0 {
		e = rollout.NewError(rollout.KindUnavailable, "the record of the stream of attempt %s was not reached at all of %d hosts", k.Attempt, len(hosts)).
			WithCause(last).WithNotRun().WithRetryAfter(retryAfterMS)
	}
	return origin.Origin{}, e
}
