// Package catalog holds the configuration in force: client accounts, keys,
// trainer groups, routes, capacity targets and upstreams. The control hosts
// change it through the replicated log. Every daemon follows it through a change
// feed and reads immutable copies.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"reflect"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Account is a client account.
type Account struct {
	Name string
	// Weight is the share of service relative to other accounts. It is at
	// least 1.
	Weight int
	// Priority is the priority class of its requests. Requests of a higher class
	// are scheduled first.
	Priority int
	// MaxQueued bounds the requests that wait at one entry. Zero means the
	// default.
	MaxQueued int
}

// Key authenticates callers of a client account.
type Key struct {
	ID string
	// Digest is the hex SHA-256 of the secret. The secret itself is not stored.
	Digest  string
	Account string
	// Withdrawn is true once the key is no longer accepted.
	Withdrawn bool
}

// Group is a trainer group.
type Group struct {
	Name    string
	Account string
	Pool    string
	// StalenessBound is the number of weight versions by which a sample may lag
	// behind Version when it is handed over to the trainer.
	StalenessBound uint64
	// Version is the newest published weight version. It never decreases.
	Version uint64
}

// Route is the name under which callers reach a pool.
type Route struct {
	Name string
	Pool string
	// Open allows requests without a key.
	Open bool
	// Repeatable allows requests to be retried after a failure.
	Repeatable bool
}

// Target bounds the number of upstreams of a pool in a failure domain.
type Target struct {
	FailureDomain string
	Pool          string
	// Min and Max are the bounds, with 0 <= Min <= Max.
	Min, Max int
}

// UpstreamKind distinguishes model engines from other services.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Upstream is an engine or service that is reached through the agent of its
// host.
type Upstream struct {
	ID            string
	Kind          UpstreamKind
	Pool          string
	FailureDomain string
	Host          string
	// Agent is the ID of the agent process and Incarnation that of its run.
	Agent       string
	Incarnation string
	// Address is the address at which entries reach the agent.
	Address string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving is true while the upstream drains. It gets no new requests.
	Leaving bool
	// Evacuated is true while its failure domain is evacuated. It gets no new
	// requests, but it is not stopped.
	Evacuated bool `json:",omitempty"`
	// SinceMS is when it first registered in this run of the agent.
	SinceMS rollout.Millis
	// Versions maps each trainer group to the weight version that the engine
	// itself reports.
	Versions map[string]uint64
}

// Evacuation is the order that the upstreams of a failure domain get no new
// requests.
type Evacuation struct {
	FailureDomain string
	// SinceMS is when the order was proposed.
	SinceMS rollout.Millis
}

// Poison is a request that was running on an upstream when the upstream crashed.
type Poison struct {
	Fingerprint string
	// Crashes holds the IDs of the crashes during which it was running.
	Crashes []string
	// Confirmed is true once an upstream has crashed while the request was the
	// only suspect that ran on it.
	Confirmed bool
	// UntilMS is when the entry expires.
	UntilMS rollout.Millis
}

// Digest returns the hex SHA-256 of a key's secret.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// confirmedCrashLimit is the number of crashes from which a confirmed request is
// refused.
const confirmedCrashLimit = 2

// ShouldRefuse reports whether the request must be refused. A request that only
// ran next to the one that crashed an upstream remains a suspect. Suspects may run
// again, but only one at a time on each upstream.
func (p Poison) ShouldRefuse() bool { return p.Confirmed && len(p.Crashes) >= confirmedCrashLimit }

// WithCrash returns the poison with a crash added. A crash that is already
// recorded is not counted twice. confirmed means that the request was the only
// suspect that ran on the upstream.
func (p Poison) WithCrash(id string, confirmed bool, until rollout.Millis) Poison {
	p.UntilMS = max(p.UntilMS, until)
	p.Confirmed = p.Confirmed || confirmed
	if !slices.Contains(p.Crashes, id) {
		p.Crashes = append(slices.Clone(p.Crashes), id)
	}
	return p
}

// Name returns the name of a target: its failure domain and pool.
func (t Target) Name() string { return t.FailureDomain + "/" + t.Pool }

// WithStalenessBound returns the group with the given staleness bound.
func (g Group) WithStalenessBound(bound uint64) Group {
	g.StalenessBound = bound
	return g
}

// WithVersion returns the group with the given published version. A version
// older than the current one has no effect.
func (g Group) WithVersion(v uint64) Group {
	g.Version = max(g.Version, v)
	return g
}

// OldestUsable returns the oldest weight version within the staleness bound.
func (g Group) OldestUsable() uint64 {
	if g.Version <= g.StalenessBound {
		return 0
	}
	return g.Version - g.StalenessBound
}

// WithWithdrawn returns the key marked as withdrawn.
func (k Key) WithWithdrawn() Key {
	k.Withdrawn = true
	return k
}

// WithLeaving returns the upstream with Leaving set.
func (u Upstream) WithLeaving(leaving bool) Upstream {
	u.Leaving = leaving
	return u
}

// WithEvacuated returns the upstream with Evacuated set.
func (u Upstream) WithEvacuated(evacuated bool) Upstream {
	u.Evacuated = evacuated
	return u
}

// AcceptsRequests reports whether the upstream may get new requests.
func (u Upstream) AcceptsRequests() bool { return !u.Leaving && !u.Evacuated }

// WithVersions returns the upstream with the given weight versions.
func (u Upstream) WithVersions(v map[string]uint64) Upstream {
	u.Versions = maps.Clone(v)
	return u
}

// EqualExceptVersions reports whether two upstreams are equal in every field
// other than Versions.
func (u Upstream) EqualExceptVersions(o Upstream) bool {
	o.Versions = u.Versions
	return reflect.DeepEqual(u, o)
}

// GroupNames returns the sorted names of the trainer groups whose weights the
// upstream has loaded.
func (u Upstream) GroupNames() []string { return slices.Sorted(maps.Keys(u.Versions)) }
