// Package routing chooses the upstream of each request. Consistent hashing with
// bounded loads maps the prefix of a prompt to the upstream that has probably
// cached it. Without a prefix, or if the bound rules that upstream out, the less
// loaded of two random upstreams is chosen, within the failure domain of this
// host up to a load limit. Upstreams that fail repeatedly are ejected and then probed with one
// request at a time.
package routing

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// Config holds the parameters of a Router.
type Config struct {
	// FailureDomain is the failure domain of this host. Its upstreams are
	// preferred.
	FailureDomain string
	// LocalLoadLimit is the load per slot up to which an upstream in FailureDomain
	// is chosen without a look at the others. Prompts that share a prefix find it
	// more often without a limit, as fewer upstreams read it.
	LocalLoadLimit float64
	// ReuseMS is how long an upstream in FailureDomain is preferred after its last
	// success while this host has no request at its pool, because a connection to it
	// is probably open. Zero disables it.
	ReuseMS rollout.Millis
	// LoadBound is the factor by which an upstream may exceed the mean load of
	// its pool and still be chosen for its prefix cache.
	LoadBound float64
	// EjectAfter is the number of consecutive failures that eject an upstream.
	EjectAfter int
	// EjectMS is the duration of the first ejection. It doubles with each
	// further failure up to MaxEjectMS.
	EjectMS, MaxEjectMS rollout.Millis
	// ReportHalfLifeMS is the half-life of the weight of a reported load.
	ReportHalfLifeMS rollout.Millis
}

// DefaultConfig returns the settings for an entry in a failure domain.
func DefaultConfig(domain string) Config {
	return Config{
		FailureDomain: domain, LocalLoadLimit: math.Inf(1), LoadBound: 1.25, EjectAfter: 3,
		EjectMS: 1_000, MaxEjectMS: 30_000, ReportHalfLifeMS: 500,
	}
}

// Reason is the rule by which an upstream was chosen.
type Reason string

// The reasons for a choice.
const (
	// ReasonPrefix is the affinity to the prompt's prefix.
	ReasonPrefix Reason = "prefix"
	// ReasonReuse is the open connection to an idle upstream.
	ReasonReuse Reason = "reuse"
	// ReasonProbe is the random choice of an upstream whose ejection has expired.
	ReasonProbe Reason = "probe"
	// ReasonLoad is the lower cost of two random upstreams.
	ReasonLoad Reason = "load"
	// ReasonScan is the scan of the whole pool, after the random draws found no
	// eligible upstream.
	ReasonScan Reason = "scan"
	// ReasonLimit is the shortest wait among upstreams that name a limit.
	ReasonLimit Reason = "limit"
)

// Query describes a request for which an upstream is to be chosen.
type Query struct {
	Pool string
	// Group and MinVersion require an engine that holds at least this weight
	// version of a trainer group. An empty Group means no requirement.
	Group      string
	MinVersion uint64
	// NewestVersion is the newest published weight version. Engines that lag
	// behind it count as more loaded. Zero means no preference.
	NewestVersion uint64
	// Prefix is the hash of the prompt's prefix. Zero means no affinity.
	Prefix uint64
	// Exclude holds the IDs of upstreams that must not be chosen because the
	// request has already been tried there.
	Exclude []string
	// MaxLoad excludes upstreams with that many requests per slot, or more. Zero means
	// no maximum.
	MaxLoad float64
}

// Choice is the upstream chosen for a query.
type Choice struct {
	Upstream catalog.Upstream
	Reason   Reason
	// Load is the number of requests per slot at the upstream before this one.
	Load float64
	// Evacuated holds the evacuated failure domains whose upstreams were passed
	// over, sorted. It must not be changed.
	Evacuated []string
}

// Outcome is the result of a request at an upstream.
type Outcome struct {
	// Incarnation is that of the upstream when the request was placed. An outcome
	// of an earlier incarnation is ignored. Empty means the current one.
	Incarnation string
	Failed      bool
	// Running is the number of requests at the upstream, from all entries, as
	// reported by its agent. Negative if the agent reported none.
	Running int
	// TookMS and Tokens give the time per token. They are ignored if Tokens is
	// zero.
	TookMS rollout.Millis
	Tokens int
}

const (
	// newestMSPerTokenWeight is the weight of the newest request in the moving
	// average of the time per token.
	newestMSPerTokenWeight = 0.1
	// maxSlowness and its inverse bound the slowness of an upstream.
	maxSlowness = 4.0
	// costPerVersionBehind is the load added per version of lag, and
	// maxVersionsBehind is the maximum number of versions counted.
	costPerVersionBehind = 0.6
	maxVersionsBehind    = 3
	// pointsPerUpstream is the number of points of an upstream on the hash ring.
	pointsPerUpstream = 40
	// maxRingTries is the maximum number of upstreams tried along the hash ring.
	maxRingTries = 4
	// maxPairDraws is the maximum number of random pairs drawn.
	maxPairDraws = 4
)

