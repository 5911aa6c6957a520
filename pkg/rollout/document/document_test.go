package document_test

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

func validDocument() document.Document {
	return document.Document{
		Version: 7,
		Pools:   []document.Pool{{Name: "plain"}, {Name: "engines", Models: []string{"m"}}},
		Routes: []document.Route{
			{Name: "a", Host: "h.example", Prefix: "/a/", Kind: document.RouteIdempotent, TimeoutMS: 800, Split: []document.Share{{Pool: "plain", Weight: 1}}},
			{Name: "ab", Host: "h.example", Prefix: "/a/b/", Kind: document.RouteIdempotent, TimeoutMS: 800, Split: []document.Share{{Pool: "plain", Weight: 9}, {Pool: "engines", Weight: 1}}},
			{Name: "job", Host: "h.example", Prefix: "/j/", Kind: document.RouteJob, TimeoutMS: 10_000, Split: []document.Share{{Pool: "engines", Weight: 1}}},
		},
		Accounts: []document.Account{{Name: "x", Keys: []string{"k1", "k2"}}, {Name: "y", Keys: []string{"k3"}}},
	}
}

func assertInvalid(t *testing.T, d document.Document) {
	t.Helper()
	if kind := rollout.AsError(d.Validate()).Kind; d.Validate() == nil || kind != rollout.KindInvalidInput {
		t.Fatalf("Validate() = %v, want InvalidInput", d.Validate())
	}
}

func TestValidDocument(t *testing.T) {
	if err := validDocument().Validate(); err != nil {
		t.Fatal(err)
	}
}

// A test run once found a job route without a timeout in an active configuration.
func TestInvalidDocumentsAreRefused(t *testing.T) {
	for name, modify := range map[string]func(*document.Document){
		"route without timeout":     func(d *document.Document) { d.Routes[0].TimeoutMS = 0 },
		"job route without timeout": func(d *document.Document) { d.Routes[2].TimeoutMS = 0 },
		"unknown pool":              func(d *document.Document) { d.Routes[0].Split[0].Pool = "nowhere" },
		"sum of weights is 0":       func(d *document.Document) { d.Routes[0].Split[0].Weight = 0 },
		"no split":                  func(d *document.Document) { d.Routes[0].Split = nil },
		"same location":             func(d *document.Document) { d.Routes[1].Prefix = "/a/" },
		"same location, other case": func(d *document.Document) { d.Routes[1].Prefix, d.Routes[1].Host = "/a/", "H.example" },
		"prefix without slash":      func(d *document.Document) { d.Routes[0].Prefix = "/a" },
		"shared key":                func(d *document.Document) { d.Accounts[1].Keys = []string{"k1"} },
	} {
		t.Run(name, func(t *testing.T) {
			d := validDocument()
			modify(&d)
			assertInvalid(t, d)
		})
	}
}

func TestLongestPrefixWins(t *testing.T) {
	x := document.NewIndex(validDocument())
	for path, want := range map[string]string{"/a/1": "a", "/a/b/1": "ab", "/a/bc": "a", "/j/": "job", "/other": ""} {
		route, ok := x.Route("H.example:80", path)
		if route.Name != want || ok != (want != "") {
			t.Errorf("Route(%q) = %q, %v, want %q", path, route.Name, ok, want)
		}
	}
	if _, ok := x.Route("other.example", "/a/1"); ok {
		t.Error("route matched for an unknown host")
	}
}

func TestKeysBelongToOneAccount(t *testing.T) {
	x := document.NewIndex(validDocument())
	if a, ok := x.Account("k2"); !ok || a.Name != "x" {
		t.Errorf("Account(k2) = %v, %v", a, ok)
	}
	for _, key := range []string{"", "k9"} {
		if _, ok := x.Account(key); ok {
			t.Errorf("Account(%q) found an account", key)
		}
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	counts := make(map[string]int)
	r := validDocument().Routes[1]
	for i := range 100 {
		counts[r.PickPool(float64(i)/100)]++
	}
	if counts["plain"] != 90 || counts["engines"] != 10 {
		t.Errorf("counts %v, want 90 and 10", counts)
	}
}
