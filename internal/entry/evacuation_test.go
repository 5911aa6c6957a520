package entry

import (
	"context"
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// newTestEntry returns an entry with an upstream in each of the failure domains a and
// b, and its log.
func newTestEntry(t *testing.T, evacuated ...string) (*entry, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	cfg := settings.Entry{Common: settings.Common{Name: "e", FailureDomain: "a", Control: []string{"127.0.0.1:1"}}, MaxInFlight: 8, MaxQueued: 8}
	e := newEntry(cfg, clock.NewManual(1_000), zap.New(core))
	t.Cleanup(func() { _ = e.dialer.Close() })
	e.evacuate(evacuated...)
	return e, logs
}

// evacuate applies a configuration that evacuates exactly the given failure domains.
func (e *entry) evacuate(domains ...string) {
	c := catalog.New()
	for _, domain := range []string{"a", "b"} {
		c.Put(1, catalog.KindUpstream, domain+"-1", catalog.Upstream{ID: domain + "-1", Pool: "p", FailureDomain: domain, Slots: 1, Incarnation: "1"})
	}
	for _, domain := range domains {
		c.Evacuate(2, catalog.Evacuation{FailureDomain: domain})
	}
	e.UpdateCatalog(c)
}

func newTestExchange(t *testing.T) *exchange {
	t.Helper()
	x := &exchange{id: "x", pool: "p", cost: 1, repeatable: true, deadline: 60_000}
	x.ctx, x.cancel = context.WithCancelCause(t.Context())
	timer := time.AfterFunc(5*time.Second, func() { x.cancel(context.DeadlineExceeded) })
	t.Cleanup(func() { timer.Stop(); x.cancel(nil) })
	return x
}

// assertEvacuatedError checks that a request was refused, not run, with a time to
// retry.
func assertEvacuatedError(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		t.Fatal("no error for a request to an evacuated pool")
	}
	if r := rollout.AsError(err); r.Kind != rollout.KindNoUpstream || !r.NotRun || r.RetryDelay() == 0 {
		t.Fatalf("error %v, not run %v, retry after %d ms", err, r.NotRun, r.RetryDelay())
	}
}

func TestRoutePassesOverEvacuatedUpstreams(t *testing.T) {
	e, logs := newTestEntry(t, "a")
	for range 20 {
		choice, err := e.route(newTestExchange(t), nil)
		if err != nil || choice.Upstream.ID != "b-1" {
			t.Fatalf("upstream %s, error %v, want b-1", choice.Upstream.ID, err)
		}
	}
	fields := logs.FilterMessage("Routed").All()[0].ContextMap()
	if !reflect.DeepEqual(fields["Evacuated"], []any{"a"}) {
		t.Fatalf("fields of Routed are %v, want the evacuated domain a", fields)
	}
}

func TestRequestsOfEvacuatedPoolAreRefusedAtOnce(t *testing.T) {
	t.Run("on arrival", func(t *testing.T) {
		e, logs := newTestEntry(t, "a", "b")
		assertEvacuatedError(t, e.admit(newTestExchange(t)))
		fields := logs.FilterMessage("RouteFailed").All()[0].ContextMap()
		if !reflect.DeepEqual(fields["Evacuated"], []any{"a", "b"}) {
			t.Fatalf("fields of RouteFailed are %v, want the evacuated domains a, b", fields)
		}
	})
	t.Run("while waiting for admission", func(t *testing.T) {
		e, _ := newTestEntry(t)
		refused := make(chan error)
		for len(e.admission.Queued()) == 0 {
			go func() { refused <- e.admit(newTestExchange(t)) }()
			select {
			case err := <-refused:
				if err != nil {
					t.Fatal(err)
				}
			case <-time.After(100 * time.Millisecond):
			}
		}
		e.evacuate("a", "b")
		select {
		case err := <-refused:
			assertEvacuatedError(t, err)
		case <-time.After(5 * time.Second):
			t.Fatal("request still waits after the evacuation")
		}
	})
	t.Run("after upstreams were full", func(t *testing.T) {
		e, _ := newTestEntry(t, "a", "b")
		x := newTestExchange(t)
		x.upstreamsFull = true
		assertEvacuatedError(t, e.forward(x))
		if x.ctx.Err() != nil {
			t.Fatal("the request was tried again until its deadline")
		}
	})
}

// TestErrorAfterBegunAttemptIsNotMarkedNotRun guards against a caller that is told that
// a request did not run although an earlier attempt of it had begun.
func TestErrorAfterBegunAttemptIsNotMarkedNotRun(t *testing.T) {
	for _, begun := range []bool{false, true} {
		if r := rollout.AsError(withBegun(evacuatedError("p"), begun)); r.NotRun == begun {
			t.Fatalf("NotRun is %v after an attempt that began: %v", r.NotRun, begun)
		}
	}
}