type ringPoint struct {
	hash      uint64
	candidate *candidate
}

// candidate is an upstream of the catalog with its load and failure state.
type candidate struct {
	upstream catalog.Upstream
	// outstanding is the number of requests that this router has sent to the
	// upstream and that have not finished.
	outstanding int
	// othersRunning is the last reported number of running requests minus those
	// of this router, and reportedAt is the time of that report.
	othersRunning float64
	reportedAt    rollout.Millis
	failures      int
	ejectionMS    rollout.Millis
	// ejectedUntil is zero while the upstream is not ejected.
	ejectedUntil rollout.Millis
	probing      bool
	// succeededAt is the time of the last success, or zero after a failure.
	succeededAt rollout.Millis
	// msPerToken is the moving average of the time per token. Zero means
	// unknown.
	msPerToken float64
}

type pool struct {
	// candidates are the upstreams that accept requests, sorted by ID.
	candidates []*candidate
	// evacuated holds the failure domains of the upstreams that are evacuated and
	// not leaving, sorted. It is not changed in place.
	evacuated []string
	// sameDomain are those of candidates in the failure domain of this host.
	sameDomain []*candidate
	ring       []ringPoint
	// outstanding is the sum over all upstreams of the pool, leaving and evacuated
	// ones included.
	outstanding int
	// slots is the sum over candidates.
	slots int
	// msPerToken is the moving average of the time per token over the pool.
	msPerToken float64
}

// Router chooses upstreams and tracks their load and failures. It is not safe
// for concurrent use.
type Router struct {
	cfg        Config
	rand       rollout.Random
	candidates map[string]*candidate
	pools      map[string]*pool
}

// New returns a router without upstreams.
func New(cfg Config, random rollout.Random) *Router {
	return &Router{cfg: cfg, rand: random, candidates: make(map[string]*candidate), pools: make(map[string]*pool)}
}

// Pick chooses an upstream and counts the request as outstanding there.
func (r *Router) Pick(now rollout.Millis, q Query) (Choice, bool) {
	p := r.pools[q.Pool]
	if p == nil {
		return Choice{}, false
	}
	c, reason := r.choose(now, p, q)
	if c == nil {
		return Choice{}, false
	}
	return r.place(now, p, c, reason), true
}

// PickUpstream chooses an upstream by its ID, if it is eligible, and counts the request as
// outstanding there.
func (r *Router) PickUpstream(now rollout.Millis, id string, q Query) (Choice, bool) {
	c := r.candidates[id]
	if c == nil || c.upstream.Pool != q.Pool || !c.upstream.AcceptsRequests() || !r.eligible(now, c, q) {
		return Choice{}, false
	}
	return r.place(now, r.pools[q.Pool], c, ReasonLimit), true
}

// place counts a request as outstanding at a candidate.
func (r *Router) place(now rollout.Millis, p *pool, c *candidate, reason Reason) Choice {
	load := r.load(now, c)
	c.outstanding++
	p.outstanding++
	c.probing = c.probing || c.ejectedUntil > 0
	return Choice{Upstream: c.upstream, Reason: reason, Load: load, Evacuated: p.evacuated}
}

// Finished records the outcome of a request that Pick placed at an upstream.
func (r *Router) Finished(now rollout.Millis, id string, o Outcome) {
	c := r.candidates[id]
	if c == nil || (o.Incarnation != "" && o.Incarnation != c.upstream.Incarnation) {
		return
	}
	c.outstanding = max(0, c.outstanding-1)
	if p := r.pools[c.upstream.Pool]; p != nil {
		p.outstanding = max(0, p.outstanding-1)
	}
	if o.Running >= 0 {
		c.othersRunning = math.Max(0, float64(o.Running-c.outstanding-1))
		c.reportedAt = now
	}
	if p := r.pools[c.upstream.Pool]; p != nil && !o.Failed && o.Tokens > 0 {
		tokenMS := float64(o.TookMS) / float64(o.Tokens)
		c.msPerToken = ewma(c.msPerToken, tokenMS, newestMSPerTokenWeight)
		p.msPerToken = ewma(p.msPerToken, tokenMS, newestMSPerTokenWeight/float64(max(1, len(p.candidates))))
	}
	c.recordOutcome(now, r.cfg, o.Failed)
}

