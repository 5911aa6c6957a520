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
		t.Fatalf("got error %v, want kind %v with NotRun set", err, want)
	}
}

// TestFindReturnsOnlyClaimsInForce guards against a repeated request that attaches to
// an attempt that never begins, and against a look-up that takes a claim.
func TestFindReturnsOnlyClaimsInForce(t *testing.T) {
	table := New()
	find := func(now rollout.Millis, want string) {
		t.Helper()
		if c, err := table.Find(now, Find{Account: "a", RequestID: "r", Digest: "d"}); err != nil || c.Attempt != want {
			t.Fatalf("Find() = attempt %q, error %v, want %q", c.Attempt, err, want)
		}
	}
	find(1, "")
	take(t, table, 1, "r", "d", "first")
	find(2, "first")
	find(1+table.RetentionMS, "")
	_, err := table.Find(2, Find{Account: "a", RequestID: "r", Digest: "other"})
	assertKind(t, err, rollout.KindConflict)
	table.Void(Void{Account: "a", RequestID: "r", Attempt: "first"})
	find(3, "")
}

func TestOnlyOneAttemptHoldsAClaim(t *testing.T) {
	table := New()
	if !take(t, table, 1, "r", "d", "first").New {
		t.Fatal("first attempt did not get the claim")
	}
	t.Run("a second attempt gets the existing claim", func(t *testing.T) {
		if got := take(t, table, 2, "r", "d", "second"); got.New || got.Claim.Attempt != "first" {
			t.Fatalf("got %+v", got)
		}
	})
	t.Run("another request with the same ID is rejected", func(t *testing.T) {
		_, err := table.Take(2, Take{Claim{Account: "a", RequestID: "r", Digest: "other"}})
		assertKind(t, err, rollout.KindConflict)
	})
	t.Run("request IDs are scoped to the account", func(t *testing.T) {
		taken, err := table.Take(2, Take{Claim{Account: "b", RequestID: "r", Digest: "other", Attempt: "x"}})
		if err != nil || !taken.New {
			t.Fatalf("got %+v, %v", taken, err)
		}
	})
	t.Run("only the holding attempt can void it", func(t *testing.T) {
		table.Void(Void{Account: "a", RequestID: "r", Attempt: "second"})
		if take(t, table, 3, "r", "d", "third").New {
			t.Fatal("an attempt that does not hold the claim voided it")
		}
		table.Void(Void{Account: "a", RequestID: "r", Attempt: "first"})
		if !take(t, table, 4, "r", "d", "third").New {
			t.Fatal("the holding attempt could not void the claim")
		}
	})
}

// TestFullTableKeepsClaimsUntilRetention guards against evicting a claim early
// to make room, which would let its request run twice.
func TestFullTableKeepsClaimsUntilRetention(t *testing.T) {
	table := New()
	table.Limit, table.RetentionMS = 2, 100
	take(t, table, 1, "r1", "d", "1")
	take(t, table, 50, "r2", "d", "2")
	_, err := table.Take(60, Take{Claim{Account: "a", RequestID: "r3", Digest: "d"}})
	assertKind(t, err, rollout.KindOverloaded)
	if take(t, table, 60, "r1", "d", "x").New {
		t.Fatal("claim was evicted before its retention passed")
	}
	if !take(t, table, 101, "r3", "d", "3").New {
		t.Fatal("expired claim was not removed")
	}
}

// A claim that was void and is taken again is as old as its new attempt. The table
// would fill up with expired claims behind it otherwise.
func TestClaimTakenAgainDoesNotKeepOthersFromExpiring(t *testing.T) {
	table := New()
	table.RetentionMS = 100
	take(t, table, 1, "r1", "d", "1")
	take(t, table, 2, "r2", "d", "2")
	table.Void(Void{Account: "a", RequestID: "r1", Attempt: "1"})
	take(t, table, 90, "r1", "d", "3")
	take(t, table, 120, "r3", "d", "4")
	if _, kept := table.Claims[tableKey("a", "r2")]; kept || len(table.Order) != 2 {
		t.Fatalf("%d claims in order, the expired one kept: %v; want 2, false", len(table.Order), kept)
	}
	if take(t, table, 180, "r1", "d", "5").New {
		t.Fatal("the claim taken again expired early")
	}
}
