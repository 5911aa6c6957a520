// Package weights plans the distribution of new weight versions. A few agents
// read from the rate-limited store, the others copy from agents that already
// hold the data, and only a limited share of the engines of a pool swaps
// weights at a time, so that the rest can keep serving.
package weights

import (
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// Config configures a Planner.
type Config struct {
	// StoreReaders is the maximum number of agents that read from the store at
	// a time.
	StoreReaders int
	// Fanout is the maximum number of agents that copy from one agent at a
	// time.
	Fanout int
	// SwapShare is the maximum share of the engines of a pool that swap weights
	// at a time.
	SwapShare float64
	// TaskTimeoutMS is how long a task may go without a result before it may be
	// assigned again.
	TaskTimeoutMS rollout.Millis
}

// DefaultConfig returns the configuration for a store that allows two
// concurrent readers.
func DefaultConfig() Config {
	return Config{StoreReaders: 2, Fanout: 3, SwapShare: 0.25, TaskTimeoutMS: 10_000}
}

// Blob identifies the data of a weight version.
type Blob struct {
	Group   string
	Version uint64
}

// Fetch instructs an agent to fetch a blob.
type Fetch struct {
	Blob
	// Source is the address of the agent to copy from. Empty means the store.
	Source string
}

// Swap allows an engine to load a blob.
type Swap struct {
	Blob
	Upstream string
}

// Tasks holds the tasks that are assigned to an agent in one response.
type Tasks struct {
	Fetches []Fetch `json:",omitempty"`
	Swaps   []Swap  `json:",omitempty"`
}

// Agent describes the agent that requests tasks.
type Agent struct {
	Name          string
	Address       string
	FailureDomain string
	// Upstreams are the upstreams of the agent. Only engines load weights.
	Upstreams []catalog.Upstream
}

type holder struct {
	address       string
	failureDomain string
	activeCopies  int
}

type activeFetch struct {
	source string
	since  rollout.Millis
}

// Planner decides from which source each agent fetches a blob and when each
// engine swaps its weights. It is not safe for concurrent use. Its state is not
// replicated: each leader starts with an empty planner.
type Planner struct {
	cfg Config
	// holders holds the holders of each blob by agent name.
	holders map[Blob]map[string]*holder
	// activeFetches holds the active fetch of each agent, by blob and agent name.
	// The activeCopies of a holder is the number of fetches that name it as
	// source.
	activeFetches map[Blob]map[string]activeFetch
	// swapStartedAt holds the time at which each swap was last allowed.
	swapStartedAt map[Swap]rollout.Millis
	// upstreamsPerPool holds the number of upstreams of each pool, without those
	// that are evacuated.
	upstreamsPerPool map[string]int
}

// New returns a planner without holders or running tasks.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:           cfg,
		holders:       make(map[Blob]map[string]*holder),
		activeFetches: make(map[Blob]map[string]activeFetch),
		swapStartedAt: make(map[Swap]rollout.Millis),
	}
}

// FinishSwap ends a swap and reports whether it was running.
func (p *Planner) FinishSwap(s Swap) bool {
	_, ok := p.swapStartedAt[s]
	delete(p.swapStartedAt, s)
	return ok
}

// FetchFailed ends the fetch of an agent that failed, and no longer counts its
// source as a holder of the blob.
func (p *Planner) FetchFailed(agent string, b Blob, source string) {
	p.endFetch(agent, b)
	for name, h := range p.holders[b] {
		if h.address == source {
			delete(p.holders[b], name)
		}
	}
}

// AddHolder records that an agent holds a blob, and ends its fetch of it.
func (p *Planner) AddHolder(a Agent, b Blob) {
	p.endFetch(a.Name, b)
	if p.holders[b] == nil {
		p.holders[b] = make(map[string]*holder)
	}
	if p.holders[b][a.Name] == nil {
		p.holders[b][a.Name] = &holder{address: a.Address, failureDomain: a.FailureDomain}
	}
}

// NextTasks returns the next tasks of an agent. Evacuated engines get none.
// upstreamsPerPool holds the number of upstreams of each pool that are not
// evacuated.
func (p *Planner) NextTasks(now rollout.Millis, a Agent, groups map[string]catalog.Group, upstreamsPerPool map[string]int) Tasks {
	p.upstreamsPerPool = upstreamsPerPool
	var tasks Tasks
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		g := groups[name]
		if g.Version == 0 || !servesPool(a, g.Pool) {
			continue
		}
		p.planGroup(now, a, g, &tasks)
	}
	p.dropOldVersions(groups)
	return tasks
}

