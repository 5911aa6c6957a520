package authority

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

func TestCooldownAppliesAcrossTerms(t *testing.T) {
	const duration, start = 3_000, rollout.Millis(100_000)
	acted := NewCooldown(start, duration)
	acted.RecordAction(start+10_000, 3)
	for name, c := range map[string]struct {
		cooldown Cooldown
		now      rollout.Millis
		term     uint64
		want     bool
	}{
		"process just started":                {NewCooldown(start, duration), start + 1, 1, false},
		"cooldown since the start has passed": {NewCooldown(start, duration), start + duration + 1, 1, true},
		"same term":                           {acted, start + 10_001, 3, true},
		"later term, just after the action":   {acted, start + 10_001, 5, false},
		"later term, cooldown not yet passed": {acted, start + 10_000 + duration, 5, false},
		"later term, cooldown passed":         {acted, start + 10_001 + duration, 5, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.cooldown.Allows(c.now, c.term); got != c.want {
				t.Fatalf("Allows = %v, want %v", got, c.want)
			}
		})
	}
}
