// Package limit keeps upstreams within the request rates that they name, for all hosts
// together. A Divider at the leader of control grants permits to hosts by their demand,
// and a Gate at each host spends one for each request.
package limit

import (
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

const (
	// windowMS is the time in which an upstream gets no more than its limit allows.
	windowMS rollout.Millis = 4_000
	// PermitMS is how long a permit is valid. Hosts whose demand was not met ask again
	// after that time.
	PermitMS rollout.Millis = 150
	// AbsentMS is how long a host counts as absent after it has come back. What it has sent
	// at its fixed share stays in the window for that time.
	AbsentMS = windowMS + PermitMS
	// demandMS is how long demand that was not met is remembered. It spans two requests
	// of a host.
	demandMS = 2 * PermitMS
	// coldWindowMS is the time in which a cold upstream gets no more permits than it may get
	// requests in a second: all that may be used in one second are granted within it.
	coldWindowMS = 1_000 + PermitMS
	// saveMS is the time for which credit is saved while no host asks.
	saveMS rollout.Millis = 500
	// callersMemoryMS is how long permits are kept for callers after one wanted some.
	callersMemoryMS rollout.Millis = 10_000
	// forgetMS is how long a limit holds after a host was last told or asked for permits.
	forgetMS rollout.Millis = 30_000
)

const (
	// minSaved is the least credit that can be saved, in permits.
	minSaved = 2.0
	// callersReserve permits are kept for callers, until callers have got callersTurn since
	// the last one for another request.
	callersReserve = 1
	callersTurn    = 4
)

// allowance returns how many requests an upstream takes in each window.
func allowance(limit float64) int { return int(limit * float64(windowMS) / 1_000) }

// ratePerMS returns how many permits a limit allows in a millisecond. A permit may be used
// at any time while it is valid, so the rate is below the limit.
func ratePerMS(limit float64) float64 {
	if n := allowance(limit); n > 0 {
		return float64(n) / float64(windowMS+PermitMS)
	}
	return limit / 1_000
}

// Grant is the answer to a host that asks for permits.
type Grant struct {
	Upstream discovery.Incarnation
	// Permits is the number of requests that the host may send within PermitMS.
	Permits int
	// NextMS is the expected time until the host gets the next permit, and IntervalMS that
	// from one to the next after it.
	NextMS, IntervalMS rollout.Millis
}

// Divider divides the limits of upstreams among hosts. It is not safe for concurrent use.
type Divider struct {
	buckets map[discovery.Incarnation]*bucket
	// inheritUntilMS is the time until which the limits may be those of a former divider,
	// whose permits are still in the window.
	inheritUntilMS rollout.Millis
}

// bucket is the limit of one upstream.
type bucket struct {
	limit float64
	// most is the number of permits that may be granted in coldWindowMS while the upstream
	// is cold, or negative while it is warm.
	most   int
	usedMS rollout.Millis
	// credit is the number of permits that may be granted as far as the rate allows, as
	// of creditMS.
	credit   float64
	creditMS rollout.Millis
	// callersMS is when a host last wanted a permit for a caller, or 0. sinceBackground
	// counts the permits for callers since the last one for another request.
	callersMS       rollout.Millis
	sinceBackground int
	// granted holds the times of the permits that may be used in the window that ends now.
	granted []rollout.Millis
	// hosts holds the hosts with demand.
	hosts map[string]*demand
}

// demand is what a host wanted of an upstream when it last asked.
type demand struct {
	askedMS rollout.Millis
	unmet   int
}

// NewDivider returns a divider without limits.
func NewDivider() *Divider { return &Divider{buckets: make(map[discovery.Incarnation]*bucket)} }

// NewSuccessor returns a divider that follows another one, of which it knows nothing.
func NewSuccessor(now rollout.Millis) *Divider {
	d := NewDivider()
	d.inheritUntilMS = now + windowMS + PermitMS
	return d
}

// SetLimit sets the limit of an upstream in requests a second. 0 removes it.
func (d *Divider) SetLimit(now rollout.Millis, u discovery.Incarnation, limit float64) {
	if limit <= 0 {
		delete(d.buckets, u)
		return
	}
	b := d.buckets[u]
	if b == nil {
		b = &bucket{most: -1, creditMS: now, hosts: make(map[string]*demand)}
		if now < d.inheritUntilMS {
			// The former divider may have granted all of its saved credit last.
			b.credit = -mostSaved(ratePerMS(limit))
		}
		d.buckets[u] = b
	}
	b.limit, b.usedMS = limit, now
}

// SetCold sets how many permits for an upstream with a limit may be granted in any second
// and the time for which a permit is valid. A negative number removes this bound.
func (d *Divider) SetCold(u discovery.Incarnation, most int) {
	if b := d.buckets[u]; b != nil {
		b.most = most
	}
}

// Forget removes the limits that no host has used for long, and returns their upstreams.
func (d *Divider) Forget(now rollout.Millis) []discovery.Incarnation {
	var forgotten []discovery.Incarnation
	for u, b := range d.buckets {
		if now-b.usedMS > forgetMS {
			forgotten = append(forgotten, u)
			delete(d.buckets, u)
		}
	}
	return forgotten
}

// Grant grants a host up to the permits that it wants. absent is the share of all hosts
// that can't reach this divider and send at their own fixed share. It reports false if the
// upstream has no limit here.
func (d *Divider) Grant(now rollout.Millis, host string, w Want, absent float64) (Grant, bool) {
	b := d.buckets[w.Upstream]
	if b == nil {
		return Grant{Upstream: w.Upstream}, false
	}
	b.usedMS = now
	perMS := ratePerMS(b.limit) * (1 - absent)
	b.refill(now, perMS)
	maps.DeleteFunc(b.hosts, func(name string, dm *demand) bool { return name != host && now-dm.askedMS > demandMS })
	own := b.hosts[host]
	if own == nil {
		own = &demand{}
		b.hosts[host] = own
	}
	own.askedMS, own.unmet = now, w.Callers+w.Background
	granted := b.grantTo(now, w, absent)
	own.unmet -= granted
	waiting := b.waiting()
	if own.unmet == 0 {
		delete(b.hosts, host)
	}
	g := Grant{Upstream: w.Upstream, Permits: granted}
	if perMS > 0 {
		g.IntervalMS = rollout.Millis(float64(max(1, waiting)) / perMS)
		ahead := float64(max(1, waiting)+1) / 2
		g.NextMS = max(rollout.Millis((ahead-b.credit)/perMS), b.windowFreeMS(now, absent))
	}
	if b.most >= 0 && granted < w.Callers+w.Background {
		g.NextMS = max(g.NextMS, b.coldFreeMS(now, perMS))
	}
	return g, true
}

// grantTo grants permits for callers first.
func (b *bucket) grantTo(now rollout.Millis, w Want, absent float64) int {
	left := b.available(now, absent)
	callers := min(w.Callers, b.shareOf(left))
	if w.Callers > 0 {
		b.callersMS = now
	}
	b.sinceBackground += callers
	left -= callers
	if b.callersMS > 0 && now-b.callersMS < callersMemoryMS && b.sinceBackground < callersTurn {
		left -= callersReserve
	}
	background := min(w.Background, b.shareOf(left))
	if background > 0 {
		b.sinceBackground = 0
	}
	for range callers + background {
		b.granted = append(b.granted, now)
	}
	b.credit -= float64(callers + background)
	return callers + background
}

// refill adds the credit for the time since the last one. It may be saved for saveMS, so
// that hosts that ask late lose nothing.
func (b *bucket) refill(now rollout.Millis, perMS float64) {
	b.credit = min(mostSaved(perMS), b.credit+perMS*float64(now-b.creditMS))
	b.creditMS = now
}

// mostSaved returns the most credit that is saved at a rate.
func mostSaved(perMS float64) float64 { return max(minSaved, perMS*float64(saveMS)) }

// available returns how many permits may be granted so that each window stays within the
// limit, less the part of absent hosts.
func (b *bucket) available(now rollout.Millis, absent float64) int {
	b.granted = slices.DeleteFunc(b.granted, func(at rollout.Millis) bool { return now-at > windowMS+PermitMS })
	left := min(int(b.credit), b.inWindow(absent)-len(b.granted))
	if b.most >= 0 {
		left = min(left, b.most-b.grantedSince(now-coldWindowMS))
	}
	return max(0, left)
}

// grantedSince returns how many permits were granted at a time or later.
func (b *bucket) grantedSince(from rollout.Millis) int {
	i, _ := slices.BinarySearch(b.granted, from)
	return len(b.granted) - i
}

// inWindow returns how many permits may be granted in a window.
func (b *bucket) inWindow(absent float64) int {
	if n := allowance(b.limit); n > 0 {
		return int(float64(n) * (1 - absent))
	}
	return 1
}

// windowFreeMS returns the time until the window has room for another permit.
func (b *bucket) windowFreeMS(now rollout.Millis, absent float64) rollout.Millis {
	i := len(b.granted) - b.inWindow(absent)
	if i < 0 || i >= len(b.granted) {
		return 0
	}
	return max(0, b.granted[i]+windowMS+PermitMS-now)
}

// coldFreeMS returns the time until a cold upstream may get another permit.
func (b *bucket) coldFreeMS(now rollout.Millis, perMS float64) rollout.Millis {
	if b.most == 0 || perMS <= 0 {
		return coldWindowMS
	}
	if i := len(b.granted) - b.most; i >= 0 {
		return max(0, b.granted[i]+coldWindowMS-now)
	}
	return 0
}

// shareOf returns how many of the permits at hand a host gets that asks: an equal part for
// each host that waits, and at least one. Permits are not kept for the others, because many
// of their requests have given up before they ask again.
func (b *bucket) shareOf(left int) int {
	if left <= 0 {
		return 0
	}
	return max(1, left/max(1, b.waiting()))
}

// waiting returns the number of hosts that lack permits.
func (b *bucket) waiting() int {
	n := 0
	for _, dm := range b.hosts {
		if dm.unmet > 0 {
			n++
		}
	}
	return n
}
