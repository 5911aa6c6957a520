// Package retry decides whether a failed request may be retried. A budget limits
// retries to a share of the requests, so that they do not overload a failing
// pool.
package retry

import (
	"math"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// DefaultRatio is the number of retries that each request adds to the
	// budget.
	DefaultRatio = 0.1
	// DefaultBurst is the maximum number of retries in the budget.
	DefaultBurst = 10
	// MaxAttempts is the maximum number of attempts for a request.
	MaxAttempts = 3
)

// Budget limits the ratio of retries to requests. It is not safe for concurrent
// use.
type Budget struct {
	ratio, burst float64
	// tokens is the number of retries left, between 0 and burst.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// RecordRequest records a new request.
func (b *Budget) RecordRequest() { b.tokens = math.Min(b.burst, b.tokens+b.ratio) }

// Take deducts one retry from the budget. It returns false if none is left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Attempt is a failed attempt.
type Attempt struct {
	Err *rollout.Error
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// ResponseStarted is true if a byte of the response has been sent to the
	// caller.
	ResponseStarted bool
	// Number is the number of attempts of the request so far, including this
	// one.
	Number int
	// Remaining is the time until the deadline of the request.
	Remaining rollout.Millis
}

// Allowed reports whether a request may be retried at all. A request that may
// have run is retried only if it is repeatable.
func Allowed(a Attempt) bool {
	if a.ResponseStarted || a.Remaining <= 0 || a.Number >= MaxAttempts {
		return false
	}
	if !a.Err.NotRun && !a.Repeatable {
		return false
	}
	switch a.Err.Kind {
	case rollout.KindNoUpstream, rollout.KindUnavailable, rollout.KindUpstreamFailed,
		rollout.KindTruncated, rollout.KindOverloaded:
		return true
	default:
		return false
	}
}

// Charged reports whether a retry counts against the budget. A retry of an
// attempt that was refused before it ran is free.
func Charged(a Attempt) bool { return !a.Err.NotRun }
