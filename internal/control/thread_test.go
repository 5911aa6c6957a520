package control

import (
	"errors"
	"os"
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

const turnMS = 20

// fullFile is a log whose disk may be full.
type fullFile struct {
	disk.File
	full *bool
}

func (f fullFile) Write(p []byte) (int, error) {
	if *f.full {
		return 0, errors.New("no space left on device")
	}
	return f.File.Write(p)
}

// bench is a control host alone, on a clock that the test moves.
type bench struct {
	*eventLoop
	clk  *clock.Manual
	full bool
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{clk: clock.NewManual(1_000_000)}
	store, _, err := disk.Open(t.TempDir(), disk.WithOpenLog(func(path string) (disk.File, error) {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		return fullFile{f, &b.full}, err
	}))
	must(t, err)
	saved, err := saveBootstrapState(store, quorum.Members{Voters: []quorum.Member{{ID: store.Member(), Address: "here"}}})
	must(t, err)
	dialer := link.NewDialer("secret")
	t.Cleanup(func() { _, _ = dialer.Close(), store.Close() })
	cfg := settings.Control{Common: settings.Common{Name: "control-1"}, SnapshotEntries: 1_000}
	b.eventLoop, err = newEventLoop(t.Context(), cfg, store, saved, dialer, b.clk, zap.NewNop())
	must(t, err)
	b.runUntil(t, "it leads", func() bool { return b.leading })
	return b
}

// runUntil lets turns pass until a condition holds.
func (b *bench) runUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		b.clk.Advance(turnMS)
		must(t, b.iterate())
	}
	t.Fatalf("not within 10 s: %s", what)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// plannedOrders counts the orders that wait to be committed.
func (b *bench) plannedOrders() int {
	n := 0
	for _, p := range b.pending {
		for _, c := range p.commands {
			if c.PlanOrder != nil {
				n++
			}
		}
	}
	return n
}

func assertOrders(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Fatalf("%d orders, want %d", got, want)
	}
}

// TestNoPlanWhileOneIsBeingCommitted covers a disk that takes longer than the
// time between two plans.
func TestNoPlanWhileOneIsBeingCommitted(t *testing.T) {
	b := newBench(t)
	since := b.leaderSinceMS
	b.runUntil(t, "it may plan", func() bool { return b.clk.Now()-since > fleet.LostAfterMS })
	b.nextDutiesMS = b.clk.Now() + 60_000
	b.propose(nil, ledger.Command{ID: "t", PutTarget: &catalog.Target{FailureDomain: "d", Pool: "p", Min: 2, Max: 2}})
	must(t, b.iterate())
	b.planCapacity(b.clk.Now())
	assertOrders(t, b.plannedOrders(), 2)
	b.planCapacity(b.clk.Now())
	assertOrders(t, b.plannedOrders(), 2)
	must(t, b.iterate())
	assertOrders(t, len(b.state.OpenOrders()), 2)
	b.planCapacity(b.clk.Now())
	assertOrders(t, b.plannedOrders(), 0)
}

func TestAFullDiskEndsTheLeadAndLosesNothing(t *testing.T) {
	b := newBench(t)
	b.full = true
	var first error
	answered := false
	put := func(name string, done func(error)) {
		b.propose(func(_ []ledger.Result, err error) { done(err) }, ledger.Command{ID: name, PutAccount: &catalog.Account{Name: name, Weight: 1}})
	}
	put("first", func(err error) { answered, first = true, err })
	must(t, b.iterate())
	if answered || b.leading || b.holdsLease(b.clk.Now()) || b.ready.Load() {
		t.Fatalf("answered %v (%v), leading %v, ready %v on a full disk", answered, first, b.leading, b.ready.Load())
	}
	put("second", func(err error) { assertStorage(t, err) })
	b.full = false
	b.runUntil(t, "the first command is answered", func() bool { return answered })
	must(t, first)
	if _, ok := b.state.Catalog.Accounts["first"]; !ok {
		t.Fatal("the first command is lost")
	}
}

func assertStorage(t *testing.T, err error) {
	t.Helper()
	if err == nil || rollout.AsError(err).Kind != rollout.KindStorage {
		t.Fatalf("error %v, want Storage at once", err)
	}
}
