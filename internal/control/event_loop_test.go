package control

import (
	"errors"
	"testing"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/disk"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

const iterationMS = 20

// limitedFile is a log file whose writes fail while diskFull is set.
type limitedFile struct {
	disk.File
	diskFull *bool
}

func (f limitedFile) Write(p []byte) (int, error) {
	if *f.diskFull {
		return 0, errors.New("no space left on device")
	}
	return f.File.Write(p)
}

// limitedFileSystem opens logs as limitedFile.
type limitedFileSystem struct {
	disk.FileSystem
	diskFull *bool
}

func (l limitedFileSystem) OpenAppend(path string) (disk.File, error) {
	f, err := l.FileSystem.OpenAppend(path)
	return limitedFile{f, l.diskFull}, err
}

// testHost is a control host as the only member of its quorum, on a manual clock.
type testHost struct {
	*eventLoop
	clk      *clock.Manual
	diskFull bool
}

func newTestHost(t *testing.T) *testHost {
	t.Helper()
	h := &testHost{clk: clock.NewManual(1_000_000)}
	store, _, err := disk.Open(t.TempDir(), disk.WithFileSystem(limitedFileSystem{disk.OSFileSystem{}, &h.diskFull}))
	must(t, err)
	saved, err := saveBootstrapState(store, quorum.Members{Voters: []quorum.Member{{ID: store.Member(), Address: "here"}}})
	must(t, err)
	dialer := link.NewDialer("secret")
	t.Cleanup(func() { _, _ = dialer.Close(), store.Close() })
	cfg := settings.Control{Common: settings.Common{Name: "control-1"}, SnapshotEntries: 1_000}
	h.eventLoop, err = newEventLoop(t.Context(), cfg, store, saved, dialer, h.clk, zap.NewNop())
	must(t, err)
	h.iterateUntil(t, "host becomes leader", func() bool { return h.leading })
	return h
}

// iterateUntil runs iterations of the event loop until a condition holds.
func (h *testHost) iterateUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		h.clk.Advance(iterationMS)
		must(t, h.iterate())
	}
	t.Fatalf("condition not met within 10 s: %s", what)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// proposedOrders returns the number of orders in the pending proposals.
func (h *testHost) proposedOrders() int {
	n := 0
	for _, p := range h.pending {
		for _, c := range p.commands {
			if c.PlanOrder != nil {
				n++
			}
		}
	}
	return n
}

func assertOrderCount(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Fatalf("got %d orders, want %d", got, want)
	}
}

// TestPlanWaitsForUncommittedPlan checks that no capacity is ordered twice when a
// disk write takes longer than the interval between two capacity plans.
func TestPlanWaitsForUncommittedPlan(t *testing.T) {
	h := newTestHost(t)
	since := h.leaderSinceMS
	h.iterateUntil(t, "capacity planning is allowed", func() bool { return h.clk.Now()-since > fleet.LostAfterMS })
	h.nextLeaderTasksMS = h.clk.Now() + 60_000
	h.propose(nil, ledger.Command{ID: "t", PutTarget: &catalog.Target{FailureDomain: "d", Pool: "p", Min: 2, Max: 2}})
	must(t, h.iterate())
	h.planCapacity(h.clk.Now())
	assertOrderCount(t, h.proposedOrders(), 2)
	h.planCapacity(h.clk.Now())
	assertOrderCount(t, h.proposedOrders(), 2)
	must(t, h.iterate())
	assertOrderCount(t, len(h.state.OpenOrders()), 2)
	h.planCapacity(h.clk.Now())
	assertOrderCount(t, h.proposedOrders(), 0)
}

// TestFullDiskStepsDownAndKeepsCommands checks that a leader whose disk is full
// loses its lease and readiness at once, rejects new commands, and commits the
// accepted command when the disk has space again.
func TestFullDiskStepsDownAndKeepsCommands(t *testing.T) {
	h := newTestHost(t)
	h.diskFull = true
	var first error
	answered := false
	put := func(name string, done func(error)) {
		h.propose(func(_ []ledger.Result, err error) { done(err) }, ledger.Command{ID: name, PutAccount: &catalog.Account{Name: name, Weight: 1}})
	}
	put("first", func(err error) { answered, first = true, err })
	must(t, h.iterate())
	if answered || h.leading || h.holdsLease(h.clk.Now()) || h.ready.Load() {
		t.Fatalf("full disk: answered %v (error %v), leading %v, ready %v; want all false", answered, first, h.leading, h.ready.Load())
	}
	put("second", func(err error) { assertStorageError(t, err) })
	h.diskFull = false
	h.iterateUntil(t, "first command is answered", func() bool { return answered })
	must(t, first)
	if _, ok := h.state.Catalog.Accounts["first"]; !ok {
		t.Fatal("account of the first command is missing from the catalog")
	}
}

func assertStorageError(t *testing.T, err error) {
	t.Helper()
	if err == nil || rollout.AsError(err).Kind != rollout.KindStorage {
		t.Fatalf("error %v, want an immediate Storage error", err)
	}
}
