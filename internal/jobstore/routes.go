package jobstore

import (
	"context"
	"reflect"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// routeOf returns the route of a job under a configuration. last is the last one that is known,
// which a configuration that is older or has no such route leaves in force. It is nil for jobs
// of records of earlier releases, which hold the name only.
func routeOf(index *document.Index, spec *job.Spec, last *job.RouteInForce) (job.RouteInForce, bool) {
	if last != nil && index.Document.Version < last.DocumentVersion {
		return *last, true
	}
	if route, ok := findRoute(index, spec, last); ok {
		return job.RouteInForce{Route: route, DocumentVersion: index.Document.Version}, true
	}
	if last != nil {
		return *last, true
	}
	return job.RouteInForce{}, false
}

// findRoute looks the route of a job up in a configuration.
func findRoute(index *document.Index, spec *job.Spec, last *job.RouteInForce) (route document.Route, ok bool) {
	if last != nil {
		route, ok = index.RouteAt(last.Route.Host, last.Route.Prefix)
		return route, ok && route.Kind == document.RouteJob
	}
	if route, ok = index.RouteByName(spec.Route); ok || len(spec.Items) == 0 {
		return route, ok
	}
	route, ok = index.Route(spec.Host, spec.Items[0].Path)
	return route, ok && route.Kind == document.RouteJob
}

// routeAtOpening returns the route of a job that this leader opens. last is as in routeOf. A
// route without a pool is returned if there is none. The caller holds r.mu.
func (r *runner) routeAtOpening(spec *job.Spec, last *job.RouteInForce) job.RouteInForce {
	if route, ok := routeOf(r.index, spec, last); ok {
		return route
	}
	r.store.opts.Log.Warn("JobRouteNotFound", zap.String("Job", spec.ID), zap.String("Route", spec.Route), zap.Uint64("Version", r.index.Document.Version))
	return job.RouteInForce{Route: document.Route{MaxAttempts: 1, Split: []document.Share{{Weight: 1}}}}
}

// updateRoutes applies the routes and the regions of the configuration to the open jobs. A job
// may have been accepted by an entry with a newer copy of the configuration than this host had,
// so its route may be unknown or outdated here at first. A job keeps a route that is removed
// later. The caller holds r.mu.
func (r *runner) updateRoutes() {
	for jobID, items := range r.jobs {
		first := items[0]
		route, ok := routeOf(r.index, first.spec, first.lastRoute())
		if !ok {
			continue
		}
		regions := first.regions.with(r.index, first.spec, route)
		sameRoute := reflect.DeepEqual(route.Route, first.route)
		if sameRoute && regions.policy() == first.regions.policy() {
			continue
		}
		for _, w := range items {
			w.setRoute(route)
			w.regions = regions
		}
		if !sameRoute {
			r.goroutines.Go(func() { r.recordRoute(r.ctx, first, route) })
		}
		for _, t := range r.sched.TakeJob(jobID) {
			if w := r.findItem(t); w != nil {
				r.enqueue(w)
			}
		}
		r.store.opts.Log.Info("JobRouteChanged", zap.String("Job", jobID), zap.String("Route", route.Route.Name), zap.String("Pool", route.Route.PickPool(0)), zap.Stringer("Regions", regions.policy()))
	}
}

// recordRoute replicates the route of a job, so that the next leader knows it if a later
// configuration removes it. It gives up once the job has a newer route or this runner ends.
func (r *runner) recordRoute(ctx context.Context, w *workItem, route job.RouteInForce) {
	for {
		err := r.store.propose(ctx, job.Command{Route: &job.SetRoute{Writer: r.writer, JobID: w.spec.ID, Route: route}})
		if err == nil || rollout.AsError(err).Kind == rollout.KindNoAuthority || !sleep(ctx, proposeRetryDelay) {
			return
		}
		r.mu.Lock()
		isCurrent := w.routeVersion == route.DocumentVersion
		r.mu.Unlock()
		if !isCurrent {
			return
		}
	}
}

// setRoute sets the route of an item and when its result is due.
func (w *workItem) setRoute(route job.RouteInForce) {
	w.route, w.routeVersion = route.Route, route.DocumentVersion
	w.dueMS = w.queuedMS + w.route.ResultDeadlineMS - min(w.ageMS, w.route.ResultDeadlineMS)
}

// lastRoute returns the route of the item, or nil if it was never found.
func (w *workItem) lastRoute() *job.RouteInForce {
	if w.routeVersion == 0 {
		return nil
	}
	return &job.RouteInForce{Route: w.route, DocumentVersion: w.routeVersion}
}
