// Package claim ensures that a request that must not be repeated runs at most
// once. A claim is committed before the request is sent to an upstream. A later
// request with the same ID finds the claim and is not sent.
package claim

import (
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// DefaultRetentionMS is how long a claim is kept. A request ID that is
	// reused later counts as a new request.
	DefaultRetentionMS = 60 * 60 * 1_000
	// DefaultLimit bounds the number of claims, so that encoding a snapshot
	// takes much less time than the leader's lease.
	DefaultLimit = 100_000
)

// Claim binds a request ID to the only attempt that may run.
type Claim struct {
	Account   string
	RequestID string
	// Digest is the digest of the request. It detects that an ID is reused for
	// another request.
	Digest string
	// Attempt is the ID of the only attempt that may run.
	Attempt string
	// Upstream, Address and Incarnation identify the agent run that may run the
	// attempt.
	Upstream    string
	Address     string
	Incarnation string
	// AtMS is when the claim was taken.
	AtMS rollout.Millis
	// Void is true once it is certain that the attempt never began and never
	// will.
	Void bool
}

// Take is the command that takes a claim.
type Take struct {
	Claim Claim
}

// Find is the command that looks a claim up. It changes nothing; it goes through the
// log so that the answer is up to date.
type Find struct {
	Account   string
	RequestID string
	Digest    string
}

// Void is the command that voids a claim. It is sent after the agent has
// confirmed that the attempt never began and has barred it from beginning.
type Void struct {
	Account   string
	RequestID string
	Attempt   string
}

// TakeResult is the result of Take.
type TakeResult struct {
	// New is true when the caller now holds the claim and may send the request.
	New bool
	// Claim is the claim in force for the request ID.
	Claim Claim
}

// Table holds the claims. Its fields are exported so that snapshots contain
// them.
type Table struct {
	RetentionMS rollout.Millis
	Limit       int
	Claims      map[string]Claim
	// Order lists the keys of Claims, oldest first.
	Order []string
}

// New returns an empty table.
func New() *Table {
	return &Table{RetentionMS: DefaultRetentionMS, Limit: DefaultLimit, Claims: make(map[string]Claim)}
}

// Take takes a claim, or returns the claim that another attempt holds. A full
// table rejects new claims, because evicting a claim before its retention has
// passed would let its request run again.
func (t *Table) Take(now rollout.Millis, req Take) (TakeResult, error) {
	t.expire(now)
	c := req.Claim
	c.AtMS = now
	key := tableKey(c.Account, c.RequestID)
	old, ok := t.Claims[key]
	if ok && old.Digest != c.Digest {
		return TakeResult{}, digestError(c.RequestID)
	}
	if ok && !old.Void {
		return TakeResult{Claim: old}, nil
	}
	if !ok && len(t.Claims) >= t.Limit {
		return TakeResult{}, rollout.NewError(rollout.KindOverloaded, "claim table is full: limit is %d request IDs", t.Limit).WithNotRun()
	}
	if ok {
		// The claim is as old as its new attempt. In its old place it would keep
		// older claims behind it from expiring.
		i := slices.Index(t.Order, key)
		t.Order = slices.Delete(t.Order, i, i+1)
	}
	t.Order = append(t.Order, key)
	t.Claims[key] = c
	return TakeResult{New: true, Claim: c}, nil
}

// Find returns the claim in force for a request ID, or the zero claim if there is
// none.
func (t *Table) Find(now rollout.Millis, req Find) (Claim, error) {
	c, ok := t.Claims[tableKey(req.Account, req.RequestID)]
	if !ok || c.Void || now-c.AtMS >= t.RetentionMS {
		return Claim{}, nil
	}
	if c.Digest != req.Digest {
		return Claim{}, digestError(req.RequestID)
	}
	return c, nil
}

// digestError returns the error for a request ID that was used for another request.
func digestError(requestID string) error {
	return rollout.NewError(rollout.KindConflict, "request ID %q was used for another request", requestID).WithNotRun()
}

// Void voids a claim, so that another attempt may take it. It does nothing if
// another attempt holds the claim.
func (t *Table) Void(req Void) {
	key := tableKey(req.Account, req.RequestID)
	c, ok := t.Claims[key]
	if !ok || c.Attempt != req.Attempt {
		return
	}
	c.Void = true
	t.Claims[key] = c
}

// expire removes the claims whose retention has passed.
func (t *Table) expire(now rollout.Millis) {
	for len(t.Order) > 0 {
		c, ok := t.Claims[t.Order[0]]
		if ok && now-c.AtMS < t.RetentionMS {
			return
		}
		delete(t.Claims, t.Order[0])
		t.Order = t.Order[1:]
	}
}

func tableKey(account, requestID string) string { return account + "\x00" + requestID }
