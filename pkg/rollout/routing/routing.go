// Package routing chooses the upstream of each request: the one that has
// likely cached the prompt's prefix unless it is too busy, else the less busy
// of two, the own failure domain first. Upstreams that fail are left out and
// tried again one request at a time.
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

// Config sets up a Router.
type Config struct {
	// FailureDomain is the own one.
	FailureDomain string
	// LoadBound is how far an upstream may exceed the mean load of its pool
	// and still be chosen for its cache.
	LoadBound float64
	// EjectAfter is how many failures in a row put an upstream out.
	EjectAfter int
	// EjectMS is how long it stays out at first. It doubles up to MaxEjectMS.
	EjectMS, MaxEjectMS rollout.Millis
	// ReportHalfLifeMS is the age at which a reported load counts half.
	ReportHalfLifeMS rollout.Millis
}

// DefaultConfig returns the settings for an entry.
func DefaultConfig(domain string) Config {
	return Config{
		FailureDomain: domain, LoadBound: 1.25, EjectAfter: 3,
		EjectMS: 1_000, MaxEjectMS: 30_000, ReportHalfLifeMS: 500,
	}
}

// Reason tells why an upstream was chosen.
type Reason string

// The reasons.
const (
	ReasonPrefix Reason = "prefix"
	ReasonProbe  Reason = "probe"
	ReasonLoad   Reason = "load"
	ReasonScan   Reason = "scan"
)

// Query asks for an upstream.
type Query struct {
	Pool string
	// Group and MinVersion ask for an engine that holds at least that weight
	// version of a trainer group. No group asks for none.
	Group      string
	MinVersion uint64
	// NewestVersion is the newest published version. Engines that lag behind it count
	// as busier. Zero asks for no preference.
	NewestVersion uint64
	// Prefix is the hash of the prompt's prefix. Zero asks for no affinity.
	Prefix uint64
	// Exclude names upstreams that were tried.
	Exclude []string
}

// Choice is the answer to a query.
type Choice struct {
	Upstream catalog.Upstream
	Reason   Reason
	// Load is the relative load of the upstream when it was chosen.
	Load float64
}

// Outcome is how a request ended at an upstream.
type Outcome struct {
	Failed bool
	// Running is what the agent told of all requests at the upstream, or
	// negative when it told nothing.
	Running int
	// TookMS and Tokens tell the pace. No tokens tell nothing.
	TookMS rollout.Millis
	Tokens int
}

const (
	// paceWeight is the weight of the newest request in the mean pace.
	paceWeight = 0.1
	// maxSlowness bounds how slow an upstream may count.
	maxSlowness = 4.0
	// costPerVersion is the load that one version of lag counts for, and
	// maxVersionsBehind bounds the versions counted.
	costPerVersion    = 0.6
	maxVersionsBehind = 3
	// pointsPerUpstream is the number of points of an upstream on the ring.
	pointsPerUpstream = 40
	// ringTries bounds the upstreams tried along the ring.
	ringTries = 4
	// pairTries bounds the pairs that are drawn.
	pairTries = 4
)

type point struct {
	hash uint64
	node *node
}

type node struct {
	upstream catalog.Upstream
	// outstanding is the number of own requests that run there.
	outstanding int
	// reported and reportedAt are the last load that an answer told, less own
	// requests.
	reported   float64
	reportedAt rollout.Millis
	failures   int
	ejectedFor rollout.Millis
	// ejectedUntil is zero while the upstream is in.
	ejectedUntil rollout.Millis
	probing      bool
	// msPerToken is the smoothed pace. Zero while it is not known.
	msPerToken float64
}

type pool struct {
	nodes []*node
	near  []*node
	ring  []point
	// outstanding is the sum over nodes.
	outstanding int
	slots       int
	// msPerToken is the smoothed pace of the pool.
	msPerToken float64
}

// Router is used by one thread at a time.
type Router struct {
	cfg   Config
	rand  rollout.Random
	nodes map[string]*node
	pools map[string]*pool
}

