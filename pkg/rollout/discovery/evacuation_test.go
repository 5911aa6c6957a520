package discovery_test

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// Guards against new work at upstreams of an evacuated failure domain, and against an
// evacuation that changes the copy it is applied to and can't be taken back.
func TestUpstreamsOfEvacuatedDomainsDrain(t *testing.T) {
	inDomain := func(domain string, state discovery.State) discovery.Upstream {
		return discovery.Upstream{FailureDomain: domain, State: state}
	}
	us := map[string]discovery.Upstream{
		"a": inDomain("d1", discovery.StateReady), "b": inDomain("d2", discovery.StateReady), "c": inDomain("d1", discovery.StateGone),
	}
	next := discovery.WithEvacuated(us, []string{"d1"})
	for id, want := range map[string]discovery.State{"a": discovery.StateDraining, "b": discovery.StateReady, "c": discovery.StateGone} {
		if got := next[id].State; got != want {
			t.Errorf("upstream %s is %s, want %s", id, got, want)
		}
	}
	if us["a"].State != discovery.StateReady {
		t.Errorf("the copy was changed: upstream a is %s", us["a"].State)
	}
}

// Guards against a second evacuation that leaves its failure domain in use, and against an
// order of the domains that matters.
func TestAllEvacuatedDomainsDrain(t *testing.T) {
	us := make(map[string]discovery.Upstream)
	for _, domain := range []string{"d1", "d2", "d3"} {
		us[domain] = discovery.Upstream{ID: domain, FailureDomain: domain, State: discovery.StateReady}
	}
	for _, domains := range [][]string{{"d1", "d2"}, {"d2", "d1"}} {
		next := discovery.WithEvacuated(us, domains)
		for id, want := range map[string]discovery.State{"d1": discovery.StateDraining, "d2": discovery.StateDraining, "d3": discovery.StateReady} {
			if got := next[id].State; got != want {
				t.Errorf("evacuated %v: upstream of %s is %v, want %v", domains, id, got, want)
			}
		}
	}
}
