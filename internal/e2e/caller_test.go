package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
)

const (
	key = "cfs_farm"
	// withdrawalLimit is the time within which the withdrawal of a key must be in
	// force, also during a network partition.
	withdrawalLimit = 5 * time.Second
	// healthyWithdrawalLimit is the same limit without a partition.
	healthyWithdrawalLimit = 2 * time.Second
	longStream             = `{"model":"draft","prompt":"a long tale","max_tokens":60000,"stream":true}`
	shortCall              = `{"model":"draft","prompt":"hello","max_tokens":4}`
)

// deployWithEntryProxies starts a deployment in which entry-1 reaches the control
// hosts through proxies.
func deployWithEntryProxies(t *testing.T) (*deployment, []*proxy) {
	t.Helper()
	t.Parallel()
	d := prepare(t, demo.DefaultOptions())
	var proxies []*proxy
	path := filepath.Join(d.layout.Dir, "entry-1.json")
	s, err := settings.LoadEntry(path)
	must(t, err)
	for i, address := range s.Control {
		proxies = append(proxies, newProxy(t, address))
		s.Control[i] = proxies[i].address()
	}
	data, err := json.Marshal(s)
	must(t, err)
	must(t, os.WriteFile(path, data, 0o600))
	d.startAll()
	must(t, d.check.Prepare(t.Context()))
	return d, proxies
}

// openStream starts a long stream and returns a reader positioned after its first
// line.
func (d *deployment) openStream(entry int) (*bufio.Reader, func()) {
	d.t.Helper()
	resp, err := d.check.Post(d.t.Context(), entry, "/v1/completions", key, "", longStream) //nolint:bodyclose // The caller closes it.
	must(d.t, err)
	r := bufio.NewReader(resp.Body)
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "data:") {
		d.t.Fatalf("first line of the stream is %q, error %v", line, err)
	}
	return r, func() { _ = resp.Body.Close() }
}

// assertStreamAborted reads a stream to its end and checks that it ended in time and
// with an error of the given kind.
func assertStreamAborted(t *testing.T, r io.Reader, since time.Time, limit time.Duration, kind string) {
	t.Helper()
	rest, _ := io.ReadAll(r)
	if took := time.Since(since); took > limit {
		t.Fatalf("stream continued for %v, limit %v", took, limit)
	}
	if strings.Contains(string(rest), "[DONE]") || !strings.Contains(string(rest), `"Error":"`+kind+`"`) {
		t.Fatalf("stream ended with %.300q, want error %s", tail(string(rest)), kind)
	}
}

func tail(s string) string { return s[max(0, len(s)-300):] }

// TestKeyWithdrawalDuringPartition withdraws a key while an entry cannot reach the
// control hosts, although its connections stay open. The entry must stop serving
// the key on its own.
func TestKeyWithdrawalDuringPartition(t *testing.T) {
	d, proxies := deployWithEntryProxies(t)
	stream, done := d.openStream(0)
	defer done()
	for _, p := range proxies {
		p.blocked.Store(true)
	}
	blockedAt := time.Now()
	d.do("withdraw key farm-1")
	assertStreamAborted(t, stream, blockedAt, withdrawalLimit, "NoAuthority")
	got, err := d.post(0, "/v1/completions", key, "", shortCall)
	must(t, err)
	t.Run("a request with a key is rejected as not run", func(t *testing.T) {
		if got.status != 503 || !got.notRun() || got.retryAfter == "" {
			t.Fatalf("answer %+v", got)
		}
	})
	t.Run("an open route still works", func(t *testing.T) {
		open, err := d.post(0, "/r/stock/levels", "", "", "{}")
		must(t, err)
		if open.status != 200 {
			t.Fatalf("answer %+v", open)
		}
	})
	t.Run("after the partition the key is rejected as withdrawn", func(t *testing.T) {
		for _, p := range proxies {
			p.blocked.Store(false)
		}
		eventually(t, "status 401", waitTimeout, func() bool {
			got, err := d.post(0, "/v1/completions", key, "", shortCall)
			return err == nil && got.status == 401
		})
	})
}

func TestKeyWithdrawalAbortsStreams(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	for entry := range d.layout.EntryURLs {
		stream, done := d.openStream(entry)
		defer done()
		if entry == 0 {
			continue
		}
		start := time.Now()
		d.do("withdraw key farm-1")
		assertStreamAborted(t, stream, start, healthyWithdrawalLimit, "Withdrawn")
	}
}

// TestResumedEntryHasNoAuthority checks that an entry that was suspended for longer
// than its authority lasts rejects a key that was withdrawn meanwhile.
func TestResumedEntryHasNoAuthority(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	d.signal("entry-1", syscall.SIGSTOP)
	d.do("withdraw key farm-1")
	time.Sleep(4500 * time.Millisecond)
	type result struct {
		reply
		err error
	}
	answered := make(chan result, 1)
	go func() {
		r, err := d.post(0, "/v1/completions", key, "", shortCall)
		answered <- result{r, err}
	}()
	time.Sleep(50 * time.Millisecond)
	d.signal("entry-1", syscall.SIGCONT)
	if r := <-answered; r.err != nil || (r.status != 503 && r.status != 401) || !r.notRun() {
		t.Fatalf("answer %+v", r)
	}
}

