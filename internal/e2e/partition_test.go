package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
)

// cutControls lays a deployment out whose control hosts are reached through
// relays only. A cut relay silences a host one way: it still sends.
func cutControls(t *testing.T) (*deployment, map[string]*relay) {
	t.Helper()
	t.Parallel()
	o := bare()
	o.UsageWindowMS = 500
	d := prepare(t, o)
	relays := make(map[string]*relay)
	for i, address := range d.layout.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		path := filepath.Join(d.layout.Dir, name+".json")
		s, err := settings.LoadControl(path)
		must(t, err)
		s.BindAddress = freeAddress(t)
		relays[name] = newRelayAt(t, address, s.BindAddress)
		data, err := json.Marshal(s)
		must(t, err)
		must(t, os.WriteFile(path, data, 0o600))
	}
	d.startAll()
	must(t, d.check.Prepare(t.Context()))
	return d, relays
}

func TestSilentCutOfTheLeader(t *testing.T) {
	d, relays := cutControls(t)
	old := d.leader()
	relays[old].cut.Store(true)
	d.do("create account meanwhile")
	if now := d.leader(); now == old {
		t.Fatalf("%s leads in spite of the cut", old)
	}
	eventually(t, "the old leader gives up", patience, func() bool { return d.logged(old, "Event=LeadershipLost") })
	for i := range 150 {
		d.do(fmt.Sprintf("create account during%d", i))
	}
	want := d.accounts()
	relays[old].cut.Store(false)
	d.awaitRepair()
	if got := d.accounts(); got != want {
		t.Fatalf("%d accounts after the cut, want %d", got, want)
	}
	if p := d.platform(); p.OldTerm != 0 || p.Changed != 0 {
		t.Fatalf("platform saw %d calls of an old term, %d changed windows", p.OldTerm, p.Changed)
	}
}

// change is one accepted compare-and-set.
type change struct{ expected, version uint64 }

// TestHistoryOfChangesIsLinear lets operators race with compare-and-set while
// leaders die. Accepted changes must form one chain: each builds on the
// version that the one before it made.
func TestHistoryOfChangesIsLinear(t *testing.T) {
	d := deploy(t, bare())
	d.do("create account contested")
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var mu sync.Mutex
	var accepted []change
	var wait sync.WaitGroup
	for racer := range 4 {
		wait.Go(func() {
			op := demo.NewOperator(d.layout)
			defer op.Close()
			for i := 0; ctx.Err() == nil; i++ {
				if c, ok := compareAndSet(ctx, op, racer, i); ok {
					mu.Lock()
					accepted = append(accepted, c)
					mu.Unlock()
				}
			}
		})
	}
	for range 2 {
		time.Sleep(1500 * time.Millisecond)
		victim := d.leader()
		d.kill(victim)
		d.start(victim)
	}
	wait.Wait()
	assertChain(t, accepted)
}

// compareAndSet reads the version and changes the account on top of it. An
// unclear answer is asked for again under the same ID.
func compareAndSet(ctx context.Context, op *demo.Operator, racer, i int) (change, bool) {
	now, err := op.Do(ctx, "show accounts")
	if err != nil {
		return change{}, false
	}
	req := &wire.ExecuteRequest{
		Statement: fmt.Sprintf("set account contested weight %d", i+1),
		CommandId: fmt.Sprintf("race-%d-%d", racer, i), Expected: now.Version,
	}
	done, err := op.Send(ctx, req)
	return change{now.Version, done.Version}, err == nil
}

func assertChain(t *testing.T, accepted []change) {
	t.Helper()
	sort.Slice(accepted, func(i, j int) bool { return accepted[i].version < accepted[j].version })
	for i := 1; i < len(accepted); i++ {
		if accepted[i].expected < accepted[i-1].version {
			t.Fatalf("change %+v was accepted after %+v", accepted[i], accepted[i-1])
		}
	}
	if len(accepted) < 20 {
		t.Fatalf("only %d changes were accepted", len(accepted))
	}
	t.Logf("%d changes form one chain", len(accepted))
}
