package e2e

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "seed of the faults of the soak")
	soakSeconds = flag.Int("soak.seconds", 6, "how long faults are injected")
	soakBounds  = flag.Bool("soak.bounds", false, "judge bounds in time too; they mean nothing on a machine that is busy otherwise")
)

const (
	// soakPatience ends a soak that hangs; no verdict depends on it.
	soakPatience  = 2 * time.Minute
	longestFault  = 2 * time.Second
	orderPause    = 20 * time.Millisecond
	changePause   = 700 * time.Millisecond
	samplesOfStep = 12
)

// sentOrder is an order of a caller, which is sent until it is answered or
// given up.
type sentOrder struct {
	key      string
	sent     time.Time
	answered bool
	notRun   bool
}

// ordersSeen is what the callers of a soak have seen.
type ordersSeen struct {
	mu        sync.Mutex
	orders    map[string]sentOrder
	withdrawn map[string]time.Time
	key       string
	broken    []string
}

func (s *ordersSeen) breakRule(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// call sends orders, some of them with a key that was withdrawn, and each
// again at the other entry while its outcome is not known.
func (s *ordersSeen) call(ctx context.Context, d *deployment, r *rand.Rand, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("order-%d-%d", caller, n)
		s.mu.Lock()
		secret := s.key
		for old := range s.withdrawn {
			if r.IntN(4) == 0 {
				secret = old
				break
			}
		}
		s.mu.Unlock()
		s.send(ctx, d, r, id, secret)
		time.Sleep(time.Duration(r.Int64N(int64(2 * orderPause))))
	}
}

