// Package poison detects requests that crash the upstreams that run them. Each
// host records the connections that broke while an upstream ran a request; a
// Detector combines the records of all hosts.
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
	// retentionMS is how long a sighting or a refusal is kept. Callers that
	// retry a request do so within minutes.
	retentionMS rollout.Millis = 10 * 60 * 1_000
	// maxSightings bounds the sightings of one host. The loss of a failure
	// domain of engines breaks a few hundred requests at once.
	maxSightings = 512
)

// BrokenConnection records that the connection of a request broke while an upstream
// ran the request.
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

// datedSighting is a sighting with the time at which it was recorded.
type datedSighting struct {
	BrokenConnection
	atMS rollout.Millis
}

// BrokenConnectionLog holds the sightings of one host, oldest first. It is not safe for
// concurrent use.
type BrokenConnectionLog struct {
	// revision increases with each change of sightings.
	revision  uint64
	sightings []datedSighting
}

// Record adds a sighting and removes expired ones. When the log is full, it
// evicts the oldest sighting.
func (l *BrokenConnectionLog) Record(now rollout.Millis, s BrokenConnection) {
	l.deleteFunc(func(old datedSighting) bool { return old.BrokenConnection == s || now-old.atMS > retentionMS })
	if len(l.sightings) == maxSightings {
		l.sightings = slices.Delete(l.sightings, 0, 1)
	}
	l.sightings = append(l.sightings, datedSighting{s, now})
	l.revision++
}

// Clear removes the sightings of a request. It is called once an upstream has
// answered the request.
func (l *BrokenConnectionLog) Clear(fingerprint string) {
	l.deleteFunc(func(old datedSighting) bool { return old.Fingerprint == fingerprint })
}

func (l *BrokenConnectionLog) deleteFunc(drop func(datedSighting) bool) {
	before := len(l.sightings)
	if l.sightings = slices.DeleteFunc(l.sightings, drop); len(l.sightings) != before {
		l.revision++
	}
}

// Empty reports whether the log has no sightings.
func (l *BrokenConnectionLog) Empty() bool { return len(l.sightings) == 0 }

// Report returns the revision of the log and its sightings. The revision
// increases with each change and is 0 until the first sighting.
func (l *BrokenConnectionLog) Report() (uint64, []BrokenConnection) {
	sightings := make([]BrokenConnection, 0, len(l.sightings))
	for _, s := range l.sightings {
		sightings = append(sightings, s.BrokenConnection)
	}
	return l.revision, sightings
}

// Detector combines the sightings of all hosts and decides which requests are
// refused. It is not safe for concurrent use.
type Detector struct {
	byHost map[string][]BrokenConnection
	// refusedUntil maps the fingerprint of a refused request to the time at
	// which the refusal expires.
	refusedUntil map[string]rollout.Millis
}

// NewDetector returns a detector without sightings.
func NewDetector() *Detector {
	return &Detector{byHost: make(map[string][]BrokenConnection), refusedUntil: make(map[string]rollout.Millis)}
}

// SetBrokenConnections replaces the sightings that a host reported before.
func (d *Detector) SetBrokenConnections(host string, s []BrokenConnection) { d.byHost[host] = s }

// UpdateRefused recomputes the refused requests and reports whether they have
// changed. A sighting counts only if ended reports that the incarnation of the
// upstream has ended, because a broken connection alone does not prove a crash.
func (d *Detector) UpdateRefused(now rollout.Millis, ended func(BrokenConnection) bool) bool {
	crashed := make(map[string]map[BrokenConnection]bool)
	for _, sightings := range d.byHost {
		for _, s := range sightings {
			if !ended(s) {
				continue
			}
			if crashed[s.Fingerprint] == nil {
				crashed[s.Fingerprint] = make(map[BrokenConnection]bool)
			}
			crashed[s.Fingerprint][s] = true
		}
	}
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

// Refused returns the fingerprints of the refused requests, sorted.
func (d *Detector) Refused() []string {
	return slices.Sorted(maps.Keys(d.refusedUntil))
}
