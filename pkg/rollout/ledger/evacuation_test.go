package ledger

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// newStateWithDomains returns a state with upstreams in the failure domains a and b.
func newStateWithDomains() *State {
	s := New()
	s.Apply(1, []Command{
		{PutUpstream: &catalog.Upstream{ID: "a-1", FailureDomain: "a", Incarnation: "1"}},
		{PutUpstream: &catalog.Upstream{ID: "b-1", FailureDomain: "b", Incarnation: "1"}},
	})
	return s
}

func evacuate(domain, id string) Command {
	return Command{ID: id, AtMS: 1_000, Evacuate: &Evacuate{FailureDomain: domain}}
}

func endEvacuation(domain, id string) Command {
	return Command{ID: id, AtMS: 2_000, EndEvacuation: &EndEvacuation{FailureDomain: domain}}
}

// applyOne applies a command that must succeed.
func applyOne(t *testing.T, s *State, index uint64, c Command) {
	t.Helper()
	if err := s.Apply(index, []Command{c})[0].Err(); err != nil {
		t.Fatal(err)
	}
}

// assertEvacuated checks the evacuated failure domains and that exactly their
// upstreams are marked.
func assertEvacuated(t *testing.T, c *catalog.Catalog, domains ...string) {
	t.Helper()
	if got := slices.Sorted(maps.Keys(c.Evacuations)); !slices.Equal(got, domains) {
		t.Fatalf("evacuated domains %v, want %v", got, domains)
	}
	for _, u := range c.SortedUpstreams() {
		if want := slices.Contains(domains, u.FailureDomain); u.Evacuated != want {
			t.Fatalf("upstream %s in domain %s: Evacuated is %v, want %v", u.ID, u.FailureDomain, u.Evacuated, want)
		}
	}
}

func TestEvacuationIsIdempotent(t *testing.T) {
	s := newStateWithDomains()
	applyOne(t, s, 2, evacuate("a", "1"))
	assertEvacuated(t, s.Catalog, "a")
	t.Run("in force", func(t *testing.T) {
		again := evacuate("a", "2")
		again.AtMS = 9_000
		applyOne(t, s, 3, again)
		if e := s.Catalog.Evacuations["a"]; e.SinceMS != 1_000 || s.Catalog.Version != 2 {
			t.Fatalf("evacuation %+v at version %d, want the first one unchanged", e, s.Catalog.Version)
		}
	})
	t.Run("command ID", func(t *testing.T) {
		applyOne(t, s, 4, endEvacuation("a", "3"))
		applyOne(t, s, 5, evacuate("a", "1"))
		assertEvacuated(t, s.Catalog)
	})
	t.Run("not in force", func(t *testing.T) {
		applyOne(t, s, 6, endEvacuation("a", "4"))
		if s.Catalog.Version != 4 {
			t.Fatalf("catalog version %d after an order without effect, want 4", s.Catalog.Version)
		}
	})
}

func TestEvacuationOfUnknownDomainIsRefused(t *testing.T) {
	s := newStateWithDomains()
	for _, c := range []Command{evacuate("c", "1"), endEvacuation("c", "2")} {
		err := s.Apply(2, []Command{c})[0].Err()
		if err == nil || rollout.AsError(err).Kind != rollout.KindNotFound {
			t.Fatalf("error %v, want NotFound", err)
		}
	}
	withHost := Command{ID: "3", Evacuate: &Evacuate{FailureDomain: "c", HasHost: true}}
	applyOne(t, s, 3, withHost)
	assertEvacuated(t, s.Catalog, "c")
}

