package jobstore

import (
	"slices"
	"sync/atomic"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// changeRoutes returns a view with a newer configuration whose routes are changed.
func changeRoutes(v view.State, change func([]document.Route) []document.Route) view.State {
	d := v.Index.Document
	d.Version++
	d.Routes = change(slices.Clone(d.Routes))
	v.Index = document.NewIndex(d)
	return v
}

func renameJobs(rs []document.Route) []document.Route {
	rs[0].Name = "renamed"
	return rs
}

func removeJobs(rs []document.Route) []document.Route { return rs[1:] }

// swapNames gives the name of the route of jobs to a route that leads to no engine.
func swapNames(rs []document.Route) []document.Route {
	rs[0].Name, rs[2].Name = rs[2].Name, rs[0].Name
	return rs
}

func moveJobs(rs []document.Route) []document.Route {
	rs[0].Split = []document.Share{{Pool: "others", Weight: 1}}
	return rs
}

// acceptedSpec is newSpec with the route by which an entry with a view accepted the job.
func acceptedSpec(v view.State, id string, items ...string) job.Spec {
	spec := newSpec(id, 1, items...)
	spec.Accepted = &job.RouteInForce{Route: v.Index.Document.Routes[0], DocumentVersion: v.Index.Document.Version}
	return spec
}

// Guards against items of an accepted job that are never run again: the route of the job has
// another name, or is gone, when the leader of the job store changes.
func TestNextLeaderRunsJobWhoseRouteWasChanged(t *testing.T) {
	for name, change := range map[string]func([]document.Route) []document.Route{
		"renamed": renameJobs, "removed": removeJobs, "name given to another route": swapNames,
	} {
		t.Run(name, func(t *testing.T) {
			var free atomic.Bool
			s, _ := newLeader(t, func(rollout.UpstreamRequest, int) *fault {
				if free.Load() {
					return nil
				}
				return &fault{status: 503, notRun: true}
			})
			first := testView(nil)
			spec := acceptedSpec(first, "j", "i1", "i2")
			submitJob(t, s, spec)
			s.applyView(changeRoutes(first, change))
			startNextRunner(t, s)
			free.Store(true)
			for _, r := range runJob(t, s, spec) {
				assertCompleted(t, r)
			}
		})
	}
}

// Guards against the same without a change of the leader: an entry accepts a job with its copy
// of a configuration that the job store has left behind.
func TestJobAcceptedByAnOlderRouteRuns(t *testing.T) {
	for name, change := range map[string]func([]document.Route) []document.Route{
		"renamed": renameJobs, "removed": removeJobs, "name given to another route": swapNames,
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newLeader(t, nil)
			first := testView(nil)
			s.applyView(changeRoutes(first, change))
			for _, r := range runJob(t, s, acceptedSpec(first, "j", "i1", "i2")) {
				assertCompleted(t, r)
			}
		})
	}
}

// Guards against items that a next leader runs where an earlier configuration allowed it: the
// route was moved to another pool before it was removed.
func TestNextLeaderKnowsLastRouteOfJob(t *testing.T) {
	var free atomic.Bool
	var elsewhere atomic.Int64
	s, _ := newLeader(t, func(x rollout.UpstreamRequest, _ int) *fault {
		if !free.Load() {
			return &fault{status: 503, notRun: true}
		}
		if x.Instance == "a" || x.Instance == "b" {
			elsewhere.Add(1)
		}
		return nil
	})
	v := testView(nil)
	other := v.Upstreams["a"]
	other.ID, other.Address, other.Pool = "o", "o", "others"
	v.Upstreams = map[string]discovery.Upstream{"a": v.Upstreams["a"], "b": v.Upstreams["b"], "s": v.Upstreams["s"], "o": other}
	d := v.Index.Document
	d.Pools = append(slices.Clone(d.Pools), document.Pool{Name: "others", Models: []string{"m"}})
	v.Index = document.NewIndex(d)
	s.applyView(v)
	spec := acceptedSpec(v, "j", "i1", "i2")
	submitJob(t, s, spec)
	moved := changeRoutes(v, moveJobs)
	s.applyView(moved)
	eventually(t, "the route is stored", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.state.Jobs["j"].Route.DocumentVersion == moved.Index.Document.Version
	})
	s.applyView(changeRoutes(moved, removeJobs))
	startNextRunner(t, s)
	free.Store(true)
	for _, r := range runJob(t, s, spec) {
		assertCompleted(t, r)
	}
	if n := elsewhere.Load(); n > 0 {
		t.Fatalf("%d runs in the pool of an earlier configuration, want none", n)
	}
}

// Guards against jobs of a log of an earlier release, which holds the name of their route only.
func TestJobOfEarlierReleaseFindsItsRoute(t *testing.T) {
	v := testView(nil)
	spec := newSpec("j", 1, "i1")
	for name, tc := range map[string]struct {
		index *document.Index
		want  string
	}{
		"by its name": {v.Index, "jobs"}, "by its items": {changeRoutes(v, renameJobs).Index, "renamed"},
		"not at all": {changeRoutes(v, removeJobs).Index, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got, ok := routeOf(tc.index, &spec, nil); got.Route.Name != tc.want || ok != (tc.want != "") {
				t.Fatalf("route %q, %v, want %q", got.Route.Name, ok, tc.want)
			}
		})
	}
}
