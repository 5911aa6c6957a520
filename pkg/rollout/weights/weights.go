// Package weights spreads new weight versions. A few agents read the
// rate-limited store, the others copy from agents that have the data, and
// engines swap in turns so that a share of each pool always serves.
package weights

import (
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// Config sets up a Planner.
type Config struct {
	// StoreReaders bounds the agents that read the store at a time.
	StoreReaders int
	// Fanout bounds the agents that copy from one agent at a time.
	Fanout int
	// SwapShare is the largest share of a pool that swaps at a time.
	SwapShare float64
	// TaskTimeoutMS is after how long an unanswered task is given again.
	TaskTimeoutMS rollout.Millis
}

// DefaultConfig returns the settings for a store with two readers.
func DefaultConfig() Config {
	return Config{StoreReaders: 2, Fanout: 3, SwapShare: 0.25, TaskTimeoutMS: 10_000}
}

// Blob names the data of a weight version.
type Blob struct {
	Group   string
	Version uint64
}

// Fetch tells an agent to get a blob.
type Fetch struct {
	Blob
	// Source is the address of an agent that has it. Empty means the store.
	Source string
}

// Swap lets an engine load a blob.
type Swap struct {
	Blob
	Upstream string
}

// Tasks is what an agent is to do now.
type Tasks struct {
	Fetches []Fetch `json:",omitempty"`
	Swaps   []Swap  `json:",omitempty"`
}

// Agent is what the planner needs to know of the agent that asks.
type Agent struct {
	Name          string
	Address       string
	FailureDomain string
	// Upstreams are the engines of the agent.
	Upstreams []catalog.Upstream
}

type holder struct {
	address       string
	failureDomain string
	active        int
}

type fetching struct {
	source string
	since  rollout.Millis
}

// Planner decides who gets a blob from where, and who swaps when. It is used
// by one thread and starts empty with each leader.
type Planner struct {
	cfg Config
	// holders of each blob by agent name.
	holders map[Blob]map[string]*holder
	// fetching holds the running fetches of each blob by agent name. The
	// active counts of holders are the number of fetches that name them.
	fetching map[Blob]map[string]fetching
	// swapping holds when each engine was last let swap a blob.
	swapping map[Swap]rollout.Millis
	// poolSize is the number of engines of each pool.
	poolSize map[string]int
}

// New returns a planner that knows of no holder.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:      cfg,
		holders:  make(map[Blob]map[string]*holder),
		fetching: make(map[Blob]map[string]fetching),
		swapping: make(map[Swap]rollout.Millis),
	}
}

// FinishSwap returns true and ends the task when a swap was running.
func (p *Planner) FinishSwap(s Swap) bool {
	_, ok := p.swapping[s]
	delete(p.swapping, s)
	return ok
}

// FetchFailed notes that a source did not deliver to an agent.
func (p *Planner) FetchFailed(agent string, b Blob, source string) {
	p.endFetch(agent, b)
	for name, h := range p.holders[b] {
		if h.address == source {
			delete(p.holders[b], name)
		}
	}
}

// AddHolder notes that an agent has the data of a blob.
func (p *Planner) AddHolder(a Agent, b Blob) {
	p.endFetch(a.Name, b)
	if p.holders[b] == nil {
		p.holders[b] = make(map[string]*holder)
	}
	if p.holders[b][a.Name] == nil {
		p.holders[b][a.Name] = &holder{address: a.Address, failureDomain: a.FailureDomain}
	}
}

// Next returns the tasks for an agent, given the trainer groups and the sizes
// of the pools.
func (p *Planner) Next(now rollout.Millis, a Agent, groups map[string]catalog.Group, poolSize map[string]int) Tasks {
	p.poolSize = poolSize
	var tasks Tasks
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		g := groups[name]
		if g.Version == 0 || !servesPool(a, g.Pool) {
			continue
		}
		p.nextOf(now, a, g, &tasks)
	}
	p.forget(groups)
	return tasks
}

// RemoveAgent forgets an agent that was lost.
func (p *Planner) RemoveAgent(name string) {
	for b := range p.fetching {
		p.endFetch(name, b)
	}
	for b := range p.holders {
		delete(p.holders[b], name)
	}
}

