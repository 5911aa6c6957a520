package weights

import (
	"fmt"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// simulation runs a planner with simulated agents, which request tasks every
// pollMS. A fetch takes fetchMS and a swap takes swapMS.
type simulation struct {
	planner          *Planner
	agents           []Agent
	groups           map[string]catalog.Group
	upstreamsPerPool map[string]int
	now              rollout.Millis
	// due holds the callbacks that run at a simulated time.
	due map[rollout.Millis][]func()
	// storeReads, copies (by source) and swapping count the active operations.
	// The max fields hold the highest count seen.
	storeReads, maxStoreReads, swapping, maxSwapping int
	copies                                           map[string]int
	maxCopies, totalStoreReads                       int
	lost                                             map[string]bool
}

const (
	fetchMS = 1_000
	swapMS  = 2_000
	pollMS  = 50
)

func newSimulation(agents int) *simulation {
	s := &simulation{
		planner: New(DefaultConfig()), groups: map[string]catalog.Group{"g": {Name: "g", Pool: "p", Version: 1}},
		upstreamsPerPool: map[string]int{"p": 2 * agents}, due: make(map[rollout.Millis][]func()), copies: make(map[string]int), lost: make(map[string]bool),
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

func (s *simulation) after(d rollout.Millis, run func()) {
	s.due[s.now+d] = append(s.due[s.now+d], run)
}

// run advances the simulated time until all engines have the current version,
// and returns the time that this took.
func (s *simulation) run(t *testing.T, limit rollout.Millis) rollout.Millis {
	t.Helper()
	for ; s.now < limit; s.now += pollMS {
		for _, run := range s.due[s.now] {
			run()
		}
		outdated := 0
		for i := range s.agents {
			if s.lost[s.agents[i].Name] {
				continue
			}
			outdated += s.requestTasks(&s.agents[i])
		}
		if outdated == 0 {
			return s.now
		}
	}
	t.Fatalf("some engines are still outdated after %d ms", limit)
	return 0
}

// requestTasks requests and starts the next tasks of an agent and returns the
// number of its outdated engines.
func (s *simulation) requestTasks(a *Agent) int {
	outdated := 0
	for _, u := range a.Upstreams {
		if u.Versions["g"] < s.groups["g"].Version {
			outdated++
		}
	}
	tasks := s.planner.NextTasks(s.now, *a, s.groups, s.upstreamsPerPool)
	for _, f := range tasks.Fetches {
		s.fetch(a, f)
	}
	for _, sw := range tasks.Swaps {
		s.swap(a, sw)
	}
	return outdated
}

func (s *simulation) fetch(a *Agent, f Fetch) {
	if f.Source == "" {
		s.storeReads++
		s.totalStoreReads++
		s.maxStoreReads = max(s.maxStoreReads, s.storeReads)
	} else {
		s.copies[f.Source]++
		s.maxCopies = max(s.maxCopies, s.copies[f.Source])
	}
	s.after(fetchMS, func() {
		if f.Source == "" {
			s.storeReads--
		} else {
			s.copies[f.Source]--
		}
		if s.lost[f.Source] {
			s.planner.FetchFailed(a.Name, f.Blob, f.Source)
			return
		}
		if !s.lost[a.Name] {
			s.planner.AddHolder(*a, f.Blob)
		}
	})
}

func (s *simulation) swap(a *Agent, sw Swap) {
	s.swapping++
	s.maxSwapping = max(s.maxSwapping, s.swapping)
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

// TestAllEnginesUpdatedInTime checks that a new version reaches 340 agents with
// two engines each, the size that is expected in two years, within 23 s.
func TestAllEnginesUpdatedInTime(t *testing.T) {
	s := newSimulation(340)
	took := s.run(t, 23_000)
	cfg := DefaultConfig()
	t.Logf("all engines updated after %d ms, %d store reads", took, s.totalStoreReads)
	if s.maxStoreReads > cfg.StoreReaders {
		t.Errorf("%d agents read from the store at a time, limit %d", s.maxStoreReads, cfg.StoreReaders)
	}
	if s.maxCopies > cfg.Fanout {
		t.Errorf("%d agents copied from one agent at a time, limit %d", s.maxCopies, cfg.Fanout)
	}
	if limit := int(cfg.SwapShare * 680); s.maxSwapping > limit {
		t.Errorf("%d engines swapped at a time, limit %d", s.maxSwapping, limit)
	}
}

// TestDistributionSurvivesLostAgents checks that the other agents still get the
// version if every fifth agent is lost while fetches from it may be active.
func TestDistributionSurvivesLostAgents(t *testing.T) {
	s := newSimulation(60)
	for i := range 60 {
		if i%5 == 0 {
			name := s.agents[i].Name
			s.after(1_500, func() {
				s.lost[name] = true
				s.planner.RemoveAgent(name)
			})
		}
	}
	s.run(t, 30_000)
}

// TestEvacuatedEnginesAreNotSwapped checks that the engines of an evacuated failure
// domain get no tasks, and that they are updated once the evacuation has ended.
func TestEvacuatedEnginesAreNotSwapped(t *testing.T) {
	s := newSimulation(14)
	evacuate := func(evacuated bool) {
		for _, a := range s.agents {
			for i, u := range a.Upstreams {
				a.Upstreams[i] = u.WithEvacuated(evacuated && a.FailureDomain == "3")
			}
		}
	}
	evacuate(true)
	s.after(20_000, func() {
		for _, a := range s.agents {
			for _, u := range a.Upstreams {
				if swapped := u.Versions["g"] == 1; swapped == u.Evacuated {
					t.Errorf("%s: swapped %v, evacuated %v", u.ID, swapped, u.Evacuated)
				}
			}
		}
		evacuate(false)
	})
	if took := s.run(t, 40_000); took <= 20_000 {
		t.Fatalf("all engines updated after %d ms, during the evacuation", took)
	}
}

func TestNewerVersionSupersedesOlder(t *testing.T) {
	s := newSimulation(20)
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
