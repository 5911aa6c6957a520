package claim

import (
	"errors"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

func take(t *testing.T, table *Table, now rollout.Millis, id, digest, attempt string) TakeResult {
	t.Helper()
	taken, err := table.Take(now, Take{Claim{Account: "a", RequestID: id, Digest: digest, Attempt: attempt}})
	if err != nil {
		t.Fatal(err)
	}
	return taken
}

func assertKind(t *testing.T, err error, want rollout.Kind) {
	t.Helper()
	var e *rollout.Error
	if !errors.As(err, &e) || e.Kind != want || !e.NotRun {
		t.Fatalf("error %v, want %v, not run", err, want)
	}
}

func TestOneAttemptHoldsAClaim(t *testing.T) {
	table := New()
	if !take(t, table, 1, "r", "d", "first").New {
		t.Fatal("the first taker did not get the claim")
	}
	t.Run("a second taker finds it", func(t *testing.T) {
		if got := take(t, table, 2, "r", "d", "second"); got.New || got.Claim.Attempt != "first" {
			t.Fatalf("got %+v", got)
		}
	})
	t.Run("another request is refused", func(t *testing.T) {
		_, err := table.Take(2, Take{Claim{Account: "a", RequestID: "r", Digest: "other"}})
		assertKind(t, err, rollout.KindConflict)
	})
	t.Run("another account has IDs of its own", func(t *testing.T) {
		taken, err := table.Take(2, Take{Claim{Account: "b", RequestID: "r", Digest: "other", Attempt: "x"}})
		if err != nil || !taken.New {
			t.Fatalf("got %+v, %v", taken, err)
		}
	})
	t.Run("only the holder can give it up", func(t *testing.T) {
		table.Void(Void{Account: "a", RequestID: "r", Attempt: "second"})
		if take(t, table, 3, "r", "d", "third").New {
			t.Fatal("a stranger gave the claim up")
		}
		table.Void(Void{Account: "a", RequestID: "r", Attempt: "first"})
		if !take(t, table, 4, "r", "d", "third").New {
			t.Fatal("the claim was not given up")
		}
	})
}

func TestAFullTableForgetsNothingEarly(t *testing.T) {
	table := New()
	table.Limit, table.RetentionMS = 2, 100
	take(t, table, 1, "r1", "d", "1")
	take(t, table, 50, "r2", "d", "2")
	_, err := table.Take(60, Take{Claim{Account: "a", RequestID: "r3", Digest: "d"}})
	assertKind(t, err, rollout.KindOverloaded)
	if take(t, table, 60, "r1", "d", "x").New {
		t.Fatal("a claim was forgotten early")
	}
	if !take(t, table, 101, "r3", "d", "3").New {
		t.Fatal("an old claim was not forgotten")
	}
}
