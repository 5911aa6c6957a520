package agent

import (
	"context"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
)

// answer collects the answer of one attempt. One thread writes it, any number
// read it from the beginning.
type answer struct {
	mu sync.Mutex
	// chunks in the order of the answer. The last one carries End.
	chunks []*wire.RunChunk
	bytes  int64
	ended  bool
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newAnswer() *answer { return &answer{changed: make(chan struct{})} }

// add appends a chunk. A chunk with End is the last.
func (a *answer) add(c *wire.RunChunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks = append(a.chunks, c)
	a.bytes += int64(len(c.Data))
	a.ended = c.End != nil
	close(a.changed)
	a.changed = make(chan struct{})
	return nil
}

// next returns the chunks from an index on and whether the answer ends with
// them. It waits until there is at least one.
func (a *answer) next(ctx context.Context, from int) ([]*wire.RunChunk, bool, error) {
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

func (a *answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// keeper holds finished answers for requests that come again, up to a bound.
type keeper struct {
	mu    sync.Mutex
	limit int64
	// used is the sum of the sizes of the finished answers.
	used    int64
	answers map[string]*answer
	// finished lists the finished answers that are kept, oldest first.
	finished []string
}

func newKeeper(limit int64) *keeper {
	return &keeper{limit: limit, answers: make(map[string]*answer)}
}

// begin returns a new answer for an attempt.
func (k *keeper) begin(attempt string) *answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := newAnswer()
	k.answers[attempt] = a
	return a
}

// find returns the answer of an attempt, or nil when it is no longer kept.
func (k *keeper) find(attempt string) *answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answers[attempt]
}

// finish counts a finished answer and drops the oldest beyond the bound.
func (k *keeper) finish(attempt string) {
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
