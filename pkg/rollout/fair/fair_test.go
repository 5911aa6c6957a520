package fair

import (
	"errors"
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

var config = Config{MaxQueued: 1_000, MinLimit: 1, MaxLimit: 64}

func push(t *testing.T, q *Queue, r Request) bool {
	t.Helper()
	if r.DeadlineMS == 0 {
		r.DeadlineMS = 1 << 40
	}
	if r.Cost == 0 {
		r.Cost = 10
	}
	started, err := q.Push(0, r)
	if err != nil {
		t.Fatal(err)
	}
	return started
}

// completeRequests completes up to n requests one after the other and returns
// the total cost served to each account.
func completeRequests(q *Queue, running []uint64, n int) map[string]float64 {
	served := make(map[string]float64)
	for i := 0; i < n && len(running) > 0; i++ {
		id := running[0]
		r := q.running[id]
		served[r.Account] += r.Cost
		running = running[1:]
		for _, next := range q.Finish(rollout.Millis(i), id, r.Cost) {
			running = append(running, next.ID)
		}
	}
	return served
}

// TestSharesFollowWeights checks that accounts are served in proportion to
// their weights, however many requests they queue and whatever each costs.
func TestSharesFollowWeights(t *testing.T) {
	q := New(config, 1)
	var running []uint64
	id := uint64(0)
	for _, a := range []struct {
		name   string
		weight int
		count  int
		cost   float64
	}{{"greedy", 1, 900, 10}, {"small", 1, 200, 10}, {"heavy", 2, 300, 10}, {"long", 1, 60, 40}} {
		for range a.count {
			id++
			if push(t, q, Request{ID: id, Account: a.name, Weight: a.weight, Cost: a.cost}) {
				running = append(running, id)
			}
		}
	}
	served := completeRequests(q, running, 400)
	unit := served["small"]
	for name, want := range map[string]float64{"greedy": 1, "small": 1, "heavy": 2, "long": 1} {
		if got := served[name] / unit; got < 0.95*want || got > 1.05*want {
			t.Errorf("%s got %.2f times the share of small, want %.0f (served %v)", name, got, want, served)
		}
	}
}

// TestIdleAccountAccumulatesNoCredit checks that an account whose first
// requests come late does not displace the others to make up for its idle time.
func TestIdleAccountAccumulatesNoCredit(t *testing.T) {
	q := New(config, 1)
	var running []uint64
	for id := range uint64(200) {
		if push(t, q, Request{ID: id + 1, Account: "busy", Weight: 1}) {
			running = append(running, id+1)
		}
	}
	first := completeRequests(q, running, 100)
	if first["busy"] != 1_000 {
		t.Fatalf("served %v, want 1000 for busy", first)
	}
	for id := range uint64(100) {
		push(t, q, Request{ID: 1_000 + id, Account: "late", Weight: 1})
	}
	served := completeRequests(q, keys(q.running), 40)
	if served["late"] > 1.2*served["busy"] {
		t.Fatalf("served %v, want at most 1.2 times the cost of busy for late", served)
	}
}

func keys(m map[uint64]Request) []uint64 {
	var ids []uint64
	for id := range m {
		ids = append(ids, id)
	}
	return ids
}

func TestHigherPriorityGoesFirst(t *testing.T) {
	q := New(config, 1)
	push(t, q, Request{ID: 1, Account: "a", Weight: 1})
	push(t, q, Request{ID: 2, Account: "a", Weight: 1})
	push(t, q, Request{ID: 3, Account: "b", Weight: 1, Priority: 1})
	if next := q.Finish(0, 1, 10); len(next) != 1 || next[0].ID != 3 {
		t.Fatalf("started %+v, want request 3", next)
	}
}

func TestRejectionCarriesRetryDelay(t *testing.T) {
	q := New(config, 1)
	for id := range uint64(21) {
		push(t, q, Request{ID: id, Account: "a", Weight: 1, MaxQueued: 20})
	}
	for i := range 3 {
		q.Finish(rollout.Millis(100*i), uint64(i), 10)
	}
	for _, tc := range []struct {
		name    string
		request Request
	}{
		{"queue of the account is full", Request{ID: 90, Account: "a", Weight: 1, MaxQueued: 5, DeadlineMS: 1 << 40}},
		{"wait would exceed the deadline", Request{ID: 91, Account: "b", Weight: 1, DeadlineMS: 1_000}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := q.Push(300, tc.request)
			var e *rollout.Error
			if !errors.As(err, &e) || e.Kind != rollout.KindOverloaded || !e.NotRun || e.RetryAfter < 1_000 {
				t.Fatalf("error %v, want an overload that was not run, with a retry delay of at least 1 s", err)
			}
		})
	}
}

func TestExpireAndCancelRemoveWaitingRequests(t *testing.T) {
	q := New(config, 1)
	push(t, q, Request{ID: 1, Account: "a", Weight: 1})
	push(t, q, Request{ID: 2, Account: "a", Weight: 1, DeadlineMS: 50})
	push(t, q, Request{ID: 3, Account: "a", Weight: 1})
	if got := q.Expire(50); len(got) != 1 || got[0].ID != 2 {
		t.Fatalf("expired %+v, want request 2", got)
	}
	if !q.Cancel(3) || q.Cancel(3) || q.Waiting() != 0 {
		t.Fatalf("request 3 not cancelled exactly once, or %d requests still waiting", q.Waiting())
	}
}

func TestLimitAdaptsToFullUpstreams(t *testing.T) {
	q := New(config, 20)
	for id := range uint64(20) {
		push(t, q, Request{ID: id, Account: fmt.Sprint(id % 3), Weight: 1})
	}
	q.LowerLimit()
	if q.Limit() != 19 {
		t.Fatalf("limit %d after a full upstream, want 19", q.Limit())
	}
	for range 40 {
		q.RaiseLimit()
	}
	if q.Limit() < 20 {
		t.Fatalf("limit %d after 40 requests without a full upstream, want at least 20", q.Limit())
	}
}

func BenchmarkPushFinish(b *testing.B) {
	q := New(config, 32)
	b.ReportAllocs()
	for i := range uint64(b.N) {
		_, _ = q.Push(rollout.Millis(i), Request{ID: i, Account: "a", Weight: 1, Cost: 1, DeadlineMS: 1 << 40})
		q.Finish(rollout.Millis(i), i, 1)
	}
}
