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
	soakSeed        = flag.Uint64("soak.seed", 1, "seed of the random faults and requests")
	soakSeconds     = flag.Int("soak.seconds", 6, "duration of fault injection in seconds")
	soakCheckTiming = flag.Bool("soak.bounds", false, "also check time limits; unreliable while the host is busy with other work")
)

const (
	// soakTimeout ends a soak test that hangs. No check depends on it.
	soakTimeout      = 2 * time.Minute
	maxFaultDuration = 2 * time.Second
	// meanOrderInterval is the mean of the random pause between two orders of a
	// caller.
	meanOrderInterval = 20 * time.Millisecond
	// keyLifetime is the time between granting and withdrawing a key.
	keyLifetime        = 700 * time.Millisecond
	samplesPerSoakStep = 12
)

// sentOrder is an order that a caller has sent, repeatedly until a response tells
// its outcome or that it has not run.
type sentOrder struct {
	key      string
	sentAt   time.Time
	answered bool
	notRun   bool
}

// soakRecorder generates the load of a soak test and records the responses that
// the callers receive.
type soakRecorder struct {
	mu          sync.Mutex
	orders      map[string]sentOrder
	withdrawnAt map[string]time.Time
	key         string
	violations  []string
}

func (s *soakRecorder) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// sendOrders sends orders until the context ends, some of them with a withdrawn
// key.
func (s *soakRecorder) sendOrders(ctx context.Context, d *deployment, r *rand.Rand, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("order-%d-%d", caller, n)
		s.mu.Lock()
		secret := s.key
		for old := range s.withdrawnAt {
			if r.IntN(4) == 0 {
				secret = old
				break
			}
		}
		s.mu.Unlock()
		s.sendOrder(ctx, d, r, id, secret)
		time.Sleep(time.Duration(r.Int64N(int64(2 * meanOrderInterval))))
	}
}

// sendOrder sends an order and, while its outcome is unknown, sends it again to the
// other entry.
func (s *soakRecorder) sendOrder(ctx context.Context, d *deployment, r *rand.Rand, id, secret string) {
	o := sentOrder{key: secret, sentAt: time.Now()}
	start := r.IntN(2)
	for attempt := start; ctx.Err() == nil; attempt++ {
		a, err := d.post(attempt%2, "/r/orders/tags", secret, id, `{"Tags":1}`)
		if err != nil {
			continue
		}
		var answer struct{ Run int }
		switch {
		case a.status == 200:
			o.answered = true
			if err := json.Unmarshal([]byte(a.body), &answer); err != nil || answer.Run != 1 {
				s.addViolation("response is not that of the first run: order %s got %.80q", id, a.body)
			}
		case a.notRun():
			// The caller gives the order up. An earlier attempt may have run it.
			o.notRun = attempt == start
		case a.status >= 500:
			continue
		}
		break
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders[id] = o
}

// rotateKeys grants keys, one after the other, and withdraws each after its
// lifetime, until the context ends.
func (s *soakRecorder) rotateKeys(ctx context.Context, d *deployment) {
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
		time.Sleep(keyLifetime)
		for ctx.Err() == nil {
			if _, err := op.Do(ctx, "withdraw key "+name); err == nil {
				s.mu.Lock()
				s.withdrawnAt[secret] = time.Now()
				s.mu.Unlock()
				break
			}
		}
	}
}

// checkInvariants compares the responses to the callers with the runs that the
// service counted, and returns all violations.
func (s *soakRecorder) checkInvariants(d *deployment) []string {
	runs := d.runCounts("orders-1")
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.orders {
		switch withdrawnAt, withdrawn := s.withdrawnAt[o.key]; {
		case runs[id] > 1:
			s.violations = append(s.violations, fmt.Sprintf("more than one run: order %s ran %d times", id, runs[id]))
		case o.notRun && runs[id] > 0:
			s.violations = append(s.violations, fmt.Sprintf("false NotRun: order %s ran", id))
		case o.answered && runs[id] == 0:
			s.violations = append(s.violations, fmt.Sprintf("response without a run: order %s was answered but never ran", id))
		case *soakCheckTiming && withdrawn && o.sentAt.After(withdrawnAt.Add(withdrawalLimit)) && runs[id] > 0:
			s.violations = append(s.violations, fmt.Sprintf("withdrawn key accepted: order %s was sent %v after its key was withdrawn and ran", id, o.sentAt.Sub(withdrawnAt)))
		}
	}
	return s.violations
}

