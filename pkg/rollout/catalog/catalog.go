package catalog

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// EntityKind identifies a table of the catalog.
type EntityKind string

// The kinds of entities.
const (
	KindAccount  EntityKind = "account"
	KindKey      EntityKind = "key"
	KindGroup    EntityKind = "group"
	KindRoute    EntityKind = "route"
	KindTarget   EntityKind = "target"
	KindUpstream EntityKind = "upstream"
	KindPoison   EntityKind = "poison"
	// KindVersions is the kind of a change that replaces only the weight versions
	// of an upstream. It has no table of its own.
	KindVersions EntityKind = "versions"
	// KindEvacuation is the kind of an evacuation. Daemons follow Evacuated of
	// their upstreams instead, because a build without evacuations rejects an
	// update with a kind that it does not know.
	KindEvacuation EntityKind = "evacuation"
)

// feedLength is the number of changes that are kept for daemons that lag behind.
// A daemon that lags further gets a full update. The feed is cut back once it
// holds twice as many changes.
const feedLength = 8_192

// Change is one change of one entity.
type Change struct {
	// Version is the log index that made the change.
	Version uint64
	Kind    EntityKind
	Name    string
	// Value is the entity in JSON. It is empty if the entity was removed.
	Value json.RawMessage `json:",omitempty"`
}

// Update brings a follower from one version of the catalog to a newer one.
type Update struct {
	// Full means that Changes holds the whole catalog instead of the changes
	// since a version.
	Full bool
	// Version is the version after the update.
	Version uint64
	Changes []Change
}

// Catalog is the configuration at one version. Values in its maps are never
// modified in place. A catalog with concurrent readers must be cloned before
// Apply.
type Catalog struct {
	// Version is the index of the newest log entry that changed the catalog. It
	// never decreases.
	Version   uint64
	Accounts  map[string]Account
	Keys      map[string]Key
	Groups    map[string]Group
	Routes    map[string]Route
	Targets   map[string]Target
	Upstreams map[string]Upstream
	Poisons   map[string]Poison
	// Evacuations holds the evacuations in force by failure domain. Evacuated of
	// an upstream is true if and only if its failure domain is in it.
	Evacuations map[string]Evacuation `json:",omitempty"`
	// ByDigest indexes Keys by digest.
	ByDigest map[string]Key `json:"-"`

	// feed holds the newest changes, sorted by version.
	feed []Change
	// feedFrom is the version after which the feed holds every change.
	feedFrom uint64
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		Accounts:  make(map[string]Account),
		Keys:      make(map[string]Key),
		Groups:    make(map[string]Group),
		Routes:    make(map[string]Route),
		Targets:   make(map[string]Target),
		Upstreams: make(map[string]Upstream),
		Poisons:   make(map[string]Poison),
		ByDigest:  make(map[string]Key),

		Evacuations: make(map[string]Evacuation),
	}
}

// Apply applies an update. An update that is not newer than the catalog has no
// effect.
func (c *Catalog) Apply(u Update) error {
	if u.Version <= c.Version {
		return nil
	}
	if u.Full {
		empty := New()
		empty.Version = c.Version
		*c = *empty
	}
	for _, ch := range u.Changes {
		if err := c.applyChange(ch); err != nil {
			return err
		}
	}
	c.Version = u.Version
	return nil
}

// Clone returns a copy that can be modified independently. The copy has no feed.
func (c *Catalog) Clone() *Catalog {
	return &Catalog{
		Version:   c.Version,
		Accounts:  maps.Clone(c.Accounts),
		Keys:      maps.Clone(c.Keys),
		Groups:    maps.Clone(c.Groups),
		Routes:    maps.Clone(c.Routes),
		Targets:   maps.Clone(c.Targets),
		Upstreams: maps.Clone(c.Upstreams),
		Poisons:   maps.Clone(c.Poisons),
		ByDigest:  maps.Clone(c.ByDigest),

		Evacuations: maps.Clone(c.Evacuations),
	}
}

