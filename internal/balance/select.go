package balance

import (
	"cmp"
	"context"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/routing"
)

// unlimitedMaxLoad is the load per slot from which a request goes to an upstream with a
// limit, if it has a permit left, rather than to one without.
const unlimitedMaxLoad = 1.0

// selection says for what an upstream is selected.
type selection struct {
	pool string
	// software is the only software version of the upstream, or empty for any.
	software string
	// avoid holds the IDs of upstreams that are selected only if there is no other.
	avoid []string
	// tried holds the IDs of the upstreams that must not be selected.
	tried   []string
	suspect bool
	// hedge excludes upstreams with a limit.
	hedge bool
	// background excludes upstreams without a limit at unlimitedMaxLoad, so that calls
	// that wait for nothing else do not crowd them.
	background bool
	// last is true if the request can't be sent again after this attempt.
	last bool
	// patience is how long the request may wait for an upstream with a limit.
	patience time.Duration
	// within excludes the upstreams of other failure domains, or is nil for none.
	within Restriction
}

// selectUpstream returns the upstream for the next attempt of a request. A suspect gets
// one at which no other suspect runs, if there is one, so that the next crash tells
// apart requests that were running together at the last.
func (b *Balancer) selectUpstream(s selection) (routing.Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nextSyncMS > 0 && b.clock.Now() >= b.nextSyncMS {
		b.syncRouter()
	}
	if s.within != nil {
		if !b.hasReady(s.pool, s.within) {
			return routing.Choice{}, b.noUpstreamWithin(s.pool)
		}
		s.tried = slices.AppendSeq(slices.Clone(s.tried), b.outside(s.pool, s.within))
	}
	if s.software != "" {
		s.tried = slices.AppendSeq(slices.Clone(s.tried), b.ofOtherSoftware(s.pool, s.software))
	}
	if len(s.avoid) > 0 {
		preferred := s
		preferred.tried = append(slices.Clone(s.tried), s.avoid...)
		if choice, err := b.selectApart(preferred); err == nil {
			return choice, nil
		}
	}
	return b.selectApart(s)
}

// selectApart selects an upstream at which no other suspect runs, if the request is one.
// The caller holds mu.
func (b *Balancer) selectApart(s selection) (routing.Choice, error) {
	if !s.suspect {
		return b.selectByLimit(s)
	}
	apart := s
	apart.tried = slices.AppendSeq(slices.Clone(s.tried), maps.Keys(b.suspectRuns))
	choice, err := b.selectByLimit(apart)
	if err != nil {
		choice, err = b.selectByLimit(s)
	}
	if err == nil {
		b.suspectRuns[choice.Upstream.ID]++
	}
	return choice, err
}

// ofOtherSoftware returns the IDs of the upstreams of a pool whose software has another
// version. The caller holds mu.
func (b *Balancer) ofOtherSoftware(pool, software string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for id, u := range b.known {
			if u.Pool == pool && u.Software != software && !yield(id) {
				return
			}
		}
	}
}

// HasUpstream reports whether a pool has a ready upstream of a software version within a
// restriction, besides those with the given IDs.
func (b *Balancer) HasUpstream(pool, software string, within Restriction, besides ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, u := range b.known {
		if u.Pool == pool && u.Software == software && u.State == discovery.StateReady && within.allows(u) && !slices.Contains(besides, id) {
			return true
		}
	}
	return false
}

func (r Restriction) allows(u discovery.Upstream) bool { return r == nil || r(u.FailureDomain) }

// HasReady reports whether a pool has a ready upstream within a restriction.
func (b *Balancer) HasReady(pool string, within Restriction) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasReady(pool, within)
}

// hasReady is HasReady. The caller holds mu.
func (b *Balancer) hasReady(pool string, within Restriction) bool {
	for _, u := range b.known {
		if u.Pool == pool && u.State == discovery.StateReady && within.allows(u) {
			return true
		}
	}
	return false
}

// outside returns the IDs of the upstreams of a pool that a restriction excludes. The caller
// holds mu.
func (b *Balancer) outside(pool string, within Restriction) iter.Seq[string] {
	return func(yield func(string) bool) {
		for id, u := range b.known {
			if u.Pool == pool && !within.allows(u) && !yield(id) {
				return
			}
		}
	}
}

// noUpstreamWithin returns the error of a request whose restriction excludes all ready
// upstreams of its pool. The caller holds mu.
func (b *Balancer) noUpstreamWithin(pool string) error {
	if !b.hasReady(pool, nil) {
		return noUpstreamError(pool)
	}
	return rollout.NewError(rollout.KindRegionNotAllowed, "pool %s has no upstream in a region that the route and the client account allow", pool).WithNotRun()
}

// SoftwareOf returns the software version of an incarnation of an upstream, or an empty
// string if it is unknown, as when the upstream has started again since.
func (b *Balancer) SoftwareOf(id string, born int64) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, known := b.known[id]
	if !known || u.Born != born {
		return ""
	}
	return u.Software
}

