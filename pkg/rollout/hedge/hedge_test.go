package hedge

import "testing"

func newGroup(size, finished int) *Step {
	g := New(DefaultConfig(), size)
	for range finished {
		g.RecordSuccess(Attempt{ElapsedMS: 1_000, Tokens: 100})
	}
	return g
}

func assertTryHedge(t *testing.T, g *Step, a Attempt, want bool) {
	t.Helper()
	if got := g.TryHedge(a); got != want {
		t.Fatalf("TryHedge() = %v, want %v", got, want)
	}
}

func TestOnlyStragglersAreHedged(t *testing.T) {
	for _, tc := range []struct {
		name     string
		finished int
		attempt  Attempt
		want     bool
	}{
		{"low token rate", 3, Attempt{2_000, 60}, true},
		{"long run at a normal token rate", 3, Attempt{60_000, 5_900}, false},
		{"below minimum run time", 3, Attempt{999, 0}, false},
		{"too few finished attempts", 2, Attempt{2_000, 0}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { assertTryHedge(t, newGroup(32, tc.finished), tc.attempt, tc.want) })
	}
}

func TestHedgesStayWithinBudget(t *testing.T) {
	g := newGroup(30, 9)
	stalled := Attempt{ElapsedMS: 5_000}
	for range 3 {
		assertTryHedge(t, g, stalled, true)
	}
	assertTryHedge(t, g, stalled, false)
}
