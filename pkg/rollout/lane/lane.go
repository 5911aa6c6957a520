// Package lane bounds how many calls of one kind run at a time, so that calls of
// other kinds find free slots at the upstreams that they share.
package lane

import "slices"

// Lane admits calls up to a limit and queues the rest in order of arrival. A call
// is identified by a comparable value. It is not safe for concurrent use.
type Lane[T comparable] struct {
	limit   int
	running int
	waiting []T
}

// New returns a lane that admits limit calls at a time, at least one.
func New[T comparable](limit int) *Lane[T] { return &Lane[T]{limit: max(1, limit)} }

// Enter admits a call or queues it. It reports whether the call may begin.
func (l *Lane[T]) Enter(call T) bool {
	if l.running < l.limit && len(l.waiting) == 0 {
		l.running++
		return true
	}
	l.waiting = append(l.waiting, call)
	return false
}

// Leave ends a call that was admitted, and returns the queued calls that may begin.
func (l *Lane[T]) Leave() []T {
	l.running--
	return l.admit()
}

// Remove takes a call out of the queue. It reports whether the call was queued.
func (l *Lane[T]) Remove(call T) bool {
	i := slices.Index(l.waiting, call)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// SetLimit changes the limit, and returns the queued calls that may begin. Calls
// that run stay admitted.
func (l *Lane[T]) SetLimit(limit int) []T {
	l.limit = max(1, limit)
	return l.admit()
}

// Waiting returns the number of queued calls.
func (l *Lane[T]) Waiting() int { return len(l.waiting) }

func (l *Lane[T]) admit() []T {
	n := min(max(0, l.limit-l.running), len(l.waiting))
	if n == 0 {
		return nil
	}
	admitted := slices.Clone(l.waiting[:n])
	l.waiting = slices.Delete(l.waiting, 0, n)
	l.running += n
	return admitted
}
