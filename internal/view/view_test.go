package view_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

func reply(epoch uint64, whole bool, us ...discovery.Upstream) view.Reply {
	return view.Reply{Epoch: epoch, Whole: whole, Upstreams: us}
}

func upstream(id, address string, state discovery.State) discovery.Upstream {
	return discovery.Upstream{ID: id, Address: address, State: state}
}

// assertUpstreams checks the IDs of the upstreams and which of them are silent.
func assertUpstreams(t *testing.T, s view.State, silent map[string]bool) {
	t.Helper()
	if len(s.Upstreams) != len(silent) {
		t.Fatalf("got upstreams %v, want %v", s.Upstreams, silent)
	}
	for id, want := range silent {
		if u, ok := s.Upstreams[id]; !ok || u.Silent != want {
			t.Fatalf("upstream %s: got %+v, want Silent %v", id, u, want)
		}
	}
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	s := view.State{}.With(view.Reply{Document: &document.Document{Version: 7}})
	s = s.With(view.Reply{Document: &document.Document{Version: 5}})
	if s.Index.Document.Version != 7 {
		t.Fatalf("got document version %d, want 7", s.Index.Document.Version)
	}
}

func TestChangesAreMerged(t *testing.T) {
	s := view.State{}.With(reply(1, true, upstream("a", "x", discovery.StateReady), upstream("b", "y", discovery.StateReady)))
	s = s.With(reply(1, false, upstream("a", "x", discovery.StateGone), upstream("c", "z", discovery.StateReady)))
	assertUpstreams(t, s, map[string]bool{"b": false, "c": false})
}

// A new leader does not yet know all upstreams. Those that it does not know must
// remain in use.
func TestUpstreamsUnknownToNewLeaderAreKept(t *testing.T) {
	s := view.State{}.With(reply(1, true, upstream("a", "x", discovery.StateReady), upstream("b", "y", discovery.StateReady)))
	s = s.With(reply(2, true, upstream("b", "y", discovery.StateReady)))
	assertUpstreams(t, s, map[string]bool{"a": true, "b": false})
}

func TestUpstreamIsRemovedWhenItsAddressIsReused(t *testing.T) {
	s := view.State{}.With(reply(1, true, upstream("a", "x", discovery.StateReady)))
	s = s.With(reply(2, true, upstream("n", "x", discovery.StateReady)))
	assertUpstreams(t, s, map[string]bool{"n": false})
}

func TestWithDoesNotChangeState(t *testing.T) {
	first := view.State{}.With(reply(1, true, upstream("a", "x", discovery.StateReady)))
	_ = first.With(reply(1, false, upstream("a", "x", discovery.StateGone)))
	assertUpstreams(t, first, map[string]bool{"a": false})
}

// During an upgrade, daemons and control hosts run different versions. The encoded
// names of the broken connections must therefore stay.
func TestEncodedNamesOfBrokenConnections(t *testing.T) {
	list := &view.BrokenConnections{Connections: []poison.BrokenConnection{{Fingerprint: "f", Upstream: "u", Born: 1}}}
	for want, connections := range map[string]*view.BrokenConnections{
		`"Crashes":{"Sightings":[{"Fingerprint":"f","Upstream":"u","Born":1}]}`: list,
		`"Crashes":{"Sightings":null}`:                                          {},
	} {
		data, err := json.Marshal(view.Request{BrokenConnections: connections})
		if err != nil || !strings.Contains(string(data), want) {
			t.Errorf("encoded %s, error %v, want it to contain %s", data, err, want)
		}
	}
	data, err := json.Marshal(view.Request{})
	if err != nil || strings.Contains(string(data), "Crashes") {
		t.Errorf("encoded %s, error %v, want no Crashes", data, err)
	}
}

// Guards against restricted jobs that are refused because a new leader of control does not
// know the failure domain of a job store member that has been down since before it led.
func TestKnownDomainsOfStoresAreKept(t *testing.T) {
	s := view.State{}.With(view.Reply{Epoch: 1, Facts: &view.Facts{Stores: []string{"a", "b"}, StoreDomains: map[string]string{"a": "d1", "b": "d2"}}})
	s = s.With(view.Reply{Epoch: 2, Facts: &view.Facts{Stores: []string{"a", "b"}, StoreDomains: map[string]string{"a": "d3"}}})
	if d := s.Facts.StoreDomains; d["a"] != "d3" || d["b"] != "d2" {
		t.Fatalf("got failure domains %v, want the reported one of a and the known one of b", d)
	}
	s = s.With(view.Reply{Epoch: 2, Facts: &view.Facts{Stores: []string{"a"}}})
	s = s.With(view.Reply{Epoch: 2, Facts: &view.Facts{Stores: []string{"a", "b"}}})
	if d := s.Facts.StoreDomains; d["a"] != "d3" || d["b"] != "" {
		t.Fatalf("got failure domains %v, want none of b, which has left in between", d)
	}
}