// Evacuated returns the evacuated failure domains that have upstreams of a pool,
// sorted. all is true if no other upstream of the pool accepts requests, so that no
// request can run until an evacuation ends or an upstream starts elsewhere.
func (r *Router) Evacuated(name string) (domains []string, all bool) {
	p := r.pools[name]
	if p == nil {
		return nil, false
	}
	return p.evacuated, len(p.evacuated) > 0 && len(p.candidates) == 0
}

// FullyEvacuatedPools returns the pools all of whose upstreams are evacuated.
func (r *Router) FullyEvacuatedPools() []string {
	var names []string
	for name := range r.pools {
		if _, all := r.Evacuated(name); all {
			names = append(names, name)
		}
	}
	return names
}

// Slots returns the total slots of the upstreams of a pool that accept requests.
func (r *Router) Slots(name string) int {
	if p := r.pools[name]; p != nil {
		return p.slots
	}
	return 0
}

// Sync replaces the upstreams by those of a catalog. Upstreams of the same
// incarnation keep their load and failure state.
func (r *Router) Sync(cat *catalog.Catalog) {
	changed := make(map[string]bool)
	for id, c := range r.candidates {
		if u, ok := cat.Upstreams[id]; !ok || u.Incarnation != c.upstream.Incarnation {
			delete(r.candidates, id)
			changed[c.upstream.Pool] = true
		}
	}
	for id, u := range cat.Upstreams {
		c := r.candidates[id]
		if c == nil {
			r.candidates[id] = &candidate{upstream: u}
			changed[u.Pool] = true
			continue
		}
		if c.upstream.Leaving != u.Leaving || c.upstream.Evacuated != u.Evacuated || c.upstream.Pool != u.Pool || c.upstream.Slots != u.Slots {
			changed[u.Pool], changed[c.upstream.Pool] = true, true
		}
		c.upstream = u
	}
	for name := range changed {
		r.rebuildPool(name)
	}
}

func (r *Router) choose(now rollout.Millis, p *pool, q Query) (*candidate, Reason) {
	if q.Prefix != 0 {
		if c := r.pickByPrefix(now, p, q); c != nil {
			return c, ReasonPrefix
		}
	}
	if c := r.pickConnected(now, p, q); c != nil {
		return c, ReasonReuse
	}
	if c := r.pickNear(now, p, q); c != nil {
		if c.ejectedUntil > 0 {
			return c, ReasonProbe
		}
		return c, ReasonLoad
	}
	for _, c := range p.candidates {
		if r.eligible(now, c, q) {
			return c, ReasonScan
		}
	}
	return nil, ""
}

// pickConnected returns the upstream of the own failure domain that succeeded last,
// within ReuseMS, if this host has no request at the pool. A host with few requests
// would otherwise open a connection for most of them.
func (r *Router) pickConnected(now rollout.Millis, p *pool, q Query) *candidate {
	if p.outstanding > 0 {
		return nil
	}
	var best *candidate
	for _, c := range p.sameDomain {
		if c.succeededAt == 0 || now-c.succeededAt >= r.cfg.ReuseMS || !r.eligible(now, c, q) {
			continue
		}
		if best == nil || c.succeededAt > best.succeededAt {
			best = c
		}
	}
	return best
}

// pickNear returns an upstream of the own failure domain unless it is loaded
// beyond LocalLoadLimit and another domain has a cheaper one.
func (r *Router) pickNear(now rollout.Millis, p *pool, q Query) *candidate {
	local := r.pickLessLoaded(now, p.sameDomain, q)
	if local != nil && r.cost(now, local, q) <= r.cfg.LocalLoadLimit {
		return local
	}
	remote := r.pickLessLoaded(now, p.candidates, q)
	if remote == nil || (local != nil && r.cost(now, local, q) <= r.cost(now, remote, q)) {
		return local
	}
	return remote
}

// pickByPrefix returns the first eligible upstream along the hash ring that is
// within the load bound.
func (r *Router) pickByPrefix(now rollout.Millis, p *pool, q Query) *candidate {
	if len(p.ring) == 0 {
		return nil
	}
	mean := float64(p.outstanding+1) / float64(max(p.slots, 1))
	start, _ := slices.BinarySearchFunc(p.ring, q.Prefix, func(pt ringPoint, h uint64) int { return cmp.Compare(pt.hash, h) })
	var last *candidate
	tries := 0
	for i := 0; i < len(p.ring) && tries < maxRingTries; i++ {
		c := p.ring[(start+i)%len(p.ring)].candidate
		if c == last {
			continue
		}
		last = c
		tries++
		if r.eligible(now, c, q) && r.withinLoadBound(now, c, mean, q) {
			return c
		}
	}
	return nil
}

