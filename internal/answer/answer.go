// Package answer collects the answers of attempts and keeps those that may be
// asked for again.
package answer

import (
	"context"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
)

// Answer collects the answer of one attempt. One thread writes it, any number
// read it from the beginning.
type Answer struct {
	mu sync.Mutex
	// chunks in the order of the answer. The last one carries End.
	chunks []*wire.RunChunk
	bytes  int64
	ended  bool
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// New returns an answer without chunks.
func New() *Answer { return &Answer{changed: make(chan struct{})} }

// Add appends a chunk. A chunk with End is the last.
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

// Next returns the chunks from an index on and whether the answer ends with
// them. It waits until there is at least one.
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

// Cache holds finished answers for requests that come again, up to a bound.
type Cache struct {
	mu    sync.Mutex
	limit int64
	// used is the sum of the sizes of the finished answers.
	used    int64
	answers map[string]*Answer
	// finished lists the finished answers that are kept, oldest first.
	finished []string
}

// NewCache returns a keeper of at most limit bytes.
func NewCache(limit int64) *Cache {
	return &Cache{limit: limit, answers: make(map[string]*Answer)}
}

// Begin returns a new answer for an attempt.
func (k *Cache) Begin(attempt string) *Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := New()
	k.answers[attempt] = a
	return a
}

// Find returns the answer of an attempt, or nil when it is no longer kept.
func (k *Cache) Find(attempt string) *Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answers[attempt]
}

// Finish counts a finished answer and drops the oldest beyond the bound.
func (k *Cache) Finish(attempt string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.answers[attempt]
	if a == nil {
		return
	}
	k.used += a.size()
	k.finished = append(k.finished, attempt)
	for k.used > k.limit && len(k.finished) > 0 {
		oldest := k.finished[0]
		k.used -= k.answers[oldest].size()
		delete(k.answers, oldest)
		k.finished = k.finished[1:]
	}
}
