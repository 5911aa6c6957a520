package daemon

import (
	"encoding/json"
	"testing"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

type stubReporter struct {
	versions  []uint64
	upstreams []string
}

func (s *stubReporter) Report() (*fleet.Report, func())  { return nil, func() {} }
func (s *stubReporter) Upstreams() []string              { return s.upstreams }
func (s *stubReporter) UpdateCatalog(c *catalog.Catalog) { s.versions = append(s.versions, c.Version) }
func (s *stubReporter) HandleTasks(weights.Tasks)        {}

func reply(t *testing.T, version uint64, key catalog.Key) *wire.RenewReply {
	t.Helper()
	value, err := json.Marshal(key)
	if err != nil {
		t.Fatal(err)
	}
	u := catalog.Update{Version: version, Changes: []catalog.Change{{Version: version, Kind: catalog.KindKey, Name: key.ID, Value: value}}}
	data, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.RenewReply{Version: version, Update: data}
}

func TestOlderConfigurationIsNotApplied(t *testing.T) {
	rep := &stubReporter{}
	r := NewRenewer(Identity{}, nil, clock.NewManual(0), zap.NewNop(), rep)
	old, withdrawn := catalog.Key{ID: "k", Digest: "d"}, catalog.Key{ID: "k", Digest: "d", Withdrawn: true}
	steps := []struct {
		name             string
		requestedVersion uint64
		reply            *wire.RenewReply
		fails            bool
	}{
		{"first", 0, reply(t, 5, old), false},
		{"newer", 5, reply(t, 6, withdrawn), false},
		{"late reply to the other goroutine", 5, reply(t, 5, old), false},
		{"leader with an older configuration", 6, reply(t, 5, old), true},
	}
	for _, s := range steps {
		err := r.applyUpdate(&wire.RenewRequest{Version: s.requestedVersion}, s.reply)
		if (err != nil) != s.fails {
			t.Fatalf("%s: error %v, want one: %v", s.name, err, s.fails)
		}
	}
	if v := r.View(); v.Version != 6 || !v.Keys["k"].Withdrawn || !v.ByDigest["d"].Withdrawn {
		t.Fatalf("view %+v, want version 6 with key k withdrawn", v)
	}
	if len(rep.versions) != 2 {
		t.Fatalf("applied versions %v, want 2 of them", rep.versions)
	}
}

func TestLeaseRunsFromRequestTime(t *testing.T) {
	clk := clock.NewManual(1_000)
	r := NewRenewer(Identity{}, nil, clk, zap.NewNop(), &stubReporter{})
	sent := clk.Now()
	clk.Advance(900)
	r.lease.Renew(clk.Now(), sent, 1_000)
	assertValid(t, r, true)
	clk.Advance(99)
	assertValid(t, r, true)
	clk.Advance(1)
	assertValid(t, r, false)
	r.lease.Renew(clk.Now(), sent, 1_000)
	assertValid(t, r, false)
}

func assertValid(t *testing.T, r *Renewer, want bool) {
	t.Helper()
	if r.Valid() != want {
		t.Fatalf("valid %v, want %v at %d with the lease until %d", !want, want, r.clock.Now(), r.lease.ExpiresAt())
	}
}

// TestChangesOfNewUpstreamAreNotMissed covers an upstream that is announced and
// drained while the leader holds a request that does not name it. The reply to
// that request lacks the drain and must not be applied.
func TestChangesOfNewUpstreamAreNotMissed(t *testing.T) {
	rep := &stubReporter{}
	r := NewRenewer(Identity{}, nil, clock.NewManual(0), zap.NewNop(), rep)
	if err := r.applyUpdate(&wire.RenewRequest{}, reply(t, 5, catalog.Key{ID: "k"})); err != nil {
		t.Fatal(err)
	}
	held := r.newRequest()
	rep.upstreams = []string{"u"}
	if err := r.applyUpdate(held, &wire.RenewReply{Version: 9}); err == nil || r.View().Version != 5 {
		t.Fatalf("error %v, version %d: applied a reply without the upstream", err, r.View().Version)
	}
	next := r.newRequest()
	if next.Version != 0 {
		t.Fatalf("requested changes since version %d, want a full copy", next.Version)
	}
	if err := r.applyUpdate(next, reply(t, 9, catalog.Key{ID: "other"})); err != nil || r.View().Version != 9 {
		t.Fatalf("version %d, error %v, want version 9", r.View().Version, err)
	}
	if _, ok := r.View().Keys["k"]; ok {
		t.Fatal("the full copy did not replace the view")
	}
	if again := r.newRequest(); again.Version != 9 {
		t.Fatalf("requested changes since version %d, want 9", again.Version)
	}
}