func (s *ordersSeen) send(ctx context.Context, d *deployment, r *rand.Rand, id, secret string) {
	o := sentOrder{key: secret, sent: time.Now()}
	start := r.IntN(2)
	for try := start; ctx.Err() == nil; try++ {
		a, err := d.post(try%2, "/r/orders/tags", secret, id, `{"Tags":1}`)
		if err != nil {
			continue
		}
		var answer struct{ Run int }
		switch {
		case a.status == 200:
			o.answered = true
			if err := json.Unmarshal([]byte(a.body), &answer); err != nil || answer.Run != 1 {
				s.breakRule("whole own answers: %s got %.80q", id, a.body)
			}
		case a.notRun():
			// The order is given up. A try before may have run it.
			o.notRun = try == start
		case a.status >= 500:
			continue
		}
		break
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders[id] = o
}

// change grants a key and withdraws the one before, until the context ends.
func (s *ordersSeen) change(ctx context.Context, d *deployment) {
	op := demo.NewOperator(d.layout)
	defer op.Close()
	for n := 1; ctx.Err() == nil; n++ {
		name, secret := fmt.Sprintf("soak-%d", n), fmt.Sprintf("cfs_soak_%d", n)
		if err := op.Grant(ctx, name, "farm", secret); err != nil {
			continue
		}
		s.mu.Lock()
		s.key = secret
		s.mu.Unlock()
		time.Sleep(changePause)
		for ctx.Err() == nil {
			if _, err := op.Do(ctx, "withdraw key "+name); err == nil {
				s.mu.Lock()
				s.withdrawn[secret] = time.Now()
				s.mu.Unlock()
				break
			}
		}
	}
}

// judge compares what callers saw with what ran.
func (s *ordersSeen) judge(d *deployment) []string {
	runs := d.runs("orders-1")
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.orders {
		switch at, gone := s.withdrawn[o.key]; {
		case runs[id] > 1:
			s.broken = append(s.broken, fmt.Sprintf("at most one run: %s ran %d times", id, runs[id]))
		case o.notRun && runs[id] > 0:
			s.broken = append(s.broken, fmt.Sprintf("not run is true: %s ran", id))
		case o.answered && runs[id] == 0:
			s.broken = append(s.broken, fmt.Sprintf("whole own answers: %s was answered and never ran", id))
		case *soakBounds && gone && o.sent.After(at.Add(inForce)) && runs[id] > 0:
			s.broken = append(s.broken, fmt.Sprintf("withdrawn keys: %s ran %v after its key was withdrawn", id, o.sent.Sub(at)))
		}
	}
	return s.broken
}

// soakFaults strike the processes of a deployment. The service that counts
// runs is spared.
var soakFaults = []struct {
	name  string
	apply func(d *deployment, r *rand.Rand)
}{
	{"kill", func(d *deployment, r *rand.Rand) { d.again(r, anyProcess(r), d.kill) }},
	{"stop", func(d *deployment, r *rand.Rand) { d.again(r, anyProcess(r), func(name string) { d.stop(name) }) }},
	{"freeze", func(d *deployment, r *rand.Rand) {
		name := anyProcess(r)
		d.signal(name, syscall.SIGSTOP)
		time.Sleep(time.Duration(r.Int64N(int64(longestFault))))
		d.signal(name, syscall.SIGCONT)
	}},
	{"kill an entry", func(d *deployment, r *rand.Rand) { d.again(r, fmt.Sprintf("entry-%d", 1+r.IntN(2)), d.kill) }},
	{"kill all control hosts", func(d *deployment, _ *rand.Rand) {
		for i := range 3 {
			d.kill(fmt.Sprintf("control-%d", i+1))
		}
		for i := range 3 {
			d.start(fmt.Sprintf("control-%d", i+1))
		}
	}},
}

func anyProcess(r *rand.Rand) string {
	names := []string{"control-1", "control-2", "control-3", "entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "engine-1", "engine-2", "engine-3"}
	return names[r.IntN(len(names))]
}

// again ends a process and starts it again.
func (d *deployment) again(r *rand.Rand, name string, end func(string)) {
	end(name)
	time.Sleep(time.Duration(r.Int64N(int64(longestFault / 4))))
	d.start(name)
}

// TestSoak runs a deployment under faults from a seed and checks what callers,
// a trainer and the platform see.
func TestSoak(t *testing.T) {
	o := demo.DefaultOptions()
	o.Upstreams = append([]demo.Upstream(nil), o.Upstreams...)
	// Orders are under way when processes end.
	o.Upstreams[3].Args = []string{"--delay=60ms"}
	d := deploy(t, o)
	r := rand.New(rand.NewPCG(*soakSeed, 1))
	seen := &ordersSeen{orders: make(map[string]sentOrder), withdrawn: make(map[string]time.Time), key: key}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var load sync.WaitGroup
	load.Go(func() { seen.change(ctx, d) })
	for i := range 3 {
		load.Go(func() { seen.call(ctx, d, rand.New(rand.NewPCG(*soakSeed, uint64(2+i))), i) })
	}
	training, stopTraining := context.WithTimeout(t.Context(), soakPatience)
	defer stopTraining()
	tr := &demo.Trainer{
		URLs: d.layout.EntryURLs, Key: "cfs_trainer", Group: "drafts", Steps: 2 + *soakSeconds/2, Samples: samplesOfStep, MaxTokens: 12, Publish: true,
	}
	type trainingEnd struct {
		result demo.TrainerResult
		err    error
	}
	trained := make(chan trainingEnd, 1)
	go func() {
		result, err := tr.Run(training)
		trained <- trainingEnd{result, err}
	}()
	began := time.Now()
	for time.Since(began) < time.Duration(*soakSeconds)*time.Second {
		f := soakFaults[r.IntN(len(soakFaults))]
		t.Logf("%5.1f s  %s", time.Since(began).Seconds(), f.name)
		f.apply(d, r)
		time.Sleep(time.Duration(r.Int64N(int64(longestFault / 2))))
	}
	end := <-trained
	cancel()
	load.Wait()
	result := end.result
	t.Logf("seed %d: %d orders, %d keys withdrawn, trainer %+v", *soakSeed, len(seen.orders), len(seen.withdrawn), result)
	must(t, end.err)
	if result.Repeated > 0 || result.Samples < result.Steps*samplesOfStep {
		t.Errorf("exactly once: %+v", result)
	}
	if p := d.platform(); p.Changed > 0 || p.OldTerm > 0 {
		t.Errorf("windows and holders: %d changed windows, %d calls of an old term", p.Changed, p.OldTerm)
	}
	if len(seen.orders) == 0 || len(seen.withdrawn) == 0 {
		t.Error("the load brought nothing about")
	}
	if broken := seen.judge(d); len(broken) > 0 {
		t.Errorf("broken rules:\n%s", strings.Join(broken, "\n"))
	}
}
