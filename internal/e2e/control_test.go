package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
)

// controlOnlyOptions returns options for a deployment without agents and upstreams.
// Its few entries per snapshot make the tests install snapshots.
func controlOnlyOptions() demo.Options {
	o := demo.DefaultOptions()
	o.Upstreams, o.Agents, o.Entries = nil, 0, 1
	o.SnapshotEntries = 100
	return o
}

func (d *deployment) countAccounts() int { return len(d.do("show accounts").Table.Rows) }

func TestChangesSurviveKilledLeaders(t *testing.T) {
	d := deploy(t, controlOnlyOptions())
	before := d.countAccounts()
	made := 0
	for round := range 3 {
		for i := range 60 {
			d.do(fmt.Sprintf("create account a%d-%d", round, i))
			made++
		}
		old := d.leader()
		d.kill(old)
		d.do(fmt.Sprintf("create account b%d", round))
		made++
		d.start(old)
	}
	if got := d.countAccounts(); got != before+made {
		t.Fatalf("%d accounts, want %d", got, before+made)
	}
}

func TestSuspendedLeaderStepsDown(t *testing.T) {
	d := deploy(t, controlOnlyOptions())
	old := d.leader()
	d.signal(old, syscall.SIGSTOP)
	d.do("create account meanwhile")
	d.signal(old, syscall.SIGCONT)
	eventually(t, "the old leader steps down", waitTimeout, func() bool { return d.logContains(old, "Event=LeadershipLost") })
	d.do("create account afterwards")
	if p := d.platform(); p.OldTerm != 0 || p.Changed != 0 {
		t.Fatalf("platform received %d orders from an earlier term and %d changed usage windows", p.OldTerm, p.Changed)
	}
}

// TestConsecutiveDiskLosses replaces the disk of a leader and, as soon as three
// voters are caught up again, the disk of the next leader. No change may be lost.
func TestConsecutiveDiskLosses(t *testing.T) {
	d := deploy(t, controlOnlyOptions())
	for i := range 150 {
		d.do(fmt.Sprintf("create account a%d", i))
	}
	want := d.countAccounts()
	first := d.leader()
	d.replaceDisk(first)
	d.awaitThreeVoters()
	second := d.leader()
	d.replaceDisk(second)
	if got := d.countAccounts(); got != want {
		t.Fatalf("%d accounts after two lost disks, want %d", got, want)
	}
	d.awaitThreeVoters()
	d.do("create account afterwards")
	if got := d.countAccounts(); got != want+1 {
		t.Fatalf("%d accounts, want %d", got, want+1)
	}
}

// replaceDisk kills a control host and starts it with an empty data directory.
func (d *deployment) replaceDisk(name string) {
	d.kill(name)
	dir := filepath.Join(d.layout.Dir, name)
	must(d.t, os.RemoveAll(dir))
	must(d.t, os.Mkdir(dir, 0o700))
	d.start(name)
}

// awaitThreeVoters waits until there are three members, all of them voters that
// are caught up.
func (d *deployment) awaitThreeVoters() {
	d.t.Helper()
	eventually(d.t, "three voters", waitTimeout, func() bool {
		a := d.do("show members where CaughtUp = yes and Role != learner")
		return len(a.Table.Rows) == 3 && len(d.do("show members").Table.Rows) == 3
	})
}

func TestRepeatedAndConflictingCommands(t *testing.T) {
	d := deploy(t, controlOnlyOptions())
	send := func(id, statement string, expected uint64) error {
		_, err := d.op.Send(t.Context(), &wire.ExecuteRequest{Statement: statement, CommandId: id, Expected: expected})
		return err
	}
	must(t, send("c1", "create account once weight 3", 0))
	version := d.do("show accounts").Version
	t.Run("a repeated command ID returns the first result", func(t *testing.T) {
		must(t, send("c1", "create account once weight 3", 0))
	})
	t.Run("of two commands based on the same version one is accepted", func(t *testing.T) {
		must(t, send("c2", "set account once weight 4", version))
		err := send("c3", "set account once weight 5", version)
		if err == nil || !strings.Contains(err.Error(), "Conflict") || !strings.Contains(err.Error(), "present is") {
			t.Fatalf("error %v, want a conflict that names the current version", err)
		}
	})
	for i := range 150 {
		d.do(fmt.Sprintf("create account filler%d", i))
	}
	t.Run("a repeated command ID after a snapshot and a leader change", func(t *testing.T) {
		d.kill(d.leader())
		must(t, send("c1", "create account once weight 3", 0))
		if err := send("c3", "set account once weight 5", version); err == nil {
			t.Fatal("a rejected command was accepted when repeated")
		}
		a := d.do("show accounts where Name = once")
		if len(a.Table.Rows) != 1 || a.Table.Rows[0][1].Text != "4" {
			t.Fatalf("account once is %v, want weight 4", a.Table.Rows)
		}
	})
}

func TestCorruptDataDirectories(t *testing.T) {
	d := deploy(t, controlOnlyOptions())
	for i := range 30 {
		d.do(fmt.Sprintf("create account a%d", i))
	}
	want := d.countAccounts()
	log := filepath.Join(d.layout.Dir, "control-1", "log")
	t.Run("a torn last record is truncated", func(t *testing.T) {
		d.kill("control-1")
		data, err := os.ReadFile(log)
		must(t, err)
		must(t, os.WriteFile(log, append(data, data[:20]...), 0o600))
		d.start("control-1")
		eventually(t, "the truncation is logged", waitTimeout, func() bool { return d.logContains("control-1", "Event=TornRecordTruncated") })
		if got := d.countAccounts(); got != want {
			t.Fatalf("%d accounts, want %d", got, want)
		}
	})
	t.Run("a corrupt record in the middle prevents the start", func(t *testing.T) {
		d.kill("control-1")
		data, err := os.ReadFile(log)
		must(t, err)
		data[len(data)/2] ^= 0xff
		must(t, os.WriteFile(log, data, 0o600))
		d.start("control-1")
		err = d.procs["control-1"].Wait()
		delete(d.procs, "control-1")
		if err == nil || !d.logContains("control-1", log+": corrupt record at offset") {
			t.Fatalf("exited with %v, want a failure that logs the file and the offset", err)
		}
	})
	t.Run("the other hosts continue", func(*testing.T) {
		d.do("create account still-here")
	})
}

func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	d := deploy(t, controlOnlyOptions())
	unauthenticated := *d.layout
	unauthenticated.Secret = "wrong"
	op := demo.NewOperator(&unauthenticated)
	defer op.Close()
	ctx, cancel := contextWithTimeout(t, time.Second)
	defer cancel()
	if _, err := op.Do(ctx, "show accounts"); err == nil {
		t.Fatal("a peer with a wrong secret got a response")
	}
	unauthenticated = *d.layout
	unauthenticated.OperatorKey = "wrong"
	op2 := demo.NewOperator(&unauthenticated)
	defer op2.Close()
	_, err := op2.Do(t.Context(), "show accounts")
	if err == nil || !strings.Contains(err.Error(), "Unauthenticated") {
		t.Fatalf("error %v, want Unauthenticated", err)
	}
}
