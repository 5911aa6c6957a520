package balance

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/routing"
)

// unlimitedMaxLoad is the load per slot from which a request goes to an upstream with a
// limit, if it has a permit left, rather than to one without.
const unlimitedMaxLoad = 1.0

// selection says for what an upstream is selected.
type selection struct {
	pool string
	// tried holds the IDs of the upstreams that must not be selected.
	tried   []string
	suspect bool
	// hedge excludes upstreams with a limit.
	hedge bool
	// patience is how long the request may wait for an upstream with a limit.
	patience time.Duration
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

// selectByLimit returns an upstream without a limit, or the one whose limit lets the
// request through first. It fails with the shortest wait if that exceeds the patience of
// the request. The caller holds mu.
func (b *Balancer) selectByLimit(s selection) (routing.Choice, error) {
	now := b.clock.Now()
	query := routing.Query{Pool: s.pool, Exclude: s.tried}
	limited := b.limits.Limited()
	if len(limited) == 0 {
		return chosen(s.pool, query, now, b.router)
	}
	unlimited := query
	unlimited.Exclude = append(slices.Clone(s.tried), limited...)
	free := unlimited
	free.MaxLoad = unlimitedMaxLoad
	if choice, ok := b.router.Pick(now, free); ok {
		return choice, nil
	}
	var wait rollout.Millis
	if !s.hedge {
		for _, w := range b.limitedByWait(limited, s) {
			wait = cmp.Or(wait, w.waitMS)
			if w.waitMS > rollout.Millis(s.patience.Milliseconds()) {
				break
			}
			if choice, ok := b.router.PickUpstream(now, w.id, query); ok {
				return choice, nil
			}
		}
	}
	choice, err := chosen(s.pool, unlimited, now, b.router)
	if err != nil && wait > 0 {
		err = rollout.NewError(rollout.KindOverloaded, "all upstreams of pool %s have reached the limits that they name, the next is free in %d ms", s.pool, wait).
			WithNotRun().WithRetryAfter(wait)
	}
	return choice, err
}

// chosen picks an upstream with the router.
func chosen(pool string, q routing.Query, now rollout.Millis, r *routing.Router) (routing.Choice, error) {
	choice, ok := r.Pick(now, q)
	if !ok {
		return choice, rollout.NewError(rollout.KindNoUpstream, "pool %s has no upstream", pool).WithNotRun()
	}
	return choice, nil
}

// limitedUpstream is an upstream with a limit and its predicted wait.
type limitedUpstream struct {
	id     string
	waitMS rollout.Millis
}

// limitedByWait returns the upstreams of a pool with a limit, those with the shortest
// wait first. The caller holds mu.
func (b *Balancer) limitedByWait(limited []string, s selection) []limitedUpstream {
	var us []limitedUpstream
	for _, id := range limited {
		u, known := b.known[id]
		if known && u.Pool == s.pool && !slices.Contains(s.tried, id) {
			us = append(us, limitedUpstream{id, b.limits.Wait(discovery.Incarnation{ID: id, Born: u.Born})})
		}
	}
	slices.SortFunc(us, func(a, b limitedUpstream) int {
		return cmp.Or(cmp.Compare(a.waitMS, b.waitMS), cmp.Compare(a.id, b.id))
	})
	return us
}

// sendWithinLimit runs one attempt once the limit of the upstream allows it, and records
// the limit that the response names.
func (b *Balancer) sendWithinLimit(ctx context.Context, req rollout.UpstreamRequest, u catalog.Upstream, r Request) attempt {
	upstream := discovery.Incarnation{ID: u.ID, Born: bornOf(u.Incarnation)}
	if err := b.limits.Acquire(ctx, upstream, r.Priority, r.LimitPatience); err != nil {
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
