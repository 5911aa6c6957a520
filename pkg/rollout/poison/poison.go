// Package poison finds requests that crash the upstreams that run them, from
// what the hosts that sent them have seen.
package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// CrashLimit is how many upstreams a request may crash before it is refused.
	// The users' rules bound the retries after the third crash.
	CrashLimit = 3
	// retentionMS is how long a crash is held against a request. A caller
	// that sends it again does so within minutes.
	retentionMS rollout.Millis = 10 * 60 * 1_000
	// logLimit bounds the sightings of one host: a failure domain of engines
	// breaks a few hundred requests at once.
	logLimit = 512
)

// Sighting is a request whose connection broke off while an upstream ran it.
type Sighting struct {
	Fingerprint string
	Upstream    string
	// Born names the incarnation of the upstream.
	Born int64
}

// Fingerprint returns what a request keeps when it is sent again: its client
// account, method, target and body. The account is empty where requests of all
// accounts count together.
func Fingerprint(account, method, target string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{account, method, target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

type seen struct {
	Sighting
	atMS rollout.Millis
}

// SightingLog holds the sightings of one host. It is used by one thread at a time.
type SightingLog struct {
	revision uint64
	seen     []seen
}

// Record notes a sighting. The oldest give way when there are too many.
func (l *SightingLog) Record(now rollout.Millis, s Sighting) {
	l.forget(func(old seen) bool { return old.Sighting == s || now-old.atMS > retentionMS })
	if len(l.seen) == logLimit {
		l.seen = slices.Delete(l.seen, 0, 1)
	}
	l.seen = append(l.seen, seen{s, now})
	l.revision++
}

// Clear clears a request that an upstream has answered.
func (l *SightingLog) Clear(fingerprint string) {
	l.forget(func(old seen) bool { return old.Fingerprint == fingerprint })
}

func (l *SightingLog) forget(drop func(seen) bool) {
	before := len(l.seen)
	if l.seen = slices.DeleteFunc(l.seen, drop); len(l.seen) != before {
		l.revision++
	}
}

// Empty tells whether nothing is held against any request.
func (l *SightingLog) Empty() bool { return len(l.seen) == 0 }

// Report returns the sightings and a number that changes with them. It is 0
// until there has been one.
func (l *SightingLog) Report() (uint64, []Sighting) {
	sightings := make([]Sighting, 0, len(l.seen))
	for _, s := range l.seen {
		sightings = append(sightings, s.Sighting)
	}
	return l.revision, sightings
}

// Detector puts the sightings of all hosts together. It is used by one thread at
// a time.
type Detector struct {
	byHost map[string][]Sighting
	// refused holds until when a request is refused.
	refused map[string]rollout.Millis
}

// NewDetector returns a judge that knows nothing.
func NewDetector() *Detector {
	return &Detector{byHost: make(map[string][]Sighting), refused: make(map[string]rollout.Millis)}
}

// SetSightings replaces the sightings of a host.
func (j *Detector) SetSightings(host string, s []Sighting) { j.byHost[host] = s }

// UpdateRefused tells whether the requests to refuse have changed. A sighting counts
// once the upstream is known to have ended: a lost answer is no crash.
func (j *Detector) UpdateRefused(now rollout.Millis, ended func(Sighting) bool) bool {
	crashed := make(map[string]map[Sighting]bool)
	for _, sightings := range j.byHost {
		for _, s := range sightings {
			if !ended(s) {
				continue
			}
			if crashed[s.Fingerprint] == nil {
				crashed[s.Fingerprint] = make(map[Sighting]bool)
			}
			crashed[s.Fingerprint][s] = true
		}
	}
	changed := false
	for f, until := range j.refused {
		if until <= now {
			delete(j.refused, f)
			changed = true
		}
	}
	for f, upstreams := range crashed {
		if _, known := j.refused[f]; !known && len(upstreams) >= CrashLimit {
			j.refused[f] = now + retentionMS
			changed = true
		}
	}
	return changed
}

// Refused returns the fingerprints of the requests to refuse, in order.
func (j *Detector) Refused() []string {
	return slices.Sorted(maps.Keys(j.refused))
}