// selectByLimit returns an upstream without a limit, or the one whose limit lets the
// request through first. It fails with the shortest wait if that exceeds the patience of
// the request. The caller holds mu.
func (b *Balancer) selectByLimit(s selection) (routing.Choice, error) {
	now := b.clock.Now()
	query := routing.Query{Pool: s.pool, Exclude: s.tried}
	limited := b.limitedByWait(s.pool)
	if len(limited) == 0 {
		return pick(b.router, now, query)
	}
	unlimited := query
	unlimited.Exclude = slices.Clone(s.tried)
	for _, u := range limited {
		unlimited.Exclude = append(unlimited.Exclude, u.id)
	}
	if s.last {
		// The warm upstreams that were tried had no room.
		if choice, _, ok := b.pickLimited(now, s, query, limited, func(u limitedUpstream) bool { return u.cold }); ok {
			return choice, nil
		}
	}
	free := unlimited
	free.MaxLoad = unlimitedMaxLoad
	if choice, err := pick(b.router, now, free); err == nil {
		return choice, nil
	}
	choice, wait, ok := b.pickLimited(now, s, query, limited, func(limitedUpstream) bool { return true })
	if ok {
		return choice, nil
	}
	if !s.background {
		if choice, err := pick(b.router, now, unlimited); err == nil {
			return choice, nil
		}
	}
	if wait > 0 {
		return routing.Choice{}, rollout.NewError(rollout.KindOverloaded, "all upstreams of pool %s have reached the limits that they name, the next is free in %d ms", s.pool, wait).
			WithNotRun().WithRetryAfter(wait)
	}
	return routing.Choice{}, noUpstreamError(s.pool)
}

// pickLimited picks the upstream whose limit lets a request through first, of those that are
// allowed, if the request has the patience. It also returns the shortest wait. The caller
// holds mu.
func (b *Balancer) pickLimited(now rollout.Millis, s selection, q routing.Query, us []limitedUpstream, allowed func(limitedUpstream) bool) (choice routing.Choice, wait rollout.Millis, ok bool) {
	for _, u := range us {
		if s.hedge || slices.Contains(s.tried, u.id) || !allowed(u) {
			continue
		}
		wait = cmp.Or(wait, u.waitMS)
		if u.waitMS > rollout.Millis(s.patience.Milliseconds()) {
			break
		}
		if choice, ok := b.router.PickUpstream(now, u.id, q); ok {
			return choice, wait, true
		}
	}
	return routing.Choice{}, wait, false
}

// pick picks an upstream with the router.
func pick(r *routing.Router, now rollout.Millis, q routing.Query) (routing.Choice, error) {
	choice, ok := r.Pick(now, q)
	if !ok {
		return choice, noUpstreamError(q.Pool)
	}
	return choice, nil
}

func noUpstreamError(pool string) error {
	return rollout.NewError(rollout.KindNoUpstream, "pool %s has no upstream", pool).WithNotRun()
}

// limitedUpstream is an upstream with a limit and its predicted wait.
type limitedUpstream struct {
	id     string
	slots  int
	waitMS rollout.Millis
	// cold is true if control reports the upstream as cold.
	cold bool
}

// limitedByWait returns the upstreams of a pool with a limit, those with the shortest
// wait first, and warm ones before cold ones. The caller holds mu.
func (b *Balancer) limitedByWait(pool string) []limitedUpstream {
	var us []limitedUpstream
	for _, id := range b.limits.Limited() {
		if u, known := b.known[id]; known && u.Pool == pool {
			us = append(us, limitedUpstream{id, u.Slots, b.limits.Wait(discovery.Incarnation{ID: id, Born: u.Born}), u.ColdLimit > 0})
		}
	}
	slices.SortFunc(us, func(a, b limitedUpstream) int {
		return cmp.Or(cmp.Compare(a.waitMS, b.waitMS), compareBools(a.cold, b.cold), cmp.Compare(a.id, b.id))
	})
	return us
}

// compareBools compares two values, of which false is the lower.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// limitedSlots is the number of slots for which an upstream with a limit counts: one for a
// request that runs and one for a request that waits for a permit.
const limitedSlots = 2

// Slots returns the total slots of the upstreams of a pool that are not leaving, as far as
// their limits let requests use them.
func (b *Balancer) Slots(pool string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	slots := b.router.Slots(pool)
	for _, u := range b.limitedByWait(pool) {
		slots -= max(0, u.slots-limitedSlots)
	}
	return max(0, slots)
}

// sendWithinLimit runs one attempt once the limit of the upstream allows it, and records
// the limit that the response names.
func (b *Balancer) sendWithinLimit(ctx context.Context, req rollout.UpstreamRequest, u catalog.Upstream, r Request) attempt {
	upstream := discovery.Incarnation{ID: u.ID, Born: bornOf(u.Incarnation)}
	cold, started := b.limits.IsCold(upstream), b.clock.Now()
	err := b.limits.Acquire(ctx, upstream, limit.Request{Priority: r.Priority, Background: r.Background, Patience: r.LimitPatience})
	if waited := b.clock.Now() - started; cold && (waited > 0 || err != nil) {
		b.recordColdWait(req.AttemptID, u.ID, waited, err)
	}
	if err != nil {
		return attempt{started: time.Now(), err: rollout.AsError(err)}
	}
	req.BudgetMS = max(1, rollout.Millis(time.Until(r.Deadline).Milliseconds()))
	a := b.send(ctx, req)
	if a.response.Head.Status != 0 && !a.response.Head.Misdirected {
		b.limits.Said(upstream, a.response.Head.Limit)
	}
	return a
}

// endSuspectRun records that an attempt of a suspect has ended.
func (b *Balancer) endSuspectRun(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspectRuns[upstream]--; b.suspectRuns[upstream] <= 0 {
		delete(b.suspectRuns, upstream)
	}
}