func (p *Planner) nextOf(now rollout.Millis, a Agent, g catalog.Group, tasks *Tasks) {
	b := Blob{Group: g.Name, Version: g.Version}
	lacking := false
	for _, u := range a.Upstreams {
		if u.Kind == catalog.UpstreamEngine && u.Pool == g.Pool && u.Versions[g.Name] < g.Version {
			lacking = true
			p.nextSwap(now, a, Swap{Blob: b, Upstream: u.ID}, g.Pool, tasks)
		}
	}
	if lacking {
		p.nextFetch(now, a, b, tasks)
	}
}

func (p *Planner) endFetch(agent string, b Blob) {
	f, ok := p.fetching[b][agent]
	if !ok {
		return
	}
	delete(p.fetching[b], agent)
	for _, h := range p.holders[b] {
		if h.address == f.source {
			h.active--
		}
	}
}

// forget drops the blobs that are no longer the newest.
func (p *Planner) forget(groups map[string]catalog.Group) {
	for b := range p.holders {
		if groups[b.Group].Version != b.Version {
			delete(p.holders, b)
		}
	}
	for b := range p.fetching {
		if groups[b.Group].Version != b.Version {
			delete(p.fetching, b)
		}
	}
	for s := range p.swapping {
		if groups[s.Group].Version != s.Version {
			delete(p.swapping, s)
		}
	}
}

func (p *Planner) nextFetch(now rollout.Millis, a Agent, b Blob, tasks *Tasks) {
	if p.holders[b][a.Name] != nil {
		return
	}
	if f, ok := p.fetching[b][a.Name]; ok {
		if now-f.since < p.cfg.TaskTimeoutMS {
			return
		}
		p.FetchFailed(a.Name, b, f.source)
	}
	source, ok := p.source(now, a, b)
	if !ok {
		return
	}
	if p.fetching[b] == nil {
		p.fetching[b] = make(map[string]fetching)
	}
	p.fetching[b][a.Name] = fetching{source: source, since: now}
	tasks.Fetches = append(tasks.Fetches, Fetch{Blob: b, Source: source})
}

func (p *Planner) nextSwap(now rollout.Millis, a Agent, s Swap, pool string, tasks *Tasks) {
	if p.holders[s.Blob][a.Name] == nil {
		return
	}
	if since, ok := p.swapping[s]; ok && now-since < p.cfg.TaskTimeoutMS {
		return
	}
	limit := max(1, int(p.cfg.SwapShare*float64(p.poolSize[pool])))
	running := 0
	for other, since := range p.swapping {
		if other.Group == s.Group && now-since < p.cfg.TaskTimeoutMS {
			running++
		}
	}
	if running >= limit {
		return
	}
	p.swapping[s] = now
	tasks.Swaps = append(tasks.Swaps, s)
}

// source returns an agent with room, one of the same failure domain first, or
// the store while it has room for readers.
func (p *Planner) source(now rollout.Millis, a Agent, b Blob) (string, bool) {
	var best *holder
	for _, h := range p.holders[b] {
		if h.active >= p.cfg.Fanout {
			continue
		}
		if best == nil || better(h, best, a.FailureDomain) {
			best = h
		}
	}
	if best != nil {
		best.active++
		return best.address, true
	}
	readers := 0
	for _, f := range p.fetching[b] {
		if f.source == "" && now-f.since < p.cfg.TaskTimeoutMS {
			readers++
		}
	}
	if readers < p.cfg.StoreReaders && len(p.holders[b]) < p.cfg.StoreReaders {
		return "", true
	}
	return "", false
}

func better(h, best *holder, domain string) bool {
	near, bestNear := h.failureDomain == domain, best.failureDomain == domain
	if near != bestNear {
		return near
	}
	if h.active != best.active {
		return h.active < best.active
	}
	return h.address < best.address
}

func servesPool(a Agent, pool string) bool {
	for _, u := range a.Upstreams {
		if u.Pool == pool {
			return true
		}
	}
	return false
}
