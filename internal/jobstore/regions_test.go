package jobstore

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

// testRegions are the regions of the failure domains of the tests. The job store is in d.
var testRegions = map[string]string{"d": "east", "e": "east", "n": "north", "w": "west"}

// regionLog records at which upstreams requests arrive.
type regionLog struct {
	mu sync.Mutex
	at []string
	// fault returns the fault of a run, or nil. It may be nil itself.
	fault func(x rollout.UpstreamRequest, run int) *fault
}

func (l *regionLog) faultFor(x rollout.UpstreamRequest, run int) *fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, x.Instance)
	if l.fault == nil {
		return nil
	}
	return l.fault(x, run)
}

// assertOnlyAt fails unless requests arrived, and at no other than the given upstreams.
func (l *regionLog) assertOnlyAt(t *testing.T, ids ...string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.at) == 0 || slices.ContainsFunc(l.at, func(id string) bool { return !slices.Contains(ids, id) }) {
		t.Fatalf("requests at %v, want some at %v only", l.at, ids)
	}
}

// regionView returns the view of testView with engines in the regions east, west and an
// unknown one, a scorer in each of these, and a document with the given regions.
func regionView(version uint64, jobs, scores, account []string) view.State {
	v := testView(nil)
	u, s := v.Upstreams["a"], v.Upstreams["s"]
	v.Upstreams = make(map[string]discovery.Upstream)
	for id, domain := range map[string]string{"east": "e", "west": "w", "unknown": "x"} {
		u.ID, u.Address, u.FailureDomain = id, id, domain
		s.ID, s.Address, s.FailureDomain = "scorer-"+id, "scorer-"+id, domain
		v.Upstreams[u.ID], v.Upstreams[s.ID] = u, s
	}
	d := v.Index.Document
	d.Version = version
	d.Accounts = []document.Account{{Name: "acc", Regions: account}}
	d.Routes = slices.Clone(d.Routes)
	for i := range d.Routes {
		d.Routes[i].Regions = jobs
		if d.Routes[i].Name == "scores" {
			d.Routes[i].Regions = scores
		}
	}
	v.Index = document.NewIndex(d)
	return v
}

// withMaxQueue returns the view with another maximum queueing time of the jobs.
func withMaxQueue(v view.State, ms rollout.Millis) view.State {
	d := v.Index.Document
	d.Routes = slices.Clone(d.Routes)
	for i := range d.Routes {
		d.Routes[i].MaxQueueMS = ms
	}
	v.Index = document.NewIndex(d)
	return v
}

// Guards against items, their further runs and their scorer calls in regions that are not
// allowed when the upstreams in allowed ones are full or fail.
func TestItemsRunWhereRouteAndAccountAllow(t *testing.T) {
	for name, tc := range map[string]struct {
		jobs, scores, account []string
		want                  []string
	}{
		"route":   {jobs: []string{"east"}, want: []string{"east", "scorer-east"}},
		"account": {account: []string{"east"}, want: []string{"east", "scorer-east"}},
		"both":    {jobs: []string{"east", "north"}, account: []string{"west", "east"}, want: []string{"east", "scorer-east"}},
		"scorer":  {jobs: []string{"east", "west"}, scores: []string{"east"}, want: []string{"east", "west", "scorer-east"}},
	} {
		t.Run(name, func(t *testing.T) {
			l := &regionLog{fault: func(x rollout.UpstreamRequest, run int) *fault {
				if run > 1 {
					return nil
				}
				if strings.HasPrefix(x.AttemptID, "score-") {
					return &fault{status: 500}
				}
				return &fault{breakAfter: 2}
			}}
			s, _ := newLeader(t, l.faultFor)
			s.applyView(regionView(2, tc.jobs, tc.scores, tc.account))
			for _, r := range runJob(t, s, newSpec("j", 1, itemNames(20)...)) {
				assertCompleted(t, r)
			}
			l.assertOnlyAt(t, tc.want...)
		})
	}
}

// Guards against items that go on under the regions of an earlier configuration.
func TestQueuedItemsFollowRegionsOfTheConfiguration(t *testing.T) {
	l := &regionLog{}
	s, _ := newLeader(t, l.faultFor)
	s.applyView(regionView(2, nil, nil, []string{"north"}))
	spec := newSpec("j", 1, itemNames(8)...)
	spec.Residency = &job.Residency{DocumentVersion: 2, AccountRegions: []string{"north"}, EntryDomain: "d"}
	submitJob(t, s, spec)
	time.Sleep(3 * pollInterval)
	s.applyView(regionView(3, nil, nil, []string{"west"}))
	for _, r := range runJob(t, s, spec) {
		assertCompleted(t, r)
	}
	l.assertOnlyAt(t, "west", "scorer-west")
}