// TestUpstreamOfEvacuatedDomainStaysEvacuated guards against upstreams that get
// requests again because they were lost, restarted or reported anew.
func TestUpstreamOfEvacuatedDomainStaysEvacuated(t *testing.T) {
	s := newStateWithDomains()
	applyOne(t, s, 2, evacuate("a", "1"))
	for index, c := range []Command{
		{PutUpstream: &catalog.Upstream{ID: "a-1", FailureDomain: "a", Incarnation: "1", Slots: 3}},
		{PutUpstream: &catalog.Upstream{ID: "a-1", FailureDomain: "a", Incarnation: "2"}},
		{PutUpstream: &catalog.Upstream{ID: "a-2", FailureDomain: "a", Incarnation: "1"}},
		{ID: "2", DrainRequest: &Drain{Upstream: "a-2"}},
		{LoseUpstream: &LoseUpstream{ID: "a-1", Incarnation: "2"}},
		{LoseUpstream: &LoseUpstream{ID: "a-2", Incarnation: "1"}},
	} {
		applyOne(t, s, uint64(index+3), c)
		assertEvacuated(t, s.Catalog, "a")
	}
	applyOne(t, s, 20, endEvacuation("a", "3"))
	assertEvacuated(t, s.Catalog)
}

func TestEvacuationSurvivesSnapshot(t *testing.T) {
	s := newStateWithDomains()
	applyOne(t, s, 2, evacuate("a", "1"))
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	assertEvacuated(t, restored.Catalog, "a")
	if !reflect.DeepEqual(restored.Catalog.Evacuations, s.Catalog.Evacuations) {
		t.Fatalf("restored evacuations %+v, want %+v", restored.Catalog.Evacuations, s.Catalog.Evacuations)
	}
	applyOne(t, restored, 3, endEvacuation("a", "2"))
	assertEvacuated(t, restored.Catalog)
}

// TestSnapshotWithoutEvacuationsIsReadable guards against a build that can't evacuate
// after it has started from the snapshot of an older build.
func TestSnapshotWithoutEvacuationsIsReadable(t *testing.T) {
	old := []byte(`{"Catalog":{"Version":1,"Upstreams":{"a-1":{"ID":"a-1","FailureDomain":"a","Incarnation":"1"}}},"Applied":1}`)
	s, err := Restore(old)
	if err != nil {
		t.Fatal(err)
	}
	assertEvacuated(t, s.Catalog)
	applyOne(t, s, 2, evacuate("a", "1"))
	assertEvacuated(t, s.Catalog, "a")
}

// TestBuildWithoutEvacuationsReadsFeedAndSnapshot guards against updates that an
// entry or agent of an older build rejects, after which it would lose its authority.
func TestBuildWithoutEvacuationsReadsFeedAndSnapshot(t *testing.T) {
	s := newStateWithDomains()
	follower := catalog.New()
	for index, c := range []Command{evacuate("a", "1"), evacuate("b", "2"), endEvacuation("a", "3")} {
		applyOne(t, s, uint64(index+2), c)
		for _, interest := range []catalog.Interest{catalog.EntryInterest(), catalog.AgentInterest([]string{"a-1"})} {
			for _, since := range []uint64{0, s.Catalog.Version - 1} {
				assertNoUnknownKind(t, s.Catalog.Since(since, interest))
			}
		}
		if err := follower.Apply(s.Catalog.Since(follower.Version, catalog.EntryInterest())); err != nil {
			t.Fatal(err)
		}
		if want := s.Catalog.Upstreams["a-1"].Evacuated; follower.Upstreams["a-1"].Evacuated != want {
			t.Fatalf("follower has %+v, want Evacuated %v", follower.Upstreams["a-1"], want)
		}
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var old struct {
		Catalog struct {
			Version   uint64
			Upstreams map[string]struct{ ID string }
		}
	}
	if err := json.Unmarshal(data, &old); err != nil || old.Catalog.Version != 4 || len(old.Catalog.Upstreams) != 2 {
		t.Fatalf("old build reads %+v, error %v", old, err)
	}
}

func TestFullUpdateHoldsEvacuations(t *testing.T) {
	s := newStateWithDomains()
	applyOne(t, s, 2, evacuate("a", "1"))
	follower := catalog.New()
	all := catalog.EntryInterest()
	all.Kinds = append(all.Kinds, catalog.KindEvacuation)
	if err := follower.Apply(s.Catalog.Since(0, all)); err != nil {
		t.Fatal(err)
	}
	assertEvacuated(t, follower, "a")
}

func assertNoUnknownKind(t *testing.T, u catalog.Update) {
	t.Helper()
	for _, ch := range u.Changes {
		if ch.Kind == catalog.KindEvacuation {
			t.Fatalf("update %+v has a kind that older builds reject", u)
		}
	}
}
