package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/attempt"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/claim"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/routing"
)

// maxClaims is the maximum number of claims that one exchange takes. The count
// restarts after an upstream was full.
const maxClaims = 3

// claimedAttempt is the only attempt that may run under a claim.
type claimedAttempt struct {
	claim claim.Claim
	// owner is true if this exchange took the claim. Only the owner sends the
	// request; other exchanges with the same request ID attach to the attempt.
	owner bool
}

// claim binds a request that may run only once to one attempt at one upstream,
// before anything is sent.
func (e *entry) claim(x *exchange) error {
	if !x.needsClaim() || x.claimed != nil {
		return nil
	}
	if x.openRoute && x.account.Name == "" {
		return rollout.NewError(rollout.KindUnauthenticated, "%s requires a key", headerRequestID).WithNotRun()
	}
	claimed, err := e.takeClaim(x, nil)
	x.claimed = claimed
	return err
}

// needsClaim reports whether the request may run only once.
func (x *exchange) needsClaim() bool { return x.requestID != "" && !x.repeatable }

// takeClaim takes a claim on one of the upstreams that are not in tried, or
// returns the claim that another exchange holds for the request ID.
func (e *entry) takeClaim(x *exchange, tried []string) (*claimedAttempt, error) {
	choice, err := e.route(x, tried)
	if err != nil {
		return nil, err
	}
	c := claim.Claim{
		Account: x.account.Name, RequestID: x.requestID, Digest: x.fingerprint, Attempt: newID(),
		Upstream: choice.Upstream.ID, Address: choice.Upstream.Address, Incarnation: choice.Upstream.Incarnation,
	}
	results, err := e.control.Propose(x.ctx, ledger.Command{TakeClaim: &claim.Take{Claim: c}})
	if err != nil {
		e.recordOutcome(choice.Upstream.ID, nil, nil)
		return nil, rollout.AsError(err).WithNotRun()
	}
	taken, err := ledger.Decode[claim.TakeResult](results[0])
	if err != nil {
		e.recordOutcome(choice.Upstream.ID, nil, nil)
		return nil, err
	}
	if taken.Claim.Attempt != c.Attempt {
		e.recordOutcome(choice.Upstream.ID, nil, nil)
	}
	e.log.Info("Claim", zap.String("Request", x.id), zap.String("Account", c.Account), zap.String("RequestID", c.RequestID),
		zap.String("Attempt", taken.Claim.Attempt), zap.Bool("New", taken.Claim.Attempt == c.Attempt))
	return &claimedAttempt{claim: taken.Claim, owner: taken.Claim.Attempt == c.Attempt}, nil
}

// forwardClaimed runs the attempt of a claim, or attaches to it if another
// exchange owns the claim. If the attempt has not begun and never will, the claim
// is voided and a new one is taken. The owner knows this by itself, because no
// other exchange may begin the attempt; any other exchange needs the
// confirmation of the agent.
func (e *entry) forwardClaimed(x *exchange) error {
	var tried []string
	for try := 1; ; try++ {
		err := e.runClaimed(x)
		if err == nil {
			return nil
		}
		r := rollout.AsError(err)
		if !r.NotRun {
			return e.outcomeUnknownError(x, r)
		}
		if !x.claimed.owner && !e.barAttempt(x) {
			return e.outcomeUnknownError(x, r)
		}
		if _, err := e.control.Propose(x.ctx, ledger.Command{VoidClaim: &claim.Void{
			Account: x.account.Name, RequestID: x.requestID, Attempt: x.claimed.claim.Attempt,
		}}); err != nil {
			return rollout.AsError(err).WithNotRun()
		}
		tried = withFailed(tried, x.claimed.claim.Upstream, r)
		if r.Kind == rollout.KindOverloaded {
			x.upstreamsFull, tried, try = true, nil, 0
			if !e.waitForCapacity(x) {
				return rollout.AsError(context.Cause(x.ctx)).WithNotRun()
			}
		}
		if try >= maxClaims || x.ctx.Err() != nil {
			return r
		}
		claimed, err := e.takeClaim(x, tried)
		if err != nil {
			return err
		}
		x.claimed = claimed
	}
}

// withFailed returns the upstreams to leave out after an attempt that has not run. One whose
// attempt was barred before it arrived is not among them: it did not fail, and may be the only
// one.
func withFailed(tried []string, upstream string, err *rollout.Error) []string {
	if isBarred(err) {
		return tried
	}
	return append(tried, upstream)
}

// isBarred reports whether an agent has said that an attempt was barred before it began.
func isBarred(err *rollout.Error) bool {
	return err.NotRun && (err.Kind == rollout.KindNotFound || err.Kind == rollout.KindConflict)
}

// runClaimed sends the request if this exchange owns the claim. Otherwise it
// attaches to the attempt and waits for its response.
func (e *entry) runClaimed(x *exchange) error {
	c := x.claimed.claim
	choice := routing.Choice{Upstream: catalog.Upstream{ID: c.Upstream, Address: c.Address, Incarnation: c.Incarnation}}
	req := e.runRequest(x, choice, c.Attempt)
	req.Keep, req.Detached, req.Attach = true, true, !x.claimed.owner
	s, err := e.openAttempt(x.ctx, c.Address, req)
	if err != nil {
		e.recordClaimOutcome(x, err, s)
		return err
	}
	defer s.Close()
	body, err := s.ReadAll(nil)
	e.recordClaimOutcome(x, err, s)
	if err != nil {
		return err
	}
	x.tokens = s.End.InputTokens + s.End.OutputTokens
	e.respond(x, s, body)
	x.cleanUp(e)
	return nil
}

// recordClaimOutcome records the outcome of an attempt if this exchange routed it.
func (e *entry) recordClaimOutcome(x *exchange, err error, s *attempt.Stream) {
	if x.claimed.owner {
		e.recordOutcome(x.claimed.claim.Upstream, err, s)
	}
}

// barAttempt asks the agent to bar the attempt and reports whether the agent has
// confirmed that the attempt will never begin. A failed connection is not a
// confirmation, because another entry may own the same attempt.
func (e *entry) barAttempt(x *exchange) bool {
	c := x.claimed.claim
	choice := routing.Choice{Upstream: catalog.Upstream{ID: c.Upstream, Address: c.Address, Incarnation: c.Incarnation}}
	req := e.runRequest(x, choice, c.Attempt)
	req.Attach = true
	req.Body, req.Headers = nil, nil
	s, err := e.openAttempt(x.ctx, c.Address, req)
	if err == nil {
		s.Close()
		return false
	}
	return isBarred(rollout.AsError(err))
}

// outcomeUnknownError returns the error for an attempt that may have run.
func (e *entry) outcomeUnknownError(_ *exchange, r *rollout.Error) error {
	switch r.Kind {
	case rollout.KindWithdrawn, rollout.KindNoAuthority, rollout.KindOutcomeUnknown:
		c := *r
		c.NotRun = false
		return &c
	}
	return rollout.NewError(rollout.KindOutcomeUnknown,
		"the request may have run; repeat it with the same %s", headerRequestID).WithCause(r)
}
