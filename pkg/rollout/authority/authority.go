// Package authority lets a daemon know by its own clock alone that its
// configuration was confirmed recently. The control leader confirms a request
// after the daemon has sent it; the lease runs from the sending, so it ends
// before the leader could count the daemon as out of date, whatever the
// network does.
package authority

import (
	"sync/atomic"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// LeaseMS is how long a confirmation holds from the sending of the request.
	LeaseMS = 4_000
	// LongPollMS is how long the leader may hold a request that waits for a change.
	LongPollMS = 1_000
	// ReportIntervalMS is the time between reports of what has changed at a daemon.
	ReportIntervalMS = 1_000
	// ClockMarginMS covers clocks that differ in rate by up to 5%.
	ClockMarginMS = 150
)

// Lease is the authority of a daemon. One thread renews it, any may read it.
type Lease struct {
	until atomic.Int64
}

// New returns a lease that is not held.
func New() *Lease { return &Lease{} }

// Renew notes the answer to a request that was sent at a time. It tells
// whether the lease was not held before.
func (l *Lease) Renew(now, sent, lease rollout.Millis) bool {
	was := l.Valid(now)
	until := int64(sent + lease)
	if until > l.until.Load() {
		l.until.Store(until)
	}
	return !was && l.Valid(now)
}

// Until returns when the lease ends.
func (l *Lease) Until() rollout.Millis { return rollout.Millis(l.until.Load()) }

// Valid tells whether the lease is held.
func (l *Lease) Valid(now rollout.Millis) bool { return now < l.Until() }

// LeaseExpired tells whether a daemon that was last answered at a time
// can no longer hold a lease. The daemon sent its request before that, so its
// lease ended earlier.
func LeaseExpired(now, answered rollout.Millis) bool {
	return now-answered > LeaseMS+ClockMarginMS
}