// slowServiceOptions returns options for a deployment whose service upstream takes
// 1.5 s per request.
func slowServiceOptions() demo.Options {
	o := demo.DefaultOptions()
	o.Upstreams = append([]demo.Upstream(nil), o.Upstreams...)
	o.Upstreams[3].Args = []string{"--delay=1500ms"}
	return o
}

func TestOrderRunsOnceWhenEntryIsKilled(t *testing.T) {
	d := deploy(t, slowServiceOptions())
	lost := make(chan error, 1)
	go func() {
		_, err := d.post(0, "/r/orders/tags", key, "order-1", `{"Tags":40}`)
		lost <- err
	}()
	eventually(t, "the order runs", waitTimeout, func() bool { return d.runCounts("orders-1")["order-1"] == 1 })
	d.kill("entry-1")
	if err := <-lost; err == nil {
		t.Fatal("the first caller got a response from a killed entry")
	}
	t.Run("a repeated order waits for the running one", func(t *testing.T) {
		got, err := d.post(1, "/r/orders/tags", key, "order-1", `{"Tags":40}`)
		must(t, err)
		if got.status != 200 || !strings.Contains(got.body, `"Run":1`) {
			t.Fatalf("answer %+v", got)
		}
	})
	t.Run("another order under the same ID is rejected", func(t *testing.T) {
		got, err := d.post(1, "/r/orders/tags", key, "order-1", `{"Tags":41}`)
		must(t, err)
		if got.status != 409 || !got.notRun() {
			t.Fatalf("answer %+v", got)
		}
	})
	if n := d.runCounts("orders-1")["order-1"]; n != 1 {
		t.Fatalf("the order ran %d times", n)
	}
}

func TestOrderOutcomeUnknownWhenAgentIsKilled(t *testing.T) {
	d := deploy(t, slowServiceOptions())
	answered := make(chan reply, 1)
	go func() {
		r, _ := d.post(0, "/r/orders/tags", key, "order-1", `{"Tags":40}`)
		answered <- r
	}()
	eventually(t, "the order runs", waitTimeout, func() bool { return d.runCounts("orders-1")["order-1"] == 1 })
	d.kill("agent-1")
	if r := <-answered; r.status != 502 || r.notRun() || !strings.Contains(r.body, "OutcomeUnknown") {
		t.Fatalf("answer %+v", r)
	}
	d.start("agent-1")
	eventually(t, "the service is available again", waitTimeout, func() bool {
		r, err := d.post(1, "/r/stock/levels", "", "", "{}")
		return err == nil && r.status == 200
	})
	r, err := d.post(1, "/r/orders/tags", key, "order-1", `{"Tags":40}`)
	must(t, err)
	if !strings.Contains(r.body, "OutcomeUnknown") || r.notRun() {
		t.Fatalf("answer %+v", r)
	}
	if n := d.runCounts("orders-1")["order-1"]; n != 1 {
		t.Fatalf("the order ran %d times", n)
	}
}

func TestServicePathForwarding(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	for path, want := range map[string]string{
		"/r/stock/a%20b":         `"Path":"/a b"`,
		"/r/stock/what%3Fnow":    `"Path":"/what?now"`,
		"/r/stock/x/../y":        `"Path":"/y"`,
		"/r/stock/":              `"Path":"/"`,
		"/r/stock/%E2%82%AC":     `"Path":"/€"`,
		"/r/stock/a+b;c=d?e=f+g": `"Path":"/a+b;c=d"`,
	} {
		r, err := d.post(0, path, "", "", "{}")
		must(t, err)
		if r.status != http.StatusOK || !strings.Contains(r.body, want) {
			t.Errorf("%s: answer %+v, want %s", path, r, want)
		}
	}
}

func TestCompletionWithRequestIDRunsOnce(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	body := `{"model":"draft","prompt":"hello","max_tokens":3,"stream":true}`
	var answers []string
	for entry := range d.layout.EntryURLs {
		r, err := d.post(entry, "/v1/completions", key, "once", body)
		must(t, err)
		answers = append(answers, r.body)
	}
	if answers[0] != answers[1] || !strings.Contains(answers[0], "[DONE]") {
		t.Fatalf("answers %q", answers)
	}
	eventually(t, "the usage is reported", waitTimeout, func() bool {
		return len(d.do("show usage where Account = farm").Table.Rows) > 0
	})
	if rows := d.do("show usage where Account = farm and Requests > 1").Table.Rows; len(rows) > 0 {
		t.Fatalf("usage %v, want one request", rows)
	}
}

