// Package discovery maintains the table of upstreams from their announcements.
package discovery

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// silentAfterIntervals is the number of announcement intervals without an
	// announcement after which an upstream is marked silent. A silent upstream
	// is used last; it is not treated as dead.
	silentAfterIntervals = 3
	// tombstoneRetentionMS is how long the record of an ended incarnation is
	// kept, so that its late announcements do not add it again.
	tombstoneRetentionMS rollout.Millis = 120_000
	// minChanges is the number of outdated changes that are kept at any size.
	minChanges = 64
)

// State is the lifecycle state of an upstream. Only a ready one takes new work.
type State string

// The states of an upstream.
const (
	StateReady    State = "Ready"
	StateDraining State = "Draining"
	StateGone     State = "Gone"
)

// Model is a model that an engine serves, with its weight version.
type Model struct {
	Name    string
	Version uint64
}

// Upstream is one incarnation of an upstream as it last announced itself.
type Upstream struct {
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	State         State
	Slots         int
	// Software is the version of the software that the upstream runs, or empty if it is
	// unknown. What two versions generate does not fit together.
	Software string  `json:",omitempty"`
	Models   []Model `json:",omitempty"`
	// Born is the start time of the incarnation. Seq increases with each of its
	// announcements.
	Born int64
	Seq  uint64
	// Limit is the number of requests a second that the upstream takes from all hosts, or
	// 0 if it has named no limit.
	Limit float64 `json:",omitempty"`
	// ColdMS is how much longer the upstream stays cold, as it announced.
	ColdMS rollout.Millis `json:",omitempty"`
	// ColdLimit is the number of requests a second that the upstream takes from all hosts
	// while it is cold, or 0 while it is warm.
	ColdLimit float64 `json:",omitempty"`
	// Silent is true when several announcements in a row are missing.
	Silent bool `json:",omitempty"`
	// Revision is the table revision at which the upstream last changed, and
	// RoutingRevision the one at which anything but Models last changed.
	Revision, RoutingRevision uint64
}

// Repeats reports whether an announcement says no more than an earlier one but that
// the upstream is alive.
func (u Upstream) Repeats(earlier Upstream) bool {
	return sameRouting(u, earlier) && slices.Equal(u.Models, earlier.Models) && u.ColdMS == 0
}

// record is an upstream with the time of its last announcement or Leave.
type record struct {
	Upstream
	lastSeenMS rollout.Millis
	// coldUntilMS is the time until which the upstream counts as cold.
	coldUntilMS rollout.Millis
}

// Table holds all upstreams. It is not safe for concurrent use.
type Table struct {
	announceIntervalMS rollout.Millis
	// revision and routingRevision are the largest of all upstreams.
	revision, routingRevision uint64
	byID                      map[string]*record
	// byAddress holds the IDs of the upstreams at each address.
	byAddress map[string][]string
	// changes lists the upstreams in the order of their changes. Entries whose
	// upstream has changed again are outdated.
	changes []change
	// coldPools holds the pools whose upstreams can be cold.
	coldPools map[string]ColdPool
}

// change is the change of an upstream at a revision.
type change struct {
	revision uint64
	id       string
}

// New returns an empty table for upstreams that announce themselves every
// announceIntervalMS.
func New(announceIntervalMS rollout.Millis) *Table {
	return &Table{announceIntervalMS: announceIntervalMS, byID: make(map[string]*record), byAddress: make(map[string][]string)}
}

// Announce processes an announcement. An outdated one is not accepted. changed is
// false for an announcement that differs from the last one only in its sequence
// number.
func (t *Table) Announce(now rollout.Millis, u Upstream) (accepted, changed bool) {
	old := t.byID[u.ID]
	if old != nil && (u.Born < old.Born || (u.Born == old.Born && (u.Seq <= old.Seq || old.State == StateGone))) {
		return false, false
	}
	if t.addressHeldByLater(u) {
		return false, false
	}
	if old != nil && old.Born == u.Born && old.State == StateDraining && u.State == StateReady {
		u.State = StateDraining
	}
	u.Silent, u.Limit, u.ColdLimit = false, 0, 0
	next := &record{Upstream: u, lastSeenMS: now}
	if old != nil && old.Born == u.Born {
		next.Limit, next.ColdLimit, next.coldUntilMS = old.Limit, old.ColdLimit, old.coldUntilMS
	}
	t.extendCold(now, next, u.ColdMS)
	u = next.Upstream
	t.put(next)
	if old != nil && sameRouting(old.Upstream, u) {
		next.Revision, next.RoutingRevision = old.Revision, old.RoutingRevision
		changed = !slices.Equal(old.Models, u.Models)
		if changed {
			t.recordChange(next)
		}
		return true, changed
	}
	t.bumpRevision(next)
	t.endEarlierAtAddress(u)
	return true, true
}

