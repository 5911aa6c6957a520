package ledger

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/claim"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

// drawCommand draws a random command.
func drawCommand(t *rapid.T, at rollout.Millis) Command {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	n := rapid.IntRange(0, 3).Draw(t, "n")
	c := Command{AtMS: at}
	switch rapid.IntRange(0, 13).Draw(t, "kind") {
	case 0:
		c.ID, c.PutAccount = fmt.Sprint("op", n), &catalog.Account{Name: name, Weight: n}
	case 1:
		c.ID, c.GrantKey = fmt.Sprint("key", n), &catalog.Key{ID: name, Account: name, Digest: fmt.Sprint(n)}
	case 2:
		c.ID, c.WithdrawKey = fmt.Sprint("wd", n), &WithdrawKey{ID: name}
	case 3:
		c.ID, c.PutGroup = fmt.Sprint("grp", n), &PutGroup{Name: name, Account: name, StalenessBound: uint64(n)}
	case 4:
		c.PublishWeights = &PublishWeights{Group: name, Version: uint64(n)}
	case 5:
		c.PutUpstream = &catalog.Upstream{
			ID: name, FailureDomain: fmt.Sprint("d", n%2), Slots: n / 2, Incarnation: "1", Versions: map[string]uint64{"g": uint64(at)},
		}
	case 6:
		c.TakeClaim = &claim.Take{Claim: claim.Claim{Account: name, RequestID: fmt.Sprint(n), Digest: "d", Attempt: fmt.Sprint(at)}}
	case 7:
		c.OpenStep = &stream.OpenStep{Group: name, Step: fmt.Sprint(n), Size: 2, Entry: "e"}
	case 8:
		c.CommitSample = &stream.CommitSample{Group: name, Step: fmt.Sprint(n), Index: n % 2, Versions: []uint64{uint64(n)}}
	case 9:
		c.Handover = &stream.Handover{Group: name, After: uint64(n), Max: 2}
	case 10:
		c.AddUsage = &usage.Report{Agent: name, Incarnation: "1", Lines: []usage.Line{{Subject: usage.Subject{Account: name, Pool: "p"}, Figures: usage.Figures{Requests: uint64(n)}}}}
	case 11:
		c.ID, c.Evacuate = fmt.Sprint("evacuate", at), &Evacuate{FailureDomain: fmt.Sprint("d", n%2)}
	case 12:
		c.ID, c.EndEvacuation = fmt.Sprint("end", at), &EndEvacuation{FailureDomain: fmt.Sprint("d", n%2)}
	default:
		c.Crash = &Crash{ID: fmt.Sprint(n), Fingerprints: []string{name}}
	}
	return c
}

// TestRestoredReplicaAgrees guards against state that a snapshot loses. It applies
// the same log to two replicas, one of which is restored from its own snapshots
// in between, and compares all results and the final states.
func TestRestoredReplicaAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uninterrupted, restored := New(), New()
		for index := range rapid.Uint64Range(1, 40).Draw(t, "entries") {
			at := rollout.Millis(index + 1)
			batch := []Command{drawCommand(t, at), drawCommand(t, at)}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				data, err := restored.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if restored, err = Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			want, got := uninterrupted.Apply(index+1, batch), restored.Apply(index+1, batch)
			if !reflect.DeepEqual(want, got) {
				t.Fatalf("results differ at index %d: %+v and %+v", index+1, want, got)
			}
		}
		a, _ := uninterrupted.Snapshot()
		b, _ := restored.Snapshot()
		if string(a) != string(b) {
			t.Fatalf("states differ:\n%s\n%s", a, b)
		}
	})
}

