// Package rollout is the root of the coordination library. It holds the types
// and the interfaces that vary between deployments: clocks, random sources and
// the outside systems. Implementations and decision cores stand in the
// packages below it. No core does I/O: each takes the present time and a typed
// input and gives back typed outputs.
package rollout

import "context"

// Millis is a point in time or a duration in milliseconds.
type Millis int64

// Clock tells the time. Implementations never run backwards.
type Clock interface {
	// Now returns the milliseconds since the Unix epoch.
	Now() Millis
}

// Random is a source of random numbers. Cores take one so that tests can seed
// it.
type Random interface {
	// Int64N returns a number in [0, n). It panics when n <= 0.
	Int64N(n int64) int64
}

// Order is a start or stop order for the platform.
type Order struct {
	// ID is the same each time that the order is sent.
	ID string
	// Action is "start" or "stop".
	Action string
	// FailureDomain is where the upstream runs or is to run.
	FailureDomain string
	// Pool is the pool that the upstream serves.
	Pool string
	// Upstream names the upstream of a stop order. Empty for a start order.
	Upstream string
	// Fencing is the term under which the order was committed. It never falls
	// from one order to the next.
	Fencing uint64
}

// UsageReport is a closed usage window as sent to the platform.
type UsageReport struct {
	// Window numbers the window. Each window is reported with one set of
	// figures only.
	Window uint64
	// FromMS and ToMS bound the window, in milliseconds since the Unix epoch.
	FromMS, ToMS Millis
	// Lines holds one line per client account and pool, sorted.
	Lines []UsageLine
	// Fencing is the term of the leader that sends the report.
	Fencing uint64
}

// UsageLine is the service that one client account had from one pool.
type UsageLine struct {
	Account      string
	Pool         string
	Requests     uint64
	InputTokens  uint64
	OutputTokens uint64
	UpstreamMS   uint64
}

// Platform is the interface that starts and stops upstreams and accepts usage
// reports.
type Platform interface {
	SendOrder(ctx context.Context, o Order) error
	SendUsage(ctx context.Context, r UsageReport) error
}