// Put stores an entity and adds the change to the feed.
func (c *Catalog) Put(version uint64, kind EntityKind, name string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		return
	}
	c.recordChange(Change{Version: version, Kind: kind, Name: name, Value: raw})
}

// Remove removes an entity and adds the change to the feed.
func (c *Catalog) Remove(version uint64, kind EntityKind, name string) {
	c.recordChange(Change{Version: version, Kind: kind, Name: name})
}

// RebuildDerived completes a catalog that was decoded from a snapshot, which
// contains neither: it rebuilds the digest index and starts an empty feed.
func (c *Catalog) RebuildDerived() {
	c.ByDigest = make(map[string]Key, len(c.Keys))
	for _, k := range c.Keys {
		c.ByDigest[k.Digest] = k
	}
	c.feed, c.feedFrom = nil, c.Version
}

// Since returns the changes after a version that match an interest. If the feed
// does not reach back to the version, it returns a full update.
func (c *Catalog) Since(version uint64, interest Interest) Update {
	if version == c.Version {
		return Update{Version: c.Version}
	}
	if version < c.feedFrom || version > c.Version || version == 0 {
		return c.fullUpdate(interest)
	}
	first, _ := slices.BinarySearchFunc(c.feed, version+1, func(ch Change, v uint64) int {
		return int(int64(ch.Version) - int64(v))
	})
	u := Update{Version: c.Version}
	for _, ch := range c.feed[first:] {
		if interest.matches(ch.Kind, ch.Name) {
			u.Changes = append(u.Changes, ch)
		}
	}
	return u
}

// Evacuate begins the evacuation of a failure domain and returns it. One that is
// in force is returned unchanged.
func (c *Catalog) Evacuate(version uint64, e Evacuation) Evacuation {
	if old, ok := c.Evacuations[e.FailureDomain]; ok {
		return old
	}
	c.Put(version, KindEvacuation, e.FailureDomain, e)
	c.markEvacuated(version, e.FailureDomain, true)
	return e
}

// EndEvacuation ends the evacuation of a failure domain, if one is in force.
func (c *Catalog) EndEvacuation(version uint64, domain string) {
	if _, ok := c.Evacuations[domain]; !ok {
		return
	}
	c.Remove(version, KindEvacuation, domain)
	c.markEvacuated(version, domain, false)
}

// markEvacuated sets Evacuated of the upstreams of a failure domain.
func (c *Catalog) markEvacuated(version uint64, domain string, evacuated bool) {
	for _, u := range c.SortedUpstreams() {
		if u.FailureDomain == domain {
			c.Put(version, KindUpstream, u.ID, u.WithEvacuated(evacuated))
		}
	}
}

// HasDomain reports whether an upstream is in a failure domain.
func (c *Catalog) HasDomain(domain string) bool {
	for _, u := range c.Upstreams {
		if u.FailureDomain == domain {
			return true
		}
	}
	return false
}

// SortedUpstreams returns the upstreams sorted by ID.
func (c *Catalog) SortedUpstreams() []Upstream {
	us := make([]Upstream, 0, len(c.Upstreams))
	for _, id := range slices.Sorted(maps.Keys(c.Upstreams)) {
		us = append(us, c.Upstreams[id])
	}
	return us
}

func (c *Catalog) applyChange(ch Change) error {
	switch ch.Kind {
	case KindAccount:
		return applyToTable(c.Accounts, ch)
	case KindKey:
		delete(c.ByDigest, c.Keys[ch.Name].Digest)
		if err := applyToTable(c.Keys, ch); err != nil {
			return err
		}
		if k, ok := c.Keys[ch.Name]; ok {
			c.ByDigest[k.Digest] = k
		}
		return nil
	case KindGroup:
		return applyToTable(c.Groups, ch)
	case KindRoute:
		return applyToTable(c.Routes, ch)
	case KindTarget:
		return applyToTable(c.Targets, ch)
	case KindUpstream:
		return applyToTable(c.Upstreams, ch)
	case KindPoison:
		return applyToTable(c.Poisons, ch)
	case KindEvacuation:
		return applyToTable(c.Evacuations, ch)
	case KindVersions:
		return c.applyVersions(ch)
	default:
		return rollout.NewError(rollout.KindInvalidInput, "unknown entity kind %q", ch.Kind)
	}
}

