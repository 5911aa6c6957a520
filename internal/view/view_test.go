package view_test

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

func reply(epoch uint64, whole bool, us ...discovery.Upstream) view.Reply {
	return view.Reply{Epoch: epoch, Whole: whole, Upstreams: us}
}

func up(id, address string, state discovery.State) discovery.Upstream {
	return discovery.Upstream{ID: id, Address: address, State: state}
}

func assertUpstreams(t *testing.T, c view.State, silent map[string]bool) {
	t.Helper()
	if len(c.Upstreams) != len(silent) {
		t.Fatalf("upstreams %v, want %v", c.Upstreams, silent)
	}
	for id, want := range silent {
		if u, ok := c.Upstreams[id]; !ok || u.Silent != want {
			t.Fatalf("upstream %s: %+v, want silent %v", id, u, want)
		}
	}
}

func TestOlderDocumentIsNotTaken(t *testing.T) {
	c := view.State{}.With(view.Reply{Document: &document.Document{Version: 7}})
	c = c.With(view.Reply{Document: &document.Document{Version: 5}})
	if c.Index.Document.Version != 7 {
		t.Fatalf("version %d after 7", c.Index.Document.Version)
	}
}

func TestChangesAreMerged(t *testing.T) {
	c := view.State{}.With(reply(1, true, up("a", "x", discovery.StateReady), up("b", "y", discovery.StateReady)))
	c = c.With(reply(1, false, up("a", "x", discovery.StateGone), up("c", "z", discovery.StateReady)))
	assertUpstreams(t, c, map[string]bool{"b": false, "c": false})
}

// A new leader that knows few upstreams must not take the others away.
func TestUpstreamsUnknownToANewLeaderStay(t *testing.T) {
	c := view.State{}.With(reply(1, true, up("a", "x", discovery.StateReady), up("b", "y", discovery.StateReady)))
	c = c.With(reply(2, true, up("b", "y", discovery.StateReady)))
	assertUpstreams(t, c, map[string]bool{"a": true, "b": false})
}

func TestAddressOfAnUnknownUpstreamMayBeReused(t *testing.T) {
	c := view.State{}.With(reply(1, true, up("a", "x", discovery.StateReady)))
	c = c.With(reply(2, true, up("n", "x", discovery.StateReady)))
	assertUpstreams(t, c, map[string]bool{"n": false})
}

func TestCopiesDoNotChange(t *testing.T) {
	first := view.State{}.With(reply(1, true, up("a", "x", discovery.StateReady)))
	_ = first.With(reply(1, false, up("a", "x", discovery.StateGone)))
	assertUpstreams(t, first, map[string]bool{"a": false})
}
