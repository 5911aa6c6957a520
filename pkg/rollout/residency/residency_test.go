package residency_test

import (
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/residency"
)

// assertAllows checks which of the test's regions a policy allows.
func assertAllows(t *testing.T, p residency.Policy, want ...string) {
	t.Helper()
	var got []string
	for _, r := range []string{"east", "north", "west"} {
		if p.Allows(r) {
			got = append(got, r)
		}
	}
	if !slices.Equal(got, want) {
		t.Fatalf("policy %v allows %v, want %v", p, got, want)
	}
}

// Guards against an account that widens the regions of a route, or a route those of an
// account.
func TestRouteAndAccountBothApply(t *testing.T) {
	assertAllows(t, residency.NewPolicy(nil, nil), "east", "north", "west")
	assertAllows(t, residency.NewPolicy([]string{"east"}, nil), "east")
	assertAllows(t, residency.NewPolicy([]string{}, []string{"west"}), "west")
	assertAllows(t, residency.NewPolicy([]string{"east", "north"}, []string{"west", "north"}), "north")
}

// Guards against an empty intersection that is taken for no restriction.
func TestEmptyIntersectionAllowsNothing(t *testing.T) {
	p := residency.NewPolicy([]string{"east"}, []string{"west"})
	if !p.IsRestricted() {
		t.Fatal("the policy is not restricted")
	}
	assertAllows(t, p)
	assertAllows(t, p.And(residency.Policy{}))
	assertAllows(t, residency.NewPolicy([]string{""}, nil))
}

// Guards against names that widen a policy because of how it is held: prefixes, empty names
// and names with its separator.
func TestOnlyWholeNamesMatch(t *testing.T) {
	p := residency.NewPolicy([]string{"east-1", "west\x00north", ""}, nil)
	assertAllows(t, p)
	for _, r := range []string{"", "east-1\x00", "\x00", "east", "east-12"} {
		if p.Allows(r) {
			t.Errorf("region %q is allowed", r)
		}
	}
	if !p.Allows("east-1") {
		t.Error("region east-1 is not allowed")
	}
}

// Guards against equal policies that count as different requirements of the scheduler.
func TestPoliciesOfTheSameRegionsAreEqual(t *testing.T) {
	a := residency.NewPolicy([]string{"west", "east", "west"}, nil)
	b := residency.NewPolicy([]string{"east", "west", "north"}, []string{"west", "east"})
	if a != b {
		t.Fatalf("policies %v and %v differ", a, b)
	}
}

// Guards against a failure domain without a region that is taken for an allowed one.
func TestDomainWithoutRegionIsInNoAllowedOne(t *testing.T) {
	regions := map[string]string{"e1": "east", "w1": "west", "x": ""}
	m := residency.NewMap(regions)
	regions["y"] = "east"
	p := residency.NewPolicy([]string{"east"}, nil)
	for domain, want := range map[string]bool{"e1": true, "w1": false, "x": false, "y": false, "": false} {
		if got := m.Allows(p, domain); got != want {
			t.Errorf("domain %q allowed: %v, want %v", domain, got, want)
		}
		if !m.Allows(residency.Policy{}, domain) {
			t.Errorf("domain %q is not allowed without a restriction", domain)
		}
	}
}

// Guards against copies of a job in a region that is neither allowed nor the caller's.
func TestJobsAreKeptInAllowedRegionsAndThatOfTheEntry(t *testing.T) {
	m := residency.NewMap(map[string]string{"e1": "east", "e2": "east", "n1": "north", "w1": "west"})
	p := residency.NewPolicy([]string{"east"}, nil)
	for domain, want := range map[string]bool{"e2": true, "w1": true, "n1": false, "x": false, "": false} {
		if got := m.MayKeep(p, "w1", domain); got != want {
			t.Errorf("domain %q may keep the job: %v, want %v", domain, got, want)
		}
	}
	if m.MayKeep(p, "x", "y") {
		t.Error("two domains without a region count as one region")
	}
}
