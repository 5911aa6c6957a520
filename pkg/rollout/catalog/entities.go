// Package catalog holds the configuration that is in force: client accounts,
// keys, trainer groups, routes, capacity targets and upstreams. The control
// hosts change it through the log; every daemon follows it through a feed of
// changes and reads immutable snapshots.
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
	// Weight is the share of service relative to other accounts. At least 1.
	Weight int
	// Priority is the class of its requests. A higher class goes first.
	Priority int
	// MaxQueued bounds the requests that wait at one entry. Zero takes the
	// default.
	MaxQueued int
}

// Key lets a caller act for a client account.
type Key struct {
	ID string
	// Digest is the hex SHA-256 of the secret, which is stored nowhere.
	Digest    string
	Account   string
	Withdrawn bool
}

// Group is a trainer group.
type Group struct {
	Name    string
	Account string
	Pool    string
	// StalenessBound is how many weight versions a sample may lag behind
	// Version at hand-over.
	StalenessBound uint64
	// Version is the newest published weight version. It never falls.
	Version uint64
}

// Route names a pool for callers.
type Route struct {
	Name string
	Pool string
	// Open routes need no key.
	Open bool
	// Repeatable requests may be sent again after a failure.
	Repeatable bool
}

// Target bounds the upstreams of a pool in a failure domain.
type Target struct {
	FailureDomain string
	Pool          string
	// Min <= Max.
	Min, Max int
}

// UpstreamKind tells a model engine from a plain service.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Upstream is a back end behind the agent of its host.
type Upstream struct {
	ID            string
	Kind          UpstreamKind
	Pool          string
	FailureDomain string
	Host          string
	// Agent names the agent process, Incarnation its run.
	Agent       string
	Incarnation string
	// Address is where entries reach the agent.
	Address string
	// Slots is how many requests it runs at a time.
	Slots int
	// Leaving upstreams get no new work.
	Leaving bool
	// SinceMS is when it was first seen in this run.
	SinceMS rollout.Millis
	// Versions holds the weight version that the engine itself reports for
	// each trainer group.
	Versions map[string]uint64
}

// Poison is a request that ran on an upstream when it crashed.
type Poison struct {
	Fingerprint string
	// Crashes holds the IDs of the crashes of upstreams that ran it.
	Crashes []string
	// Confirmed is true once a crash happened while the request ran as a
	// suspect, and so alone among suspects.
	Confirmed bool
	// UntilMS is when it is forgotten.
	UntilMS rollout.Millis
}

// Digest returns the hex SHA-256 of a key's secret.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// poisonCrashes is how many crashes make a request poisonous.
const poisonCrashes = 2

// ShouldRefuse tells whether the request is to be refused. Requests that only ran
// beside it are suspects and may run again, one at a time on an upstream.
func (p Poison) ShouldRefuse() bool { return p.Confirmed && len(p.Crashes) >= poisonCrashes }

// WithCrash returns the poison with one more crash, unless it is known.
func (p Poison) WithCrash(id string, asSuspect bool, until rollout.Millis) Poison {
	p.UntilMS = max(p.UntilMS, until)
	p.Confirmed = p.Confirmed || asSuspect
	if !slices.Contains(p.Crashes, id) {
		p.Crashes = append(slices.Clone(p.Crashes), id)
	}
	return p
}

// Name returns the name of a target: its failure domain and pool.
func (t Target) Name() string { return t.FailureDomain + "/" + t.Pool }

// WithBound returns the group with another staleness bound.
func (g Group) WithBound(bound uint64) Group {
	g.StalenessBound = bound
	return g
}

// WithVersion returns the group with a newer published version.
func (g Group) WithVersion(v uint64) Group {
	g.Version = max(g.Version, v)
	return g
}

// OldestUsable returns the oldest weight version that the bound allows.
func (g Group) OldestUsable() uint64 {
	if g.Version <= g.StalenessBound {
		return 0
	}
	return g.Version - g.StalenessBound
}

// WithWithdrawn returns the key withdrawn.
func (k Key) WithWithdrawn() Key {
	k.Withdrawn = true
	return k
}

// WithLeaving returns the upstream marked as leaving or not.
func (u Upstream) WithLeaving(leaving bool) Upstream {
	u.Leaving = leaving
	return u
}

// WithVersions returns the upstream with other weight versions.
func (u Upstream) WithVersions(v map[string]uint64) Upstream {
	u.Versions = maps.Clone(v)
	return u
}

// EqualExceptVersions tells whether all else of two upstreams is the same.
func (u Upstream) EqualExceptVersions(o Upstream) bool {
	o.Versions = u.Versions
	return reflect.DeepEqual(u, o)
}

// GroupNames returns the names of the trainer groups whose weights the
// upstream holds, sorted.
func (u Upstream) GroupNames() []string { return slices.Sorted(maps.Keys(u.Versions)) }
