package discovery_test

import (
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

const (
	coldStartMS = 3_000
	coldLimit   = 10.0
)

func newColdTable() *discovery.Table {
	table := discovery.New(announceIntervalMS)
	table.SetColdPools(0, map[string]discovery.ColdPool{"p": {StartMS: coldStartMS, Limit: coldLimit}})
	return table
}

func announceCold(table *discovery.Table, now rollout.Millis, seq uint64, coldMS rollout.Millis) {
	u := upstream("a", "x:1", 5, seq)
	u.FailureDomain, u.ColdMS = "d", coldMS
	table.Announce(now, u)
}

func assertColdLimit(t *testing.T, table *discovery.Table, what string, want float64) {
	t.Helper()
	for _, u := range table.ChangedSince(0) {
		if u.ID == "a" && u.ColdLimit != want {
			t.Errorf("%s: cold limit is %g, want %g", what, u.ColdLimit, want)
		}
	}
}

// Guards against an announcement from before the upstream became cold that arrives late and
// ends the limit early.
func TestColdTimeIsOnlyExtended(t *testing.T) {
	table := newColdTable()
	announceCold(table, 0, 1, 2_000)
	assertColdLimit(t, table, "after its start", coldLimit)
	announceCold(table, 500, 2, 0)
	table.Tick(1_900)
	assertColdLimit(t, table, "before the time that it announced", coldLimit)
	announceCold(table, 1_950, 3, 1_000)
	table.Tick(2_900)
	assertColdLimit(t, table, "cold again", coldLimit)
	table.Tick(2_950)
	assertColdLimit(t, table, "after the last time that it announced", 0)
}

// Guards against full load on upstreams that became cold while their failure domain was
// evacuated.
func TestUpstreamsOfDomainAreMarkedCold(t *testing.T) {
	table := newColdTable()
	announceCold(table, 0, 1, 0)
	table.MarkCold(100, "other")
	assertColdLimit(t, table, "another domain", 0)
	table.MarkCold(100, "d")
	assertColdLimit(t, table, "its domain", coldLimit)
	table.Tick(100 + coldStartMS)
	assertColdLimit(t, table, "after the time of a start", 0)
}

// Guards against a new leader that takes the cold upstreams of its predecessor for warm, or
// for cold forever.
func TestRestoredUpstreamsStayColdForTheTimeOfAStart(t *testing.T) {
	before := newColdTable()
	announceCold(before, 0, 1, 2_000)
	table := newColdTable()
	table.Restore(1_000, before.ChangedSince(0), before.Revision())
	table.Tick(1_000 + coldStartMS - 1)
	assertColdLimit(t, table, "at a new leader", coldLimit)
	table.Tick(1_000 + coldStartMS)
	assertColdLimit(t, table, "after the time of a start", 0)
}

// Guards against full load on upstreams that started before the first configuration, which
// names the rate of their pool.
func TestUpstreamsThatAnnouncedBeforeTheirPoolIsKnownAreCold(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	announceCold(table, 0, 1, 2_000)
	assertColdLimit(t, table, "unknown pool", 0)
	table.SetColdPools(500, map[string]discovery.ColdPool{"p": {StartMS: coldStartMS, Limit: coldLimit}})
	assertColdLimit(t, table, "known pool", coldLimit)
	table.Tick(2_000)
	assertColdLimit(t, table, "after the time that it announced", 0)
}

// Guards against a limit of pools whose upstreams are never cold.
func TestUpstreamsOfOtherPoolsAreNeverCold(t *testing.T) {
	table := discovery.New(announceIntervalMS)
	announceCold(table, 0, 1, 2_000)
	assertColdLimit(t, table, "pool without a cold rate", 0)
}
