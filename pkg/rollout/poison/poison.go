// Package poison detects requests that crash the upstreams that run them. Each
// daemon that sends requests records the connections that broke while an upstream
// ran one; a Detector combines the records of all daemons.
package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// CrashLimit is the number of upstream crashes after which a request is
	// refused. The requirements limit retries after the third crash.
	CrashLimit = 3
	// sharedCrashLimit replaces CrashLimit for requests that were running together at
	// each crash, since only one of them may be the cause. The requirements allow three
	// retries after the third crash.
	sharedCrashLimit = CrashLimit + 2
	// RetentionMS is how long a broken connection or a refusal is kept. Callers that
	// retry a request do so within minutes.
	RetentionMS rollout.Millis = 10 * 60 * 1_000
	// maxBrokenConnections bounds the broken connections of one daemon. The
	// loss of a failure domain of engines breaks a few hundred requests at once.
	maxBrokenConnections = 512
)

// BrokenConnection records that the connection of a request broke while an
// upstream ran the request.
type BrokenConnection struct {
	Fingerprint string
	Upstream    string
	// Born identifies the incarnation of the upstream.
	Born int64
	// Ended is true if the upstream accepted no connections any more right after.
	Ended bool `json:",omitempty"`
}

// crash is the end of an incarnation of an upstream.
type crash struct {
	upstream string
	born     int64
}

func (c BrokenConnection) crash() crash { return crash{c.Upstream, c.Born} }