// New returns a router without upstreams.
func New(cfg Config, random rollout.Random) *Router {
	return &Router{cfg: cfg, rand: random, nodes: make(map[string]*node), pools: make(map[string]*pool)}
}

// Pick chooses an upstream and counts the request as outstanding there.
func (r *Router) Pick(now rollout.Millis, q Query) (Choice, bool) {
	p := r.pools[q.Pool]
	if p == nil {
		return Choice{}, false
	}
	n, reason := r.choose(now, p, q)
	if n == nil {
		return Choice{}, false
	}
	load := r.load(now, n)
	n.outstanding++
	p.outstanding++
	n.probing = n.probing || n.ejectedUntil > 0
	return Choice{Upstream: n.upstream, Reason: reason, Load: load}, true
}

// Finished notes the end of a request.
func (r *Router) Finished(now rollout.Millis, id string, o Outcome) {
	n := r.nodes[id]
	if n == nil {
		return
	}
	n.outstanding = max(0, n.outstanding-1)
	if p := r.pools[n.upstream.Pool]; p != nil {
		p.outstanding = max(0, p.outstanding-1)
	}
	if o.Running >= 0 {
		n.reported = math.Max(0, float64(o.Running-n.outstanding-1))
		n.reportedAt = now
	}
	if p := r.pools[n.upstream.Pool]; p != nil && !o.Failed && o.Tokens > 0 {
		pace := float64(o.TookMS) / float64(o.Tokens)
		n.msPerToken = smooth(n.msPerToken, pace, paceWeight)
		p.msPerToken = smooth(p.msPerToken, pace, paceWeight/float64(len(p.nodes)))
	}
	n.noteOutcome(now, r.cfg, o.Failed)
}

// Slots returns the slots of a pool's upstreams that take work.
func (r *Router) Slots(name string) int {
	if p := r.pools[name]; p != nil {
		return p.slots
	}
	return 0
}

// Sync takes the upstreams of a catalog. The state of those that stay is
// kept.
func (r *Router) Sync(c *catalog.Catalog) {
	changed := make(map[string]bool)
	for id, n := range r.nodes {
		if u, ok := c.Upstreams[id]; !ok || u.Incarnation != n.upstream.Incarnation {
			delete(r.nodes, id)
			changed[n.upstream.Pool] = true
		}
	}
	for id, u := range c.Upstreams {
		n := r.nodes[id]
		if n == nil {
			r.nodes[id] = &node{upstream: u}
			changed[u.Pool] = true
			continue
		}
		if n.upstream.Leaving != u.Leaving || n.upstream.Pool != u.Pool || n.upstream.Slots != u.Slots {
			changed[u.Pool], changed[n.upstream.Pool] = true, true
		}
		n.upstream = u
	}
	for name := range changed {
		r.rebuild(name)
	}
}

func (r *Router) choose(now rollout.Millis, p *pool, q Query) (*node, Reason) {
	if q.Prefix != 0 {
		if n := r.alongRing(now, p, q); n != nil {
			return n, ReasonPrefix
		}
	}
	for _, set := range [...][]*node{p.near, p.nodes} {
		if n := r.lessBusy(now, set, q); n != nil {
			if n.ejectedUntil > 0 {
				return n, ReasonProbe
			}
			return n, ReasonLoad
		}
	}
	for _, n := range p.nodes {
		if r.usable(now, n, q) {
			return n, ReasonScan
		}
	}
	return nil, ""
}

// alongRing returns the first upstream along the ring that is within the load
// bound.
func (r *Router) alongRing(now rollout.Millis, p *pool, q Query) *node {
	if len(p.ring) == 0 {
		return nil
	}
	mean := float64(p.outstanding+1) / float64(max(p.slots, 1))
	start, _ := slices.BinarySearchFunc(p.ring, q.Prefix, func(pt point, h uint64) int { return cmp.Compare(pt.hash, h) })
	var last *node
	tries := 0
	for i := 0; i < len(p.ring) && tries < ringTries; i++ {
		n := p.ring[(start+i)%len(p.ring)].node
		if n == last {
			continue
		}
		last = n
		tries++
		if r.usable(now, n, q) && r.withinBound(now, n, mean, q) {
			return n
		}
	}
	return nil
}

