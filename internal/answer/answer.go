// Package answer buffers the responses of attempts and caches those that may be
// requested again.
package answer

import (
	"context"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
)

// Answer buffers the response of one attempt. One goroutine writes it; any
// number of goroutines read it, each from the beginning.
type Answer struct {
	mu sync.Mutex
	// chunks holds the response in order. The last chunk has End set.
	chunks []*wire.RunChunk
	bytes  int64
	ended  bool
	// changed is closed and replaced when a chunk is added.
	changed chan struct{}
}

// New returns an answer without chunks.
func New() *Answer { return &Answer{changed: make(chan struct{})} }

// Add appends a chunk. A chunk with End set must be the last one.
func (a *Answer) Add(c *wire.RunChunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks = append(a.chunks, c)
	a.bytes += int64(len(c.Data))
	a.ended = c.End != nil
	close(a.changed)
	a.changed = make(chan struct{})
	return nil
}

// Next returns the chunks from an index on and reports whether the answer ends
// with them. It blocks until there is at least one chunk or the context ends.
func (a *Answer) Next(ctx context.Context, from int) ([]*wire.RunChunk, bool, error) {
	for {
		a.mu.Lock()
		chunks, ended, changed := a.chunks[from:], a.ended, a.changed
		a.mu.Unlock()
		if len(chunks) > 0 {
			return chunks, ended, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (a *Answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// Cache holds the answers of attempts by attempt ID, so that a repeated request
// gets the answer of the first one. The total size of finished answers is
// limited; running attempts are always held.
type Cache struct {
	mu    sync.Mutex
	limit int64
	// used is the total size of the finished answers in bytes.
	used    int64
	answers map[string]*Answer
	// finished lists the attempts whose finished answers are cached, oldest
	// first.
	finished []string
}

// NewCache returns a cache of at most limit bytes of finished answers.
func NewCache(limit int64) *Cache {
	return &Cache{limit: limit, answers: make(map[string]*Answer)}
}

// Begin adds an empty answer for an attempt and returns it.
func (c *Cache) Begin(attempt string) *Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := New()
	c.answers[attempt] = a
	return a
}

// Find returns the answer of an attempt, or nil if it is not cached.
func (c *Cache) Find(attempt string) *Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[attempt]
}

// Finish marks an answer as finished and counts its size. It evicts the oldest
// finished answers while the limit is exceeded.
func (c *Cache) Finish(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answers[attempt]
	if a == nil {
		return
	}
	c.used += a.size()
	c.finished = append(c.finished, attempt)
	for c.used > c.limit && len(c.finished) > 0 {
		oldest := c.finished[0]
		c.used -= c.answers[oldest].size()
		delete(c.answers, oldest)
		c.finished = c.finished[1:]
	}
}
