package language

import (
	"reflect"
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

func assertError(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Fatalf("error %v, want %q", err, want)
	}
}

func TestErrorsReportColumn(t *testing.T) {
	for _, tc := range []struct{ statement, want string }{
		{"", `column 1: unexpected token "<EOF>"`},
		{"show", `column 5: unexpected token "<EOF>"`},
		{"show keys where", "column 16"},
		{"show keys where ID", "column 19"},
		{"make account x", `column 1: unexpected token "make"`},
		{"create account x weight", "column 24"},
		{"create thing x", `column 1: unknown change "create thing"`},
		{"create account x colour red", `column 18: unknown property "colour"; want weight, priority, queue`},
		{"create account x weight 2 weight 3", `column 27: duplicate property "weight"`},
		{"create account x weight many", `column 18: weight "many": must be a 32-bit integer`},
		{`create group g account a pool p staleness "-1"`, `column 33: staleness -1: must be 0 to 2147483647`},
		{"create route r pool p open perhaps", `column 23: open "perhaps": must be yes or no`},
		{"create route r", "column 1: create route requires pool"},
		{"set target paraiso min 1", "must have the form FAILUREDOMAIN/POOL"},
		{"set account x weight 2", `account "x" does not exist; use create to add it`},
		{"withdraw key k now", "column 19"},
		{"evacuate domain", `column 16: unexpected token "<EOF>"`},
		{"evacuate host h", `column 1: unknown change "evacuate host"`},
		{"end domain d", `column 1: unknown change "end domain"`},
		{"evacuate domain d now 1", `column 19: unknown property "now"; want end of statement`},
	} {
		t.Run(tc.statement, func(t *testing.T) {
			st, err := Parse(tc.statement)
			if err == nil && st.Change != nil {
				_, err = BuildCommand(st.Change, "", ledger.New())
			}
			assertError(t, err, tc.want)
		})
	}
}

func TestEvacuationStatements(t *testing.T) {
	for _, tc := range []struct {
		statement string
		want      ledger.Command
	}{
		{"evacuate domain d-1", ledger.Command{Evacuate: &ledger.Evacuate{FailureDomain: "d-1"}}},
		{`explain evacuate domain "d 1"`, ledger.Command{Evacuate: &ledger.Evacuate{FailureDomain: "d 1"}}},
		{"end evacuation d-1", ledger.Command{EndEvacuation: &ledger.EndEvacuation{FailureDomain: "d-1"}}},
	} {
		t.Run(tc.statement, func(t *testing.T) {
			st, err := Parse(tc.statement)
			if err != nil {
				t.Fatal(err)
			}
			ch := st.Change
			if ch == nil {
				ch = st.Explain
			}
			if got, err := BuildCommand(ch, "", ledger.New()); err != nil || !reflect.DeepEqual(got, tc.want) {
				t.Fatalf("command %+v, error %v, want %+v", got, err, tc.want)
			}
		})
	}
}

func TestSelect(t *testing.T) {
	table := &Table{Columns: []string{"Name", "Slots"}, Rows: [][]Cell{
		{Text("b"), Int(10)}, {Text("a"), Int(9)}, {Text("c"), Int(10)},
	}}
	for _, tc := range []struct{ statement, want string }{
		{"show t", "b a c"},
		{"show t order by Name", "a b c"},
		{"show t order by Slots desc", "b c a"},
		{"show t where Slots = 10", "b c"},
		{"show t where Slots > 9 and Name != c", "b"},
		{"show t order by name limit 2", "a b"},
	} {
		t.Run(tc.statement, func(t *testing.T) {
			st, err := Parse(tc.statement)
			if err != nil {
				t.Fatal(err)
			}
			got, err := table.Select(st.Show)
			if err != nil {
				t.Fatal(err)
			}
			assertNames(t, got, tc.want)
		})
	}
}

func assertNames(t *testing.T, table *Table, want string) {
	t.Helper()
	var names []string
	for _, row := range table.Rows {
		names = append(names, row[0].Text)
	}
	if got := strings.Join(names, " "); got != want {
		t.Fatalf("rows %q, want %q", got, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("show upstreams where Slots >= 8 order by ID desc limit 3")
	f.Add(`create account "with space" weight 2`)
	f.Add("explain set target a/b min 1 max 2")
	f.Fuzz(func(_ *testing.T, text string) {
		st, err := Parse(text)
		if err != nil {
			return
		}
		for _, ch := range []*Change{st.Change, st.Explain} {
			if ch != nil {
				_, _ = BuildCommand(ch, "", ledger.New())
			}
		}
	})
}
