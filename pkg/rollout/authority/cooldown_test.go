package authority

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

func TestHolderThatLeadsAgainLetsTheGapPass(t *testing.T) {
	const gap, start = 3_000, rollout.Millis(100_000)
	acted := NewCooldown(start, gap)
	acted.RecordAction(start+10_000, 3)
	for name, c := range map[string]struct {
		turns Cooldown
		now   rollout.Millis
		lead  uint64
		want  bool
	}{
		"process has just started":         {NewCooldown(start, gap), start + 1, 1, false},
		"gap since the start passed":       {NewCooldown(start, gap), start + gap + 1, 1, true},
		"same lead":                        {acted, start + 10_001, 3, true},
		"earlier lead, just now":           {acted, start + 10_001, 5, false},
		"earlier lead, gap not yet passed": {acted, start + 10_000 + gap, 5, false},
		"earlier lead, gap passed":         {acted, start + 10_001 + gap, 5, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.turns.Allows(c.now, c.lead); got != c.want {
				t.Fatalf("May = %v, want %v", got, c.want)
			}
		})
	}
}
