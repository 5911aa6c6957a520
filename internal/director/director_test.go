package director

import (
	"fmt"
	"slices"
	"testing"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/registry"
)

// newDirector returns the state of a director without a network or a quorum.
func newDirector() *Director {
	return &Director{
		opts: Options{Log: zap.NewNop()}, clock: clock.Boottime{}, state: registry.New(), table: discovery.New(1_000),
		hosts: make(map[string]host), judge: poison.NewDetector(), changed: make(chan struct{}),
	}
}

func sightingOf(host, upstream string) view.Request {
	return view.Request{Host: host, Role: view.RoleEntry, Crashes: &view.Crashes{
		Sightings: []poison.Sighting{{Fingerprint: "boom", Upstream: upstream, Born: 1}},
	}}
}

func TestRequestThatCrashedEnginesAtThreeHostsIsSpread(t *testing.T) {
	d := newDirector()
	for _, id := range []string{"a", "b", "c"} {
		d.table.Announce(0, discovery.Upstream{ID: id, Address: id, Born: 1, Seq: 1, State: discovery.StateReady})
		d.note(sightingOf("host-"+id, id))
	}
	before := d.factsRevision()
	if got := d.judge.Refused(); len(got) != 0 {
		t.Fatalf("refused are %v while the upstreams stand", got)
	}
	for _, id := range []string{"a", "b", "c"} {
		d.table.Announce(0, discovery.Upstream{ID: id, Address: id, Born: 2, Seq: 1, State: discovery.StateReady})
	}
	d.judgeCrashes()
	if got := d.judge.Refused(); !slices.Equal(got, []string{"boom"}) || d.factsRevision() == before {
		t.Fatalf("refused are %v at revision %d, before %d", got, d.factsRevision(), before)
	}
}

func TestStoreIsFoundedWithTheHostsThatThereAre(t *testing.T) {
	const want = 5
	for name, c := range map[string]struct {
		hosts, blank int
		waited       rollout.Millis
		members      int
	}{
		"enough at once":       {7, 7, 0, 5},
		"too few at once":      {4, 4, foundWaitMS - 1, 0},
		"too few for long":     {4, 4, foundWaitMS, 4},
		"one alone":            {1, 1, foundWaitMS, 0},
		"most are no founders": {5, 2, foundWaitMS, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var hosts []view.Request
			for i := range c.hosts {
				hosts = append(hosts, view.Request{
					Host: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 3), Store: &view.StoreStatus{Blank: i < c.blank},
				})
			}
			if got := founders(hosts, want, c.waited); len(got) != c.members {
				t.Fatalf("%d founders, want %d", len(got), c.members)
			}
		})
	}
}
