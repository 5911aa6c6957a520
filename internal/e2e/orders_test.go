package e2e

import (
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

// countOrders returns how many orders of an action the platform has received.
func (d *deployment) countOrders(action string) int {
	n := 0
	for _, o := range d.platform().Orders {
		if o.Action == action {
			n++
		}
	}
	return n
}

// TestOrdersAreSentOnceAcrossLeaders checks the capacity orders to the platform:
// a new leader must not repeat orders of the leader before it, and an upstream
// that registers completes an order.
func TestOrdersAreSentOnceAcrossLeaders(t *testing.T) {
	o := demo.DefaultOptions()
	o.Upstreams = append([]demo.Upstream(nil), o.Upstreams...)
	o.Upstreams = append(o.Upstreams, demo.Upstream{ID: "engine-4", Kind: "engine", Pool: "redactor", Agent: 0})
	d := prepare(t, o)
	t.Parallel()
	for _, p := range d.layout.Processes {
		if p.Name != "engine-4" {
			d.start(p.Name)
		}
	}
	d.layout.Upstreams = d.layout.Upstreams[:len(d.layout.Upstreams)-1]
	must(t, d.check.Prepare(t.Context()))
	t.Run("missing upstreams are ordered", func(t *testing.T) {
		d.do("set target paraiso/redactor min 3 max 3")
		eventually(t, "two start orders", waitTimeout, func() bool { return d.countOrders("start") == 2 })
	})
	t.Run("a new leader does not repeat the orders", func(t *testing.T) {
		d.kill(d.leader())
		eventually(t, "the new leader knows both orders", waitTimeout, func() bool { return len(d.do("show orders where State = accepted").Table.Rows) == 2 })
		time.Sleep(7 * time.Second)
		if n := d.countOrders("start"); n != 2 {
			t.Fatalf("%d start orders after the leader change, want 2", n)
		}
	})
	t.Run("an upstream that registers completes an order", func(t *testing.T) {
		d.start("engine-4")
		eventually(t, "one completed order", waitTimeout, func() bool { return len(d.do("show orders where State = done").Table.Rows) == 1 })
	})
	t.Run("surplus upstreams are drained and stopped", func(t *testing.T) {
		d.do("set target paraiso/redactor min 1 max 1")
		eventually(t, "one stop order", waitTimeout, func() bool { return d.countOrders("stop") == 1 })
		eventually(t, "one upstream that is not draining", waitTimeout, func() bool {
			return len(d.do("show upstreams where Pool = redactor and FailureDomain = paraiso and Leaving = no").Table.Rows) == 1
		})
	})
	if p := d.platform(); p.OldTerm != 0 {
		t.Fatalf("%d orders from an earlier term", p.OldTerm)
	}
}
