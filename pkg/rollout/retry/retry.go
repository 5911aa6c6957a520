// Package retry decides whether a failed attempt may be sent again. Retries
// are a bounded share of the traffic, so that a pool that fails is not asked
// many times over.
package retry

import (
	"math"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// DefaultRatio is how many retries each request earns.
	DefaultRatio = 0.1
	// DefaultBurst is how many retries may be saved up.
	DefaultBurst = 10
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 3
)

// Budget counts retries against requests. It is not safe for use by several
// threads.
type Budget struct {
	ratio, burst float64
	// tokens is between zero and burst.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// RecordRequest notes a new request.
func (b *Budget) RecordRequest() { b.tokens = math.Min(b.burst, b.tokens+b.ratio) }

// Take spends one retry. It returns false when none is left.
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
	// Repeatable requests may run more than once.
	Repeatable bool
	// ResponseStarted is true once a byte of the answer has gone to the caller.
	ResponseStarted bool
	// Number counts the attempts of the request so far.
	Number int
	// Remaining is the time until the deadline of the request.
	Remaining rollout.Millis
}

// Allowed tells whether a request may be sent again at all. What has not run
// may always be sent again; what may have run only when it is repeatable.
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

// Charged tells whether a retry counts against the budget. An attempt that
// was turned away before it ran has cost nothing.
func Charged(a Attempt) bool { return !a.Err.NotRun }
