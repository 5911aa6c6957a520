//go:build !race

// The race detector multiplies the processor time that these tests bound.

package director

import (
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

const (
	// applyMS is the smallest time of the deployments within which a configuration must
	// be in force.
	applyMS = 2_000
	// leaderCores is the processor time of a small control host.
	leaderCores = 0.5
	// loadRoutes is the number of routes of the documents in the tests.
	loadRoutes = 60
)

// newLoadedDirector returns a director with a document.
func newLoadedDirector(accounts int) *Director {
	d := newLocalDirector()
	doc := document.Document{Version: 1}
	for i := range loadRoutes {
		doc.Routes = append(doc.Routes, document.Route{Name: fmt.Sprint("route-", i), Host: "h.example", Prefix: fmt.Sprintf("/p%d/", i), Split: []document.Share{{Pool: "p", Weight: 1}}})
	}
	for i := range accounts {
		doc.Accounts = append(doc.Accounts, document.Account{Name: fmt.Sprint("account-", i), Keys: []string{fmt.Sprintf("%020d", i), fmt.Sprintf("%020x", i*7_919)}})
	}
	d.state.Document = doc
	return d
}

// processorTime returns the processor time of this process.
func processorTime(t testing.TB) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sendChange decodes a watch of each host, and encodes the reply that brings a new
// document.
func sendChange(t testing.TB, d *Director, hosts int) {
	t.Helper()
	d.state.Document.Version++
	for i := range hosts {
		body, err := json.Marshal(view.Request{Host: fmt.Sprint("host-", i), Role: view.RoleEntry, Epoch: 1, DocumentVersion: d.state.Document.Version - 1, AcceptsPacked: true})
		if err != nil {
			t.Fatal(err)
		}
		var req view.Request
		if err := json.Unmarshal(body, &req); err != nil {
			t.Fatal(err)
		}
		d.recordWatchRequest(req)
		reply, hasChanges, _ := d.buildReply(1, req)
		if !hasChanges || len(reply.PackedDocument) == 0 {
			t.Fatalf("reply %+v, want a packed document", reply)
		}
		data, err := json.Marshal(reply)
		if err != nil {
			t.Fatal(err)
		}
		fabric.Packer().Pack(data)
	}
}

// Guards against changes that are in force late in large deployments (CONFIG at 300
// hosts): the leader's processor time for one change, without the network.
func TestChangeReachesThousandHostsWithinHalfOfBound(t *testing.T) {
	const hosts, accounts, changes = 1_000, 190, 5
	d := newLoadedDirector(accounts)
	before := processorTime(t)
	for range changes {
		sendChange(t, d, hosts)
	}
	took := (processorTime(t) - before) / changes
	if got := time.Duration(float64(took) / leaderCores); got > applyMS/2*time.Millisecond {
		t.Fatalf("a change takes a leader with %v cores %v for %d hosts and %d accounts, want %d ms at most", leaderCores, got, hosts, accounts, applyMS/2)
	}
}

// BenchmarkChange measures what docs/CAPACITY.md tables.
func BenchmarkChange(b *testing.B) {
	for _, hosts := range []int{30, 100, 300, 1_000} {
		for _, accounts := range []int{8, 84, 190} {
			b.Run(fmt.Sprintf("hosts=%d/accounts=%d", hosts, accounts), func(b *testing.B) {
				d := newLoadedDirector(accounts)
				for b.Loop() {
					sendChange(b, d, hosts)
				}
			})
		}
	}
}