// TestFollowerConvergesToCatalog guards against changes that the feed loses. A
// follower polls the feed at random times. It must end with the catalog of the
// leader, and its version must never decrease.
func TestFollowerConvergesToCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, follower := New(), catalog.New()
		all := catalog.EntryInterest()
		all.Kinds = append(all.Kinds, catalog.KindTarget, catalog.KindEvacuation)
		for index := range rapid.Uint64Range(1, 60).Draw(t, "entries") {
			s.Apply(index+1, []Command{drawCommand(t, rollout.Millis(index+1))})
			if rapid.Bool().Draw(t, "follow") {
				before := follower.Version
				u := s.Catalog.Since(follower.Version, all)
				if err := follower.Apply(u); err != nil || follower.Version < before {
					t.Fatalf("follower has version %d after %d, error %v", follower.Version, before, err)
				}
				repeated := catalog.Update{Full: true, Version: follower.Version}
				_ = follower.Apply(repeated)
			}
		}
		if err := follower.Apply(s.Catalog.Since(follower.Version, all)); err != nil {
			t.Fatal(err)
		}
		want, _ := json.Marshal(s.Catalog)
		got, _ := json.Marshal(follower)
		if string(want) != string(got) {
			t.Fatalf("follower has\n%s\nwant\n%s", got, want)
		}
	})
}

func TestRepeatedCommandIDReturnsFirstResult(t *testing.T) {
	s := New()
	first := s.Apply(1, []Command{{ID: "x", PutAccount: &catalog.Account{Name: "a", Weight: 1}}})[0]
	later := s.Apply(2, []Command{{ID: "x", PutAccount: &catalog.Account{Name: "a", Weight: 9}}})[0]
	if !reflect.DeepEqual(first, later) || s.Catalog.Accounts["a"].Weight != 1 {
		t.Fatalf("results are %+v and %+v, account is %+v", first, later, s.Catalog.Accounts["a"])
	}
}

func TestCommandWithOutdatedVersionConflicts(t *testing.T) {
	s := New()
	s.Apply(1, []Command{{ID: "0", PutAccount: &catalog.Account{Name: "a", Weight: 1}}})
	results := s.Apply(2, []Command{
		{ID: "1", Expected: 1, PutAccount: &catalog.Account{Name: "a", Weight: 2}},
		{ID: "2", Expected: 1, PutAccount: &catalog.Account{Name: "a", Weight: 3}},
	})
	if results[0].Err() != nil || rollout.AsError(results[1].Err()).Kind != rollout.KindConflict {
		t.Fatalf("results are %+v", results)
	}
	if s.Catalog.Accounts["a"].Weight != 2 {
		t.Fatalf("account is %+v", s.Catalog.Accounts["a"])
	}
}

// refusedAfterCrash applies a crash and returns those of its requests that are
// refused afterwards.
func refusedAfterCrash(s *State, index uint64, c Crash) []string {
	s.Apply(index, []Command{{AtMS: rollout.Millis(index), Crash: &c}})
	var refused []string
	for _, f := range c.Fingerprints {
		if s.Catalog.Poisons[f].ShouldRefuse() {
			refused = append(refused, f)
		}
	}
	return refused
}

// TestSuspectNextToAnotherIsNotConfirmed guards against refusing an innocent
// request that was running next to another suspect when the upstream crashed,
// also if the entry that sent them did not know of both suspects.
func TestSuspectNextToAnotherIsNotConfirmed(t *testing.T) {
	for name, second := range map[string]Crash{
		"both known to the entry":    {ID: "2", Fingerprints: []string{"boom", "innocent"}, Suspects: []string{"boom", "innocent"}},
		"one not known to the entry": {ID: "2", Fingerprints: []string{"boom", "innocent"}, Suspects: []string{"innocent"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := New()
			refusedAfterCrash(s, 1, Crash{ID: "1", Fingerprints: []string{"boom", "innocent"}})
			if refused := refusedAfterCrash(s, 2, second); refused != nil {
				t.Errorf("refused requests are %v, want none", refused)
			}
			third := Crash{ID: "3", Fingerprints: []string{"boom", "fresh"}, Suspects: []string{"boom"}}
			if refused := refusedAfterCrash(s, 3, third); !slices.Equal(refused, []string{"boom"}) {
				t.Errorf("refused requests are %v after boom ran as the only suspect", refused)
			}
		})
	}
}
