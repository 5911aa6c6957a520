// Package budget bounds the memory of what a process reads from upstreams and peers.
package budget

import (
	"sync/atomic"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Bytes is a number of bytes that several readers share. It is safe for concurrent use. A nil
// *Bytes sets no limit.
type Bytes struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Bytes { return &Bytes{limit: limit} }

// Used returns the number of bytes that are taken.
func (b *Bytes) Used() int64 { return b.used.Load() }

// Open returns a lease without bytes.
func (b *Bytes) Open() *Lease { return &Lease{budget: b} }

// Lease is the part of a budget that one reader has taken. It is not safe for concurrent use. A
// nil *Lease sets no limit.
type Lease struct {
	budget *Bytes
	held   int64
}

// Take takes a number of bytes. It fails with KindTruncated, and takes nothing, if the budget has
// not as many left.
func (l *Lease) Take(n int) error {
	if l == nil || l.budget == nil {
		return nil
	}
	if used := l.budget.used.Add(int64(n)); used > l.budget.limit {
		l.budget.used.Add(int64(-n))
		return rollout.NewError(rollout.KindTruncated, "%d bytes of responses are being read, the limit is %d", used, l.budget.limit)
	}
	l.held += int64(n)
	return nil
}

// Release gives back all bytes of the lease.
func (l *Lease) Release() {
	if l == nil || l.budget == nil {
		return
	}
	l.budget.used.Add(-l.held)
	l.held = 0
}
