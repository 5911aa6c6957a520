package show

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/language"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

// sourceWithRows returns a source that has at least one row for each table. The
// samples include a position without a sample.
func sourceWithRows() Source {
	s := ledger.New()
	s.Apply(1, []ledger.Command{
		{ID: "1", PutAccount: &catalog.Account{Name: "a", Weight: 1}},
		{ID: "2", GrantKey: &catalog.Key{ID: "k", Account: "a", Digest: "d"}},
		{ID: "3", PutGroup: &ledger.PutGroup{Name: "g", Account: "a", Pool: "p"}},
		{ID: "4", PutRoute: &catalog.Route{Name: "r", Pool: "p"}},
		{ID: "5", PutTarget: &catalog.Target{FailureDomain: "d", Pool: "p", Max: 1}},
		{PutUpstream: &catalog.Upstream{ID: "u", Pool: "p", FailureDomain: "d", Agent: "agent", Versions: map[string]uint64{"g": 2}}},
		{Crash: &ledger.Crash{ID: "c", Fingerprints: []string{"f"}}},
		{OpenStep: &stream.OpenStep{Group: "g", Step: "s", Size: 2}},
		{CommitSample: &stream.CommitSample{Group: "g", Step: "s", Index: 0, Versions: []uint64{3, 4}}},
		{CommitSample: &stream.CommitSample{Group: "g", Step: "s", Index: 1, Refused: "poisoned"}},
		{AddUsage: &usage.Report{Agent: "agent", Lines: []usage.Line{{Subject: usage.Subject{Account: "a"}, Figures: usage.Figures{Requests: 1}}}}},
		{CloseWindow: &usage.CloseWindow{Number: 1, ToMS: 9}},
		{PlanOrder: &rollout.Order{ID: "o", Action: "start"}},
		{ID: "6", Evacuate: &ledger.Evacuate{FailureDomain: "d"}},
	})
	members := quorum.Members{Voters: []quorum.Member{{ID: "m", Address: "here"}}}
	node := quorum.New(quorum.DefaultConfig("m"), quorum.Bootstrap(members), 0, rand.New(rand.NewPCG(1, 1)))
	f := fleet.New(0)
	f.Renew(1, fleet.Daemon{Name: "agent", Kind: fleet.KindAgent}, nil)
	return Source{State: s, Fleet: f, Node: node}
}

func TestEachTableHasRows(t *testing.T) {
	source := sourceWithRows()
	for _, name := range slices.Sorted(maps.Keys(tableBuilders)) {
		t.Run(name, func(t *testing.T) {
			table, err := Table(source, 10, &language.Show{Table: name})
			if err != nil {
				t.Fatal(err)
			}
			assertRows(t, table)
		})
	}
}

func assertRows(t *testing.T, table *language.Table) {
	t.Helper()
	if len(table.Rows) == 0 {
		t.Fatal("no rows")
	}
	for _, row := range table.Rows {
		if len(row) != len(table.Columns) {
			t.Fatalf("%d cells for columns %v", len(row), table.Columns)
		}
	}
}
