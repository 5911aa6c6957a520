package gateway

import (
	mathrand "math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/residency"
)

// What is refused because of the regions that are allowed, as counted and logged.
const (
	refusedRequest = "Request"
	refusedJob     = "Job"
)

// recordRegionRefusal logs and counts the refusal of a request or job.
func (g *Gateway) recordRegionRefusal(refused, id string, policy residency.Policy) {
	g.metrics.regionRefusals.WithLabelValues(refused).Inc()
	g.opts.Log.Warn("RegionRefused", zap.String("Refused", refused), zap.String("Request", id), zap.Stringer("Allowed", policy))
}

// policyOf returns what the current configuration allows for a route and a client account
// together. A route or an account that has been removed from it counts as it was.
func (g *Gateway) policyOf(route document.Route, account document.Account) residency.Policy {
	if index := g.watcher.State().Index; index != nil {
		if current, ok := index.RouteAt(route.Host, route.Prefix); ok {
			route = current
		}
		if current, ok := index.AccountByName(account.Name); ok {
			account = current
		}
	}
	return residency.NewPolicy(route.Regions, account.Regions)
}

// accountNamed returns the client account with a name in the current configuration, or one
// that allows every region if there is none.
func (g *Gateway) accountNamed(name string) document.Account {
	if index := g.watcher.State().Index; index != nil {
		if a, ok := index.AccountByName(name); ok {
			return a
		}
	}
	return document.Account{Name: name}
}

// restrict returns the function that restricts the attempts of a request to the regions
// that its route and its client account allow. Later attempts follow the configuration that
// is then in force.
func (g *Gateway) restrict(route document.Route, account document.Account) func() balance.Restriction {
	return func() balance.Restriction {
		policy := g.policyOf(route, account)
		if !policy.IsRestricted() {
			return nil
		}
		return func(domain string) bool { return g.regions.Allows(policy, domain) }
	}
}

// pickPool returns the pool of a request. A request whose pool has no upstream within its
// restriction goes to another pool of its route that has one.
func (g *Gateway) pickPool(route document.Route, within balance.Restriction) string {
	pool := route.PickPool(mathrand.Float64())
	if within == nil || g.balancer.HasReady(pool, within) {
		return pool
	}
	split := slices.DeleteFunc(slices.Clone(route.Split), func(s document.Share) bool {
		return s.Weight == 0 || !g.balancer.HasReady(s.Pool, within)
	})
	if len(split) == 0 {
		return pool
	}
	route.Split = split
	return route.PickPool(mathrand.Float64())
}

// setRoute sets the route of a job and its residency from the current configuration. It returns
// the policy.
func (g *Gateway) setRoute(spec *job.Spec, route document.Route) residency.Policy {
	index := g.watcher.State().Index
	if index == nil {
		return residency.Policy{}
	}
	if current, ok := index.RouteAt(route.Host, route.Prefix); ok && current.Kind == document.RouteJob {
		route = current
	}
	spec.Route, spec.Accepted = route.Name, &job.RouteInForce{Route: route, DocumentVersion: index.Document.Version}
	account, _ := index.AccountByName(spec.Account)
	policy := residency.NewPolicy(route.Regions, account.Regions)
	if policy.IsRestricted() {
		spec.Residency = &job.Residency{
			DocumentVersion: index.Document.Version, RouteRegions: route.Regions, AccountRegions: account.Regions,
			EntryDomain: g.opts.FailureDomain,
		}
	}
	return policy
}

// checkStore returns an error unless a host is a known member of the job store and every
// known member may keep a job with a policy. A member whose failure domain is unknown may
// not..
func (g *Gateway) checkStore(policy residency.Policy, address string) error {
	f := g.watcher.State().Facts
	members := slices.Clone(f.Stores)
	if f.StoreLeader != "" && !slices.Contains(members, f.StoreLeader) {
		members = append(members, f.StoreLeader)
	}
	if len(members) == 0 {
		return rollout.NewError(rollout.KindRegionNotAllowed, "the members of the job store are not known yet").WithNotRun()
	}
	if address != "" && !slices.Contains(members, address) {
		return rollout.NewError(rollout.KindRegionNotAllowed, "%s is not a known member of the job store", address).WithNotRun()
	}
	for _, m := range members {
		if domain := f.StoreDomains[m]; !g.regions.MayKeep(policy, g.opts.FailureDomain, domain) {
			return rollout.NewError(rollout.KindRegionNotAllowed, "member %s of the job store is in region %q, allowed are %v", m, g.regions.Region(domain), policy).WithNotRun()
		}
	}
	return nil
}
