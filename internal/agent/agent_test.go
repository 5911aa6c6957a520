package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/answer"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/internal/upstream"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

func newTestAgent(t *testing.T) *agent {
	t.Helper()
	cfg := settings.Agent{Common: settings.Common{Name: "a", Control: []string{"127.0.0.1:1"}}, KeptBytes: 10}
	a, err := newAgent(cfg, clock.NewManual(1_000), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// runInputs runs the queued inputs.
func (a *agent) runInputs() {
	for len(a.inputs) > 0 {
		input := <-a.inputs
		input(a.clock.Now())
	}
}

func (a *agent) setTargetVersions(versions map[string]uint64) {
	a.targets.Store(&map[string]target{"u": {versions: versions}})
}

func TestProducingVersions(t *testing.T) {
	event := func(v int) string { return fmt.Sprintf("data: {\"weight_version\":%d}\n\n", v) }
	for _, tc := range []struct {
		name   string
		answer string
		before uint64
		after  uint64
		want   []uint64
	}{
		{"one version", event(5) + event(5), 7, 7, []uint64{5}},
		{"swapped during the answer", event(5) + event(6) + event(6), 5, 6, []uint64{5, 6}},
		{"answer names an older version than the status", event(5), 6, 6, []uint64{5}},
		{"no version in the answer, status unchanged", "data: {}\n\n", 5, 5, []uint64{5}},
		{"no version in the answer, status changed", "data: {}\n\n", 5, 6, []uint64{5, 6}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newTestAgent(t)
			a.setTargetVersions(map[string]uint64{"g": tc.after})
			obs := &upstream.Observer{Streamed: true}
			for _, b := range []byte(tc.answer) {
				obs.Add([]byte{b})
			}
			before := target{versions: map[string]uint64{"g": tc.before}}
			got := a.producingVersions(&wire.RunRequest{Upstream: "u", Group: "g"}, before, obs)
			if !slices.Equal(got, tc.want) {
				t.Fatalf("versions %v, want %v", got, tc.want)
			}
		})
	}
}

// TestEvacuatedUpstreamGetsNothingNew checks that an agent refuses attempts and swaps
// at an evacuated upstream, but does not report it as draining: capacity stops idle
// upstreams that drain.
func TestEvacuatedUpstreamGetsNothingNew(t *testing.T) {
	a := newTestAgent(t)
	a.upstreams["u"] = &localUpstream{announced: announcement{ID: "u", Slots: 1}, polled: true, polling: true}
	swap := weights.Swap{Blob: weights.Blob{Group: "g", Version: 1}, Upstream: "u"}
	a.blobs[swap.Blob] = fetchedBlob{}
	for _, evacuated := range []bool{true, false} {
		c := catalog.New()
		c.Upstreams["u"] = catalog.Upstream{ID: "u", Incarnation: a.incarnation, Evacuated: evacuated}
		a.UpdateCatalog(c)
		a.runInputs()
		_, _, err := a.tryGate(&wire.RunRequest{Attempt: fmt.Sprint(evacuated), Upstream: "u"}, false)
		if (err != nil) != evacuated {
			t.Fatalf("evacuated %v: error %v", evacuated, err)
		}
		if a.startSwap(swap); a.upstreams["u"].swapping == evacuated {
			t.Fatalf("evacuated %v: swapping %v", evacuated, !evacuated)
		}
		if a.loads()[0].Draining || a.catalogEntry("u", a.upstreams["u"]).Leaving {
			t.Fatal("evacuated upstream is reported as draining")
		}
	}
	if len(a.swapOutcomes) != 1 || !a.swapOutcomes[0].Failed {
		t.Fatalf("swap outcomes %+v, want the refused swap as failed", a.swapOutcomes)
	}
}

func TestUpstreamLostByLeaderIsReportedAgain(t *testing.T) {
	a := newTestAgent(t)
	l := &localUpstream{announced: announcement{ID: "u", Slots: 1}, polled: true, reported: &catalog.Upstream{ID: "u"}}
	a.upstreams["u"] = l
	known := catalog.New()
	known.Upstreams["u"] = catalog.Upstream{ID: "u", Incarnation: a.incarnation}
	for _, tc := range []struct {
		name string
		view *catalog.Catalog
		want bool
	}{{"in the catalog", known, true}, {"not in the catalog", catalog.New(), false}} {
		a.UpdateCatalog(tc.view)
		a.runInputs()
		if (l.reported != nil) != tc.want {
			t.Fatalf("%s: reported entry %v, want one: %v", tc.name, l.reported, tc.want)
		}
	}
}

func TestFailedCalls(t *testing.T) {
	for _, tc := range []struct {
		name  string
		serve func(w http.ResponseWriter)
		want  rollout.Kind
	}{
		{"stream without an end marker", func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte("data: {}\n\n"))
		}, rollout.KindTruncated},
		{"body shorter than Content-Length", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("short"))
		}, rollout.KindTruncated},
		{"connection closed without an answer", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, rollout.KindUpstreamFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tc.serve(w) }))
			defer server.Close()
			outcome := upstream.Call(t.Context(), upstream.NewClient(true), server.URL, &wire.RunRequest{Method: "POST", Path: "/"}, answer.New().Add, &upstream.Observer{}, nil)
			if outcome.Err == nil || outcome.Err.Kind != tc.want || outcome.Err.NotRun {
				t.Fatalf("error %v, want %v that may have run", outcome.Err, tc.want)
			}
		})
	}
	t.Run("no connection", func(t *testing.T) {
		server := httptest.NewServer(nil)
		server.Close()
		outcome := upstream.Call(t.Context(), upstream.NewClient(true), server.URL, &wire.RunRequest{Method: "POST", Path: "/"}, answer.New().Add, &upstream.Observer{}, nil)
		if outcome.Err == nil || !outcome.Err.NotRun || !outcome.ConnectionBroken {
			t.Fatalf("outcome %+v, want a broken connection and not run", outcome)
		}
	})
}

