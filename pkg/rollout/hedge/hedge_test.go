package hedge

import "testing"

func newStep(size, succeeded int) *Step {
	s := New(DefaultConfig(), size)
	for range succeeded {
		s.RecordSuccess(Attempt{ElapsedMS: 1_000, Tokens: 100})
	}
	return s
}

func assertTryHedge(t *testing.T, s *Step, a Attempt, want bool) {
	t.Helper()
	if got := s.TryHedge(a); got != want {
		t.Fatalf("TryHedge() = %v, want %v", got, want)
	}
}

func TestOnlyStragglersAreHedged(t *testing.T) {
	for _, tc := range []struct {
		name      string
		succeeded int
		attempt   Attempt
		want      bool
	}{
		{"low token rate", 3, Attempt{2_000, 60}, true},
		{"long run at a normal token rate", 3, Attempt{60_000, 5_900}, false},
		{"below minimum run time", 3, Attempt{999, 0}, false},
		{"too few succeeded attempts", 2, Attempt{2_000, 0}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { assertTryHedge(t, newStep(32, tc.succeeded), tc.attempt, tc.want) })
	}
}

func TestHedgesStayWithinBudget(t *testing.T) {
	s := newStep(30, 9)
	stalled := Attempt{ElapsedMS: 5_000}
	for range 3 {
		assertTryHedge(t, s, stalled, true)
	}
	assertTryHedge(t, s, stalled, false)
}
