package jobstore

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const (
	// placeBound is the time within which an item that is owed must be at an engine
	// that is free.
	placeBound = 5 * time.Second
	// crashesPerItem is how many runs of each item end with the crash of its engine.
	crashesPerItem = 6
)

// crashingEngines makes engines crash under the runs of items and start again.
type crashingEngines struct {
	mu    sync.Mutex
	store *Store
	// born holds the start time of each engine.
	born map[string]int64
	// crashes counts the crashes under each item, and lastCrash is the time of the
	// last one.
	crashes   map[string]int
	lastCrash time.Time
	// calmAfter holds the longest time from the last crash to the start of an item's
	// next run.
	calmAfter time.Duration
}

func newCrashingEngines(engines ...string) *crashingEngines {
	c := &crashingEngines{born: make(map[string]int64), crashes: make(map[string]int)}
	for _, e := range engines {
		c.born[e] = 1
	}
	return c
}

// view returns the view with the current incarnations of the engines.
func (c *crashingEngines) view() view.State {
	v := testView(nil)
	for id, u := range v.Upstreams {
		if u.Pool != "engines" {
			continue
		}
		u.Born = c.born[id]
		v.Upstreams[id] = u
		if u.Born == 0 {
			delete(v.Upstreams, id)
		}
	}
	return v
}

// faultFor crashes the engine of a run unless the item has had its crashes. Engines that
// have crashed are back at once, as another incarnation.
func (c *crashingEngines) faultFor(x rollout.UpstreamRequest, _ int) *fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, engine := c.born[x.Address]; !engine {
		return nil
	}
	if c.crashes[x.AttemptID] >= crashesPerItem {
		c.calmAfter = max(c.calmAfter, time.Since(c.lastCrash))
		return nil
	}
	c.crashes[x.AttemptID]++
	c.lastCrash = time.Now()
	c.born[x.Address]++
	v, s := c.view(), c.store
	go s.applyView(v)
	return &fault{err: rollout.NewError(rollout.KindUpstreamFailed, "connection reset")}
}

// Guards against items that are never placed again: several engines died while they ran
// the same sound items, and later the engines were free.
func TestItemsUnderCrashedEnginesRunAgain(t *testing.T) {
	for name, engines := range map[string][]string{"two engines": {"a", "b"}, "one engine left": {"a"}} {
		t.Run(name, func(t *testing.T) {
			c := newCrashingEngines(engines...)
			s, f := newLeader(t, c.faultFor)
			c.store = s
			s.applyView(c.view())
			var items []string
			for i := range 12 {
				items = append(items, fmt.Sprintf("i%d", i))
			}
			for _, r := range runJob(t, s, newSpec("j", 1, items...)) {
				assertCompleted(t, r)
			}
			for _, id := range items {
				assertRuns(t, f, id, crashesPerItem+1)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.calmAfter > placeBound {
				t.Fatalf("an item was placed %v after the last crash, want %v at most", c.calmAfter, placeBound)
			}
		})
	}
}

// Guards against items that are never placed again: the leader of the store changes between
// the crashes of engines.
func TestItemsUnderCrashedEnginesRunAgainAfterChangeOfLeader(t *testing.T) {
	t.Parallel()
	c := newCrashingEngines("a", "b")
	dir, engines := t.TempDir(), newFakeEngines(c.faultFor)
	first, stopFirst := startLeader(t, dir, engines)
	c.mu.Lock()
	c.store = first
	c.mu.Unlock()
	spec := newSpec("j", 1, "i1", "i2", "i3", "i4")
	submitJob(t, first, spec)
	eventually(t, "crashes under several items", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.crashes) > 1
	})
	stopFirst()
	second, _ := startLeader(t, dir, engines)
	c.mu.Lock()
	c.store = second
	v := c.view()
	c.mu.Unlock()
	second.applyView(v)
	var page Page
	eventually(t, "all results", func() bool {
		var err error
		page, err = second.read(t.Context(), ReadRequest{JobID: "j", Account: "acc"})
		return err == nil && len(page.Results) == len(spec.Items)
	})
	for _, r := range page.Results {
		assertCompleted(t, r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calmAfter > placeBound {
		t.Fatalf("an item was placed %v after the last crash, want %v at most", c.calmAfter, placeBound)
	}
}

// Guards against samples that come late: an item waited 4 s for its next run after three
// engines had crashed under it, while other engines were free.
func TestItemUnderCrashedEnginesDoesNotWaitForFreeEngine(t *testing.T) {
	c := newCrashingEngines("a", "b")
	s, _ := newLeader(t, c.faultFor)
	c.store = s
	start := time.Now()
	assertCompleted(t, runJob(t, s, newSpec("j", 1, "i1"))["i1"])
	if took := time.Since(start); took > placeBound {
		t.Fatalf("the item took %v for %d crashes, want %v at most: an engine was always free", took, crashesPerItem, placeBound)
	}
}

// Guards against items that are never placed again: the kept text of an item is of a
// version that no engine serves any more after crashes.
func TestItemRunsAgainWhenNoEngineServesVersionOfItsText(t *testing.T) {
	s, f := newLeader(t, func(x rollout.UpstreamRequest, run int) *fault {
		if x.AttemptID == "i1" && run == 1 {
			return &fault{breakAfter: 2}
		}
		return nil
	})
	blocked := testView(nil)
	delete(blocked.Upstreams, "b")
	s.applyView(blocked)
	spec := newSpec("j", 1, "i1")
	spec.Route = "single"
	submitJob(t, s, spec)
	eventually(t, "the first run has broken off", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.runs["i1"] > 0
	})
	newer := testView(nil)
	for id, u := range newer.Upstreams {
		if u.Pool == "engines" {
			u.Born, u.Models = 2, []discovery.Model{{Name: "m", Version: 2}}
			newer.Upstreams[id] = u
		}
	}
	s.applyView(newer)
	start := time.Now()
	var page Page
	for time.Since(start) < placeBound && len(page.Results) == 0 {
		page, _ = s.read(t.Context(), ReadRequest{JobID: "j", Account: "acc"})
		time.Sleep(2 * time.Millisecond)
	}
	if len(page.Results) == 0 {
		t.Fatalf("the item was not placed within %v though two engines are free", placeBound)
	}
	if r := page.Results[0]; r.State != job.StateCompleted {
		t.Fatalf("result %+v, want completed", r)
	}
}
