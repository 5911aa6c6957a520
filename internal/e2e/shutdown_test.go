package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

// requestLoad sends requests from concurrent callers until it is stopped. A caller
// whose connection is refused tries the next entry, as a load balancer would.
type requestLoad struct {
	d         *deployment
	wg        sync.WaitGroup
	done      chan struct{}
	mu        sync.Mutex
	succeeded int
	failures  []string
}

func startLoad(d *deployment, callers int, body string) *requestLoad {
	l := &requestLoad{d: d, done: make(chan struct{})}
	for i := range callers {
		l.wg.Go(func() { l.sendRequests(i, body) })
	}
	return l
}

func (l *requestLoad) sendRequests(i int, body string) {
	for n := i; ; n++ {
		select {
		case <-l.done:
			return
		default:
		}
		entry := n % len(l.d.layout.EntryURLs)
		r, err := l.d.post(entry, "/v1/completions", key, "", body)
		switch {
		case err != nil && strings.Contains(err.Error(), "connection refused"):
			time.Sleep(10 * time.Millisecond)
		case err != nil:
			l.addFailure(err.Error())
		case r.status != http.StatusOK || !strings.Contains(r.body, "[DONE]"):
			l.addFailure(fmt.Sprintf("%d: %.200s", r.status, tail(r.body)))
		default:
			l.mu.Lock()
			l.succeeded++
			l.mu.Unlock()
		}
	}
}

func (l *requestLoad) addFailure(message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, message)
}

// stop ends the load and returns its results once all requests in flight have
// ended.
func (l *requestLoad) stop() (succeeded int, failures []string) {
	close(l.done)
	l.wg.Wait()
	return l.succeeded, l.failures
}

func TestShutdownCompletesRequests(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	for _, name := range []string{"entry-1", "agent-1", "control-1", "control-2", "control-3"} {
		t.Run(name, func(t *testing.T) {
			l := startLoad(d, 8, `{"model":"draft","prompt":"x","max_tokens":200,"stream":true}`)
			time.Sleep(500 * time.Millisecond)
			if code := d.stop(name); code != 0 {
				t.Errorf("exit code %d", code)
			}
			time.Sleep(300 * time.Millisecond)
			d.start(name)
			eventually(t, "all upstreams are registered again", waitTimeout, func() bool {
				return len(d.do("show upstreams").Table.Rows) == len(d.layout.Upstreams)
			})
			succeeded, failures := l.stop()
			if len(failures) > 0 || succeeded == 0 {
				t.Fatalf("%d requests succeeded, %d failed, first: %.500v", succeeded, len(failures), failures)
			}
		})
	}
}

func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	l := startLoad(d, 6, `{"model":"draft","prompt":"x","max_tokens":50,"stream":true}`)
	d.do("drain upstream engine-1")
	time.Sleep(healthyWithdrawalLimit)
	eventually(t, "running requests end", waitTimeout, func() bool { return d.countRunning("engine-1") == 0 })
	for range 50 {
		if n := d.countRunning("engine-1"); n > 0 {
			t.Errorf("%d requests run on a draining upstream", n)
		}
		time.Sleep(10 * time.Millisecond)
	}
	succeeded, failures := l.stop()
	if len(failures) > 0 || succeeded == 0 {
		t.Fatalf("%d requests succeeded, failures: %.500v", succeeded, failures)
	}
}

// countRunning returns how many requests run or wait at an upstream.
func (d *deployment) countRunning(upstream string) int {
	var st struct{ Running, Waiting int }
	d.getJSON("http://"+d.address(upstream)+"/status", &st)
	return st.Running + st.Waiting
}

func TestUsageTotalsAcrossRestarts(t *testing.T) {
	o := demo.DefaultOptions()
	o.UsageWindowMS = 1_000
	d := deploy(t, o)
	const requestsPerRound, tokensPerRequest = 15, 7
	body := fmt.Sprintf(`{"model":"draft","prompt":"12345678","max_tokens":%d}`, tokensPerRequest)
	served := 0
	for _, name := range []string{"agent-1", "agent-2", "control-1"} {
		for range requestsPerRound {
			r, err := d.post(0, "/v1/completions", key, "", body)
			must(t, err)
			if r.status == http.StatusOK {
				served++
			}
		}
		d.stop(name)
		d.start(name)
	}
	var sum uint64
	eventually(t, "the usage of all requests is reported", waitTimeout, func() bool {
		sum = 0
		for _, w := range d.platform().Usage {
			sum += w.Total.OutputTokens
		}
		return sum >= uint64(served*tokensPerRequest)
	})
	time.Sleep(2 * time.Second)
	p := d.platform()
	sum = 0
	seen := make(map[uint64]bool)
	for _, w := range p.Usage {
		if seen[w.Window] {
			t.Errorf("usage window %d was accepted twice", w.Window)
		}
		seen[w.Window] = true
		sum += w.Total.OutputTokens
	}
	if sum != uint64(served*tokensPerRequest) || p.Changed != 0 || p.OldTerm != 0 {
		t.Fatalf("reported %d tokens, served %d; %d changed windows, %d orders from an earlier term", sum, served*tokensPerRequest, p.Changed, p.OldTerm)
	}
}

func TestSuspendedAgentRejoins(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	count := func() int { return len(d.do("show upstreams").Table.Rows) }
	d.signal("agent-2", syscall.SIGSTOP)
	eventually(t, "its upstream is removed", waitTimeout, func() bool { return count() == len(d.layout.Upstreams)-1 })
	d.signal("agent-2", syscall.SIGCONT)
	eventually(t, "its upstream is registered again", waitTimeout, func() bool { return count() == len(d.layout.Upstreams) })
}
