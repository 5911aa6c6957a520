package jobstore

import (
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/authority"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// Guards against steps that wait for weights after a loss of all power: the host that sent the
// last orders waited as if another had sent some since. And against two hosts that send orders
// in turn: a host that another has replaced must wait.
func TestOrdersWaitOnlyAfterThoseOfAnotherHost(t *testing.T) {
	const cooldownMS = 3_000
	for name, tc := range map[string]struct {
		claims []string
		waits  bool
	}{
		"own orders were the last":            {claims: []string{"other", "h"}},
		"own orders are the first":            {claims: []string{"other"}},
		"another host has sent orders since":  {claims: []string{"h", "other"}, waits: true},
		"orders of earlier leaders not known": {waits: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newLeader(t, nil)
			next := startNextRunner(t, s)
			next.mu.Lock()
			defer next.mu.Unlock()
			// The cooldown of the store is that of a process that has just started.
			started := s.clock.Now()
			s.mu.Lock()
			s.orderCooldown, s.state.OrderHosts = authority.NewCooldown(started, cooldownMS), tc.claims
			s.mu.Unlock()
			for at, want := range map[rollout.Millis]bool{started + 1: !tc.waits, started + cooldownMS + 1: true} {
				next.orders = orderClaim{}
				if next.maySendOrders(t.Context(), at) && next.orders.pending {
					t.Error("may send orders before the claim is committed")
				}
				if got := next.orders.held || next.orders.pending; got != want {
					t.Errorf("holds or claims the orders %d ms after the start: %v, want %v", at-started, got, want)
				}
			}
		})
	}
}

// Guards against orders of a leader that the next one does not know of, and against claims of a
// leader that was replaced.
func TestOrdersAreClaimed(t *testing.T) {
	s, f := newLeader(t, nil)
	s.applyView(testView(map[string]uint64{"m": 2}))
	eventually(t, "orders to both engines", func() bool {
		f.mu.Lock()
		sent := len(f.orders)
		f.mu.Unlock()
		s.mu.Lock()
		defer s.mu.Unlock()
		if sent > 0 && !slices.Equal(s.state.OrderHosts, []string{"h"}) {
			t.Fatalf("%d orders before the claim", sent)
		}
		return sent == 2
	})
	var former job.Command
	former.Orders = &job.ClaimOrders{Writer: "former", Host: "other"}
	if err := s.propose(t.Context(), former); err == nil {
		t.Error("the claim of a former leader was accepted")
	}
}
