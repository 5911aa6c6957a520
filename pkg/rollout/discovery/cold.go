package discovery

import (
	"maps"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// ColdPool describes the upstreams of a pool while they are cold.
type ColdPool struct {
	// StartMS is how long an upstream is cold after it starts.
	StartMS rollout.Millis
	// Limit is the number of requests a second that a cold upstream takes from all hosts.
	Limit float64
}

// SetColdPools replaces the pools whose upstreams can be cold, and reports whether the
// table changed. Upstreams that are cold get the limit of their pool, also if they announced
// so before the pool was known.
func (t *Table) SetColdPools(now rollout.Millis, pools map[string]ColdPool) bool {
	if maps.Equal(t.coldPools, pools) {
		return false
	}
	t.coldPools = pools
	changed := false
	for _, r := range t.byID {
		limit := 0.0
		if r.State != StateGone && now < r.coldUntilMS {
			limit = pools[r.Pool].Limit
		}
		if r.ColdLimit != limit {
			r.ColdLimit = limit
			t.bumpRevision(r)
			changed = true
		}
	}
	return changed
}

// MarkCold marks the upstreams of a failure domain that can be cold as cold from now on for
// as long as after a start, and reports whether the table changed.
func (t *Table) MarkCold(now rollout.Millis, domain string) bool {
	changed := false
	for _, r := range t.byID {
		if r.FailureDomain != domain || r.State == StateGone {
			continue
		}
		before := r.ColdLimit
		t.extendCold(now, r, t.coldPools[r.Pool].StartMS)
		if r.ColdLimit != before {
			t.bumpRevision(r)
			changed = true
		}
	}
	return changed
}

// extendCold marks an upstream as cold for a time from now. It never shortens the time, as
// an announcement may be late.
func (t *Table) extendCold(now rollout.Millis, r *record, forMS rollout.Millis) {
	if forMS <= 0 {
		return
	}
	r.coldUntilMS = max(r.coldUntilMS, now+forMS)
	r.ColdLimit = t.coldPools[r.Pool].Limit
}
