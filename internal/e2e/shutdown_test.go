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

// load sends requests from many callers until it is stopped. A caller whose
// connection is refused goes on to another entry, as the balancer would.
type load struct {
	d       *deployment
	wait    sync.WaitGroup
	halt    chan struct{}
	mu      sync.Mutex
	ok      int
	trouble []string
}

func startLoad(d *deployment, callers int, body string) *load {
	l := &load{d: d, halt: make(chan struct{})}
	for i := range callers {
		l.wait.Go(func() { l.call(i, body) })
	}
	return l
}

func (l *load) call(i int, body string) {
	for n := i; ; n++ {
		select {
		case <-l.halt:
			return
		default:
		}
		entry := n % len(l.d.layout.EntryURLs)
		r, err := l.d.post(entry, "/v1/completions", key, "", body)
		switch {
		case err != nil && strings.Contains(err.Error(), "connection refused"):
			time.Sleep(10 * time.Millisecond)
		case err != nil:
			l.note(err.Error())
		case r.status != http.StatusOK || !strings.Contains(r.body, "[DONE]"):
			l.note(fmt.Sprintf("%d: %.200s", r.status, tail(r.body)))
		default:
			l.mu.Lock()
			l.ok++
			l.mu.Unlock()
		}
	}
}

func (l *load) note(trouble string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble = append(l.trouble, trouble)
}

func (l *load) stop() (ok int, trouble []string) {
	close(l.halt)
	l.wait.Wait()
	return l.ok, l.trouble
}

func TestShutdownCutsOffNoRequest(t *testing.T) {
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
			eventually(t, "all serve again", patience, func() bool {
				return len(d.do("show upstreams").Table.Rows) == len(d.layout.Upstreams)
			})
			ok, trouble := l.stop()
			if len(trouble) > 0 || ok == 0 {
				t.Fatalf("%d answers, %d failed, first: %.500v", ok, len(trouble), trouble)
			}
		})
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	l := startLoad(d, 6, `{"model":"draft","prompt":"x","max_tokens":50,"stream":true}`)
	d.do("drain upstream engine-1")
	time.Sleep(inForceHealthy)
	eventually(t, "running work ends", patience, func() bool { return d.running("engine-1") == 0 })
	for range 50 {
		if n := d.running("engine-1"); n > 0 {
			t.Errorf("%d requests run at a leaving upstream", n)
		}
		time.Sleep(10 * time.Millisecond)
	}
	ok, trouble := l.stop()
	if len(trouble) > 0 || ok == 0 {
		t.Fatalf("%d answers, trouble: %.500v", ok, trouble)
	}
}

func (d *deployment) running(upstream string) int {
	var st struct{ Running, Waiting int }
	d.getJSON("http://"+d.address(upstream)+"/status", &st)
	return st.Running + st.Waiting
}

func TestUsageAddsUpWhenAgentsRestart(t *testing.T) {
	o := demo.DefaultOptions()
	o.UsageWindowMS = 1_000
	d := deploy(t, o)
	const perRound, tokens = 15, 7
	body := fmt.Sprintf(`{"model":"draft","prompt":"12345678","max_tokens":%d}`, tokens)
	served := 0
	for _, name := range []string{"agent-1", "agent-2", "control-1"} {
		for range perRound {
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
	eventually(t, "all service is reported", patience, func() bool {
		sum = 0
		for _, w := range d.platform().Usage {
			sum += w.Total.OutputTokens
		}
		return sum >= uint64(served*tokens)
	})
	time.Sleep(2 * time.Second)
	p := d.platform()
	sum = 0
	seen := make(map[uint64]bool)
	for _, w := range p.Usage {
		if seen[w.Window] {
			t.Errorf("window %d was taken twice", w.Window)
		}
		seen[w.Window] = true
		sum += w.Total.OutputTokens
	}
	if sum != uint64(served*tokens) || p.Changed != 0 || p.OldTerm != 0 {
		t.Fatalf("reported %d tokens, served %d; changed %d, old terms %d", sum, served*tokens, p.Changed, p.OldTerm)
	}
}

func TestFrozenAgentComesBack(t *testing.T) {
	d := deploy(t, demo.DefaultOptions())
	count := func() int { return len(d.do("show upstreams").Table.Rows) }
	d.signal("agent-2", syscall.SIGSTOP)
	eventually(t, "its upstream is taken out", patience, func() bool { return count() == len(d.layout.Upstreams)-1 })
	d.signal("agent-2", syscall.SIGCONT)
	eventually(t, "its upstream is back", patience, func() bool { return count() == len(d.layout.Upstreams) })
}
