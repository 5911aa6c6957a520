package director

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/permits"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

const testColdMS rollout.Millis = 3_000

// newColdDirector returns a director with a cold upstream of a pool of services and one of a
// pool of engines, and the incarnations of both.
func newColdDirector() (d *Director, service, engine discovery.Incarnation) {
	d = newLocalDirector()
	d.opts.ColdBound = limit.ColdBound{Overage: 1.5, Tolerance: 5}
	d.state.Document = document.Document{Version: 1, Pools: []document.Pool{
		{Name: "services", ColdStartMS: testColdMS, ColdPerSecond: 10},
		{Name: "engines", ColdStartMS: testColdMS, ColdPerSecond: 10, Models: []string{"m"}},
	}}
	d.syncColdPools()
	service, engine = discovery.Incarnation{ID: "s", Born: 1}, discovery.Incarnation{ID: "e", Born: 1}
	d.table.Announce(d.clock.Now(), discovery.Upstream{ID: "s", Pool: "services", Address: "s", Born: 1, Seq: 1, State: discovery.StateReady, ColdMS: testColdMS})
	d.table.Announce(d.clock.Now(), discovery.Upstream{ID: "e", Pool: "engines", Address: "e", Born: 1, Seq: 1, State: discovery.StateReady, ColdMS: testColdMS})
	return d, service, engine
}

// ask asks for a permit for a caller.
func ask(d *Director, u discovery.Incarnation) []limit.Grant {
	return d.grantPermits(permits.Request{Host: "h", Wants: []limit.Want{{Upstream: u, Callers: 1, Cold: 10}}}).Grants
}

// Guards against requests that go on waiting for permits of an upstream that is warm again.
func TestPermitsOfColdUpstreamEndWhenItIsWarm(t *testing.T) {
	d, service, _ := newColdDirector()
	if grants := ask(d, service); len(grants) != 1 {
		t.Fatalf("got grants %v for a cold upstream, want one that says when", grants)
	}
	changed := d.changed
	if !d.table.Tick(d.clock.Now() + testColdMS + 1) {
		t.Fatal("the upstream is still cold")
	}
	d.notifyWatches()
	<-changed
	if grants := ask(d, service); len(grants) != 0 {
		t.Fatalf("got grants %v for a warm upstream, want none", grants)
	}
	if us, _ := d.upstreamsChangedSince(0, view.RoleEntry); len(us) != 2 || us[0].ColdLimit+us[1].ColdLimit != 0 {
		t.Fatalf("hosts get %+v, want warm upstreams", us)
	}
}

// Guards against permits for engines beyond the half of the bound that items leave.
func TestEnginesGetHalfOfColdRateByPermits(t *testing.T) {
	d, service, engine := newColdDirector()
	absent := d.shares.Absent(d.clock.Now(), false)
	for _, tc := range []struct {
		upstream discovery.Incarnation
		rate     float64
		most     int
	}{{service, 10, 20}, {engine, 5, 10}} {
		if p, cold := d.coldPermits(limit.Want{Upstream: tc.upstream}, absent); !cold || p.Rate != tc.rate || p.Most != tc.most {
			t.Errorf("%s: permits %+v, cold %v, want %g a second and %d in any", tc.upstream.ID, p, cold, tc.rate, tc.most)
		}
	}
	d.table.SetLimit("s", 1, 3)
	ask(d, service)
	if grants := ask(d, service); len(grants) != 1 || grants[0].IntervalMS < 300 {
		t.Errorf("got grants %+v for a cold upstream that names 3 a second, want an interval of 300 ms at least", grants)
	}
}

// Guards against entries that do not know how many they are before they lose control, and
// against a new leader that knows nothing of them.
func TestWatchTellsEntriesTheirShare(t *testing.T) {
	d, _, _ := newColdDirector()
	watch := func(host string, role view.Role) view.Reply {
		req := view.Request{Host: host, Role: role, CopyAgeMS: 1}
		d.recordWatchRequest(req)
		var reply view.Reply
		d.addColdShare(&reply, req)
		return reply
	}
	watch("a", view.RoleEntry)
	watch("b", view.RoleStore)
	if reply := watch("c", view.RoleEntry); reply.ColdShare == nil || reply.ColdShare.Hosts != 2 || reply.ColdShare.Turn != 1 {
		t.Fatalf("the second entry is told %+v, want the second turn of 2", reply.ColdShare)
	}
	if reply := watch("d", view.RoleControl); len(reply.Senders) != 2 || reply.ColdShare == nil {
		t.Fatalf("a control host is told %+v, want the clock of turns and 2 entries", reply)
	}
	if reply := watch("b", view.RoleStore); reply.ColdShare != nil {
		t.Fatalf("a host of the job store is told %+v, want nothing", reply.ColdShare)
	}
	d.state.Document.Pools = nil
	if reply := watch("a", view.RoleEntry); reply.ColdShare != nil {
		t.Fatalf("an entry is told %+v although no upstream can be cold", reply.ColdShare)
	}
}