// lessBusy draws pairs and returns the less busy usable one of a pair.
func (r *Router) lessBusy(now rollout.Millis, set []*node, q Query) *node {
	if len(set) == 0 {
		return nil
	}
	for range pairTries {
		a := set[r.rand.Int64N(int64(len(set)))]
		b := set[r.rand.Int64N(int64(len(set)))]
		if r.usable(now, b, q) && (!r.usable(now, a, q) || r.cost(now, b, q) < r.cost(now, a, q)) {
			a = b
		}
		if r.usable(now, a, q) {
			return a
		}
	}
	return nil
}

// cost returns the load with one more request, weighted by how slow the
// upstream is beside its pool, plus what its lag in weight versions costs.
func (r *Router) cost(now rollout.Millis, n *node, q Query) float64 {
	load := (r.load(now, n) + 1/float64(max(n.upstream.Slots, 1))) * r.slowness(n)
	if q.NewestVersion == 0 {
		return load
	}
	behind := q.NewestVersion - min(q.NewestVersion, n.upstream.Versions[q.Group])
	return load + costPerVersion*float64(min(behind, maxVersionsBehind))
}

// slowness returns the pace of an upstream over that of its pool.
func (r *Router) slowness(n *node) float64 {
	p := r.pools[n.upstream.Pool]
	if p == nil || p.msPerToken == 0 || n.msPerToken == 0 {
		return 1
	}
	return min(max(n.msPerToken/p.msPerToken, 1/maxSlowness), maxSlowness)
}

// load returns the requests per slot: the own ones, and the reported ones
// discounted by their age.
func (r *Router) load(now rollout.Millis, n *node) float64 {
	others := n.reported * math.Exp2(-float64(now-n.reportedAt)/float64(r.cfg.ReportHalfLifeMS))
	return (float64(n.outstanding) + others) / float64(max(n.upstream.Slots, 1))
}

func (r *Router) rebuild(name string) {
	p := &pool{}
	if old := r.pools[name]; old != nil {
		p.msPerToken = old.msPerToken
	}
	for _, n := range r.nodes {
		if n.upstream.Pool != name {
			continue
		}
		p.outstanding += n.outstanding
		if n.upstream.Leaving {
			continue
		}
		p.nodes = append(p.nodes, n)
		p.slots += n.upstream.Slots
	}
	slices.SortFunc(p.nodes, func(a, b *node) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	for _, n := range p.nodes {
		if n.upstream.FailureDomain == r.cfg.FailureDomain {
			p.near = append(p.near, n)
		}
		for i := range pointsPerUpstream {
			p.ring = append(p.ring, point{xxhash.Sum64String(n.upstream.ID + "#" + strconv.Itoa(i)), n})
		}
	}
	slices.SortFunc(p.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	r.pools[name] = p
}

func (r *Router) usable(now rollout.Millis, n *node, q Query) bool {
	if q.Group != "" && n.upstream.Versions[q.Group] < q.MinVersion {
		return false
	}
	if n.ejectedUntil > 0 && (now < n.ejectedUntil || n.probing) {
		return false
	}
	return !slices.Contains(q.Exclude, n.upstream.ID)
}

// withinBound tells whether one more request keeps an upstream within the
// bound over the mean load of its pool.
func (r *Router) withinBound(now rollout.Millis, n *node, mean float64, q Query) bool {
	return r.cost(now, n, q) <= math.Max(r.cfg.LoadBound*mean, 1/float64(max(n.upstream.Slots, 1)))
}

// smooth moves a mean towards a new value.
func smooth(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

func (n *node) noteOutcome(now rollout.Millis, cfg Config, failed bool) {
	n.probing = false
	if !failed {
		n.failures, n.ejectedFor, n.ejectedUntil = 0, 0, 0
		return
	}
	n.failures++
	if n.failures < cfg.EjectAfter {
		return
	}
	n.ejectedFor = min(max(2*n.ejectedFor, cfg.EjectMS), cfg.MaxEjectMS)
	n.ejectedUntil = now + n.ejectedFor
}
