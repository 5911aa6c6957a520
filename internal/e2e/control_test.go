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

// bare is a deployment without upstreams.
func bare() demo.Options {
	o := demo.DefaultOptions()
	o.Upstreams, o.Agents, o.Entries = nil, 0, 1
	o.SnapshotEntries = 100
	return o
}

func (d *deployment) accounts() int { return len(d.do("show accounts").Table.Rows) }

func TestChangesSurviveKilledLeaders(t *testing.T) {
	d := deploy(t, bare())
	before := d.accounts()
	made := 0
	for round := range 3 {
		for i := range 60 {
			d.do(fmt.Sprintf("create account a%d-%d", round, i))
			made++
		}
		victim := d.leader()
		d.kill(victim)
		d.do(fmt.Sprintf("create account b%d", round))
		made++
		d.start(victim)
	}
	if got := d.accounts(); got != before+made {
		t.Fatalf("%d accounts, want %d", got, before+made)
	}
}

func TestFrozenLeaderComesBack(t *testing.T) {
	d := deploy(t, bare())
	old := d.leader()
	d.signal(old, syscall.SIGSTOP)
	d.do("create account meanwhile")
	d.signal(old, syscall.SIGCONT)
	eventually(t, "the old leader notices", patience, func() bool { return d.logged(old, "Event=LeadershipLost") })
	d.do("create account afterwards")
	if p := d.platform(); p.OldTerm != 0 || p.Changed != 0 {
		t.Fatalf("platform saw %d orders of an old term and %d changed windows", p.OldTerm, p.Changed)
	}
}

func TestLostDiskAndSecondHostRightAfterTheRepair(t *testing.T) {
	d := deploy(t, bare())
	for i := range 150 {
		d.do(fmt.Sprintf("create account a%d", i))
	}
	want := d.accounts()
	first := d.leader()
	d.loseDisk(first)
	d.awaitRepair()
	second := d.leader()
	d.loseDisk(second)
	if got := d.accounts(); got != want {
		t.Fatalf("%d accounts after two lost disks, want %d", got, want)
	}
	d.awaitRepair()
	d.do("create account afterwards")
	if got := d.accounts(); got != want+1 {
		t.Fatalf("%d accounts, want %d", got, want+1)
	}
}

// loseDisk kills a control host and starts it with an empty data folder.
func (d *deployment) loseDisk(name string) {
	d.kill(name)
	dir := filepath.Join(d.layout.Dir, name)
	must(d.t, os.RemoveAll(dir))
	must(d.t, os.Mkdir(dir, 0o700))
	d.start(name)
}

// awaitRepair waits until three voters are caught up.
func (d *deployment) awaitRepair() {
	d.t.Helper()
	eventually(d.t, "three voters", patience, func() bool {
		a := d.do("show members where CaughtUp = yes and Role != learner")
		return len(a.Table.Rows) == 3 && len(d.do("show members").Table.Rows) == 3
	})
}

func TestCommandSentAgainAndCommandsThatRace(t *testing.T) {
	d := deploy(t, bare())
	send := func(id, statement string, expected uint64) error {
		_, err := d.op.Send(t.Context(), &wire.ExecuteRequest{Statement: statement, CommandId: id, Expected: expected})
		return err
	}
	must(t, send("c1", "create account once weight 3", 0))
	version := d.do("show accounts").Version
	t.Run("the same ID gets the first answer", func(t *testing.T) {
		must(t, send("c1", "create account once weight 3", 0))
	})
	t.Run("of two with the same version one wins", func(t *testing.T) {
		must(t, send("c2", "set account once weight 4", version))
		err := send("c3", "set account once weight 5", version)
		if err == nil || !strings.Contains(err.Error(), "Conflict") || !strings.Contains(err.Error(), "present is") {
			t.Fatalf("error %v, want a conflict that names the present version", err)
		}
	})
	for i := range 150 {
		d.do(fmt.Sprintf("create account filler%d", i))
	}
	t.Run("the same ID after a snapshot and a change of leader", func(t *testing.T) {
		d.kill(d.leader())
		must(t, send("c1", "create account once weight 3", 0))
		if err := send("c3", "set account once weight 5", version); err == nil {
			t.Fatal("the loser was accepted later")
		}
		a := d.do("show accounts where Name = once")
		if len(a.Table.Rows) != 1 || a.Table.Rows[0][1].Text != "4" {
			t.Fatalf("account once is %v, want weight 4", a.Table.Rows)
		}
	})
}

func TestDamagedDataFolders(t *testing.T) {
	d := deploy(t, bare())
	for i := range 30 {
		d.do(fmt.Sprintf("create account a%d", i))
	}
	want := d.accounts()
	log := filepath.Join(d.layout.Dir, "control-1", "log")
	t.Run("a torn last record is cut off", func(t *testing.T) {
		d.kill("control-1")
		data, err := os.ReadFile(log)
		must(t, err)
		must(t, os.WriteFile(log, append(data, data[:20]...), 0o600))
		d.start("control-1")
		eventually(t, "the cut is logged", patience, func() bool { return d.logged("control-1", "Event=TornRecordTruncated") })
		if got := d.accounts(); got != want {
			t.Fatalf("%d accounts, want %d", got, want)
		}
	})
	t.Run("a damaged record in the middle stops the start", func(t *testing.T) {
		d.kill("control-1")
		data, err := os.ReadFile(log)
		must(t, err)
		data[len(data)/2] ^= 0xff
		must(t, os.WriteFile(log, data, 0o600))
		d.start("control-1")
		code := d.procs["control-1"].Wait()
		delete(d.procs, "control-1")
		if code == nil || !d.logged("control-1", log+": corrupt record at offset") {
			t.Fatalf("exit %v without the file and the offset", code)
		}
	})
	t.Run("the others go on", func(*testing.T) {
		d.do("create account still-here")
	})
}

func TestStrangersAreRefused(t *testing.T) {
	d := deploy(t, bare())
	stranger := *d.layout
	stranger.Secret = "wrong"
	op := demo.NewOperator(&stranger)
	defer op.Close()
	ctx, cancel := contextFor(t, time.Second)
	defer cancel()
	if _, err := op.Do(ctx, "show accounts"); err == nil {
		t.Fatal("a peer without the secret was answered")
	}
	stranger = *d.layout
	stranger.OperatorKey = "wrong"
	op2 := demo.NewOperator(&stranger)
	defer op2.Close()
	_, err := op2.Do(t.Context(), "show accounts")
	if err == nil || !strings.Contains(err.Error(), "Unauthenticated") {
		t.Fatalf("error %v, want Unauthenticated", err)
	}
}
