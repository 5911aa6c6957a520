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

// deployWithControlProxies starts a deployment whose control hosts are reached
// through proxies only. A blocked proxy cuts a host off in one direction: the host
// can still open connections to others.
func deployWithControlProxies(t *testing.T) (*deployment, map[string]*proxy) {
	t.Helper()
	t.Parallel()
	o := controlOnlyOptions()
	o.UsageWindowMS = 500
	d := prepare(t, o)
	proxies := make(map[string]*proxy)
	for i, address := range d.layout.Controls {
		name := fmt.Sprintf("control-%d", i+1)
		path := filepath.Join(d.layout.Dir, name+".json")
		s, err := settings.LoadControl(path)
		must(t, err)
		s.BindAddress = freeAddress(t)
		proxies[name] = newProxyAt(t, address, s.BindAddress)
		data, err := json.Marshal(s)
		must(t, err)
		must(t, os.WriteFile(path, data, 0o600))
	}
	d.startAll()
	must(t, d.check.Prepare(t.Context()))
	return d, proxies
}

// TestLeaderUnderOneWayPartition blocks the connections to the leader. Another host
// must become leader, and the old one must step down and catch up afterwards.
func TestLeaderUnderOneWayPartition(t *testing.T) {
	d, proxies := deployWithControlProxies(t)
	old := d.leader()
	proxies[old].blocked.Store(true)
	d.do("create account meanwhile")
	if now := d.leader(); now == old {
		t.Fatalf("%s is still leader during the partition", old)
	}
	eventually(t, "the old leader steps down", waitTimeout, func() bool { return d.logContains(old, "Event=LeadershipLost") })
	for i := range 150 {
		d.do(fmt.Sprintf("create account during%d", i))
	}
	want := d.countAccounts()
	proxies[old].blocked.Store(false)
	d.awaitThreeVoters()
	if got := d.countAccounts(); got != want {
		t.Fatalf("%d accounts after the partition, want %d", got, want)
	}
	if p := d.platform(); p.OldTerm != 0 || p.Changed != 0 {
		t.Fatalf("platform received %d orders from an earlier term and %d changed usage windows", p.OldTerm, p.Changed)
	}
}

// acceptedChange is an accepted compare-and-set: it was based on one version and
// made another.
type acceptedChange struct{ baseVersion, version uint64 }

// TestHistoryOfChangesIsLinear runs concurrent operators that use compare-and-set
// while leaders are killed. Each accepted change must be based on the version of
// the one before it or a later one.
func TestHistoryOfChangesIsLinear(t *testing.T) {
	d := deploy(t, controlOnlyOptions())
	d.do("create account contested")
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	var mu sync.Mutex
	var accepted []acceptedChange
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			op := demo.NewOperator(d.layout)
			defer op.Close()
			for i := 0; ctx.Err() == nil; i++ {
				if c, ok := compareAndSet(ctx, op, worker, i); ok {
					mu.Lock()
					accepted = append(accepted, c)
					mu.Unlock()
				}
			}
		})
	}
	for range 2 {
		time.Sleep(1500 * time.Millisecond)
		old := d.leader()
		d.kill(old)
		d.start(old)
	}
	wg.Wait()
	assertLinearHistory(t, accepted)
}

// compareAndSet reads the version and changes the account if the version is still
// the same. The client repeats a request whose outcome is unknown under the same
// command ID.
func compareAndSet(ctx context.Context, op *demo.Operator, worker, i int) (acceptedChange, bool) {
	current, err := op.Do(ctx, "show accounts")
	if err != nil {
		return acceptedChange{}, false
	}
	req := &wire.ExecuteRequest{
		Statement: fmt.Sprintf("set account contested weight %d", i+1),
		CommandId: fmt.Sprintf("race-%d-%d", worker, i), Expected: current.Version,
	}
	done, err := op.Send(ctx, req)
	return acceptedChange{current.Version, done.Version}, err == nil
}

func assertLinearHistory(t *testing.T, accepted []acceptedChange) {
	t.Helper()
	sort.Slice(accepted, func(i, j int) bool { return accepted[i].version < accepted[j].version })
	for i := 1; i < len(accepted); i++ {
		if accepted[i].baseVersion < accepted[i-1].version {
			t.Fatalf("change %+v accepted after %+v, which has a later version than its base", accepted[i], accepted[i-1])
		}
	}
	if len(accepted) < 20 {
		t.Fatalf("%d changes accepted, want at least 20", len(accepted))
	}
	t.Logf("%d accepted changes in linear order", len(accepted))
}
