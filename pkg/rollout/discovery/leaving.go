package discovery

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// markRetentionMS is how long the mark of an incarnation that is no longer known is kept. A
// late announcement may bring the incarnation back.
const markRetentionMS = tombstoneRetentionMS

// lastResortMS is how long an upstream that has said that it leaves still gets work that
// no other upstream of its pool can take. Upstreams serve for 2 s or longer after they
// begin to leave.
const lastResortMS rollout.Millis = 1_000

// Incarnation identifies one run of an upstream.
type Incarnation struct {
	ID   string
	Born int64
}

// LeavingLog holds the incarnations of upstreams whose responses said that they leave. A
// host learns it from a response before control does. It is safe for concurrent use.
type LeavingLog struct {
	mu sync.Mutex
	// markedMS holds when each incarnation was first seen to leave.
	markedMS map[Incarnation]rollout.Millis
	revision uint64
}

// NewLeavingLog returns an empty log.
func NewLeavingLog() *LeavingLog {
	return &LeavingLog{markedMS: make(map[Incarnation]rollout.Millis)}
}

// Mark records that an incarnation leaves. It reports whether that is news.
func (l *LeavingLog) Mark(now rollout.Millis, i Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.markedMS[i]; known {
		return false
	}
	l.markedMS[i] = now
	l.revision++
	return true
}

// Report returns the incarnations and a revision that changes with them.
func (l *LeavingLog) Report() (uint64, []Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision, slices.SortedFunc(maps.Keys(l.markedMS), func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born))
	})
}

// Apply returns the upstreams with the incarnations of the log draining, and the time from
// which the result differs, or 0 if it stays as it is. An incarnation that is marked for
// less than lastResortMS stays ready while its pool has no other ready upstream. Apply
// forgets incarnations that a later one replaced or that have been unknown for long.
func (l *LeavingLog) Apply(now rollout.Millis, us map[string]Upstream) (map[string]Upstream, rollout.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now, us)
	if len(l.markedMS) == 0 {
		return us, 0
	}
	others := make(map[string]bool)
	for id, u := range us {
		if _, leaves := l.markedMS[Incarnation{id, u.Born}]; !leaves && u.State == StateReady {
			others[u.Pool] = true
		}
	}
	us = maps.Clone(us)
	until := rollout.Millis(0)
	for i, markedMS := range l.markedMS {
		u, known := us[i.ID]
		if !known || u.Born != i.Born {
			continue
		}
		if end := markedMS + lastResortMS; !others[u.Pool] && now < end {
			if until == 0 || end < until {
				until = end
			}
			continue
		}
		if u.State == StateReady {
			u.State = StateDraining
			us[i.ID] = u
		}
	}
	return us, until
}

func (l *LeavingLog) forget(now rollout.Millis, us map[string]Upstream) {
	for i, markedMS := range l.markedMS {
		u, known := us[i.ID]
		if (known && u.Born > i.Born) || (!known && now-markedMS > markRetentionMS) {
			delete(l.markedMS, i)
			l.revision++
		}
	}
}
