// Package rollout is the root of the coordination library. It defines the
// shared types and the interfaces whose implementations depend on the
// deployment: clocks, random sources and external systems. The implementations
// and the decision logic are in its subpackages. Decision logic does no I/O:
// it takes the current time and typed inputs and returns typed outputs.
package rollout

import "context"

// Millis is a point in time or a duration in milliseconds.
type Millis int64

// Clock returns the current time. Implementations must be monotonic.
type Clock interface {
	// Now returns the milliseconds since the Unix epoch, or since the boot of
	// the host for clock.Boottime.
	Now() Millis
}

// Random is a source of random numbers. Decision logic takes it as a parameter
// so that tests can seed it.
type Random interface {
	// Int64N returns a number in [0, n). It panics if n <= 0.
	Int64N(n int64) int64
}

// Order tells the platform to start or stop an upstream.
type Order struct {
	// ID identifies the order. It is the same when the order is sent again.
	ID string
	// Action is "start" or "stop".
	Action string
	// FailureDomain is where the upstream runs or is to run.
	FailureDomain string
	// Pool is the pool that the upstream serves.
	Pool string
	// Upstream names the upstream to stop. It is empty for a start order.
	Upstream string
	// Fencing is the term in which the order was committed. It never decreases
	// from one order to the next.
	Fencing uint64
}

// UsageReport is the usage in a closed usage window as sent to the platform.
type UsageReport struct {
	// Window is the number of the window. All reports of a window have the
	// same content.
	Window uint64
	// FromMS and ToMS are the start and the end of the window, in milliseconds
	// since the Unix epoch.
	FromMS, ToMS Millis
	// Lines holds one line for each client account and pool, sorted.
	Lines []UsageLine
	// Fencing is the term of the leader that sends the report.
	Fencing uint64
}

// UsageLine is the usage of one pool by one client account.
type UsageLine struct {
	Account      string
	Pool         string
	Requests     uint64
	InputTokens  uint64
	OutputTokens uint64
	// UpstreamMS is the time that the requests took at upstreams.
	UpstreamMS uint64
}

// Platform starts and stops upstreams and accepts usage reports.
type Platform interface {
	SendOrder(ctx context.Context, o Order) error
	SendUsage(ctx context.Context, r UsageReport) error
}