// Guards against items that wait for ever, or run elsewhere, when no engine is in an allowed
// region.
func TestItemThatNoEngineMayRunIsAbandonedAfterMaxQueue(t *testing.T) {
	const maxQueueMS = 300
	l := &regionLog{}
	s, f := newLeader(t, l.faultFor)
	s.applyView(withMaxQueue(regionView(2, []string{"east"}, nil, []string{"west"}), maxQueueMS))
	started := time.Now()
	spec := newSpec("j", 1, "i1", "i2")
	spec.Residency = &job.Residency{EntryDomain: "d"}
	for id, r := range runJob(t, s, spec) {
		if r.State != job.StateAbandoned {
			t.Fatalf("result %+v, want abandoned", r)
		}
		assertRuns(t, f, id, 0)
	}
	if took := time.Since(started); took < maxQueueMS*time.Millisecond {
		t.Fatalf("abandoned after %v, before the maximum queueing time", took)
	}
}

// Guards against items that run anywhere until the job store has the configuration with
// which an entry accepted their job.
func TestItemsKeepToRegionsOfNewerConfigurationOfTheEntry(t *testing.T) {
	l := &regionLog{}
	s, _ := newLeader(t, l.faultFor)
	s.applyView(regionView(2, nil, nil, nil))
	spec := newSpec("j", 1, itemNames(8)...)
	spec.Residency = &job.Residency{DocumentVersion: 3, AccountRegions: []string{"east"}, EntryDomain: "d"}
	for _, r := range runJob(t, s, spec) {
		assertCompleted(t, r)
	}
	l.assertOnlyAt(t, "east", "scorer-east")
}

// Guards against regions that get lost when the route or the client account is removed, and
// against those of an older configuration.
func TestRegionsOfJob(t *testing.T) {
	spec := newSpec("j", 1)
	spec.Residency = &job.Residency{DocumentVersion: 3, RouteRegions: []string{"east", "west"}, AccountRegions: []string{"east"}}
	empty := document.NewIndex(document.Document{Version: 9})
	for name, tc := range map[string]struct {
		index *document.Index
		want  string
	}{
		"no configuration":           {nil, "east"},
		"older configuration":        {regionView(2, nil, nil, nil).Index, "east"},
		"same configuration":         {regionView(3, []string{"west", "north"}, nil, []string{"north"}).Index, "north"},
		"configuration widened":      {regionView(4, nil, nil, nil).Index, "any region"},
		"route and account removed":  {empty, "east"},
		"regions with nothing alike": {regionView(4, []string{"west"}, nil, []string{"north"}).Index, "no region"},
	} {
		var route job.RouteInForce
		if tc.index != nil {
			route, _ = routeOf(tc.index, &spec, nil)
		}
		if got := regionsAtSubmission(&spec).with(tc.index, &spec, route).policy().String(); got != tc.want {
			t.Errorf("%s: %s allowed, want %s", name, got, tc.want)
		}
	}
}

// Guards against a job that the leader keeps although its own members may not, because the
// entry did not know of them.
func TestLeaderRefusesJobThatItsMembersMayNotKeep(t *testing.T) {
	s, _ := newLeader(t, nil)
	s.applyView(regionView(2, nil, nil, []string{"west"}))
	spec := newSpec("j", 1, "i")
	for name, residency := range map[string]*job.Residency{
		"no residency":  nil,
		"other region":  {DocumentVersion: 2, AccountRegions: []string{"west"}, EntryDomain: "w"},
		"unknown entry": {DocumentVersion: 2, AccountRegions: []string{"west"}},
	} {
		spec.Residency = residency
		_, err := s.submit(t.Context(), spec)
		if err == nil || rollout.AsError(err).Kind != rollout.KindRegionNotAllowed || !rollout.AsError(err).NotRun {
			t.Fatalf("%s: got error %v, want RegionNotAllowed, not run", name, err)
		}
	}
	if s.hasJob("j") {
		t.Fatal("the refused job was kept")
	}
	spec.Residency = &job.Residency{DocumentVersion: 2, AccountRegions: []string{"west"}, EntryDomain: "e"}
	if _, err := s.submit(t.Context(), spec); err != nil {
		t.Fatalf("job of an entry in the region of the members: %v", err)
	}
	spec.Residency = nil
	if _, err := s.submit(t.Context(), spec); err != nil {
		t.Fatalf("job that was accepted before: %v", err)
	}
}
