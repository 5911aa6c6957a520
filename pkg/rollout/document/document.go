// Package document defines versioned configuration documents, their validation,
// and the lookup of routes and client accounts.
package document

import (
	"cmp"
	"slices"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// RouteKind defines which requests of a route may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// RouteIdempotent allows a request to run more than once.
	RouteIdempotent RouteKind = "Idempotent"
	// RouteOnce allows a request to run at most once for each attempt of the
	// caller.
	RouteOnce RouteKind = "Once"
	// RouteJob accepts batch jobs.
	RouteJob RouteKind = "Job"
)

// Share is the share of a route's traffic that a pool gets.
type Share struct {
	Pool string
	// Weight is not negative.
	Weight int
}

// Route forwards matching requests to pools.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Streaming is true if responses are event streams.
	Streaming bool
	// Resumable is true if another upstream may continue a stream.
	Resumable bool
	// Public is true if callers need no API key.
	Public bool
	// SingleVersion is true if one weight version must generate the whole
	// sample.
	SingleVersion bool
	// Priority ranks routes; 0 is the highest.
	Priority int
	// MaxAttempts limits the number of upstreams that may have run a request. An
	// upstream that refused it before it ran does not count.
	MaxAttempts int
	// TimeoutMS is the maximum time that a request may take.
	TimeoutMS rollout.Millis
	// TargetLatencyMS is the response time above which a request counts as slow.
	// The delay before a hedge is a fraction of it.
	TargetLatencyMS rollout.Millis
	// ResultDeadlineMS and MaxQueueMS are measured from the submission of a
	// job.
	ResultDeadlineMS rollout.Millis
	MaxQueueMS       rollout.Millis
	// Split divides the traffic between pools. It is not empty.
	Split []Share
	// Regions are the regions in which requests may be served, or empty for any.
	Regions []string `json:",omitempty"`
}

// HasPool reports whether the route sends traffic to a pool.
func (r Route) HasPool(pool string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Pool == pool && s.Weight > 0 })
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string
	// MaxConns limits the connections that an upstream accepts from all hosts
	// together.
	MaxConns int
	// Models are the models that the engines of the pool serve. It is empty
	// for a pool of services.
	Models []string `json:",omitempty"`
	// ColdStartMS is how long an upstream stays cold after its start, or 0 if it is never
	// cold. ColdPerSecond is the rate of requests that a cold upstream tolerates.
	ColdStartMS   rollout.Millis `json:",omitempty"`
	ColdPerSecond float64        `json:",omitempty"`
}

// CanBeCold reports whether the upstreams of the pool tolerate only a low rate of requests
// for some time after they start.
func (p Pool) CanBeCold() bool { return p.ColdStartMS > 0 && p.ColdPerSecond > 0 }

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if it is not nil.
	Priority *int `json:",omitempty"`
	// Regions are the regions in which requests of the account may be served, or empty for
	// any. If a route has regions too, both apply.
	Regions []string `json:",omitempty"`
}

// Limits are the size and time limits for requests from callers.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int
	HeaderTimeoutMS rollout.Millis
	IdleTimeoutMS   rollout.Millis
}

// Document is a complete configuration. It is immutable.
type Document struct {
	Version uint64
	Routes  []Route
	Pools   []Pool
	Limits  Limits
	// Accounts is empty if callers need no API keys.
	Accounts []Account
}

// Validate returns an error for the first invalid field that it finds.
func (d Document) Validate() error {
	pools := make(map[string]bool)
	for _, p := range d.Pools {
		if p.Name == "" || pools[p.Name] {
			return invalid("pool %q: empty or duplicate name", p.Name)
		}
		pools[p.Name] = true
	}
	routeByLocation := make(map[string]string)
	for _, r := range d.Routes {
		if err := r.validate(pools); err != nil {
			return err
		}
		location := strings.ToLower(r.Host) + r.Prefix
		if other, taken := routeByLocation[location]; taken {
			return invalid("routes %q and %q have the same host and prefix", other, r.Name)
		}
		routeByLocation[location] = r.Name
	}
	accountByKey := make(map[string]string)
	for _, a := range d.Accounts {
		for _, k := range a.Keys {
			if other, taken := accountByKey[k]; taken && other != a.Name {
				return invalid("client accounts %q and %q have the same key", other, a.Name)
			}
			accountByKey[k] = a.Name
		}
	}
	return nil
}

func (r Route) validate(pools map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if r.TimeoutMS <= 0 {
		return invalid("route %q: timeout is %d ms, must be positive", r.Name, r.TimeoutMS)
	}
	total := 0
	for _, s := range r.Split {
		if !pools[s.Pool] {
			return invalid("route %q: unknown pool %q", r.Name, s.Pool)
		}
		if s.Weight < 0 {
			return invalid("route %q: negative weight %d of pool %q", r.Name, s.Weight, s.Pool)
		}
		total += s.Weight
	}
	if total <= 0 {
		return invalid("route %q: the weights of its %d pools add up to 0", r.Name, len(r.Split))
	}
	return nil
}

func invalid(format string, args ...any) error {
	return rollout.NewError(rollout.KindInvalidInput, format, args...)
}

// Index is a lookup index of a document. It is immutable.
type Index struct {
	Document Document
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]Route
	// byKey holds the client account of each key.
	byKey map[string]Account
	// accounts holds the client accounts by name.
	accounts map[string]Account
	pools    map[string]Pool
}

// NewIndex returns the index of a document.
func NewIndex(d Document) *Index {
	x := &Index{
		Document: d, byHost: make(map[string][]Route),
		byKey: make(map[string]Account), accounts: make(map[string]Account), pools: make(map[string]Pool),
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		x.byHost[host] = append(x.byHost[host], r)
	}
	for _, rs := range x.byHost {
		slices.SortFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, a := range d.Accounts {
		x.accounts[a.Name] = a
		for _, k := range a.Keys {
			x.byKey[k] = a
		}
	}
	for _, p := range d.Pools {
		x.pools[p.Name] = p
	}
	return x
}

// Account returns the client account of a key.
func (x *Index) Account(key string) (Account, bool) {
	a, ok := x.byKey[key]
	return a, ok && key != ""
}

// AccountByName returns the client account with a name.
func (x *Index) AccountByName(name string) (Account, bool) {
	a, ok := x.accounts[name]
	return a, ok
}

// Pool returns the pool with a name.
func (x *Index) Pool(name string) (Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// Route returns the route of a host with the longest prefix that matches the
// path.
func (x *Index) Route(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range x.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RouteAt returns the route of a host with a prefix. Together they identify a route: two of a
// document never have both in common, while a name may be given to another route.
func (x *Index) RouteAt(host, prefix string) (Route, bool) {
	for _, r := range x.byHost[strings.ToLower(host)] {
		if r.Prefix == prefix {
			return r, true
		}
	}
	return Route{}, false
}

// RouteByName returns the route with a name.
func (x *Index) RouteByName(name string) (Route, bool) {
	for _, r := range x.Document.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// PickPool returns the pool at a point of the weighted split. The point is in
// [0, 1).
func (r Route) PickPool(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Split {
		if remaining < float64(s.Weight) {
			return s.Pool
		}
		remaining -= float64(s.Weight)
	}
	return r.Split[len(r.Split)-1].Pool
}