// soakFaults are the faults that a soak test injects. The service that counts runs
// is excluded, because its counts would be lost.
var soakFaults = []struct {
	name  string
	apply func(d *deployment, r *rand.Rand)
}{
	{"kill", func(d *deployment, r *rand.Rand) { d.restart(r, randomProcess(r), d.kill) }},
	{"stop", func(d *deployment, r *rand.Rand) { d.restart(r, randomProcess(r), func(name string) { d.stop(name) }) }},
	{"freeze", func(d *deployment, r *rand.Rand) {
		name := randomProcess(r)
		d.signal(name, syscall.SIGSTOP)
		time.Sleep(time.Duration(r.Int64N(int64(maxFaultDuration))))
		d.signal(name, syscall.SIGCONT)
	}},
	{"kill an entry", func(d *deployment, r *rand.Rand) { d.restart(r, fmt.Sprintf("entry-%d", 1+r.IntN(2)), d.kill) }},
	{"kill all control hosts", func(d *deployment, _ *rand.Rand) {
		for i := range 3 {
			d.kill(fmt.Sprintf("control-%d", i+1))
		}
		for i := range 3 {
			d.start(fmt.Sprintf("control-%d", i+1))
		}
	}},
}

func randomProcess(r *rand.Rand) string {
	names := []string{"control-1", "control-2", "control-3", "entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "engine-1", "engine-2", "engine-3"}
	return names[r.IntN(len(names))]
}

// restart ends a process and starts it again after a random pause.
func (d *deployment) restart(r *rand.Rand, name string, end func(string)) {
	end(name)
	time.Sleep(time.Duration(r.Int64N(int64(maxFaultDuration / 4))))
	d.start(name)
}

// TestSoak injects random faults into a deployment under load and checks what
// callers, a trainer and the platform observe. The faults depend on a seed.
func TestSoak(t *testing.T) {
	o := demo.DefaultOptions()
	o.Upstreams = append([]demo.Upstream(nil), o.Upstreams...)
	// The delay makes it likely that orders are in flight when a process ends.
	o.Upstreams[3].Args = []string{"--delay=60ms"}
	d := deploy(t, o)
	r := rand.New(rand.NewPCG(*soakSeed, 1))
	recorder := &soakRecorder{orders: make(map[string]sentOrder), withdrawnAt: make(map[string]time.Time), key: key}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var load sync.WaitGroup
	load.Go(func() { recorder.rotateKeys(ctx, d) })
	for i := range 3 {
		load.Go(func() { recorder.sendOrders(ctx, d, rand.New(rand.NewPCG(*soakSeed, uint64(2+i))), i) })
	}
	trainingCtx, stopTraining := context.WithTimeout(t.Context(), soakTimeout)
	defer stopTraining()
	tr := &demo.Trainer{
		URLs: d.layout.EntryURLs, Key: "cfs_trainer", Group: "drafts", Steps: 2 + *soakSeconds/2, Samples: samplesPerSoakStep, MaxTokens: 12, Publish: true,
	}
	type trainingResult struct {
		result demo.TrainerResult
		err    error
	}
	trainingDone := make(chan trainingResult, 1)
	go func() {
		result, err := tr.Run(trainingCtx)
		trainingDone <- trainingResult{result, err}
	}()
	start := time.Now()
	for time.Since(start) < time.Duration(*soakSeconds)*time.Second {
		f := soakFaults[r.IntN(len(soakFaults))]
		t.Logf("%5.1f s  %s", time.Since(start).Seconds(), f.name)
		f.apply(d, r)
		time.Sleep(time.Duration(r.Int64N(int64(maxFaultDuration / 2))))
	}
	end := <-trainingDone
	cancel()
	load.Wait()
	result := end.result
	t.Logf("seed %d: %d orders, %d keys withdrawn, trainer %+v", *soakSeed, len(recorder.orders), len(recorder.withdrawnAt), result)
	must(t, end.err)
	if result.Repeated > 0 || result.Samples < result.Steps*samplesPerSoakStep {
		t.Errorf("samples not received exactly once: %+v", result)
	}
	if p := d.platform(); p.Changed > 0 || p.OldTerm > 0 {
		t.Errorf("platform received %d changed usage windows and %d orders from an earlier term", p.Changed, p.OldTerm)
	}
	if len(recorder.orders) == 0 || len(recorder.withdrawnAt) == 0 {
		t.Errorf("load too small: %d orders sent, %d keys withdrawn", len(recorder.orders), len(recorder.withdrawnAt))
	}
	if violations := recorder.checkInvariants(d); len(violations) > 0 {
		t.Errorf("invariant violations:\n%s", strings.Join(violations, "\n"))
	}
}
