// Package discovery keeps the table of upstreams from their announcements.
package discovery

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// silentBeats is how many announcements may fail to come before an
	// upstream is tried last. It does not count as dead.
	silentBeats = 3
	// tombstoneMS is how long the end of an incarnation is remembered, so
	// that its late announcements do not bring it back.
	tombstoneMS rollout.Millis = 120_000
)

// State tells whether an upstream takes work.
type State string

// The states of an upstream.
const (
	StateReady    State = "Ready"
	StateDraining State = "Draining"
	StateGone     State = "Gone"
)

// Model is a model that an engine serves.
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
	Models        []Model `json:",omitempty"`
	// Born is the start of the incarnation. Seq rises with each announcement.
	Born int64
	Seq  uint64
	// Silent is true when announcements have failed to come.
	Silent bool `json:",omitempty"`
	// Revision is that of the table at the last change of the upstream.
	Revision uint64
}

type record struct {
	Upstream
	seenMS rollout.Millis
}

// Table holds all upstreams. It is used by one thread at a time.
type Table struct {
	beatMS   rollout.Millis
	revision uint64
	byID     map[string]*record
}

// New returns an empty table of upstreams that announce themselves each
// beatMS.
func New(beatMS rollout.Millis) *Table {
	return &Table{beatMS: beatMS, byID: make(map[string]*record)}
}

// Announce takes an announcement. It returns whether it is the newest of its
// incarnation and whether anything but its time has changed.
func (t *Table) Announce(now rollout.Millis, u Upstream) (taken, changed bool) {
	old := t.byID[u.ID]
	if old != nil && (u.Born < old.Born || (u.Born == old.Born && (u.Seq <= old.Seq || old.State == StateGone))) {
		return false, false
	}
	if t.addressTaken(u) {
		return false, false
	}
	if old != nil && old.Born == u.Born && old.State == StateDraining && u.State == StateReady {
		u.State = StateDraining
	}
	u.Silent = false
	next := &record{Upstream: u, seenMS: now}
	if old != nil && same(old.Upstream, u) {
		next.Revision = old.Revision
		t.byID[u.ID] = next
		return true, false
	}
	t.byID[u.ID] = next
	t.touch(next)
	t.displace(u)
	return true, true
}

// Leave notes the end of an incarnation. A born of 0 stands for any.
func (t *Table) Leave(now rollout.Millis, id string, born int64) bool {
	r := t.byID[id]
	if r == nil || r.State == StateGone || (born != 0 && born != r.Born) {
		return false
	}
	r.State, r.seenMS = StateGone, now
	t.touch(r)
	return true
}

// Restore replaces the table by one that another host has kept. All count as
// seen now.
func (t *Table) Restore(now rollout.Millis, us []Upstream) {
	t.byID = make(map[string]*record)
	for _, u := range us {
		t.byID[u.ID] = &record{Upstream: u, seenMS: now}
		t.revision = max(t.revision, u.Revision)
	}
}

// Revision returns the number of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// EndedOrSilent tells whether an incarnation is known to have ended or to be silent.
func (t *Table) EndedOrSilent(id string, born int64) bool {
	r := t.byID[id]
	return r != nil && (r.Born != born || r.State == StateGone || r.Silent)
}

// ChangedSince returns the upstreams that have changed after a revision.
func (t *Table) ChangedSince(revision uint64) []Upstream {
	var us []Upstream
	for _, r := range t.byID {
		if r.Revision > revision {
			us = append(us, r.Upstream)
		}
	}
	slices.SortFunc(us, func(a, b Upstream) int { return cmp.Compare(a.Revision, b.Revision) })
	return us
}

// Tick marks the silent and forgets old ends. It tells whether anything has
// changed.
func (t *Table) Tick(now rollout.Millis) bool {
	before := t.revision
	for id, r := range t.byID {
		if r.State == StateGone && now-r.seenMS > tombstoneMS {
			delete(t.byID, id)
			continue
		}
		if r.State != StateGone && !r.Silent && now-r.seenMS > silentBeats*t.beatMS {
			r.Silent = true
			t.touch(r)
		}
	}
	return t.revision != before
}

// addressTaken tells whether a later incarnation stands at the address.
func (t *Table) addressTaken(u Upstream) bool {
	for id, r := range t.byID {
		if id != u.ID && r.Address == u.Address && r.Born > u.Born {
			return true
		}
	}
	return false
}

// displace ends earlier incarnations at the address.
func (t *Table) displace(u Upstream) {
	for id, r := range t.byID {
		if id != u.ID && r.Address == u.Address && r.State != StateGone && r.Born <= u.Born {
			r.State = StateGone
			t.touch(r)
		}
	}
}

func (t *Table) touch(r *record) {
	t.revision++
	r.Revision = t.revision
}

// same tells whether two announcements differ only in their numbers.
func same(a, b Upstream) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.State == b.State && a.Slots == b.Slots && a.Born == b.Born && a.Silent == b.Silent &&
		slices.Equal(a.Models, b.Models)
}