// applyVersions replaces the weight versions of an upstream. It ignores an
// unknown upstream.
func (c *Catalog) applyVersions(ch Change) error {
	u, ok := c.Upstreams[ch.Name]
	if !ok {
		return nil
	}
	var versions map[string]uint64
	if err := json.Unmarshal(ch.Value, &versions); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "decode weight versions of upstream %s", ch.Name).WithCause(err)
	}
	u.Versions = versions
	c.Upstreams[ch.Name] = u
	return nil
}

func (c *Catalog) fullUpdate(interest Interest) Update {
	u := Update{Full: true, Version: c.Version}
	u.Changes = appendTable(u.Changes, interest, KindAccount, c.Accounts)
	u.Changes = appendTable(u.Changes, interest, KindKey, c.Keys)
	u.Changes = appendTable(u.Changes, interest, KindGroup, c.Groups)
	u.Changes = appendTable(u.Changes, interest, KindRoute, c.Routes)
	u.Changes = appendTable(u.Changes, interest, KindTarget, c.Targets)
	u.Changes = appendTable(u.Changes, interest, KindUpstream, c.Upstreams)
	u.Changes = appendTable(u.Changes, interest, KindPoison, c.Poisons)
	u.Changes = appendTable(u.Changes, interest, KindEvacuation, c.Evacuations)
	for i := range u.Changes {
		u.Changes[i].Version = c.Version
	}
	return u
}

// recordChange applies a change, adds it to the feed and cuts the feed back. All
// changes of one version stay together, so that Since never returns a part.
func (c *Catalog) recordChange(ch Change) {
	if err := c.applyChange(ch); err != nil {
		return
	}
	c.Version = max(c.Version, ch.Version)
	c.feed = append(c.feed, ch)
	if len(c.feed) < 2*feedLength {
		return
	}
	cut := len(c.feed) - feedLength
	c.feedFrom = c.feed[cut-1].Version
	for cut < len(c.feed) && c.feed[cut].Version == c.feedFrom {
		cut++
	}
	c.feed = slices.Clone(c.feed[cut:])
}

// Interest selects the changes that a daemon follows.
type Interest struct {
	// Kinds lists kinds of which all entities are followed.
	Kinds []EntityKind
	// Names lists single entities that are followed, as "kind/name".
	Names []string
}

// EntryInterest returns the interest of an entry.
func EntryInterest() Interest {
	return Interest{Kinds: []EntityKind{
		KindAccount, KindKey, KindGroup, KindRoute, KindUpstream, KindPoison, KindVersions,
	}}
}

// AgentInterest returns the interest of an agent: all trainer groups and its own
// upstreams.
func AgentInterest(upstreams []string) Interest {
	i := Interest{Kinds: []EntityKind{KindGroup}}
	for _, id := range upstreams {
		i.Names = append(i.Names, string(KindUpstream)+"/"+id)
	}
	return i
}

func (i Interest) matches(kind EntityKind, name string) bool {
	if slices.Contains(i.Kinds, kind) {
		return true
	}
	return slices.Contains(i.Names, string(kind)+"/"+name)
}

// appendTable appends the entities of a table that match the interest, sorted by
// name.
func appendTable[V any](changes []Change, interest Interest, kind EntityKind, table map[string]V) []Change {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if !interest.matches(kind, name) {
			continue
		}
		raw, err := json.Marshal(table[name])
		if err != nil {
			continue
		}
		changes = append(changes, Change{Kind: kind, Name: name, Value: raw})
	}
	return changes
}

// applyToTable stores the entity of a change in its table, or removes it if the
// change has no value.
func applyToTable[V any](table map[string]V, ch Change) error {
	if len(ch.Value) == 0 {
		delete(table, ch.Name)
		return nil
	}
	var v V
	if err := json.Unmarshal(ch.Value, &v); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "decode change of %s %s", ch.Kind, ch.Name).WithCause(err)
	}
	table[ch.Name] = v
	return nil
}
