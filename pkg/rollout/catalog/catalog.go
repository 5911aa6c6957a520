package catalog

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// EntityKind names a table of the catalog.
type EntityKind string

// The tables.
const (
	KindAccount  EntityKind = "account"
	KindKey      EntityKind = "key"
	KindGroup    EntityKind = "group"
	KindRoute    EntityKind = "route"
	KindTarget   EntityKind = "target"
	KindUpstream EntityKind = "upstream"
	KindPoison   EntityKind = "poison"
	// KindVersions changes the weight versions of an upstream and nothing else
	// of it. It has no table of its own.
	KindVersions EntityKind = "versions"
)

// feedLength bounds the changes kept for daemons that lag behind. A daemon
// that lags further gets a full copy.
const feedLength = 8_192

// Change is one change of one entity.
type Change struct {
	// Version is the log index that made the change.
	Version uint64
	Kind    EntityKind
	Name    string
	// Value is the entity in JSON. Empty when it was removed.
	Value json.RawMessage `json:",omitempty"`
}

// Update brings a daemon from one version to a newer one.
type Update struct {
	// Full means that Changes hold the whole catalog.
	Full bool
	// Version is the version after the update.
	Version uint64
	Changes []Change
}

// Catalog is the configuration at one version. Values in its maps are never
// changed in place. Clone it before Apply when others read it.
type Catalog struct {
	// Version is the newest log index applied. It never falls.
	Version   uint64
	Accounts  map[string]Account
	Keys      map[string]Key
	Groups    map[string]Group
	Routes    map[string]Route
	Targets   map[string]Target
	Upstreams map[string]Upstream
	Poisons   map[string]Poison
	// ByDigest finds a key by its digest. It mirrors Keys.
	ByDigest map[string]Key `json:"-"`

	// feed holds the newest changes in order of version.
	feed []Change
	// feedFrom is the version after which the feed is complete.
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
	}
}

// Apply takes an update. An update that is not newer changes nothing.
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

// Clone returns a copy that can be changed apart. It has no feed.
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
	}
}

// Put stores an entity at a version and adds it to the feed.
func (c *Catalog) Put(version uint64, kind EntityKind, name string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		return
	}
	c.record(Change{Version: version, Kind: kind, Name: name, Value: raw})
}

// Remove removes an entity at a version and adds that to the feed.
func (c *Catalog) Remove(version uint64, kind EntityKind, name string) {
	c.record(Change{Version: version, Kind: kind, Name: name})
}

// Restore makes a catalog read from a snapshot usable.
func (c *Catalog) Restore() {
	c.ByDigest = make(map[string]Key, len(c.Keys))
	for _, k := range c.Keys {
		c.ByDigest[k.Digest] = k
	}
	c.feed, c.feedFrom = nil, c.Version
}

// Since returns the changes after a version that an interest wants.
func (c *Catalog) Since(version uint64, interest Interest) Update {
	if version == c.Version {
		return Update{Version: c.Version}
	}
	if version < c.feedFrom || version > c.Version || version == 0 {
		return c.full(interest)
	}
	first, _ := slices.BinarySearchFunc(c.feed, version+1, func(ch Change, v uint64) int {
		return int(int64(ch.Version) - int64(v))
	})
	u := Update{Version: c.Version}
	for _, ch := range c.feed[first:] {
		if interest.wants(ch.Kind, ch.Name) {
			u.Changes = append(u.Changes, ch)
		}
	}
	return u
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
		return applyTo(c.Accounts, ch)
	case KindKey:
		delete(c.ByDigest, c.Keys[ch.Name].Digest)
		if err := applyTo(c.Keys, ch); err != nil {
			return err
		}
		if k, ok := c.Keys[ch.Name]; ok {
			c.ByDigest[k.Digest] = k
		}
		return nil
	case KindGroup:
		return applyTo(c.Groups, ch)
	case KindRoute:
		return applyTo(c.Routes, ch)
	case KindTarget:
		return applyTo(c.Targets, ch)
	case KindUpstream:
		return applyTo(c.Upstreams, ch)
	case KindPoison:
		return applyTo(c.Poisons, ch)
	case KindVersions:
		return c.applyVersions(ch)
	default:
		return rollout.NewError(rollout.KindInvalidInput, "unknown entity kind %q", ch.Kind)
	}
}

func (c *Catalog) applyVersions(ch Change) error {
	u, ok := c.Upstreams[ch.Name]
	if !ok {
		return nil
	}
	var versions map[string]uint64
	if err := json.Unmarshal(ch.Value, &versions); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "versions of %s", ch.Name).WithCause(err)
	}
	u.Versions = versions
	c.Upstreams[ch.Name] = u
	return nil
}

func (c *Catalog) full(interest Interest) Update {
	u := Update{Full: true, Version: c.Version}
	u.Changes = appendAll(u.Changes, interest, KindAccount, c.Accounts)
	u.Changes = appendAll(u.Changes, interest, KindKey, c.Keys)
	u.Changes = appendAll(u.Changes, interest, KindGroup, c.Groups)
	u.Changes = appendAll(u.Changes, interest, KindRoute, c.Routes)
	u.Changes = appendAll(u.Changes, interest, KindTarget, c.Targets)
	u.Changes = appendAll(u.Changes, interest, KindUpstream, c.Upstreams)
	u.Changes = appendAll(u.Changes, interest, KindPoison, c.Poisons)
	for i := range u.Changes {
		u.Changes[i].Version = c.Version
	}
	return u
}

func (c *Catalog) record(ch Change) {
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

// Interest tells which changes a daemon follows.
type Interest struct {
	// Kinds are followed whole.
	Kinds []EntityKind
	// Names are followed one by one, as "kind/name".
	Names []string
}

// EntryInterest returns what an entry follows.
func EntryInterest() Interest {
	return Interest{Kinds: []EntityKind{
		KindAccount, KindKey, KindGroup, KindRoute, KindUpstream, KindPoison, KindVersions,
	}}
}

// AgentInterest returns what an agent follows: the trainer groups and its own
// upstreams.
func AgentInterest(upstreams []string) Interest {
	i := Interest{Kinds: []EntityKind{KindGroup}}
	for _, id := range upstreams {
		i.Names = append(i.Names, string(KindUpstream)+"/"+id)
	}
	return i
}

func (i Interest) wants(kind EntityKind, name string) bool {
	if slices.Contains(i.Kinds, kind) {
		return true
	}
	return slices.Contains(i.Names, string(kind)+"/"+name)
}

func appendAll[V any](changes []Change, interest Interest, kind EntityKind, table map[string]V) []Change {
	for _, name := range slices.Sorted(maps.Keys(table)) {
		if !interest.wants(kind, name) {
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

func applyTo[V any](table map[string]V, ch Change) error {
	if len(ch.Value) == 0 {
		delete(table, ch.Name)
		return nil
	}
	var v V
	if err := json.Unmarshal(ch.Value, &v); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "change of %s %s", ch.Kind, ch.Name).WithCause(err)
	}
	table[ch.Name] = v
	return nil
}
