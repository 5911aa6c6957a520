package room_test

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/room"
)

const (
	simUpstreams = 10
	// fullUse is the part of the capacity that counts as full use.
	fullUse = 0.9
)

// capacityOf returns the requests per second that upstreams can serve.
func capacityOf(upstreams, slots int) float64 {
	return float64(upstreams*slots) * 1_000 / float64(serviceMS)
}

// Guards against a window that stays too small: an overload by 3 times, the loss of half
// of the upstreams from 6 to 10 s, and their return, each with full use after 1 s.
func TestOverloadedPoolIsInFullUse(t *testing.T) {
	for _, entries := range []int{1, 8, 30} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			const endMS, slots = 14_000, 6
			s := newSim(1, entries, simUpstreams, slots, true)
			capacity := capacityOf(simUpstreams, slots)
			for a := range 4 {
				s.load(fmt.Sprint(a), 3*capacity/4, endMS, s.anyEntry()...)
			}
			setLost := func(lost bool) {
				for _, u := range s.upstreams[:simUpstreams/2] {
					u.lost = lost
				}
			}
			s.after(6_000, func() { setLost(true) })
			s.after(10_000, func() { setLost(false) })
			s.runUntil(endMS)
			for _, x := range []struct {
				name         string
				fromMS, toMS rollout.Millis
				want         float64
			}{
				{"overload", 1_000, 6_000, capacity},
				{"half lost", 7_000, 10_000, capacity / 2},
				{"returned", 11_000, 12_000, capacity},
			} {
				if got := s.servedBetween(x.fromMS, x.toMS); got < fullUse*x.want {
					t.Errorf("%s: %.0f requests served per second, want %v of %.0f at least", x.name, got, fullUse, x.want)
				}
			}
		})
	}
}

// comeTrue returns the part of the refused callers that got in when they returned at the
// time they were told, under an overload by 3 times.
func comeTrue(entries int, rooms bool) float64 {
	const endMS, slots = 20_000, 6
	s := newSim(1, entries, simUpstreams, slots, rooms)
	s.fromMS = 2_000
	for a := range 4 {
		s.load(fmt.Sprint(a), 3*capacityOf(simUpstreams, slots)/4, endMS, s.anyEntry()...)
	}
	s.runUntil(endMS + callerMS)
	returned, served := 0, 0
	for _, o := range s.outcomes {
		returned += o.returned
		served += o.returnedServed
	}
	return float64(served) / float64(returned)
}

// Guards against Retry-After values that don't come true: with a fixed one of 0.2 s, nearly
// all callers that return under an overload by 3 times are refused again.
func TestRetryAfterComesTrue(t *testing.T) {
	const want = 0.8
	for _, entries := range []int{1, 8, 30} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			got, before := comeTrue(entries, true), comeTrue(entries, false)
			t.Logf("%.3f of the returning callers get in, %.3f with a fixed time", got, before)
			if got < want {
				t.Errorf("%.3f of the returning callers get in, want %v at least; with a fixed time %.3f", got, want, before)
			}
		})
	}
}

// smallServed runs ten small accounts beside one that wants ten times as much as each of
// them, at a pool that has 0.6 of what is wanted. It returns the smallest and the mean part
// that the small accounts got of their demand.
func smallServed(entries, slots int, rooms, list, oneEntry bool) (worst, mean float64) {
	const accounts, endMS = 10, 12_000
	s := newSim(1, entries, simUpstreams, slots, rooms)
	s.fromMS = 3_000
	rate := 0.6 * capacityOf(simUpstreams, slots) / accounts / 0.72
	for a := range accounts {
		at := s.anyEntry()
		if oneEntry {
			at = []int{a % entries}
		}
		s.load(fmt.Sprint(a), rate, endMS, at...)
		s.load("large", rate, endMS, s.anyEntry()...)
	}
	if list {
		s.report(endMS)
	}
	s.runUntil(endMS + callerMS)
	worst = 1
	for a := range accounts {
		o := s.outcome(fmt.Sprint(a))
		part := float64(o.served) / float64(o.wanted)
		worst, mean = min(worst, part), mean+part/accounts
	}
	return worst, mean
}

// Guards against small accounts that a large one crowds out (one that wants ten times as
// much, at a pool that has 0.6 of the demand).
func TestSmallAccountsGetTheirShareBesideLargeOne(t *testing.T) {
	const want = 0.9
	for entries, slots := range map[int]int{8: 4, 30: 6, 100: 12} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			before, _ := smallServed(entries, slots, false, false, false)
			worst, mean := smallServed(entries, slots, true, true, false)
			t.Logf("small accounts get %.3f of their demand, the worst %.3f; without rooms the worst gets %.3f", mean, worst, before)
			if worst < want {
				t.Errorf("worst small account gets %.3f of its demand, want %v", worst, want)
			}
			alone, aloneMean := smallServed(entries, slots, true, false, true)
			listed, listedMean := smallServed(entries, slots, true, true, true)
			t.Logf("each at one entry: %.3f, worst %.3f; without the list %.3f, worst %.3f", listedMean, listed, aloneMean, alone)
			if listedMean <= aloneMean {
				t.Errorf("small accounts at one entry each get %.3f of their demand with the list of large accounts, want more than %.3f without", listedMean, aloneMean)
			}
		})
	}
}

