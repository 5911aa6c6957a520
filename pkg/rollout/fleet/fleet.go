// Package fleet tracks the daemons that renew their leases: whether they are
// alive, their configuration version and their load.
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

// LostAfterMS is the time without a renewal after which the upstreams of a
// daemon are removed.
const LostAfterMS = 5_000

// Kind is the kind of a daemon.
type Kind string

// The kinds of daemons that renew leases.
const (
	KindEntry Kind = "entry"
	KindAgent Kind = "agent"
)

// Load is the current load of an upstream.
type Load struct {
	Upstream string
	// Draining is true if the agent sends the upstream no new requests.
	Draining bool
	// Running and Waiting are the numbers of requests at the upstream.
	Running, Waiting int
}

// StoredVersion is a weight version whose data an agent has stored.
type StoredVersion struct {
	Group   string
	Version uint64
}

// Crash reports the requests that ran on an upstream when it crashed.
type Crash struct {
	// ID identifies the crash. It is the same when the crash is reported again.
	ID           string
	Upstream     string
	Fingerprints []string
	// Suspects are those of Fingerprints that were already suspected of crashing
	// upstreams when they ran.
	Suspects []string `json:",omitempty"`
}

// Report is what a daemon reports when it renews its lease. Empty fields have
// not changed since the last acknowledged report.
type Report struct {
	// Upstreams are new or changed.
	Upstreams []catalog.Upstream `json:",omitempty"`
	// Gone names upstreams that stopped or crashed.
	Gone     []string        `json:",omitempty"`
	Crashes  []Crash         `json:",omitempty"`
	Usage    *usage.Report   `json:",omitempty"`
	Loads    []Load          `json:",omitempty"`
	Holdings []StoredVersion `json:",omitempty"`
	// Queued is the number of queued requests of each pool.
	Queued map[string]int `json:",omitempty"`
	// Swapped holds the outcomes of weight swaps, failed ones included.
	Swapped []SwapOutcome `json:",omitempty"`
	// Fetched holds only the fetches that failed.
	Fetched []FetchFailure `json:",omitempty"`
}

// SwapOutcome is the outcome of a weight swap.
type SwapOutcome struct {
	Upstream string
	Group    string
	Version  uint64
	Failed   bool
}

// FetchFailure names a source from which fetching a weight version failed.
type FetchFailure struct {
	Group   string
	Version uint64
	Source  string
}

// Daemon is the leader's view of a daemon.
type Daemon struct {
	Name          string
	Kind          Kind
	Incarnation   string
	Address       string
	FailureDomain string
	// Version is the configuration version that the daemon has applied.
	Version uint64
	// RenewedMS is when the leader last confirmed a renewal.
	RenewedMS rollout.Millis
	Loads     []Load
	// Queued is the number of queued requests of each pool.
	Queued map[string]int
}

// Table holds the daemons known to a leader. A new leader starts with an empty
// table.
type Table struct {
	sinceMS rollout.Millis
	// daemons is keyed by name and incarnation, so that a late response to an
	// old incarnation does not affect the new one.
	daemons map[daemonKey]Daemon
}

type daemonKey struct{ name, incarnation string }

// New returns the table of a leader whose term started at since.
func New(since rollout.Millis) *Table {
	return &Table{sinceMS: since, daemons: make(map[daemonKey]Daemon)}
}

// Alive reports whether the daemon may still hold a lease. A new leader treats
// every daemon as alive until all leases from before its term have expired.
func (t *Table) Alive(now rollout.Millis, name string) bool {
	return t.IncarnationAlive(now, name, "")
}

// IncarnationAlive reports whether an incarnation of the daemon may still hold a lease. An
// empty incarnation stands for any.
func (t *Table) IncarnationAlive(now rollout.Millis, name, incarnation string) bool {
	for key, d := range t.daemons {
		if key.name == name && (incarnation == "" || key.incarnation == incarnation) && !authority.LeaseExpired(now, d.RenewedMS) {
			return true
		}
	}
	return !authority.LeaseExpired(now, t.sinceMS)
}

// Behind returns the daemons that may still use a configuration version older
// than the given one. The second result is false while daemons with a lease from
// an earlier leader may be missing from the table.
func (t *Table) Behind(now rollout.Millis, version uint64) (names []string, complete bool) {
	for _, d := range t.Sorted() {
		if d.Version < version && !authority.LeaseExpired(now, d.RenewedMS) {
			names = append(names, d.Name)
		}
	}
	return names, authority.LeaseExpired(now, t.sinceMS)
}

// HasDomain reports whether a daemon in a failure domain is in the table.
func (t *Table) HasDomain(domain string) bool {
	for _, d := range t.daemons {
		if d.FailureDomain == domain {
			return true
		}
	}
	return false
}

// Lost reports whether the upstreams of an incarnation of an agent must be
// removed. An incarnation that has not renewed with this leader gets twice
// LostAfterMS from the start of the leader's term.
func (t *Table) Lost(now rollout.Millis, agent, incarnation string) bool {
	d, ok := t.daemons[daemonKey{agent, incarnation}]
	if !ok {
		return now-t.sinceMS > 2*LostAfterMS
	}
	return now-d.RenewedMS > LostAfterMS
}

// SetVersion records the configuration version that a known daemon has applied.
// A lower version than the recorded one is ignored.
func (t *Table) SetVersion(name, incarnation string, version uint64) {
	key := daemonKey{name, incarnation}
	if d, ok := t.daemons[key]; ok {
		d.Version = max(d.Version, version)
		t.daemons[key] = d
	}
}

// Renew records that the leader confirmed a renewal. It keeps the load and queue
// lengths that the report leaves out.
func (t *Table) Renew(now rollout.Millis, d Daemon, r *Report) {
	key := daemonKey{d.Name, d.Incarnation}
	old := t.daemons[key]
	d.RenewedMS = now
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
	for _, l := range t.daemons[daemonKey{u.Agent, u.Incarnation}].Loads {
		if l.Upstream == u.ID {
			return l, true
		}
	}
	return Load{}, false
}

// Queued returns the number of requests queued for a pool at all entry daemons.
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

// Forget removes the daemons without a renewal for more than maxAge.
func (t *Table) Forget(now, maxAge rollout.Millis) {
	maps.DeleteFunc(t.daemons, func(_ daemonKey, d Daemon) bool { return now-d.RenewedMS > maxAge })
}
