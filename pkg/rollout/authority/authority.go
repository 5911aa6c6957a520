// Package authority decides whether a daemon may act on its configuration. A
// daemon holds a lease, which the control leader renews, and checks it against
// its own clock only. The lease runs from the time at which the daemon sent
// the renewal request, before the leader recorded its answer. It therefore
// expires before the leader considers it expired, whatever the delays of the
// network.
package authority

import (
	"sync/atomic"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// LeaseMS is the duration of a lease, counted from the time at which the
	// renewal request was sent.
	LeaseMS = 4_000
	// LongPollMS is the longest time for which the leader delays its answer to
	// a renewal request that waits for a configuration change.
	LongPollMS = 1_000
	// ReportIntervalMS is the interval between reports of a daemon's changes.
	ReportIntervalMS = 1_000
	// ClockMarginMS allows for clocks whose rates differ by up to 5%.
	ClockMarginMS = 150
)

// Lease is the configuration lease of a daemon. One goroutine renews it; any
// goroutine may read it.
type Lease struct {
	expiresAt atomic.Int64
}

// NewLease returns a lease that is not held.
func NewLease() *Lease { return &Lease{} }

// Renew extends the lease to the given duration after the renewal request was
// sent. It never shortens the lease. It reports whether the lease was acquired
// by this call, that is, was not held before.
func (l *Lease) Renew(now, sent, duration rollout.Millis) bool {
	wasValid := l.Valid(now)
	expiresAt := int64(sent + duration)
	if expiresAt > l.expiresAt.Load() {
		l.expiresAt.Store(expiresAt)
	}
	return !wasValid && l.Valid(now)
}

// ExpiresAt returns the time at which the lease expires.
func (l *Lease) ExpiresAt() rollout.Millis { return rollout.Millis(l.expiresAt.Load()) }

// Valid reports whether the lease is held.
func (l *Lease) Valid(now rollout.Millis) bool { return now < l.ExpiresAt() }

// LeaseExpired reports whether the lease of a daemon has certainly expired,
// given when the leader last answered the daemon. The daemon sent its request
// before that, so its lease ended earlier.
func LeaseExpired(now, answered rollout.Millis) bool {
	return now-answered > LeaseMS+ClockMarginMS
}
