// Package origin keeps which pool and software version of upstreams began a stream, so that
// a stream that breaks off is continued where it fits.
package origin

import (
	"hash/fnv"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// retentionMS is how long a record is kept. Callers take a stream up within their own
	// deadline, which is a few seconds.
	retentionMS rollout.Millis = 60_000
	// maxRecords bounds the memory of a log to about 16 MB.
	maxRecords = 65_536
)

// Key identifies an attempt of a caller.
type Key struct {
	Account string `json:",omitempty"`
	Attempt string
}

// Origin is where a stream began. What upstreams of another origin generate does not fit
// the stream.
type Origin struct {
	Pool, Software string
}

// Record is the origin of the stream that an attempt began.
type Record struct {
	Key
	Origin
}

// Log holds the records of streams that began a short time ago. It is not safe for
// concurrent use.
type Log struct {
	records map[Key]entry
	// order holds the records from the oldest to the newest, after the first ones, which
	// have been deleted.
	order []stamped
	first int
}

type entry struct {
	origin Origin
	// ambiguous is true if records of the attempt differ.
	ambiguous bool
}

type stamped struct {
	key  Key
	atMS rollout.Millis
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{records: make(map[Key]entry)} }

// Add adds a record. If another origin is on record for the attempt, neither can be relied
// on from then on.
func (l *Log) Add(now rollout.Millis, r Record) {
	old, known := l.records[r.Key]
	if known {
		old.ambiguous = old.ambiguous || old.origin != r.Origin
		l.records[r.Key] = old
		return
	}
	l.records[r.Key] = entry{origin: r.Origin}
	l.order = append(l.order, stamped{r.Key, now})
	l.forget(now)
}

// Find returns the origin of an attempt's stream.
func (l *Log) Find(now rollout.Millis, k Key) (Origin, bool) {
	l.forget(now)
	e, known := l.records[k]
	if !known || e.ambiguous {
		return Origin{}, false
	}
	return e.origin, true
}

// Len returns the number of records.
func (l *Log) Len() int { return len(l.records) }

// forget deletes records that are too old or too many.
func (l *Log) forget(now rollout.Millis) {
	for l.first < len(l.order) && (now-l.order[l.first].atMS > retentionMS || len(l.order)-l.first > maxRecords) {
		delete(l.records, l.order[l.first].key)
		l.first++
	}
	if 2*l.first > len(l.order) {
		l.order, l.first = slices.Clone(l.order[l.first:]), 0
	}
}

// Holders returns the n hosts that hold the record of an attempt, or all if there are
// fewer. Hosts that come or leave change the holders of few attempts.
func Holders(k Key, hosts []string, n int) []string {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b string) int {
		wa, wb := weight(k, a), weight(k, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return sorted[:min(n, len(sorted))]
}

// weight returns the rendezvous weight of a host for an attempt.
func weight(k Key, host string) uint64 {
	h := fnv.New64a()
	for _, s := range []string{k.Account, k.Attempt, host} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64()
	// Sums of inputs that differ only at their end differ mostly in the low bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
