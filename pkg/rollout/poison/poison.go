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
	// retentionMS is how long a broken connection or a refusal is kept. Callers that
	// retry a request do so within minutes.
	retentionMS rollout.Millis = 10 * 60 * 1_000
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
}

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
	l.deleteFunc(func(old logRecord) bool { return old.BrokenConnection == c || now-old.atMS > retentionMS })
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

// Detector combines the broken connections of all daemons and decides which
// requests are refused. It is not safe for concurrent use.
type Detector struct {
	byDaemon map[string][]BrokenConnection
	// crashes holds the broken connections that counted as crashes at the last update,
	// by fingerprint. newCrashes holds those that did not count before it.
	crashes    map[string]map[BrokenConnection]bool
	newCrashes []BrokenConnection
	// refusedUntil maps the fingerprint of a refused request to the time at
	// which the refusal expires.
	refusedUntil map[string]rollout.Millis
}

// NewDetector returns a detector without broken connections.
func NewDetector() *Detector {
	return &Detector{byDaemon: make(map[string][]BrokenConnection), refusedUntil: make(map[string]rollout.Millis)}
}

// SetBrokenConnections replaces the broken connections that a daemon
// reported before.
func (d *Detector) SetBrokenConnections(daemon string, connections []BrokenConnection) {
	d.byDaemon[daemon] = connections
}

// UpdateRefused recomputes the refused requests and reports whether they have
// changed. A broken connection counts only if ended reports that the incarnation
// of the upstream has ended, because it does not prove a crash by itself.
func (d *Detector) UpdateRefused(now rollout.Millis, ended func(BrokenConnection) bool) bool {
	crashed := make(map[string]map[BrokenConnection]bool)
	d.newCrashes = nil
	for _, connections := range d.byDaemon {
		for _, c := range connections {
			if !ended(c) {
				continue
			}
			if crashed[c.Fingerprint] == nil {
				crashed[c.Fingerprint] = make(map[BrokenConnection]bool)
			}
			if !crashed[c.Fingerprint][c] && !d.crashes[c.Fingerprint][c] {
				d.newCrashes = append(d.newCrashes, c)
			}
			crashed[c.Fingerprint][c] = true
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
	for fingerprint, crashes := range crashed {
		if _, known := d.refusedUntil[fingerprint]; !known && len(crashes) >= CrashLimit {
			d.refusedUntil[fingerprint] = now + retentionMS
			changed = true
		}
	}
	return changed
}

// NewCrashes returns the broken connections that began to count at the last update.
func (d *Detector) NewCrashes() []BrokenConnection { return d.newCrashes }

// Crashes returns how many crashes of upstreams count against a request.
func (d *Detector) Crashes(fingerprint string) int { return len(d.crashes[fingerprint]) }

// Refused returns the fingerprints of the refused requests, sorted.
func (d *Detector) Refused() []string {
	return slices.Sorted(maps.Keys(d.refusedUntil))
}
