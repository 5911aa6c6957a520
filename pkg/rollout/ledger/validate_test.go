package ledger

import (
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

func TestStalenessBoundIsLimited(t *testing.T) {
	for _, tc := range []struct {
		name  string
		bound uint64
		want  string
	}{
		{"Largest", MaxStalenessBound, ""},
		{"TooLarge", MaxStalenessBound + 1, `staleness of group "g" is 2147483648, must be at most 2147483647`},
		{"NegativeNumberConverted", ^uint64(0), `staleness of group "g" is 18446744073709551615`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New()
			results := s.Apply(1, []Command{
				{ID: "account", PutAccount: &catalog.Account{Name: "a", Weight: 1}},
				{ID: "group", PutGroup: &PutGroup{Name: "g", Account: "a", StalenessBound: tc.bound}},
			})
			assertRefused(t, results[1].Err(), tc.want)
		})
	}
}

// assertRefused checks that an error is an invalid input that contains want, or
// nil if want is empty.
func assertRefused(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" {
		if err != nil {
			t.Fatal(err)
		}
		return
	}
	if err == nil || rollout.AsError(err).Kind != rollout.KindInvalidInput || !strings.Contains(err.Error(), want) {
		t.Fatalf("error %v, want an invalid input with %q", err, want)
	}
}