// TestClientWithoutReuseSendsOnce guards against duplicate execution: net/http
// resends a request with an Idempotency-Key header when a reused connection
// breaks.
func TestClientWithoutReuseSendsOnce(t *testing.T) {
	runs := 0
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "warm") {
			return
		}
		runs++
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	client := upstream.NewClient(false)
	headers := []*wire.Header{{Name: "Idempotency-Key", Value: "order-1"}}
	for _, path := range []string{"/warm", "/order"} {
		upstream.Call(t.Context(), client, server.URL, &wire.RunRequest{Method: "POST", Path: path, Headers: headers}, answer.New().Add, &upstream.Observer{}, nil)
	}
	if runs != 1 {
		t.Fatalf("the request ran %d times, want 1", runs)
	}
}

func TestAnswerCacheIsBounded(t *testing.T) {
	cache := answer.NewCache(10)
	for i := range 4 {
		id := fmt.Sprint(i)
		_ = cache.Begin(id).Add(&wire.RunChunk{Data: []byte("1234"), End: &wire.End{}})
		cache.Finish(id)
	}
	for i, cached := range []bool{false, false, true, true} {
		if (cache.Find(fmt.Sprint(i)) != nil) != cached {
			t.Errorf("answer %d: cached %v, want %v", i, !cached, cached)
		}
	}
}

// An engine may start while its host shuts down. It must not take work that the
// shutdown would cut off.
func TestUpstreamAnnouncedDuringShutdownIsLeaving(t *testing.T) {
	a := newTestAgent(t)
	a.recordAnnouncement(1_000, announcement{ID: "before", Pool: "p", URL: "http://127.0.0.1:1", Slots: 1})
	a.stopping = true
	a.recordAnnouncement(1_000, announcement{ID: "during", Pool: "p", URL: "http://127.0.0.1:1", Slots: 1})
	if a.upstreams["before"].leaving || !a.upstreams["during"].leaving {
		t.Fatalf("leaving: %v before the shutdown, %v during it, want false, true", a.upstreams["before"].leaving, a.upstreams["during"].leaving)
	}
}