// Fingerprint returns the hex SHA-256 of the parts of a request that stay the
// same when it is retried: its client account, method, target and body. Callers
// pass an empty account to count the requests of all accounts together.
func Fingerprint(account, method, target string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{account, method, target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// logRecord is a broken connection with the time at which it was recorded.
type logRecord struct {
	BrokenConnection
	atMS rollout.Millis
}

// BrokenConnectionLog holds the broken connections of one daemon, oldest
// first. It is not safe for concurrent use.
type BrokenConnectionLog struct {
	// revision increases with each change of records.
	revision uint64
	records  []logRecord
}

// Record adds a broken connection and removes expired ones. When the log is
// full, it evicts the oldest one.
func (l *BrokenConnectionLog) Record(now rollout.Millis, c BrokenConnection) {
	l.deleteFunc(func(old logRecord) bool {
		return (old.Fingerprint == c.Fingerprint && old.crash() == c.crash()) || now-old.atMS > RetentionMS
	})
	if len(l.records) == maxBrokenConnections {
		l.records = slices.Delete(l.records, 0, 1)
	}
	l.records = append(l.records, logRecord{c, now})
	l.revision++
}

// Clear removes the broken connections of a request and reports whether there were
// any. It is called once an upstream has answered the request.
func (l *BrokenConnectionLog) Clear(fingerprint string) bool {
	return l.deleteFunc(func(old logRecord) bool { return old.Fingerprint == fingerprint })
}

// deleteFunc removes records and reports whether there were any to remove.
func (l *BrokenConnectionLog) deleteFunc(drop func(logRecord) bool) bool {
	before := len(l.records)
	if l.records = slices.DeleteFunc(l.records, drop); len(l.records) == before {
		return false
	}
	l.revision++
	return true
}

// Empty reports whether the log has no records.
func (l *BrokenConnectionLog) Empty() bool { return len(l.records) == 0 }

// Report returns the revision of the log and its broken connections. The
// revision increases with each change and is 0 until the first record.
func (l *BrokenConnectionLog) Report() (uint64, []BrokenConnection) {
	connections := make([]BrokenConnection, 0, len(l.records))
	for _, r := range l.records {
		connections = append(connections, r.BrokenConnection)
	}
	return l.revision, connections
}

// Reporter identifies a process that reports broken connections.
type Reporter struct {
	Daemon string
	// Incarnation differs each time the daemon starts.
	Incarnation string
}

// Report holds all broken connections that a reporter keeps.
type Report struct {
	// Revision increases with each change of the connections.
	Revision    uint64
	Connections []BrokenConnection
}

type timedReport struct {
	Report
	atMS rollout.Millis
}

// Detector combines the broken connections of all daemons and decides which
// requests are refused. It is not safe for concurrent use.
type Detector struct {
	reports map[Reporter]timedReport
	// crashes holds the crashes that counted at the last update, by fingerprint.
	// newCrashes holds the broken connections that did not count before it.
	crashes    map[string]map[crash]bool
	newCrashes []BrokenConnection
	// refusedUntil maps the fingerprint of a refused request to the time at
	// which the refusal expires.
	refusedUntil map[string]rollout.Millis
}

// NewDetector returns a detector without broken connections.
func NewDetector() *Detector {
	return &Detector{reports: make(map[Reporter]timedReport), refusedUntil: make(map[string]rollout.Millis)}
}

// SetReport replaces what a reporter reported before. Reports may overtake each other;
// one that is older than the last is ignored.
func (d *Detector) SetReport(now rollout.Millis, from Reporter, r Report) {
	if last, ok := d.reports[from]; !ok || r.Revision >= last.Revision {
		d.reports[from] = timedReport{r, now}
	}
}

// UpdateRefused recomputes the refused requests and reports whether they have
// changed. A broken connection does not prove a crash by itself. It counts if the
// reporter found that the upstream had ended, or once ended reports that its incarnation
// has.
func (d *Detector) UpdateRefused(now rollout.Millis, ended func(BrokenConnection) bool) bool {
	crashed := make(map[string]map[crash]bool)
	d.newCrashes = nil
	for from, r := range d.reports {
		if now-r.atMS > RetentionMS {
			delete(d.reports, from)
			continue
		}
		for _, c := range r.Connections {
			if !c.Ended && !ended(c) {
				continue
			}
			if crashed[c.Fingerprint] == nil {
				crashed[c.Fingerprint] = make(map[crash]bool)
			}
			if !crashed[c.Fingerprint][c.crash()] && !d.crashes[c.Fingerprint][c.crash()] {
				d.newCrashes = append(d.newCrashes, c)
			}
			crashed[c.Fingerprint][c.crash()] = true
		}
	}
	d.crashes = crashed
	changed := false
	for fingerprint, until := range d.refusedUntil {
		if until <= now {
			delete(d.refusedUntil, fingerprint)
			changed = true
		}
	}
	for {
		fingerprint, found := d.nextToRefuse()
		if !found {
			return changed
		}
		d.refusedUntil[fingerprint] = now + RetentionMS
		changed = true
	}
}

// nextToRefuse returns a request that must be refused and is not yet. Crashes at which a
// refused request was running count against no other one.
func (d *Detector) nextToRefuse() (fingerprint string, found bool) {
	explained := make(map[crash]bool)
	for f := range d.refusedUntil {
		maps.Copy(explained, d.crashes[f])
	}
	for _, f := range slices.Sorted(maps.Keys(d.crashes)) {
		if _, refused := d.refusedUntil[f]; refused || len(d.crashes[f]) < CrashLimit {
			continue
		}
		own := maps.Clone(d.crashes[f])
		maps.DeleteFunc(own, func(c crash, _ bool) bool { return explained[c] })
		if len(d.crashes[f]) >= sharedCrashLimit || (len(own) >= CrashLimit && !d.sharesAll(f, own)) {
			return f, true
		}
	}
	return "", false
}

// sharesAll reports whether another request was running at all the given crashes of a
// request.
func (d *Detector) sharesAll(fingerprint string, crashes map[crash]bool) bool {
	for other, others := range d.crashes {
		if other == fingerprint || len(others) < len(crashes) {
			continue
		}
		shared := 0
		for c := range crashes {
			if others[c] {
				shared++
			}
		}
		if shared == len(crashes) {
			return true
		}
	}
	return false
}

// Refuses reports whether a request is refused.
func (d *Detector) Refuses(now rollout.Millis, fingerprint string) bool {
	until, refused := d.refusedUntil[fingerprint]
	return refused && now < until
}

// NewCrashes returns the broken connections that began to count at the last update.
func (d *Detector) NewCrashes() []BrokenConnection { return d.newCrashes }

// Crashes returns how many crashes of upstreams count against a request.
func (d *Detector) Crashes(fingerprint string) int { return len(d.crashes[fingerprint]) }

// Refused returns the fingerprints of the refused requests, sorted.
func (d *Detector) Refused() []string {
	return slices.Sorted(maps.Keys(d.refusedUntil))
}
