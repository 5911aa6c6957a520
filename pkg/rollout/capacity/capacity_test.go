package capacity

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

var cfg = Config{Utilization: 0.5, GrowAfterMS: 10, ShrinkAfterMS: 100, StartTimeoutMS: 1_000}

func target(domain string, low, high int) catalog.Target {
	return catalog.Target{FailureDomain: domain, Pool: "p", Min: low, Max: high}
}

func upstreams(domain string, n int) []catalog.Upstream {
	var us []catalog.Upstream
	for i := range n {
		us = append(us, catalog.Upstream{ID: fmt.Sprintf("%s%d", domain, i), Pool: "p", FailureDomain: domain, Slots: 4, SinceMS: 1})
	}
	return us
}

func input(busy int, targets []catalog.Target, us ...[]catalog.Upstream) Input {
	in := Input{Targets: targets, Demand: map[string]Demand{"p": {Busy: busy}}, Idle: func(string) bool { return true }}
	for _, u := range us {
		in.Upstreams = append(in.Upstreams, u...)
	}
	return in
}

func assertPlan(t *testing.T, p Plan, starts map[string]int, drains int) {
	t.Helper()
	got := make(map[string]int)
	for _, o := range p.Orders {
		if o.Action == "start" {
			got[o.FailureDomain]++
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(starts) || len(p.Drain) != drains {
		t.Fatalf("starts %v and drains %v, want starts %v and %d drains", got, p.Drain, starts, drains)
	}
}

func TestMinimumIsStartedImmediately(t *testing.T) {
	p := New(cfg)
	plan := p.Plan(10, "o", input(0, []catalog.Target{target("a", 2, 4), target("b", 1, 4)}, upstreams("a", 1)))
	assertPlan(t, plan, map[string]int{"a": 1, "b": 1}, 0)
}

// TestPlanWaitsForConditionToPersist checks that a short shortage starts no
// upstream and a short excess drains none.
func TestPlanWaitsForConditionToPersist(t *testing.T) {
	p := New(cfg)
	in := input(8, []catalog.Target{target("a", 1, 9)}, upstreams("a", 2))
	assertPlan(t, p.Plan(0, "o", in), map[string]int{}, 0)
	assertPlan(t, p.Plan(9, "o", in), map[string]int{}, 0)
	assertPlan(t, p.Plan(10, "o", in), map[string]int{"a": 2}, 0)
	idle := input(2, []catalog.Target{target("a", 1, 9)}, upstreams("a", 4))
	assertPlan(t, p.Plan(20, "o", idle), map[string]int{}, 0)
	assertPlan(t, p.Plan(119, "o", idle), map[string]int{}, 0)
	assertPlan(t, p.Plan(120, "o", idle), map[string]int{}, 3)
}

// TestPendingOrdersAreCounted checks that an upstream that is still starting is
// not ordered a second time.
func TestPendingOrdersAreCounted(t *testing.T) {
	p := New(cfg)
	in := input(0, []catalog.Target{target("a", 2, 4)})
	in.Orders = []Order{{Order: rollout.Order{ID: "1", Action: "start", FailureDomain: "a", Pool: "p"}, State: OrderAccepted, AtMS: 5}}
	assertPlan(t, p.Plan(10, "o", in), map[string]int{"a": 1}, 0)
}

// TestOtherFailureDomainsReplaceLostOne checks that a start order past its
// timeout makes the planner start upstreams in another failure domain.
func TestOtherFailureDomainsReplaceLostOne(t *testing.T) {
	p := New(cfg)
	targets := []catalog.Target{target("a", 1, 4), target("b", 1, 4)}
	in := input(8, targets, upstreams("a", 2))
	in.Orders = []Order{{Order: rollout.Order{ID: "1", Action: "start", FailureDomain: "b", Pool: "p"}, State: OrderAccepted, AtMS: 0}}
	p.Plan(2_000, "o", in)
	assertPlan(t, p.Plan(2_010, "o", in), map[string]int{"a": 2}, 0)
}

// TestEvacuatedDomainIsReplaced checks that nothing is started or drained in an
// evacuated domain, and that the others take over within their targets, also if no
// request waits because all of them are refused.
func TestEvacuatedDomainIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		name      string
		busy      int
		targets   []catalog.Target
		upstreams [][]catalog.Upstream
		want      map[string]int
	}{
		{"by demand", 8, []catalog.Target{target("a", 1, 3), target("b", 1, 9)}, [][]catalog.Upstream{upstreams("a", 1), upstreams("b", 1)}, map[string]int{"a": 2}},
		{"minimum without demand", 0, []catalog.Target{target("a", 0, 4), target("b", 2, 9)}, [][]catalog.Upstream{upstreams("b", 2)}, map[string]int{"a": 2}},
		{"missing minimum", 0, []catalog.Target{target("b", 2, 9)}, nil, map[string]int{}},
		{"excess", 0, []catalog.Target{target("b", 0, 1)}, [][]catalog.Upstream{upstreams("b", 3)}, map[string]int{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := New(cfg)
			in := input(tc.busy, tc.targets, tc.upstreams...)
			in.Evacuated = func(domain string) bool { return domain == "b" }
			p.Plan(0, "o", in)
			assertPlan(t, p.Plan(10, "o", in), tc.want, 0)
		})
	}
}

func TestLeavingUpstreamIsStoppedOnceWhenIdle(t *testing.T) {
	p := New(cfg)
	us := upstreams("a", 2)
	us[1] = us[1].WithLeaving(true)
	in := input(1, []catalog.Target{target("a", 1, 1)}, us)
	idle := false
	in.Idle = func(string) bool { return idle }
	if plan := p.Plan(1, "o", in); len(plan.Orders) != 0 {
		t.Fatalf("orders %+v for an upstream that is not idle", plan.Orders)
	}
	idle = true
	plan := p.Plan(2, "o", in)
	if len(plan.Orders) != 1 || plan.Orders[0].Action != "stop" || plan.Orders[0].Upstream != "a1" {
		t.Fatalf("orders %+v", plan.Orders)
	}
	in.Orders = []Order{{Order: plan.Orders[0], State: OrderPlanned}}
	if again := p.Plan(3, "o", in); len(again.Orders) != 0 {
		t.Fatalf("stop ordered twice: %+v", again.Orders)
	}
}
