package director

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

// Guards against a host whose data is lost: it has the name of one that was retired before, so
// that its own retirement counts as completed.
func TestRetirementIsThatOfTheHostAtItsAddress(t *testing.T) {
	d := newLocalDirector()
	d.state.Apply(registry.Command{Retire: &registry.RetireHost{Host: "store-1", Address: "old"}})
	for _, step := range []struct {
		address string
		want    bool
	}{{"", true}, {"old", true}, {"new", false}} {
		var stores []view.Request
		if step.address != "" {
			d.recordWatchRequest(view.Request{Host: "store-1", Role: view.RoleStore, Address: step.address, Store: &view.StoreStatus{}})
			stores = d.liveDaemons(view.RoleStore)
		}
		if _, got := d.retiringAddress("store-1", stores); got != step.want {
			t.Errorf("host at %q is being retired: %v, want %v", step.address, got, step.want)
		}
	}
	d.state.Apply(registry.Command{Retire: &registry.RetireHost{Host: "store-1", Address: "new"}})
	if address, got := d.retiringAddress("store-1", d.liveDaemons(view.RoleStore)); !got || address != "new" {
		t.Errorf("retiring %v at %q after the order for the new host, want it at new", got, address)
	}
}