// Leave marks an incarnation as gone, with all earlier ones, and reports whether the table
// changed. A born of 0 matches any known incarnation. The record of an unknown one refuses its
// late announcements.
func (t *Table) Leave(now rollout.Millis, id string, born int64) bool {
	r := t.byID[id]
	if r == nil && born != 0 {
		r = &record{Upstream: Upstream{ID: id, Born: born}}
		t.put(r)
	}
	if r == nil || (born != 0 && born < r.Born) || (r.State == StateGone && born <= r.Born) {
		return false
	}
	r.State, r.Born, r.lastSeenMS = StateGone, max(r.Born, born), now
	t.bumpRevision(r)
	return true
}

// Drain marks a ready incarnation as draining and reports whether the table changed. It
// is for news that does not come from the upstream's announcements.
func (t *Table) Drain(id string, born int64) bool {
	r := t.byID[id]
	if r == nil || r.State != StateReady || r.Born != born {
		return false
	}
	r.State = StateDraining
	t.bumpRevision(r)
	return true
}

// SetLimit sets the limit of an incarnation, or removes it if it is 0, and reports
// whether the table changed.
func (t *Table) SetLimit(id string, born int64, limit float64) bool {
	r := t.byID[id]
	if r == nil || r.State == StateGone || r.Born != born || r.Limit == limit {
		return false
	}
	r.Limit = limit
	t.bumpRevision(r)
	return true
}

// Limit returns the limit of an incarnation, or 0 if it has none, and whether the
// incarnation is known.
func (t *Table) Limit(id string, born int64) (float64, bool) {
	r := t.byID[id]
	if r == nil || r.Born != born {
		return 0, false
	}
	return r.Limit, true
}

// ColdLimit returns the pool of an incarnation and its limit while it is cold, or 0 if it is
// warm, and whether the incarnation is known.
func (t *Table) ColdLimit(id string, born int64) (pool string, limit float64, known bool) {
	r := t.byID[id]
	if r == nil || r.Born != born {
		return "", 0, false
	}
	return r.Pool, r.ColdLimit, true
}

