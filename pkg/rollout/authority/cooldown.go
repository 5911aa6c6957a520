package authority

import "github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"

// Cooldown enforces a minimum time between two actions of one host under
// different terms. Another host may have led and acted in between, so a host
// that is elected again must wait before its next action.
type Cooldown struct {
	durationMS   rollout.Millis
	lastActionMS rollout.Millis
	// term is the term of the last action.
	term uint64
}

// NewCooldown returns the cooldown of a process that starts now. The actions
// of an earlier process of the host are unknown, so the cooldown starts as if
// the host had just acted.
func NewCooldown(now, durationMS rollout.Millis) Cooldown {
	return Cooldown{durationMS: durationMS, lastActionMS: now}
}

// RecordAction records an action under a term.
func (c *Cooldown) RecordAction(now rollout.Millis, term uint64) { c.lastActionMS, c.term = now, term }

// Allows reports whether the host may act under a term.
func (c *Cooldown) Allows(now rollout.Millis, term uint64) bool {
	return c.term == term || now-c.lastActionMS > c.durationMS
}