func TestConcurrentDuplicateOrdersRunOnce(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	var wg sync.WaitGroup
	var wrongReplies atomic.Int32
	for i := range 20 {
		for entry := range 2 {
			wg.Go(func() {
				r, err := d.post(entry, "/r/orders/tags", key, fmt.Sprintf("order-%d", i), `{}`)
				if err != nil || r.status != 200 || !strings.Contains(r.body, `"Run":1`) {
					wrongReplies.Add(1)
				}
			})
		}
	}
	wg.Wait()
	for id, n := range d.runCounts("orders-1") {
		if n != 1 && id != "" {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if n := wrongReplies.Load(); n > 0 {
		t.Errorf("%d wrong replies", n)
	}
}

func TestPoisonRequestIsRejectedAfterCrashes(t *testing.T) {
	o := demo.DefaultOptions()
	o.Upstreams = append([]demo.Upstream(nil), o.Upstreams...)
	for i := range 3 {
		o.Upstreams[i].Args = []string{"--crash-on=boom"}
	}
	d := deploy(t, o)
	poison := `{"model":"draft","prompt":"boom","max_tokens":4}`
	alive := func() int {
		n := 0
		for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
			if d.procs[name].Process.Signal(syscall.Signal(0)) == nil && !exited(d, name) {
				n++
			}
		}
		return n
	}
	eventually(t, "status 422", waitTimeout, func() bool {
		r, err := d.post(0, "/v1/completions", key, "", poison)
		return err == nil && r.status == 422 && r.notRun() && r.retryAfter != ""
	})
	if n := alive(); n < 1 {
		t.Fatalf("%d engines are running, want at least 1", n)
	}
	eventually(t, "status 422 from the other entry", waitTimeout, func() bool {
		r, err := d.post(1, "/v1/completions", key, "", poison)
		return err == nil && r.status == 422
	})
	if n := alive(); n < 1 {
		t.Fatalf("%d engines are running, want at least 1", n)
	}
	r, err := d.post(1, "/v1/completions", key, "", shortCall)
	must(t, err)
	if r.status != 200 {
		t.Fatalf("another request got %+v", r)
	}
}

// exited reports whether a process has exited on its own: it is gone or a zombie.
func exited(d *deployment, name string) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.procs[name].Process.Pid))
	return err != nil || strings.Contains(string(data), ") Z ")
}

func TestRequestDeadline(t *testing.T) {
	d := deploy(t, slowServiceOptions())
	start := time.Now()
	req := `{}`
	resp, err := d.check.PostWithTimeout(t.Context(), 0, "/r/orders/tags", key, 300*time.Millisecond, req)
	must(t, err)
	_ = resp.Body.Close()
	if took := time.Since(start); resp.StatusCode != http.StatusGatewayTimeout || took > time.Second || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("status %d after %v", resp.StatusCode, took)
	}
}

func TestBadRequests(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	for _, tc := range []struct {
		name, path, key, body string
		status                int
		want                  string
	}{
		{"no key", "/v1/completions", "", shortCall, 401, "Authorization"},
		{"unknown key", "/v1/completions", "cfs_other", shortCall, 401, "not known"},
		{"no JSON", "/v1/completions", key, "{", 400, "body"},
		{"no model", "/v1/completions", key, "{}", 400, "model"},
		{"unknown model", "/v1/completions", key, `{"model":"x"}`, 404, "no model"},
		{"model of another account", "/v1/completions", key, `{"model":"drafts"}`, 403, "another client account"},
		{"unknown route", "/r/nothing", key, "{}", 404, "no route"},
		{"key in the body", "/v1/completions", key, `{"model":"draft","prompt":"` + key + `"}`, 400, "repeats the key"},
		{"trainer's path with a caller's key", "/v1/rollouts/drafts/steps", key, "{}", 403, "another client account"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, err := d.post(0, tc.path, tc.key, "", tc.body)
			must(t, err)
			if r.status != tc.status || !strings.Contains(r.body, tc.want) || !r.notRun() {
				t.Fatalf("answer %+v, want %d with %q", r, tc.status, tc.want)
			}
		})
	}
}

func TestKeysAreNotForwarded(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	paths := []string{"/v1/completions?api_key=" + key, "/v1/completions?x=1&cfs%5Ffarm=2", "/r/orders/tags?k=" + key}
	for _, path := range paths {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.layout.EntryURLs[0]+path, strings.NewReader(shortCall))
		must(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Cookie", "session="+key)
		req.Header.Set("X-Request-Id", "from "+key)
		req.Header.Set("Accept", "text/plain; k="+key)
		resp, err := http.DefaultClient.Do(req)
		must(t, err)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("%s returned status %d", path, resp.StatusCode)
		}
	}
	for _, u := range d.layout.Upstreams {
		var st struct{ KeysSeen int }
		d.getJSON("http://"+u.Address+"/status", &st)
		if st.KeysSeen > 0 {
			t.Errorf("%s received %d requests that contain a key", u.ID, st.KeysSeen)
		}
	}
}
