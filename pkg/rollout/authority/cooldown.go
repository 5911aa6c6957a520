package authority

import "github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"

// Cooldown keeps a host that leads again from acting too soon after its last act
// under an earlier lead, since the leader between may have acted too.
type Cooldown struct {
	gapMS  rollout.Millis
	lastMS rollout.Millis
	// lead is the term of the last act.
	lead uint64
}

// NewCooldown returns turns of a process that starts now. What an earlier process
// of the host has done is not known, so it counts as having acted just now.
func NewCooldown(now, gapMS rollout.Millis) Cooldown { return Cooldown{gapMS: gapMS, lastMS: now} }

// RecordAction notes an act under a lead.
func (t *Cooldown) RecordAction(now rollout.Millis, lead uint64) { t.lastMS, t.lead = now, lead }

// Allows tells whether the host may act under a lead.
func (t *Cooldown) Allows(now rollout.Millis, lead uint64) bool {
	return t.lead == lead || now-t.lastMS > t.gapMS
}
