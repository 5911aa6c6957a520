package gate

import (
	"errors"
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

func newGate(slots int) *Gate {
	g := New("run-1")
	g.SetUpstream(Upstream{ID: "u", Slots: slots})
	return g
}

func begin(g *Gate, attempt string, change func(*Request)) (Verdict, error) {
	r := Request{Attempt: attempt, Upstream: "u", Incarnation: "run-1", Claimed: true}
	if change != nil {
		change(&r)
	}
	return g.Begin(1, r)
}

func assertRejected(t *testing.T, err error, kind rollout.Kind, notRun bool) {
	t.Helper()
	var e *rollout.Error
	if !errors.As(err, &e) || e.Kind != kind || e.NotRun != notRun {
		t.Fatalf("error %v, want kind %v with NotRun=%v", err, kind, notRun)
	}
}

func assertVerdict(t *testing.T, got Verdict, err error, want Verdict) {
	t.Helper()
	if err != nil || got != want {
		t.Fatalf("verdict %v, %v, want %v", got, err, want)
	}
}

// TestEvacuatedUpstreamBeginsNothing guards against requests that an entry sent before
// it learned of the evacuation. What has begun can still be attached to.
func TestEvacuatedUpstreamBeginsNothing(t *testing.T) {
	g := newGate(4)
	v, err := begin(g, "a", nil)
	assertVerdict(t, v, err, VerdictRun)
	g.SetUpstream(Upstream{ID: "u", Slots: 4, Evacuated: true})
	_, err = begin(g, "b", nil)
	assertRejected(t, err, rollout.KindNoUpstream, true)
	v, err = begin(g, "a", func(r *Request) { r.Attach = true })
	assertVerdict(t, v, err, VerdictAttach)
}

func TestAttemptBeginsOnce(t *testing.T) {
	g := newGate(4)
	v, err := begin(g, "a", nil)
	assertVerdict(t, v, err, VerdictRun)
	v, err = begin(g, "a", nil)
	assertVerdict(t, v, err, VerdictAttach)
	g.Finish("a")
	v, err = begin(g, "a", nil)
	assertVerdict(t, v, err, VerdictAttach)
}

func TestBarredAttemptNeverBegins(t *testing.T) {
	g := newGate(4)
	_, err := begin(g, "a", func(r *Request) { r.Attach = true })
	assertRejected(t, err, rollout.KindNotFound, false)
	_, err = begin(g, "a", func(r *Request) { r.Attach, r.Bar = true, true })
	assertRejected(t, err, rollout.KindNotFound, true)
	_, err = begin(g, "a", nil)
	assertRejected(t, err, rollout.KindConflict, true)
}

func TestBeginRejectsRequest(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(*Gate)
		change  func(*Request)
		kind    rollout.Kind
		notRun  bool
	}{
		{"another incarnation", nil, func(r *Request) { r.Incarnation = "run-0" }, rollout.KindNoUpstream, true},
		{"attach to another incarnation", nil, func(r *Request) { r.Incarnation, r.Attach = "run-0", true }, rollout.KindOutcomeUnknown, false},
		{"unknown upstream", nil, func(r *Request) { r.Upstream = "x" }, rollout.KindNoUpstream, true},
		{"leaving upstream", func(g *Gate) { g.SetUpstream(Upstream{ID: "u", Slots: 4, Leaving: true}) }, nil, rollout.KindNoUpstream, true},
		{"full upstream", func(g *Gate) {
			for i := range 5 {
				_, _ = begin(g, fmt.Sprint(i), nil)
			}
		}, nil, rollout.KindOverloaded, true},
		{"second suspect", func(g *Gate) {
			_, _ = begin(g, "s", func(r *Request) { r.Suspect = true })
		}, func(r *Request) { r.Suspect = true }, rollout.KindOverloaded, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGate(4)
			if tc.prepare != nil {
				tc.prepare(g)
			}
			_, err := begin(g, "a", tc.change)
			assertRejected(t, err, tc.kind, tc.notRun)
		})
	}
}

func TestRunningFingerprintsMarksSuspects(t *testing.T) {
	g := newGate(4)
	for i, f := range []string{"x", "y", "x", "z"} {
		_, _ = begin(g, fmt.Sprint(i), func(r *Request) { r.Fingerprint, r.Suspect = f, f == "z" })
	}
	g.Finish("1")
	if got := fmt.Sprint(g.RunningFingerprints("u")); got != "map[x:false z:true]" {
		t.Fatalf("running fingerprints %s, want x without and z with suspect", got)
	}
}
