// Package claim makes a request that may not be repeated run at most once. A
// claim is committed before the request is sent to an upstream; a later
// request with the same ID finds the claim and is sent nowhere.
package claim

import (
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// DefaultRetentionMS is how long a claim is kept. A request ID that comes
	// back later counts as a new request.
	DefaultRetentionMS = 60 * 60 * 1_000
	// DefaultLimit bounds the claims that are kept, so that a snapshot is
	// encoded well within the leader's lease.
	DefaultLimit = 100_000
)

// Claim binds a request ID to the one attempt that may run.
type Claim struct {
	Account   string
	RequestID string
	// Digest is the digest of the request, so that another request under the
	// same ID is told apart.
	Digest string
	// Attempt names the only attempt that may run.
	Attempt string
	// Upstream, Address and Incarnation name the agent run that may run it.
	Upstream    string
	Address     string
	Incarnation string
	AtMS        rollout.Millis
	// Void claims are known never to have begun, and never to begin.
	Void bool
}

// Take asks for a claim.
type Take struct {
	Claim Claim
}

// Void gives a claim up after the agent has confirmed that the attempt never
// began and has barred it.
type Void struct {
	Account   string
	RequestID string
	Attempt   string
}

// TakeResult is the answer to Take.
type TakeResult struct {
	// New is true when the asker holds the claim and may send the request.
	New bool
	// Claim is the one in force.
	Claim Claim
}

// Table holds the claims. Its fields are exported for snapshots only.
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

// Take takes or finds a claim. A full table refuses; it never forgets a claim
// before its time.
func (t *Table) Take(now rollout.Millis, req Take) (TakeResult, error) {
	t.expire(now)
	c := req.Claim
	c.AtMS = now
	key := tableKey(c.Account, c.RequestID)
	old, ok := t.Claims[key]
	if ok && old.Digest != c.Digest {
		return TakeResult{}, rollout.NewError(rollout.KindConflict,
			"request ID %q was used for another request", c.RequestID).WithNotRun()
	}
	if ok && !old.Void {
		return TakeResult{Claim: old}, nil
	}
	if !ok && len(t.Claims) >= t.Limit {
		return TakeResult{}, rollout.NewError(rollout.KindOverloaded, "table of %d request IDs is full", t.Limit).WithNotRun()
	}
	if !ok {
		t.Order = append(t.Order, key)
	}
	t.Claims[key] = c
	return TakeResult{New: true, Claim: c}, nil
}

// Void gives a claim up. It does nothing when another attempt holds it.
func (t *Table) Void(req Void) {
	key := tableKey(req.Account, req.RequestID)
	c, ok := t.Claims[key]
	if !ok || c.Attempt != req.Attempt {
		return
	}
	c.Void = true
	t.Claims[key] = c
}

// expire forgets the claims whose retention is over.
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
