// Package fleet follows the daemons that renew their authority: which are
// alive, at which configuration version, and with what load.
package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/authority"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

// LostAfterMS is how long a daemon may be silent before its upstreams are
// taken out.
const LostAfterMS = 5_000

// Kind tells what a daemon does.
type Kind string

// The kinds of daemons that renew.
const (
	KindEntry Kind = "entry"
	KindAgent Kind = "agent"
)

// Load is the present work of an upstream.
type Load struct {
	Upstream string
	// Draining is true once the agent gives the upstream no new work.
	Draining bool
	// Running and Waiting count requests at the upstream.
	Running, Waiting int
}

// Holding is a weight version whose data an agent has.
type Holding struct {
	Group   string
	Version uint64
}

// Crash names the requests that ran on an upstream when it crashed.
type Crash struct {
	// ID is the same each time that the crash is reported.
	ID           string
	Upstream     string
	Fingerprints []string
	// Suspects are those of Fingerprints that ran as suspects.
	Suspects []string `json:",omitempty"`
}

// Report is what a daemon has to tell. Empty parts have not changed since the
// last report that was answered.
type Report struct {
	// Upstreams are new or changed.
	Upstreams []catalog.Upstream `json:",omitempty"`
	// Gone names upstreams that stopped or crashed.
	Gone     []string        `json:",omitempty"`
	Crashes  []Crash         `json:",omitempty"`
	Usage    *usage.Report   `json:",omitempty"`
	Loads    []Load          `json:",omitempty"`
	Holdings []Holding       `json:",omitempty"`
	Queued   map[string]int  `json:",omitempty"`
	Swapped  []SwapOutcome   `json:",omitempty"`
	Fetched  []FetchFailures `json:",omitempty"`
}

// SwapOutcome tells how a weight swap ended.
type SwapOutcome struct {
	Upstream string
	Group    string
	Version  uint64
	Failed   bool
}

// FetchFailures names a source that did not deliver.
type FetchFailures struct {
	Group   string
	Version uint64
	Source  string
}

// Daemon is what the leader knows of a daemon.
type Daemon struct {
	Name          string
	Kind          Kind
	Incarnation   string
	Address       string
	FailureDomain string
	// Version is the configuration version that the daemon has applied.
	Version uint64
	// AnsweredMS is when the leader last confirmed it.
	AnsweredMS rollout.Millis
	Loads      []Load
	Queued     map[string]int
}

// Table holds the daemons known to a leader. A new leader starts with an
// empty one.
type Table struct {
	sinceMS rollout.Millis
	// daemons holds each run of a daemon by name and incarnation, so that a
	// late answer to an old run says nothing of the new one.
	daemons map[runKey]Daemon
}

type runKey struct{ name, incarnation string }

// New returns the table of a leader that leads since a time.
func New(since rollout.Millis) *Table {
	return &Table{sinceMS: since, daemons: make(map[runKey]Daemon)}
}

// Alive tells whether the daemon may still hold authority. A leader that has
// just begun counts each daemon as alive.
func (t *Table) Alive(now rollout.Millis, name string) bool {
	for key, d := range t.daemons {
		if key.name == name && !authority.LeaseExpired(now, d.AnsweredMS) {
			return true
		}
	}
	return !authority.LeaseExpired(now, t.sinceMS)
}

// Behind returns the daemons that may still act on a version older than the
// given one. The second result is false while daemons of an earlier leader
// may be unknown.
func (t *Table) Behind(now rollout.Millis, version uint64) (names []string, complete bool) {
	for _, d := range t.Sorted() {
		if d.Version < version && !authority.LeaseExpired(now, d.AnsweredMS) {
			names = append(names, d.Name)
		}
	}
	return names, authority.LeaseExpired(now, t.sinceMS)
}

// Lost tells whether the upstreams of an agent run are to be taken out.
func (t *Table) Lost(now rollout.Millis, agent, incarnation string) bool {
	d, ok := t.daemons[runKey{agent, incarnation}]
	if !ok {
		return now-t.sinceMS > 2*LostAfterMS
	}
	return now-d.AnsweredMS > LostAfterMS
}

// NoteVersion notes the configuration version that a known daemon has applied.
func (t *Table) NoteVersion(name, incarnation string, version uint64) {
	key := runKey{name, incarnation}
	if d, ok := t.daemons[key]; ok {
		d.Version = max(d.Version, version)
		t.daemons[key] = d
	}
}

// Renew notes that a daemon was confirmed.
func (t *Table) Renew(now rollout.Millis, d Daemon, r *Report) {
	key := runKey{d.Name, d.Incarnation}
	old := t.daemons[key]
	d.AnsweredMS = now
	d.Loads, d.Queued = old.Loads, old.Queued
	if r != nil && r.Loads != nil {
		d.Loads = r.Loads
	}
	if r != nil && r.Queued != nil {
		d.Queued = r.Queued
	}
	t.daemons[key] = d
}

// Load returns the load of an upstream and whether it is known.
func (t *Table) Load(u catalog.Upstream) (Load, bool) {
	for _, l := range t.daemons[runKey{u.Agent, u.Incarnation}].Loads {
		if l.Upstream == u.ID {
			return l, true
		}
	}
	return Load{}, false
}

// Queued returns the requests that wait at all entries for a pool.
func (t *Table) Queued(pool string) int {
	total := 0
	for _, d := range t.daemons {
		total += d.Queued[pool]
	}
	return total
}

// Sorted returns the daemons sorted by name.
func (t *Table) Sorted() []Daemon {
	return slices.SortedFunc(maps.Values(t.daemons), func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// Forget drops the daemons that have been silent for a long time.
func (t *Table) Forget(now, silent rollout.Millis) {
	maps.DeleteFunc(t.daemons, func(_ runKey, d Daemon) bool { return now-d.AnsweredMS > silent })
}
