package jobstore

import (
	"slices"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/residency"
)

// jobRegions are the regions that the route and the client account of a job name. It is
// immutable.
type jobRegions struct{ route, account []string }

// regionsAtSubmission returns the regions of a job as the entry knew them.
func regionsAtSubmission(spec *job.Spec) jobRegions {
	if r := spec.Residency; r != nil {
		return jobRegions{r.RouteRegions, r.AccountRegions}
	}
	return jobRegions{}
}

// with returns the regions of a job under a configuration with a route. A configuration older
// than that of the entry changes nothing, nor does the removal of the route or of the client
// account.
func (a jobRegions) with(index *document.Index, spec *job.Spec, route job.RouteInForce) jobRegions {
	if r := spec.Residency; index == nil || (r != nil && index.Document.Version < r.DocumentVersion) {
		return a
	}
	if route.DocumentVersion > 0 {
		a.route = route.Route.Regions
	}
	if account, ok := index.AccountByName(spec.Account); ok {
		a.account = account.Regions
	}
	return a
}

func (a jobRegions) policy() residency.Policy { return residency.NewPolicy(a.route, a.account) }

// checkMembers returns an error unless every member of the job store may keep a job. An
// entry checks the members that it knows; this host knows them all. A member whose failure
// domain is unknown may not.
func (r *runner) checkMembers(spec *job.Spec) error {
	r.mu.Lock()
	policy := regionsAtSubmission(spec).policy()
	if r.index != nil {
		route, _ := routeOf(r.index, spec, spec.Accepted)
		policy = regionsAtSubmission(spec).with(r.index, spec, route).policy()
	}
	r.mu.Unlock()
	if !policy.IsRestricted() {
		return nil
	}
	entry := ""
	if spec.Residency != nil {
		entry = spec.Residency.EntryDomain
	}
	s := r.store
	domains, members := s.watcher.State().Facts.StoreDomains, s.replica.Status().Members
	for _, m := range slices.Concat(members.Voters, members.Learners) {
		domain := domains[m.Address]
		if m.Address == s.opts.Address {
			domain = s.opts.FailureDomain
		}
		if s.regions.MayKeep(policy, entry, domain) {
			continue
		}
		s.metrics.regionRefusals.Inc()
		s.opts.Log.Warn("RegionRefused", zap.String("Job", spec.ID), zap.String("Member", m.Address), zap.String("Region", s.regions.Region(domain)), zap.Stringer("Allowed", policy))
		return rollout.NewError(rollout.KindRegionNotAllowed, "member %s of the job store is in region %q, allowed are %v", m.Address, s.regions.Region(domain), policy).WithNotRun()
	}
	return nil
}

// scorerRoute returns the current route of a scorer.
func (r *runner) scorerRoute(sc *job.Scorer) (document.Route, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.index.Route(sc.Host, sc.Path)
}

// restrictScorer returns the restriction of a call to the scorer of an item: that of the
// item and that of the scorer's route, both as they are now. route is the route at the
// beginning of the call, which counts if it has been removed since.
func (r *runner) restrictScorer(w *workItem, route document.Route) balance.Restriction {
	if current, ok := r.scorerRoute(w.item.Scorer); ok {
		route = current
	}
	r.mu.Lock()
	policy := w.regions.policy().And(residency.NewPolicy(route.Regions, nil))
	r.mu.Unlock()
	if !policy.IsRestricted() {
		return nil
	}
	return func(domain string) bool { return r.store.regions.Allows(policy, domain) }
}
