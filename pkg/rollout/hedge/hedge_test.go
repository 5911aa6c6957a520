package hedge

import "testing"

func groupWithPace(size, finished int) *Group {
	g := New(DefaultConfig(), size)
	for range finished {
		g.Finished(Attempt{ElapsedMS: 1_000, Tokens: 100})
	}
	return g
}

func assertTake(t *testing.T, g *Group, a Attempt, want bool) {
	t.Helper()
	if got := g.TryHedge(a); got != want {
		t.Fatalf("hedged %v, want %v", got, want)
	}
}

func TestOnlyStragglersAreHedged(t *testing.T) {
	for _, tc := range []struct {
		name     string
		finished int
		attempt  Attempt
		want     bool
	}{
		{"slow pace", 3, Attempt{2_000, 60}, true},
		{"long but at a good pace", 3, Attempt{60_000, 5_900}, false},
		{"too early to tell", 3, Attempt{999, 0}, false},
		{"pace of the group not known", 2, Attempt{2_000, 0}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { assertTake(t, groupWithPace(32, tc.finished), tc.attempt, tc.want) })
	}
}

func TestHedgesAreBounded(t *testing.T) {
	g := groupWithPace(30, 9)
	stalled := Attempt{ElapsedMS: 5_000}
	for range 3 {
		assertTake(t, g, stalled, true)
	}
	assertTake(t, g, stalled, false)
}
