package platform

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// fakePlatform counts calls and records the time limit of the last one.
type fakePlatform struct {
	calls     int
	timeLimit time.Duration
}

func (p *fakePlatform) SendOrder(ctx context.Context, _ rollout.Order) error { return p.call(ctx) }

func (p *fakePlatform) SendUsage(ctx context.Context, _ rollout.UsageReport) error {
	return p.call(ctx)
}

func (p *fakePlatform) call(ctx context.Context) error {
	p.calls++
	deadline, _ := ctx.Deadline()
	p.timeLimit = time.Until(deadline)
	return nil
}

// TestLeasedRejectsCallThatMayOutlastLease guards against a leader that was
// paused between the commit and the call, and then sends an order although its
// lease has expired or expires before the time-out of the call.
func TestLeasedRejectsCallThatMayOutlastLease(t *testing.T) {
	for _, tc := range []struct {
		name string
		left rollout.Millis
		sent bool
	}{
		{"lease has expired", -1, false},
		{"lease ends before the call times out", TimeoutMS - 1, false},
		{"lease lasts until the call times out", TimeoutMS, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clk := clock.NewManual(10_000)
			next := &fakePlatform{}
			p := NewLeased(next, clk, func() rollout.Millis { return 10_000 + tc.left })
			orderErr := p.SendOrder(t.Context(), rollout.Order{})
			usageErr := p.SendUsage(t.Context(), rollout.UsageReport{})
			assertSent(t, next, errors.Join(orderErr, usageErr), tc.sent)
		})
	}
}

func assertSent(t *testing.T, p *fakePlatform, err error, sent bool) {
	t.Helper()
	want := 0
	if sent {
		want = 2
	}
	if p.calls != want || (err == nil) != sent {
		t.Fatalf("%d calls and error %v, want %d calls", p.calls, err, want)
	}
	if sent && p.timeLimit > TimeoutMS*time.Millisecond {
		t.Fatalf("time limit of a call is %v", p.timeLimit)
	}
}