// pickLessLoaded draws random pairs and returns the eligible upstream of lower
// cost of the first pair that has one.
func (r *Router) pickLessLoaded(now rollout.Millis, set []*candidate, q Query) *candidate {
	if len(set) == 0 {
		return nil
	}
	for range maxPairDraws {
		a := set[r.rand.Int64N(int64(len(set)))]
		b := set[r.rand.Int64N(int64(len(set)))]
		if r.eligible(now, b, q) && (!r.eligible(now, a, q) || r.cost(now, b, q) < r.cost(now, a, q)) {
			a = b
		}
		if r.eligible(now, a, q) {
			return a
		}
	}
	return nil
}

// cost returns the load with one more request, multiplied by the slowness of
// the upstream, plus the cost of its lag in weight versions.
func (r *Router) cost(now rollout.Millis, c *candidate, q Query) float64 {
	load := (r.load(now, c) + 1/float64(max(c.upstream.Slots, 1))) * r.slowness(c)
	if q.NewestVersion == 0 {
		return load
	}
	behind := q.NewestVersion - min(q.NewestVersion, c.upstream.Versions[q.Group])
	return load + costPerVersionBehind*float64(min(behind, maxVersionsBehind))
}

// slowness returns the time per token of an upstream divided by that of its
// pool, or 1 while either is unknown.
func (r *Router) slowness(c *candidate) float64 {
	p := r.pools[c.upstream.Pool]
	if p == nil || p.msPerToken == 0 || c.msPerToken == 0 {
		return 1
	}
	return min(max(c.msPerToken/p.msPerToken, 1/maxSlowness), maxSlowness)
}

// load returns the number of requests per slot: those of this router, plus the
// reported ones of others, which count less the older the report is.
func (r *Router) load(now rollout.Millis, c *candidate) float64 {
	others := c.othersRunning * math.Exp2(-float64(now-c.reportedAt)/float64(r.cfg.ReportHalfLifeMS))
	return (float64(c.outstanding) + others) / float64(max(c.upstream.Slots, 1))
}

func (r *Router) rebuildPool(name string) {
	p := &pool{}
	if old := r.pools[name]; old != nil {
		p.msPerToken = old.msPerToken
	}
	for _, c := range r.candidates {
		if c.upstream.Pool != name {
			continue
		}
		p.outstanding += c.outstanding
		if c.upstream.Evacuated && !c.upstream.Leaving && !slices.Contains(p.evacuated, c.upstream.FailureDomain) {
			p.evacuated = append(p.evacuated, c.upstream.FailureDomain)
		}
		if !c.upstream.AcceptsRequests() {
			continue
		}
		p.candidates = append(p.candidates, c)
		p.slots += c.upstream.Slots
	}
	slices.Sort(p.evacuated)
	slices.SortFunc(p.candidates, func(a, b *candidate) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	for _, c := range p.candidates {
		if c.upstream.FailureDomain == r.cfg.FailureDomain {
			p.sameDomain = append(p.sameDomain, c)
		}
		for i := range pointsPerUpstream {
			p.ring = append(p.ring, ringPoint{xxhash.Sum64String(c.upstream.ID + "#" + strconv.Itoa(i)), c})
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	r.pools[name] = p
}

func (r *Router) eligible(now rollout.Millis, c *candidate, q Query) bool {
	if q.Group != "" && c.upstream.Versions[q.Group] < q.MinVersion {
		return false
	}
	if c.ejectedUntil > 0 && (now < c.ejectedUntil || c.probing) {
		return false
	}
	if q.MaxLoad > 0 && r.load(now, c) >= q.MaxLoad {
		return false
	}
	return !slices.Contains(q.Exclude, c.upstream.ID)
}

// withinLoadBound reports whether an upstream stays within LoadBound times the
// mean load of its pool with one more request.
func (r *Router) withinLoadBound(now rollout.Millis, c *candidate, mean float64, q Query) bool {
	return r.cost(now, c, q) <= math.Max(r.cfg.LoadBound*mean, 1/float64(max(c.upstream.Slots, 1)))
}

// ewma updates an exponentially weighted moving average. A mean of zero is
// unset and is replaced by the value.
func ewma(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

func (c *candidate) recordOutcome(now rollout.Millis, cfg Config, failed bool) {
	c.probing = false
	if !failed {
		c.failures, c.ejectionMS, c.ejectedUntil, c.succeededAt = 0, 0, 0, now
		return
	}
	c.succeededAt = 0
	c.failures++
	if c.failures < cfg.EjectAfter {
		return
	}
	c.ejectionMS = min(max(2*c.ejectionMS, cfg.EjectMS), cfg.MaxEjectMS)
	c.ejectedUntil = now + c.ejectionMS
}
