package weights

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// spread plays agents that renew every 50 ms while they lack a version, copy
// in fetchMS and swap in swapMS.
type spread struct {
	planner *Planner
	agents  []Agent
	groups  map[string]catalog.Group
	sizes   map[string]int
	now     rollout.Millis
	due     map[rollout.Millis][]func()
	// storeReads, copies and swapping count what runs at the moment.
	storeReads, mostStoreReads, swapping, mostSwapping int
	copies                                             map[string]int
	mostCopies, fromStore                              int
	dead                                               map[string]bool
}

const (
	fetchMS = 1_000
	swapMS  = 2_000
	pollMS  = 50
)

func newSpread(agents int) *spread {
	s := &spread{
		planner: New(DefaultConfig()), groups: map[string]catalog.Group{"g": {Name: "g", Pool: "p", Version: 1}},
		sizes: map[string]int{"p": 2 * agents}, due: make(map[rollout.Millis][]func()), copies: make(map[string]int), dead: make(map[string]bool),
	}
	for i := range agents {
		name := fmt.Sprintf("agent-%03d", i)
		a := Agent{Name: name, Address: name, FailureDomain: fmt.Sprint(i % 7)}
		for e := range 2 {
			a.Upstreams = append(a.Upstreams, catalog.Upstream{
				ID: fmt.Sprintf("%s-%d", name, e), Kind: catalog.UpstreamEngine, Pool: "p", Versions: map[string]uint64{},
			})
		}
		s.agents = append(s.agents, a)
	}
	return s
}

func (s *spread) after(d rollout.Millis, run func()) { s.due[s.now+d] = append(s.due[s.now+d], run) }

// run lets time pass until all engines have the version, and returns how long
// that took.
func (s *spread) run(t *testing.T, limit rollout.Millis) rollout.Millis {
	t.Helper()
	for ; s.now < limit; s.now += pollMS {
		for _, run := range s.due[s.now] {
			run()
		}
		lacking := 0
		for i := range s.agents {
			if s.dead[s.agents[i].Name] {
				continue
			}
			lacking += s.renew(&s.agents[i])
		}
		if lacking == 0 {
			return s.now
		}
	}
	t.Fatalf("not all engines have the version after %d ms", limit)
	return 0
}

func (s *spread) renew(a *Agent) int {
	lacking := 0
	for _, u := range a.Upstreams {
		if u.Versions["g"] < s.groups["g"].Version {
			lacking++
		}
	}
	tasks := s.planner.Next(s.now, *a, s.groups, s.sizes)
	for _, f := range tasks.Fetches {
		s.fetch(a, f)
	}
	for _, sw := range tasks.Swaps {
		s.swap(a, sw)
	}
	return lacking
}

func (s *spread) fetch(a *Agent, f Fetch) {
	if f.Source == "" {
		s.storeReads++
		s.fromStore++
		s.mostStoreReads = max(s.mostStoreReads, s.storeReads)
	} else {
		s.copies[f.Source]++
		s.mostCopies = max(s.mostCopies, s.copies[f.Source])
	}
	s.after(fetchMS, func() {
		if f.Source == "" {
			s.storeReads--
		} else {
			s.copies[f.Source]--
		}
		if s.dead[f.Source] {
			s.planner.FetchFailed(a.Name, f.Blob, f.Source)
			return
		}
		if !s.dead[a.Name] {
			s.planner.AddHolder(*a, f.Blob)
		}
	})
}

func (s *spread) swap(a *Agent, sw Swap) {
	s.swapping++
	s.mostSwapping = max(s.mostSwapping, s.swapping)
	s.after(swapMS, func() {
		s.swapping--
		s.planner.FinishSwap(sw)
		for i, u := range a.Upstreams {
			if u.ID == sw.Upstream {
				a.Upstreams[i] = u.WithVersions(map[string]uint64{"g": sw.Version})
			}
		}
	})
}

// TestAllEnginesInTime has the size of two years: 340 agents with two engines
// each must have a new version within 23 s.
func TestAllEnginesInTime(t *testing.T) {
	s := newSpread(340)
	took := s.run(t, 23_000)
	cfg := DefaultConfig()
	t.Logf("all engines after %d ms, %d reads of the store", took, s.fromStore)
	if s.mostStoreReads > cfg.StoreReaders {
		t.Errorf("%d read the store at a time", s.mostStoreReads)
	}
	if s.mostCopies > cfg.Fanout {
		t.Errorf("%d copied from one agent at a time", s.mostCopies)
	}
	if limit := int(cfg.SwapShare * 680); s.mostSwapping > limit {
		t.Errorf("%d engines swapped at a time, limit %d", s.mostSwapping, limit)
	}
}

func TestLostSourcesAreReplaced(t *testing.T) {
	s := newSpread(60)
	for i := range 60 {
		if i%5 == 0 {
			name := s.agents[i].Name
			s.after(1_500, func() {
				s.dead[name] = true
				s.planner.RemoveAgent(name)
			})
		}
	}
	s.run(t, 30_000)
}

func TestANewerVersionReplacesTheOlder(t *testing.T) {
	s := newSpread(20)
	s.after(1_200, func() { s.groups = map[string]catalog.Group{"g": {Name: "g", Pool: "p", Version: 2}} })
	s.run(t, 30_000)
	for _, a := range s.agents {
		for _, u := range a.Upstreams {
			if u.Versions["g"] != 2 {
				t.Fatalf("%s has version %d", u.ID, u.Versions["g"])
			}
		}
	}
}
