package director

import (
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
)

// reportUsage sends a watch request of an entry with its totals, and returns it.
func reportUsage(d *Director, host string, begun, refused map[string]uint64) view.Request {
	revision := uint64(0)
	req := view.Request{
		Host: host, Role: view.RoleEntry, Epoch: 1, Large: &revision, FactsRevision: d.factsRevision(),
		Usage: &view.Usage{Incarnation: host, Windows: map[uint64]map[string]uint64{1: begun}, Refused: map[uint64]map[string]uint64{1: refused}},
	}
	d.recordWatchRequest(req)
	return req
}

// Guards against a large account that crowds out small ones because it sends through many
// entries, and against replies that its name causes at hosts that don't follow it.
func TestReplyNamesAccountThatHadMoreThanItsShare(t *testing.T) {
	d := newLocalDirector()
	d.usage = make(map[uint64]map[string]map[string]uint64)
	req := reportUsage(d, "a", map[string]uint64{"big": 1}, nil)
	reportUsage(d, "b", map[string]uint64{"big": 1, "small": 1}, nil)
	d.updateLarge()
	if reply, hasChanges, _ := d.buildReply(1, req); hasChanges || reply.Large != nil {
		t.Fatalf("calm reply %+v, has changes %v; want neither changes nor accounts", reply, hasChanges)
	}
	reportUsage(d, "a", map[string]uint64{"big": 60}, nil)
	reportUsage(d, "b", map[string]uint64{"big": 60, "small": 5}, map[string]uint64{"small": 20})
	d.updateLarge()
	reply, hasChanges, _ := d.buildReply(1, req)
	if !hasChanges || reply.Large == nil || !slices.Equal(reply.Large.Accounts, []string{"big"}) {
		t.Fatalf("reply %+v, has changes %v; want account big as a change", reply, hasChanges)
	}
	req.Large = &reply.Large.Revision
	if _, hasChanges, _ := d.buildReply(1, req); hasChanges {
		t.Fatal("the same accounts are a change for a host that has them")
	}
	req.Large = nil
	if _, hasChanges, _ := d.buildReply(1, req); hasChanges {
		t.Fatal("accounts are a change for a host that doesn't follow them")
	}
}
