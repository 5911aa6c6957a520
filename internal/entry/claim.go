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

// claimTries bounds how often a claim is given up and taken again.
const claimTries = 3

// boundAttempt is the only attempt that a claim lets run.
type boundAttempt struct {
	claim claim.Claim
	// first is true for the exchange that took the claim and has not yet sent
	// the request.
	first bool
}

// claim binds a request that may run once to one attempt at one upstream,
// before anything is sent.
func (e *entry) claim(x *exchange) error {
	if x.requestID == "" || x.repeatable {
		return nil
	}
	if x.open && x.account.Name == "" {
		return rollout.NewError(rollout.KindUnauthenticated, "%s needs a key", headerRequestID).WithNotRun()
	}
	bound, err := e.takeClaim(x, nil)
	x.claimed = bound
	return err
}

func (e *entry) takeClaim(x *exchange, tried []string) (*boundAttempt, error) {
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
		e.finished(choice.Upstream.ID, nil, nil)
		return nil, rollout.AsError(err).WithNotRun()
	}
	taken, err := ledger.Decode[claim.TakeResult](results[0])
	if err != nil {
		e.finished(choice.Upstream.ID, nil, nil)
		return nil, err
	}
	if taken.Claim.Attempt != c.Attempt {
		e.finished(choice.Upstream.ID, nil, nil)
	}
	e.log.Info("Claim", zap.String("Request", x.id), zap.String("Account", c.Account), zap.String("RequestID", c.RequestID),
		zap.String("Attempt", taken.Claim.Attempt), zap.Bool("New", taken.Claim.Attempt == c.Attempt))
	return &boundAttempt{claim: taken.Claim, first: taken.Claim.Attempt == c.Attempt}, nil
}

// forwardClaimed runs the one attempt of a claim, or takes part in it. When
// the attempt never began and never will, the claim is given up and taken
// again. The holder knows that by itself, since nobody else may begin it; any
// other exchange needs the word of the agent.
func (e *entry) forwardClaimed(x *exchange) error {
	var tried []string
	for try := 1; ; try++ {
		err := e.runClaimed(x)
		if err == nil {
			return nil
		}
		r := rollout.AsError(err)
		if !r.NotRun {
			return e.unknown(x, r)
		}
		if !x.claimed.first && !e.barred(x) {
			return e.unknown(x, r)
		}
		if _, err := e.control.Propose(x.ctx, ledger.Command{VoidClaim: &claim.Void{
			Account: x.account.Name, RequestID: x.requestID, Attempt: x.claimed.claim.Attempt,
		}}); err != nil {
			return rollout.AsError(err).WithNotRun()
		}
		tried = append(tried, x.claimed.claim.Upstream)
		if r.Kind == rollout.KindOverloaded {
			x.full, tried, try = true, nil, 0
			if !e.pauseWhileFull(x) {
				return rollout.AsError(context.Cause(x.ctx)).WithNotRun()
			}
		}
		if try >= claimTries || x.ctx.Err() != nil {
			return r
		}
		bound, err := e.takeClaim(x, tried)
		if err != nil {
			return err
		}
		x.claimed = bound
	}
}

// runClaimed sends the request if this exchange took the claim, and else asks
// for the answer of the attempt.
func (e *entry) runClaimed(x *exchange) error {
	c := x.claimed.claim
	choice := routing.Choice{Upstream: catalog.Upstream{ID: c.Upstream, Address: c.Address, Incarnation: c.Incarnation}}
	req := e.runRequest(x, choice, c.Attempt)
	req.Keep, req.Detached, req.Attach = true, true, !x.claimed.first
	s, err := e.open(x.ctx, c.Address, req)
	if err != nil {
		e.finishedClaim(x, err, s)
		return err
	}
	defer s.Close()
	body, err := s.ReadAll(nil)
	e.finishedClaim(x, err, s)
	if err != nil {
		return err
	}
	x.tokens = s.End.InputTokens + s.End.OutputTokens
	e.answerWhole(x, s, body)
	x.end(e)
	return nil
}

func (e *entry) finishedClaim(x *exchange, err error, s *attempt.Stream) {
	if x.claimed.first {
		e.finished(x.claimed.claim.Upstream, err, s)
	}
}

// barred makes sure that the attempt will never begin: the agent must say so
// itself. A connection that was never made says nothing of other entries that
// may hold the same attempt.
func (e *entry) barred(x *exchange) bool {
	c := x.claimed.claim
	choice := routing.Choice{Upstream: catalog.Upstream{ID: c.Upstream, Address: c.Address, Incarnation: c.Incarnation}}
	req := e.runRequest(x, choice, c.Attempt)
	req.Attach = true
	req.Body, req.Headers = nil, nil
	s, err := e.open(x.ctx, c.Address, req)
	if err == nil {
		s.Close()
		return false
	}
	r := rollout.AsError(err)
	return r.NotRun && (r.Kind == rollout.KindNotFound || r.Kind == rollout.KindConflict)
}

// unknown is the answer when the attempt may have run.
func (e *entry) unknown(_ *exchange, r *rollout.Error) error {
	switch r.Kind {
	case rollout.KindWithdrawn, rollout.KindNoAuthority, rollout.KindOutcomeUnknown:
		c := *r
		c.NotRun = false
		return &c
	}
	return rollout.NewError(rollout.KindOutcomeUnknown,
		"the request may have run; ask again with the same %s", headerRequestID).WithCause(r)
}
