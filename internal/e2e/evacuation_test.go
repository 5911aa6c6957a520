package e2e

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

// refusedLimit is the time within which a request is refused at once.
const refusedLimit = time.Second

// change runs a statement and waits until it is in force at all daemons.
func (d *deployment) change(statement string) {
	d.t.Helper()
	must(d.t, d.check.WaitForVersion(d.t.Context(), d.do(statement).Version))
}

// assertRefused sends a request that must be refused at once, not run, with a time to
// retry.
func (d *deployment) assertRefused(path, requestID, body string) {
	d.t.Helper()
	start := time.Now()
	r, err := d.post(1, path, key, requestID, body)
	must(d.t, err)
	if r.status != http.StatusServiceUnavailable || !r.notRun() || r.retryAfter == "" || time.Since(start) > refusedLimit {
		d.t.Fatalf("answer %+v after %v, want 503, not run, with Retry-After", r, time.Since(start))
	}
}

// assertIdle checks for half a second that nothing runs at an upstream.
func (d *deployment) assertIdle(upstream string) {
	d.t.Helper()
	for range 50 {
		if n := d.countRunning(upstream); n > 0 {
			d.t.Fatalf("%d requests run at evacuated upstream %s", n, upstream)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestEvacuatedDomainGetsNoNewWork evacuates a failure domain under load. What runs
// there must end, nothing new may begin, and the order must outlive the leader and a
// restart of the agent.
func TestEvacuatedDomainGetsNoNewWork(t *testing.T) {
	d := deploy(t, slowServiceOptions())
	p := &manualTrainer{deployment: d}
	d.do("set group drafts staleness 0")
	load := startLoad(d, 6, `{"model":"draft","prompt":"x","max_tokens":50,"stream":true}`)
	order := make(chan reply, 1)
	go func() {
		r, _ := d.post(0, "/r/orders/tags", key, "order-1", `{}`)
		order <- r
	}()
	eventually(t, "the order runs", waitTimeout, func() bool { return d.runCounts("orders-1")["order-1"] == 1 })
	d.change("evacuate domain paraiso")
	if !d.logContains(d.leader(), "Event=EvacuationChanged") {
		t.Error("the leader logged no EvacuationChanged")
	}
	t.Run("what runs ends", func(t *testing.T) {
		repeated, err := d.post(1, "/r/orders/tags", key, "order-1", `{}`)
		must(t, err)
		for _, r := range []reply{<-order, repeated} {
			if r.status != http.StatusOK || !strings.Contains(r.body, `"Run":1`) {
				t.Fatalf("answer %+v", r)
			}
		}
		repeated, err = d.post(1, "/r/orders/tags", key, "order-1", `{}`)
		must(t, err)
		if repeated.status != http.StatusOK || !strings.Contains(repeated.body, `"Run":1`) {
			t.Fatalf("answer %+v to an order that has ended", repeated)
		}
		eventually(t, "running requests end", waitTimeout, func() bool { return d.countRunning("engine-1") == 0 })
	})
	t.Run("nothing begins", func(t *testing.T) {
		d.assertIdle("engine-1")
		d.assertRefused("/r/orders/tags", "order-2", `{}`)
		d.assertRefused("/r/stock/levels", "", `{}`)
		p.publish(1)
		p.post("s1", 16)
		p.assertFresh(t, 1, 16)
		d.assertIdle("engine-1")
		if rows := d.do("show upstreams where Versions = drafts:1").Table.Rows; len(rows) != 2 {
			t.Fatalf("engines with the new weights: %v, want the two that are not evacuated", rows)
		}
	})
	if succeeded, failures := load.stop(); len(failures) > 0 || succeeded == 0 {
		t.Fatalf("%d requests succeeded, failures: %.500v", succeeded, failures)
	}
	t.Run("after a change of the leader and a restart of the agent", func(t *testing.T) {
		d.kill(d.leader())
		d.stop("agent-1")
		d.start("agent-1")
		eventually(t, "the upstreams are registered and evacuated", waitTimeout, func() bool {
			return len(d.do("show upstreams where Evacuated = yes").Table.Rows) == 2
		})
		d.assertRefused("/r/stock/levels", "", `{}`)
	})
	t.Run("taken back", func(t *testing.T) {
		d.change("end evacuation paraiso")
		eventually(t, "the engine has the new weights", waitTimeout, func() bool {
			return len(d.do("show upstreams where Versions = drafts:1").Table.Rows) == 3
		})
		r, err := d.post(1, "/r/orders/tags", key, "order-2", `{}`)
		must(t, err)
		if r.status != http.StatusOK {
			t.Fatalf("answer %+v", r)
		}
	})
}

// TestAllDomainsEvacuated checks that callers are refused while all upstreams of a
// model are evacuated, and that the samples of a step wait and are made afterwards.
func TestAllDomainsEvacuated(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	p := &manualTrainer{deployment: d}
	domains := []string{"paraiso", "oreamuno", "turrialba"}
	for _, domain := range domains {
		d.change("evacuate domain " + domain)
	}
	d.assertRefused("/v1/completions", "", shortCall)
	d.assertRefused("/v1/completions", "once", shortCall)
	p.post("s1", 16)
	time.Sleep(refusedLimit)
	if data, _ := os.ReadFile(filepath.Join(d.layout.Dir, "entry-1.log")); strings.Count(string(data), "Event=SampleFailed") > 16 {
		t.Fatal("samples are tried again and again while all upstreams are evacuated")
	}
	if samples := p.pull(); len(samples) > 0 {
		t.Fatalf("samples %v while all upstreams are evacuated", samples)
	}
	for _, engine := range []string{"engine-1", "engine-2", "engine-3"} {
		d.assertIdle(engine)
	}
	d.change("end evacuation oreamuno")
	p.assertFresh(t, 0, 16)
	r, err := d.post(1, "/v1/completions", key, "once", shortCall)
	must(t, err)
	if r.status != http.StatusOK {
		t.Fatalf("answer %+v", r)
	}
}
