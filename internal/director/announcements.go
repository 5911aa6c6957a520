package director

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

const (
	methodAnnounceBatch = "Control.AnnounceBatch"
	// repeatDelay is how long an announcement that repeats the last one waits for
	// others. Upstreams expect a reply within a second.
	repeatDelay = 100 * time.Millisecond
	// batchTimeout bounds a call that sends a batch.
	batchTimeout = 700 * time.Millisecond
	// sentRetentionMS is how long the last announcement of an upstream is kept.
	sentRetentionMS rollout.Millis = 30_000
)

// announcementBatch holds announcements that a control host passes on.
type announcementBatch struct {
	Upstreams []discovery.Upstream
}

// announcementBatcher passes announcements on to the leader of control in batches,
// so that the work of the leader grows with the control hosts and not with the
// upstreams. What changes an upstream is sent at once; an upstream that is only
// alive can wait. It is safe for concurrent use.
type announcementBatcher struct {
	// send delivers a batch to the leader. An error means that nothing in it may
	// count as recorded.
	send  func(context.Context, announcementBatch) error
	clock rollout.Clock
	// urgent and repeated ask run to send what is queued, at once and after
	// repeatDelay.
	urgent, repeated chan struct{}

	mu     sync.Mutex
	queued []queuedAnnouncement
	// sent holds the last recorded announcement of each upstream.
	sent     map[string]sentAnnouncement
	prunedMS rollout.Millis
}

type queuedAnnouncement struct {
	upstream discovery.Upstream
	done     chan error
}

type sentAnnouncement struct {
	upstream discovery.Upstream
	atMS     rollout.Millis
}

func newAnnouncementBatcher(clock rollout.Clock, send func(context.Context, announcementBatch) error) *announcementBatcher {
	return &announcementBatcher{
		send: send, clock: clock, urgent: make(chan struct{}, 1), repeated: make(chan struct{}, 1),
		sent: make(map[string]sentAnnouncement),
	}
}

// announce returns once the leader has recorded an announcement.
func (b *announcementBatcher) announce(ctx context.Context, u discovery.Upstream) error {
	done := make(chan error, 1)
	b.mu.Lock()
	b.queued = append(b.queued, queuedAnnouncement{u, done})
	last, known := b.sent[u.ID]
	b.mu.Unlock()
	wake := b.urgent
	if known && u.Repeats(last.upstream) {
		wake = b.repeated
	}
	select {
	case wake <- struct{}{}:
	default:
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return rollout.NewError(rollout.KindDeadlineExceeded, "announcement of %s was not passed on in time", u.ID).WithCause(ctx.Err())
	}
}

// run sends what is queued until the context ends.
func (b *announcementBatcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.urgent:
		case <-b.repeated:
			select {
			case <-ctx.Done():
				return nil
			case <-b.urgent:
			case <-time.After(repeatDelay):
			}
		}
		b.flush(ctx)
	}
}

// flush sends what is queued in one call.
func (b *announcementBatcher) flush(ctx context.Context) {
	b.mu.Lock()
	queued := b.queued
	b.queued = nil
	b.mu.Unlock()
	if len(queued) == 0 {
		return
	}
	batch := announcementBatch{}
	for _, q := range queued {
		batch.Upstreams = append(batch.Upstreams, q.upstream)
	}
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	err := b.send(ctx, batch)
	if err == nil {
		b.remember(batch.Upstreams)
	}
	for _, q := range queued {
		q.done <- err
	}
}

func (b *announcementBatcher) remember(us []discovery.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, u := range us {
		b.sent[u.ID] = sentAnnouncement{u, now}
	}
	if now-b.prunedMS < sentRetentionMS {
		return
	}
	b.prunedMS = now
	for id, s := range b.sent {
		if now-s.atMS >= sentRetentionMS {
			delete(b.sent, id)
		}
	}
}
