package origin_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
)

func key(attempt string) origin.Key { return origin.Key{Account: "farm", Attempt: attempt} }

func assertFound(t *testing.T, l *origin.Log, now rollout.Millis, k origin.Key, want bool) {
	t.Helper()
	if o, known := l.Find(now, k); known != want || (known && o.Software != "v1") {
		t.Fatalf("attempt %s of account %s at %d ms: %+v, %v, want known %v", k.Attempt, k.Account, now, o, known, want)
	}
}

func TestRecordsAreFoundUntilTheyAreOld(t *testing.T) {
	l := origin.NewLog()
	l.Add(1_000, origin.Record{Key: key("a"), Origin: origin.Origin{Pool: "p", Software: "v1"}})
	assertFound(t, l, 1_000, key("a"), true)
	assertFound(t, l, 61_000, key("a"), true)
	assertFound(t, l, 61_001, key("a"), false)
	assertFound(t, l, 1_000, key("b"), false)
}

func TestRecordsOfOtherAccountsAreNotFound(t *testing.T) {
	l := origin.NewLog()
	l.Add(0, origin.Record{Key: key("a"), Origin: origin.Origin{Pool: "p", Software: "v1"}})
	assertFound(t, l, 0, origin.Key{Account: "other", Attempt: "a"}, false)
}

// Guards against streams that go on by one of two records that contradict each other.
func TestAttemptWithTwoOriginsIsNotFound(t *testing.T) {
	l := origin.NewLog()
	for _, software := range []string{"v1", "v1", "v2", "v1"} {
		l.Add(0, origin.Record{Key: key("a"), Origin: origin.Origin{Pool: "p", Software: software}})
	}
	assertFound(t, l, 0, key("a"), false)
}

func TestLogIsBounded(t *testing.T) {
	l := origin.NewLog()
	const added, limit = 200_000, 65_536
	for i := range added {
		l.Add(0, origin.Record{Key: key(fmt.Sprint(i)), Origin: origin.Origin{Pool: "p", Software: "v1"}})
	}
	if l.Len() != limit {
		t.Fatalf("%d records, want %d", l.Len(), limit)
	}
	assertFound(t, l, 0, key(fmt.Sprint(added-limit-1)), false)
	assertFound(t, l, 0, key(fmt.Sprint(added-limit)), true)
}

func TestHoldersAreSpreadAndStay(t *testing.T) {
	hosts := []string{"h0", "h1", "h2", "h3", "h4", "h5", "h6"}
	held := make(map[string]int)
	const attempts, n = 7_000, 3
	for i := range attempts {
		k := key(fmt.Sprint(i))
		before := origin.Holders(k, hosts, n)
		after := origin.Holders(k, hosts[:6], n)
		for _, h := range before {
			held[h]++
			if h != "h6" && !slices.Contains(after, h) {
				t.Fatalf("attempt %d: holder %s left with another host", i, h)
			}
		}
	}
	for h, got := range held {
		if mean := attempts * n / len(hosts); got < mean*9/10 || got > mean*11/10 {
			t.Errorf("host %s holds %d records, the mean is %d", h, got, mean)
		}
	}
	if len(origin.Holders(key("a"), hosts[:2], n)) != 2 {
		t.Error("want all hosts if there are fewer than holders")
	}
}

func BenchmarkAdd(b *testing.B) {
	l := origin.NewLog()
	for i := range b.N {
		l.Add(rollout.Millis(i), origin.Record{Key: key(fmt.Sprintf("%016x", i)), Origin: origin.Origin{Pool: "engines", Software: "v1.1"}})
	}
}
