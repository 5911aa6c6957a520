package e2e

import (
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

// orders returns how many orders of an action the platform has.
func (d *deployment) orders(action string) int {
	n := 0
	for _, o := range d.platform().Orders {
		if o.Action == action {
			n++
		}
	}
	return n
}

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
	t.Run("what is lacking is ordered", func(t *testing.T) {
		d.do("set target paraiso/redactor min 3 max 3")
		eventually(t, "two starts", patience, func() bool { return d.orders("start") == 2 })
	})
	t.Run("a new leader does not order it again", func(t *testing.T) {
		d.kill(d.leader())
		eventually(t, "orders are known", patience, func() bool { return len(d.do("show orders where State = accepted").Table.Rows) == 2 })
		time.Sleep(7 * time.Second)
		if n := d.orders("start"); n != 2 {
			t.Fatalf("%d start orders", n)
		}
	})
	t.Run("an upstream that announces itself answers an order", func(t *testing.T) {
		d.start("engine-4")
		eventually(t, "one order is done", patience, func() bool { return len(d.do("show orders where State = done").Table.Rows) == 1 })
	})
	t.Run("what is too much is drained and stopped", func(t *testing.T) {
		d.do("set target paraiso/redactor min 1 max 1")
		eventually(t, "one stop", patience, func() bool { return d.orders("stop") == 1 })
		eventually(t, "one left to run", patience, func() bool {
			return len(d.do("show upstreams where Pool = redactor and FailureDomain = paraiso and Leaving = no").Table.Rows) == 1
		})
	})
	if p := d.platform(); p.OldTerm != 0 {
		t.Fatalf("%d orders of an old term", p.OldTerm)
	}
}