// Guards against shares that stay lent: an account that had half of an overloaded pool
// falls silent from 6 to 9 s. The other one has all of it, and half again within 1 s.
func TestSilentAccountLendsItsShare(t *testing.T) {
	for _, entries := range []int{1, 8, 30} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			const slots, endMS = 6, 12_000
			s := newSim(1, entries, simUpstreams, slots, true)
			capacity := capacityOf(simUpstreams, slots)
			for range 3 {
				s.load("other", capacity/2, endMS, s.anyEntry()...)
				s.load("silent", capacity/2, 6_000, s.anyEntry()...)
			}
			s.after(9_000, func() {
				for range 3 {
					s.load("silent", capacity/2, endMS, s.anyEntry()...)
				}
			})
			s.report(endMS)
			s.runUntil(endMS)
			// Callers that were refused before return within callerMS.
			if got := s.servedBetween(6_100, 9_000); got < fullUse*capacity {
				t.Errorf("%.0f requests per second served while an account is silent, want %v of %.0f", got, fullUse, capacity)
			}
			if got := s.servedBetween(10_000, 12_000, "silent"); got < fullUse*capacity/2 {
				t.Errorf("account gets %.0f requests per second from 1 s after its return on, want %v of %.0f", got, fullUse, capacity/2)
			}
		})
	}
}

// fullRoom returns a room with a window of 1 whose request runs.
func fullRoom(t *testing.T) *room.Room {
	t.Helper()
	r := room.New("p")
	if w, err := r.Enter(0, room.Request{}); w != nil || err != nil {
		t.Fatalf("calm room does not admit a request: %v, %v", w, err)
	}
	r.Reject(1)
	if r.Window() != 1 {
		t.Fatalf("window %v after a rejection with one request in flight, want 1", r.Window())
	}
	return r
}

// assertWaits checks that a request waits, and returns its place.
func assertWaits(t *testing.T, r *room.Room, now rollout.Millis, req room.Request) *room.Waiter {
	t.Helper()
	req.PatienceMS = max(req.PatienceMS, 10_000)
	w, err := r.Enter(now, req)
	if w == nil || err != nil {
		t.Fatalf("request %+v is not queued: %v", req, err)
	}
	return w
}

// assertAdmitted checks which waiting request is admitted when the one that runs ends.
func assertAdmitted(t *testing.T, r *room.Room, now rollout.Millis, want *room.Waiter) {
	t.Helper()
	r.Finish(now, 0)
	select {
	case <-want.Done():
	default:
		t.Fatal("another request was admitted, or none")
	}
}

func TestOrderOfWaitingRequests(t *testing.T) {
	r := fullRoom(t)
	low := assertWaits(t, r, 1, room.Request{Account: "c", Priority: 1})
	large := assertWaits(t, r, 1, room.Request{Account: "large"})
	first, second := assertWaits(t, r, 1, room.Request{Account: "a"}), assertWaits(t, r, 1, room.Request{Account: "a"})
	other := assertWaits(t, r, 1, room.Request{Account: "b"})
	r.SetLarge([]string{"large"})
	for i, w := range []*room.Waiter{first, other, second, low, large} {
		assertAdmitted(t, r, rollout.Millis(2+i), w)
	}
}

// Guards against places in the queue that abandoned requests keep.
func TestAbandonedRequestLeavesAtOnce(t *testing.T) {
	r := fullRoom(t)
	abandoned, next := assertWaits(t, r, 1, room.Request{Account: "a"}), assertWaits(t, r, 1, room.Request{Account: "a"})
	if !r.Leave(2, abandoned) || r.Waiting() != 1 {
		t.Fatalf("%d requests wait after one of two left, want 1", r.Waiting())
	}
	assertAdmitted(t, r, 3, next)
	if r.Leave(4, next) || r.InFlight() != 1 {
		t.Fatalf("an admitted request left the queue, or %d in flight, want 1", r.InFlight())
	}
}

// Guards against requests that wait in vain: one whose predicted wait exceeds its patience
// is refused at once with a time, and each refusal gets a later one.
func TestRequestWithoutPatienceIsRefusedWithLaterTimes(t *testing.T) {
	r := fullRoom(t)
	last := rollout.Millis(0)
	for i := range 5 {
		_, err := r.Enter(1, room.Request{Account: "a", Key: fmt.Sprint(i), PatienceMS: 10})
		e := rollout.AsError(err)
		if err == nil || e.Kind != rollout.KindOverloaded || !e.NotRun || e.RetryAfter <= last {
			t.Fatalf("refusal %d: %v, retry after %d ms; want Overloaded, not run, after more than %d ms", i, err, e.RetryAfter, last)
		}
		last = e.RetryAfter
	}
}

// Guards against a pool that stays limited when it is calm, and allocations while it is.
func TestCalmPoolIsUnlimited(t *testing.T) {
	r := fullRoom(t)
	r.Finish(2, 1)
	if _, err := r.Enter(4_000, room.Request{}); err != nil || r.Limited() {
		t.Fatalf("room is limited to %v 4 s after a rejection (%v)", r.Window(), err)
	}
	if n := testing.AllocsPerRun(100, func() {
		_, _ = r.Enter(5_000, room.Request{Account: "a"})
		r.Finish(5_000, 1)
	}); n > 0 {
		t.Fatalf("%v allocations for a request to a calm pool, want 0", n)
	}
}
