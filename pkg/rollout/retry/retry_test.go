package retry

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

func TestAllowed(t *testing.T) {
	failed := rollout.NewError(rollout.KindUpstreamFailed, "")
	for _, tc := range []struct {
		name    string
		attempt Attempt
		want    bool
	}{
		{"repeatable", Attempt{Err: failed, Repeatable: true, Number: 1, Remaining: 1}, true},
		{"not repeatable and may have run", Attempt{Err: failed, Number: 1, Remaining: 1}, false},
		{"not repeatable but not run", Attempt{Err: failed.WithNotRun(), Number: 1, Remaining: 1}, true},
		{"response started", Attempt{Err: failed, Repeatable: true, ResponseStarted: true, Number: 1, Remaining: 1}, false},
		{"deadline has passed", Attempt{Err: failed, Repeatable: true, Number: 1}, false},
		{"too many attempts", Attempt{Err: failed, Repeatable: true, Number: MaxAttempts, Remaining: 1}, false},
		{"poison", Attempt{Err: rollout.NewError(rollout.KindPoisoned, "").WithNotRun(), Repeatable: true, Number: 1, Remaining: 1}, false},
		{"invalid input", Attempt{Err: rollout.NewError(rollout.KindInvalidInput, ""), Repeatable: true, Number: 1, Remaining: 1}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Allowed(tc.attempt); got != tc.want {
				t.Fatalf("Allowed() = %v, want %v", got, tc.want)
			}
		})
	}
}

func TestBudgetLimitsRetries(t *testing.T) {
	b := NewBudget(0.1, 10)
	taken := 0
	for range 1_000 {
		b.RecordRequest()
		if b.Take() {
			taken++
		}
	}
	if taken < 100 || taken > 110 {
		t.Fatalf("%d retries for 1000 requests", taken)
	}
}
