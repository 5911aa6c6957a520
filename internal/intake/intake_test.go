package intake

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	mib = 1 << 20
	// testTimeout ends a test that hangs. No result depends on its value.
	testTimeout = 30 * time.Second
)

// newTestIntake returns an intake of which large requests may hold 3 MiB.
func newTestIntake() *Intake {
	return New(Options{MemoryBytes: 10 * mib, Registry: prometheus.NewRegistry()})
}

func assertOverloaded(t *testing.T, err error) {
	t.Helper()
	if e := rollout.AsError(err); err == nil || e.Kind != rollout.KindOverloaded || !e.NotRun {
		t.Fatalf("error %v, want Overloaded and not run", err)
	}
}

func TestLeaseWaitsForMemory(t *testing.T) {
	i := newTestIntake()
	first, second := i.Open(func() {}), i.Open(func() {})
	if err := first.Reserve(t.Context(), 2*mib); err != nil {
		t.Fatal(err)
	}
	first.Settle()
	granted := make(chan error, 1)
	go func() { granted <- second.Reserve(t.Context(), 2*mib) }()
	for i.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	first.Close()
	select {
	case err := <-granted:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the memory was not granted")
	}
	second.Close()
	if s := i.Stats(); s.Held != 0 || s.Holders != 0 || s.Waiting != 0 {
		t.Fatalf("stats %+v after the end of all leases", s)
	}
}

func TestLeaseThatWaitsTooLongIsRefused(t *testing.T) {
	i := newTestIntake()
	held, late := i.Open(func() {}), i.Open(func() {})
	if err := held.Reserve(t.Context(), 3*mib); err != nil {
		t.Fatal(err)
	}
	held.Settle()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := late.Reserve(ctx, mib)
	assertOverloaded(t, err)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v does not name the deadline", err)
	}
	if s := i.Stats(); s.Waiting != 0 {
		t.Fatalf("%d leases wait, want none", s.Waiting)
	}
	if n := testutil.ToFloat64(i.metrics.refusals.WithLabelValues(string(ReasonMemory))); n != 1 {
		t.Fatalf("%v refusals are counted, want 1", n)
	}
}

func TestStalledLeaseIsEvicted(t *testing.T) {
	i := newTestIntake()
	evicted := make(chan struct{})
	stalled := i.Open(func() { close(evicted) })
	if err := stalled.Reserve(t.Context(), 3*mib); err != nil {
		t.Fatal(err)
	}
	go func() {
		<-evicted
		stalled.Close()
	}()
	next := i.Open(func() {})
	if err := next.Reserve(t.Context(), mib); err != nil {
		t.Fatal(err)
	}
	if !stalled.Evicted() || next.Evicted() {
		t.Fatal("the wrong lease was evicted")
	}
}

// A lease that is evicted while it waits for more learns of it.
func TestLeaseThatWaitsAndIsEvictedIsRefused(t *testing.T) {
	i := newTestIntake()
	var leases []*Lease
	var wait sync.WaitGroup
	for range 2 {
		l := i.Open(func() {})
		if err := l.Reserve(t.Context(), 3*mib/2); err != nil {
			t.Fatal(err)
		}
		leases = append(leases, l)
	}
	refused := make(chan error, len(leases))
	for _, l := range leases {
		wait.Go(func() {
			err := l.Reserve(t.Context(), 2*mib)
			if err != nil {
				refused <- err
			}
			l.Close()
		})
	}
	wait.Wait()
	if len(refused) != 1 {
		t.Fatalf("%d of 2 leases that wait for each other were refused, want 1", len(refused))
	}
	assertOverloaded(t, <-refused)
}

func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	var r reports
	for _, step := range []struct {
		at   rollout.Millis
		want int
	}{{5_000, 1}, {5_001, 0}, {5_500, 0}, {6_000, 3}, {7_500, 1}} {
		if got := r.add(step.at, ReasonHead); got != step.want {
			t.Fatalf("at %d ms %d refusals are logged, want %d", step.at, got, step.want)
		}
	}
	if got := r.add(7_501, ReasonMemory); got != 1 {
		t.Fatalf("%d refusals of another reason are logged, want 1", got)
	}
}

func TestConnectionsFollowTheLimitsOfTheHost(t *testing.T) {
	for name, c := range map[string]struct {
		opts Options
		want int
	}{
		"few descriptors": {Options{MemoryBytes: 160 * mib, Descriptors: 1_000}, 500},
		"little memory":   {Options{MemoryBytes: 160 * mib, Descriptors: 100_000}, 1_137},
		"none named":      {Options{}, 1_024},
	} {
		t.Run(name, func(t *testing.T) {
			if got := New(c.opts).MaxConnections(); got != c.want {
				t.Fatalf("%d connections, want %d", got, c.want)
			}
		})
	}
}
