// Package memory decides which of many requests may hold memory, which wait for it and which
// must give it back.
//
// A reservation covers all that a request needs next, so that requests whose length is known
// never wait for each other while they hold memory. Those of unknown length grow, and may
// come to wait for each other; then the one that has made no progress for longest loses what
// it holds.
package memory

import (
	"cmp"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// progressBytes is what a transfer must move in each interval of StallMS to count as
	// moving. It is far below the rate of any caller that finishes before its deadline.
	progressBytes = 16 << 10
	// DefaultStallMS is several round-trip times and retransmissions of a packet.
	DefaultStallMS rollout.Millis = 1_000
)

// Config sets the limits of an account.
type Config struct {
	// Bytes is the memory that all holders may have together.
	Bytes int64
	// SmallBytes is the part of Bytes that only small holders may use, at most Bytes.
	SmallBytes int64
	// SmallLimit is the size up to which a holder is small.
	SmallLimit int64
	// MaxWaiting is the number of holders of each size that may wait.
	MaxWaiting int
	// StallMS is how long a transfer may make no progress while others wait.
	StallMS rollout.Millis
}

// ID identifies a holder.
type ID uint64

// Outcome tells what follows from an input.
type Outcome struct {
	// Granted holds the holders whose wait has ended with what they asked for.
	Granted []ID
	// Evicted holds the holders that must stop and release their memory. They stay holders
	// until they do.
	Evicted []ID
}

// Stats is the state of an account at one time.
type Stats struct {
	Held             int64
	Holders, Waiting int
}

// holder is a request that holds memory or waits for it.
type holder struct {
	id ID
	// held is what the holder has been granted.
	held int64
	// wanted is the total that it waits for, or 0.
	wanted int64
	// unmoved is what it may still move until it counts as having made progress.
	unmoved int64
	// progressMS is the time of the last progress.
	progressMS rollout.Millis
	// fresh is true from a grant until the next tick, at which the time to make progress begins.
	fresh bool
	// settled is true once nothing more is transferred. It is not evicted then.
	settled bool
	evicted bool
}

// Account divides memory among holders. It is not safe for concurrent use.
type Account struct {
	cfg     Config
	lastID  ID
	holders map[ID]*holder
	// smallUsed and largeUsed are the sums of the charges of the holders of each size.
	smallUsed, largeUsed int64
	// waiting holds the waiting holders in the order of their requests, with those that
	// already hold memory first.
	waiting []*holder
}

// New returns an account that nobody uses.
func New(cfg Config) *Account {
	cfg.SmallBytes = min(cfg.SmallBytes, cfg.Bytes)
	if cfg.StallMS <= 0 {
		cfg.StallMS = DefaultStallMS
	}
	return &Account{cfg: cfg, holders: make(map[ID]*holder)}
}

// Add charges a holder for memory that is in use already, such as a response that has been
// read. Later reservations wait for it.
func (a *Account) Add(id ID, bytes int64) {
	if h := a.holders[id]; h != nil {
		a.setHeld(h, h.held+bytes)
	}
}

// Close removes a holder and grants what it held to others.
func (a *Account) Close(id ID) Outcome {
	h := a.holders[id]
	if h == nil {
		return Outcome{}
	}
	a.stopWaiting(h)
	a.setHeld(h, 0)
	delete(a.holders, id)
	return a.grant()
}

// Moved records that a transfer has moved bytes.
func (a *Account) Moved(now rollout.Millis, id ID, bytes int64) {
	h := a.holders[id]
	if h == nil {
		return
	}
	h.unmoved -= bytes
	if h.unmoved <= 0 {
		h.unmoved, h.progressMS = progressBytes, now
	}
}

// Open adds a holder that holds nothing.
func (a *Account) Open(now rollout.Millis) ID {
	a.lastID++
	a.holders[a.lastID] = &holder{id: a.lastID, unmoved: progressBytes, progressMS: now}
	return a.lastID
}

