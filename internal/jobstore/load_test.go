package jobstore

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

func TestHolderThatLeadsAgainLetsTheGapPass(t *testing.T) {
	const gap, now = 3_000, rollout.Millis(100_000)
	for name, c := range map[string]struct {
		lastOrder rollout.Millis
		lastTerm  uint64
		want      bool
	}{
		"no order yet":                     {0, 0, true},
		"same lead":                        {now - 1, 5, true},
		"earlier lead, just now":           {now - 1, 3, false},
		"earlier lead, gap not yet passed": {now - gap, 3, false},
		"earlier lead, gap passed":         {now - gap - 1, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Store{opts: Options{HolderGapMS: gap}, lastOrder: c.lastOrder, lastOrderTerm: c.lastTerm}
			if got := (&runner{s: s, term: 5}).mayOrder(now); got != c.want {
				t.Fatalf("mayOrder = %v, want %v", got, c.want)
			}
		})
	}
}