// Restore replaces all upstreams with those of another host's table at a revision.
// All of them count as seen now. Later changes get higher revisions, also if the
// upstreams that changed last have left the table since.
func (t *Table) Restore(now rollout.Millis, us []Upstream, revision uint64) {
	t.byID, t.byAddress, t.changes = make(map[string]*record), make(map[string][]string), nil
	t.revision = max(t.revision, revision)
	us = slices.SortedFunc(slices.Values(us), func(a, b Upstream) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, u := range us {
		r := &record{Upstream: u, lastSeenMS: now}
		if u.ColdLimit > 0 {
			r.coldUntilMS = now + max(u.ColdMS, t.coldPools[u.Pool].StartMS)
		}
		t.put(r)
		t.changes = append(t.changes, change{u.Revision, u.ID})
		t.revision = max(t.revision, u.Revision)
		t.routingRevision = max(t.routingRevision, u.RoutingRevision)
	}
}

// Revision returns the revision of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// RoutingRevision returns the revision of the last change of anything but the
// models of an upstream.
func (t *Table) RoutingRevision() uint64 { return t.routingRevision }

// BornOf returns the start time of the last known incarnation of an upstream, or 0 if none is
// known.
func (t *Table) BornOf(id string) int64 {
	if r := t.byID[id]; r != nil {
		return r.Born
	}
	return 0
}

// Knows reports whether an incarnation of an upstream is in the table, also if it has
// ended.
func (t *Table) Knows(id string) bool { return t.byID[id] != nil }

// HasDomain reports whether an upstream of a failure domain is in the table.
func (t *Table) HasDomain(name string) bool {
	for _, r := range t.byID {
		if r.FailureDomain == name {
			return true
		}
	}
	return false
}

// SilenceMS returns the time without an announcement after which an upstream is marked
// silent.
func (t *Table) SilenceMS() rollout.Millis { return silentAfterIntervals * t.announceIntervalMS }

// EndedOrSilent reports whether an incarnation is known to have ended or to be
// silent.
func (t *Table) EndedOrSilent(id string, born int64) bool {
	r := t.byID[id]
	return r != nil && (r.Born != born || r.State == StateGone || r.Silent)
}

// ChangedSince returns the upstreams that changed after a revision, in the
// order of their changes.
func (t *Table) ChangedSince(revision uint64) []Upstream {
	from, _ := slices.BinarySearchFunc(t.changes, revision+1, func(c change, revision uint64) int { return cmp.Compare(c.revision, revision) })
	var us []Upstream
	for _, c := range t.changes[from:] {
		if r := t.byID[c.id]; r != nil && r.Revision == c.revision {
			us = append(us, r.Upstream)
		}
	}
	return us
}

// RoutingChangedSince is ChangedSince without changes of models alone, for hosts
// that only route requests. Each load of weights changes the models of an engine,
// and most hosts are of that kind.
func (t *Table) RoutingChangedSince(revision uint64) []Upstream {
	return slices.DeleteFunc(t.ChangedSince(revision), func(u Upstream) bool { return u.RoutingRevision <= revision })
}

// Tick marks upstreams as silent or as warm again and deletes expired tombstones. It
// reports whether any upstream was marked.
func (t *Table) Tick(now rollout.Millis) bool {
	before := t.revision
	for _, r := range t.byID {
		if r.State == StateGone && now-r.lastSeenMS > tombstoneRetentionMS {
			t.remove(r)
			continue
		}
		if r.State != StateGone && !r.Silent && now-r.lastSeenMS > t.SilenceMS() {
			r.Silent = true
			t.bumpRevision(r)
		}
		if r.ColdLimit > 0 && now >= r.coldUntilMS {
			r.ColdLimit = 0
			t.bumpRevision(r)
		}
	}
	return t.revision != before
}

// addressHeldByLater reports whether a later incarnation with another ID has
// announced the address of u.
func (t *Table) addressHeldByLater(u Upstream) bool {
	for _, id := range t.byAddress[u.Address] {
		if id != u.ID && t.byID[id].Born > u.Born {
			return true
		}
	}
	return false
}

// endEarlierAtAddress marks earlier incarnations at the address of u as gone.
func (t *Table) endEarlierAtAddress(u Upstream) {
	for _, id := range t.byAddress[u.Address] {
		if r := t.byID[id]; id != u.ID && r.State != StateGone && r.Born <= u.Born {
			r.State = StateGone
			t.bumpRevision(r)
		}
	}
}

// put stores a record in place of the former one of its ID.
func (t *Table) put(r *record) {
	old := t.byID[r.ID]
	t.byID[r.ID] = r
	if old != nil && old.Address == r.Address {
		return
	}
	if old != nil {
		t.removeFromAddress(old)
	}
	t.byAddress[r.Address] = append(t.byAddress[r.Address], r.ID)
}

func (t *Table) remove(r *record) {
	delete(t.byID, r.ID)
	t.removeFromAddress(r)
}

func (t *Table) removeFromAddress(r *record) {
	ids := slices.DeleteFunc(t.byAddress[r.Address], func(id string) bool { return id == r.ID })
	if len(ids) == 0 {
		delete(t.byAddress, r.Address)
		return
	}
	t.byAddress[r.Address] = ids
}

func (t *Table) bumpRevision(r *record) {
	t.recordChange(r)
	r.RoutingRevision, t.routingRevision = t.revision, t.revision
}

// recordChange gives an upstream the next revision. It drops outdated changes once
// they are the greater part.
func (t *Table) recordChange(r *record) {
	t.revision++
	r.Revision = t.revision
	t.changes = append(t.changes, change{t.revision, r.ID})
	if len(t.changes) > 2*len(t.byID)+minChanges {
		t.changes = slices.DeleteFunc(t.changes, func(c change) bool {
			current := t.byID[c.id]
			return current == nil || current.Revision != c.revision
		})
	}
}

// sameRouting reports whether two announcements differ at most in Models, Seq and
// the revisions.
func sameRouting(a, b Upstream) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.State == b.State && a.Slots == b.Slots && a.Software == b.Software && a.Born == b.Born && a.Silent == b.Silent && a.Limit == b.Limit && a.ColdLimit == b.ColdLimit
}