// Reserve asks for a total of bytes for a holder. It is granted at once, or the holder waits
// and is named in a later Outcome. It fails with KindOverloaded if too many wait.
func (a *Account) Reserve(id ID, bytes int64) (granted bool, err error) {
	h := a.holders[id]
	if h == nil || h.evicted {
		return false, rollout.NewError(rollout.KindOverloaded, "the memory of request %d was given to others", id).WithNotRun()
	}
	if bytes <= h.held {
		a.setHeld(h, bytes)
		return true, nil
	}
	if !a.isBehind(h, bytes) && a.fits(h, bytes) {
		a.setHeld(h, bytes)
		return true, nil
	}
	if n := a.waitingOf(a.isLarge(bytes)); n >= a.cfg.MaxWaiting {
		return false, rollout.NewError(rollout.KindOverloaded, "%d requests of this size wait for memory, limit %d", n, a.cfg.MaxWaiting).WithNotRun()
	}
	h.wanted = bytes
	at := len(a.waiting)
	if h.held > 0 {
		at = slices.IndexFunc(a.waiting, func(w *holder) bool { return w.held == 0 })
		if at < 0 {
			at = len(a.waiting)
		}
	}
	a.waiting = slices.Insert(a.waiting, at, h)
	return false, nil
}

// Settle marks a holder whose transfer has ended. A holder that transfers something again, as
// a response, is marked with Transfer.
func (a *Account) Settle(id ID) {
	if h := a.holders[id]; h != nil {
		h.settled = true
	}
}

// Shrink reduces what a holder holds.
func (a *Account) Shrink(id ID, bytes int64) Outcome {
	if h := a.holders[id]; h != nil && bytes < h.held {
		a.setHeld(h, bytes)
	}
	return a.grant()
}

// Stats returns the present state.
func (a *Account) Stats() Stats {
	return Stats{Held: a.smallUsed + a.largeUsed, Holders: len(a.holders), Waiting: len(a.waiting)}
}

// StopWaiting ends the wait of a holder, which keeps what it has.
func (a *Account) StopWaiting(id ID) Outcome {
	if h := a.holders[id]; h != nil {
		a.stopWaiting(h)
	}
	return a.grant()
}

// Tick evicts holders that make no progress while others wait for memory, as many as those that
// wait need. Holders that wait themselves come last, as they cannot make progress.
func (a *Account) Tick(now rollout.Millis) Outcome {
	out := a.grant()
	for _, h := range a.holders {
		if h.fresh {
			h.fresh, h.unmoved, h.progressMS = false, progressBytes, now
		}
	}
	for _, large := range []bool{false, true} {
		out.Evicted = append(out.Evicted, a.evictFor(now, large)...)
	}
	return out
}

// Transfer marks a holder that transfers something.
func (a *Account) Transfer(now rollout.Millis, id ID) {
	if h := a.holders[id]; h != nil {
		h.settled, h.unmoved, h.progressMS = false, progressBytes, now
	}
}

// charge returns what a number of bytes counts for. What exceeds the account is served
// alone.
func (a *Account) charge(bytes int64) int64 {
	if a.isLarge(bytes) {
		return min(bytes, a.cfg.Bytes-a.cfg.SmallBytes)
	}
	return bytes
}

// evictFor evicts stalled holders until the waiting ones of a size would fit.
func (a *Account) evictFor(now rollout.Millis, large bool) []ID {
	missing := a.missingFor(large)
	if missing <= 0 {
		return nil
	}
	var stalled []*holder
	for _, h := range a.holders {
		switch {
		case !a.helps(h, large):
		case h.evicted:
			missing -= a.charge(h.held)
		case !h.settled && h.held > 0 && now-h.progressMS >= a.cfg.StallMS:
			stalled = append(stalled, h)
		}
	}
	// One that waits does not have to yield for itself.
	if len(stalled) == 1 && len(a.waiting) == 1 && stalled[0] == a.waiting[0] {
		return nil
	}
	slices.SortFunc(stalled, func(x, y *holder) int {
		return cmp.Or(
			cmp.Compare(min(x.wanted, 1), min(y.wanted, 1)),
			cmp.Compare(y.held*int64(now-y.progressMS), x.held*int64(now-x.progressMS)),
			cmp.Compare(x.id, y.id),
		)
	})
	var evicted []ID
	for _, h := range stalled {
		if missing <= 0 {
			break
		}
		missing -= a.charge(h.held)
		if h.wanted > 0 && a.isLarge(h.wanted) == large {
			missing -= a.charge(h.wanted) - a.charge(h.held)
		}
		h.evicted = true
		a.stopWaiting(h)
		evicted = append(evicted, h.id)
	}
	return evicted
}