// RemoveAgent removes a lost agent: its fetches end and it is no longer a
// holder of any blob.
func (p *Planner) RemoveAgent(name string) {
	for b := range p.activeFetches {
		p.endFetch(name, b)
	}
	for b := range p.holders {
		delete(p.holders[b], name)
	}
}

func (p *Planner) planGroup(now rollout.Millis, a Agent, g catalog.Group, tasks *Tasks) {
	b := Blob{Group: g.Name, Version: g.Version}
	outdated := false
	for _, u := range a.Upstreams {
		if u.Evacuated {
			continue
		}
		if u.Kind == catalog.UpstreamEngine && u.Pool == g.Pool && u.Versions[g.Name] < g.Version {
			outdated = true
			p.planSwap(now, a, Swap{Blob: b, Upstream: u.ID}, g.Pool, tasks)
		}
	}
	if outdated {
		p.planFetch(now, a, b, tasks)
	}
}

func (p *Planner) endFetch(agent string, b Blob) {
	f, ok := p.activeFetches[b][agent]
	if !ok {
		return
	}
	delete(p.activeFetches[b], agent)
	for _, h := range p.holders[b] {
		if h.address == f.source {
			h.activeCopies--
		}
	}
}

// dropOldVersions drops the state of blobs that are not the current version of
// their group.
func (p *Planner) dropOldVersions(groups map[string]catalog.Group) {
	for b := range p.holders {
		if groups[b.Group].Version != b.Version {
			delete(p.holders, b)
		}
	}
	for b := range p.activeFetches {
		if groups[b.Group].Version != b.Version {
			delete(p.activeFetches, b)
		}
	}
	for s := range p.swapStartedAt {
		if groups[s.Group].Version != s.Version {
			delete(p.swapStartedAt, s)
		}
	}
}

func (p *Planner) planFetch(now rollout.Millis, a Agent, b Blob, tasks *Tasks) {
	if p.holders[b][a.Name] != nil {
		return
	}
	if f, ok := p.activeFetches[b][a.Name]; ok {
		if now-f.since < p.cfg.TaskTimeoutMS {
			return
		}
		p.FetchFailed(a.Name, b, f.source)
	}
	source, ok := p.chooseSource(now, a, b)
	if !ok {
		return
	}
	if p.activeFetches[b] == nil {
		p.activeFetches[b] = make(map[string]activeFetch)
	}
	p.activeFetches[b][a.Name] = activeFetch{source: source, since: now}
	tasks.Fetches = append(tasks.Fetches, Fetch{Blob: b, Source: source})
}

func (p *Planner) planSwap(now rollout.Millis, a Agent, s Swap, pool string, tasks *Tasks) {
	if p.holders[s.Blob][a.Name] == nil {
		return
	}
	if since, ok := p.swapStartedAt[s]; ok && now-since < p.cfg.TaskTimeoutMS {
		return
	}
	limit := max(1, int(p.cfg.SwapShare*float64(p.upstreamsPerPool[pool])))
	running := 0
	for other, since := range p.swapStartedAt {
		if other.Group == s.Group && now-since < p.cfg.TaskTimeoutMS {
			running++
		}
	}
	if running >= limit {
		return
	}
	p.swapStartedAt[s] = now
	tasks.Swaps = append(tasks.Swaps, s)
}

// chooseSource returns the address of a holder below its fan-out limit,
// preferably in the failure domain of the agent, and counts the copy from it. If
// there is none it returns an empty address, which stands for the store, unless
// StoreReaders agents already read from the store or as many hold the blob. It
// returns false if no source is available.
func (p *Planner) chooseSource(now rollout.Millis, a Agent, b Blob) (string, bool) {
	var best *holder
	for _, h := range p.holders[b] {
		if h.activeCopies >= p.cfg.Fanout {
			continue
		}
		if best == nil || isBetterSource(h, best, a.FailureDomain) {
			best = h
		}
	}
	if best != nil {
		best.activeCopies++
		return best.address, true
	}
	readers := 0
	for _, f := range p.activeFetches[b] {
		if f.source == "" && now-f.since < p.cfg.TaskTimeoutMS {
			readers++
		}
	}
	if readers < p.cfg.StoreReaders && len(p.holders[b]) < p.cfg.StoreReaders {
		return "", true
	}
	return "", false
}

// isBetterSource reports whether h is a better source than best for an agent in
// the given failure domain: first by failure domain, then by the number of
// active copies. Addresses break ties, so that the choice is deterministic.
func isBetterSource(h, best *holder, domain string) bool {
	sameDomain, bestSameDomain := h.failureDomain == domain, best.failureDomain == domain
	if sameDomain != bestSameDomain {
		return sameDomain
	}
	if h.activeCopies != best.activeCopies {
		return h.activeCopies < best.activeCopies
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
