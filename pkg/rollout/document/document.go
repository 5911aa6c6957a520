// Package document holds whole configurations by version: their checks, and
// the lookup of routes and client accounts.
package document

import (
	"cmp"
	"slices"
	"strings"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// RouteKind tells what may be repeated on a route.
type RouteKind string

// The kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "Idempotent"
	// RouteOnce requests run at most once for each attempt of the caller.
	RouteOnce RouteKind = "Once"
	// RouteJob takes batch jobs.
	RouteJob RouteKind = "Job"
)

// Share is a part of a route's traffic.
type Share struct {
	Pool string
	// Weight is at least 0.
	Weight int
}

// Route leads requests to pools.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Streaming answers are series of events.
	Streaming bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Public routes need no key.
	Public bool
	// SingleVersion samples are made under one weight version.
	SingleVersion bool
	// Priority ranks routes; 0 goes first.
	Priority int
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// TimeoutMS is the longest time that a request is kept waiting.
	TimeoutMS       rollout.Millis
	TargetLatencyMS rollout.Millis
	// ResultDeadlineMS and MaxQueueMS count from the submission of a job.
	ResultDeadlineMS rollout.Millis
	MaxQueueMS       rollout.Millis
	// Split is not empty.
	Split []Share
}

// Pool is a set of upstreams that serve the same.
type Pool struct {
	Name string
	// MaxConns bounds the connections that one upstream accepts from all.
	MaxConns int
	// Models are those that the engines of the pool serve. Empty for plain
	// services.
	Models []string `json:",omitempty"`
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before that of the route when it is not nil.
	Priority *int `json:",omitempty"`
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int
	HeaderTimeoutMS rollout.Millis
	IdleTimeoutMS   rollout.Millis
}

// Document is a whole configuration. It is immutable.
type Document struct {
	Version uint64
	Routes  []Route
	Pools   []Pool
	Limits  Limits
	// Accounts is empty when no keys are asked for.
	Accounts []Account
}

// Validate returns an error that names the first place that is wrong.
func (d Document) Validate() error {
	pools := make(map[string]bool)
	for _, p := range d.Pools {
		if p.Name == "" || pools[p.Name] {
			return invalid("pool %q: empty or repeated name", p.Name)
		}
		pools[p.Name] = true
	}
	places := make(map[string]string)
	for _, r := range d.Routes {
		if err := r.validate(pools); err != nil {
			return err
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if other, taken := places[place]; taken {
			return invalid("routes %q and %q share host and prefix", other, r.Name)
		}
		places[place] = r.Name
	}
	owners := make(map[string]string)
	for _, a := range d.Accounts {
		for _, k := range a.Keys {
			if other, taken := owners[k]; taken && other != a.Name {
				return invalid("accounts %q and %q share a key", other, a.Name)
			}
			owners[k] = a.Name
		}
	}
	return nil
}

func (r Route) validate(pools map[string]bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if r.TimeoutMS <= 0 {
		return invalid("route %q: the timeout is 0", r.Name)
	}
	total := 0
	for _, s := range r.Split {
		if !pools[s.Pool] {
			return invalid("route %q: unknown pool %q", r.Name, s.Pool)
		}
		if s.Weight < 0 {
			return invalid("route %q: weight %d of pool %q", r.Name, s.Weight, s.Pool)
		}
		total += s.Weight
	}
	if total <= 0 {
		return invalid("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return rollout.NewError(rollout.KindInvalidInput, format, args...)
}

// Index answers lookups in a document. It is immutable.
type Index struct {
	Document Document
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]Route
	// byKey holds the account of each key.
	byKey map[string]Account
	pools map[string]Pool
}

// NewIndex returns the index of a document.
func NewIndex(d Document) *Index {
	x := &Index{
		Document: d, byHost: make(map[string][]Route),
		byKey: make(map[string]Account), pools: make(map[string]Pool),
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		x.byHost[host] = append(x.byHost[host], r)
	}
	for _, rs := range x.byHost {
		slices.SortFunc(rs, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, a := range d.Accounts {
		for _, k := range a.Keys {
			x.byKey[k] = a
		}
	}
	for _, p := range d.Pools {
		x.pools[p.Name] = p
	}
	return x
}

// Account returns the account that holds a key.
func (x *Index) Account(key string) (Account, bool) {
	a, ok := x.byKey[key]
	return a, ok && key != ""
}

// Pool returns a pool by name.
func (x *Index) Pool(name string) (Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// Route returns the route of a host whose prefix is the longest that begins
// the path.
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

// RouteByName returns a route by name.
func (x *Index) RouteByName(name string) (Route, bool) {
	for _, r := range x.Document.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// PickPool returns the pool of a request. Point lies in [0, 1).
func (r Route) PickPool(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := point * float64(total)
	for _, s := range r.Split {
		if left < float64(s.Weight) {
			return s.Pool
		}
		left -= float64(s.Weight)
	}
	return r.Split[len(r.Split)-1].Pool
}