// fits reports whether a holder can have a total of bytes now.
func (a *Account) fits(h *holder, bytes int64) bool { return a.missing(h, bytes) <= 0 }

// grant gives memory to the waiting holders in their order. One that does not fit holds up
// only those of its size.
func (a *Account) grant() Outcome {
	var out Outcome
	var blocked [2]bool
	rest := a.waiting[:0:0]
	for _, w := range a.waiting {
		size := &blocked[0]
		if a.isLarge(w.wanted) {
			size = &blocked[1]
		}
		if *size || !a.fits(w, w.wanted) {
			*size = true
			rest = append(rest, w)
			continue
		}
		a.setHeld(w, w.wanted)
		w.wanted, w.fresh = 0, true
		out.Granted = append(out.Granted, w.id)
	}
	a.waiting = rest
	return out
}

// helps reports whether the memory of a holder could go to a waiting one of a size.
func (a *Account) helps(h *holder, large bool) bool {
	return !large || a.isLarge(h.held) || a.smallUsed > a.cfg.SmallBytes
}

// isBehind reports whether a reservation must wait for others of its size.
func (a *Account) isBehind(h *holder, bytes int64) bool {
	return slices.ContainsFunc(a.waiting, func(w *holder) bool {
		return a.isLarge(w.wanted) == a.isLarge(bytes) && (h.held == 0 || w.held > 0)
	})
}

func (a *Account) isLarge(bytes int64) bool { return bytes > a.cfg.SmallLimit }

// missingFor returns how many bytes too few are free for all waiting holders of a size, or 0 if
// none waits.
func (a *Account) missingFor(large bool) int64 {
	missing, waits := -a.free(large), false
	for _, w := range a.waiting {
		if a.isLarge(w.wanted) == large {
			missing += a.charge(w.wanted) - a.charge(w.held)
			waits = true
		}
	}
	if !waits {
		return 0
	}
	return missing
}

// free returns the bytes that holders of a size can still have.
func (a *Account) free(large bool) int64 {
	if large {
		return a.cfg.Bytes - a.cfg.SmallBytes - a.largeUsed - max(0, a.smallUsed-a.cfg.SmallBytes)
	}
	return a.cfg.Bytes - a.smallUsed - a.largeUsed
}

// waitingOf returns the number of waiting holders of a size.
func (a *Account) waitingOf(large bool) int {
	n := 0
	for _, w := range a.waiting {
		if a.isLarge(w.wanted) == large {
			n++
		}
	}
	return n
}

// missing returns how many bytes too few are free for a holder to have a total of bytes.
func (a *Account) missing(h *holder, bytes int64) int64 {
	small, large := a.smallUsed, a.largeUsed
	if a.isLarge(h.held) {
		large -= a.charge(h.held)
	} else {
		small -= h.held
	}
	if a.isLarge(bytes) {
		borrowed := max(0, small-a.cfg.SmallBytes)
		return large + borrowed + a.charge(bytes) - (a.cfg.Bytes - a.cfg.SmallBytes)
	}
	return small + large + bytes - a.cfg.Bytes
}

func (a *Account) setHeld(h *holder, bytes int64) {
	if a.isLarge(h.held) {
		a.largeUsed -= a.charge(h.held)
	} else {
		a.smallUsed -= h.held
	}
	h.held = bytes
	if a.isLarge(bytes) {
		a.largeUsed += a.charge(bytes)
	} else {
		a.smallUsed += bytes
	}
}

func (a *Account) stopWaiting(h *holder) {
	h.wanted = 0
	a.waiting = slices.DeleteFunc(a.waiting, func(w *holder) bool { return w == h })
}
