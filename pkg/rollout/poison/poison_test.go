package poison

import (
	"fmt"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

func allEnded(BrokenConnection) bool { return true }

// newSightingLog returns a log with one sighting of the request per upstream.
func newSightingLog(fingerprint string, upstreams ...string) *BrokenConnectionLog {
	l := &BrokenConnectionLog{}
	for _, u := range upstreams {
		l.Record(1, BrokenConnection{Fingerprint: fingerprint, Upstream: u})
	}
	return l
}

func reportSightings(d *Detector, host string, l *BrokenConnectionLog) {
	_, sightings := l.Report()
	d.SetBrokenConnections(host, sightings)
}

func assertRefused(t *testing.T, d *Detector, want ...string) {
	t.Helper()
	if got := d.Refused(); !slices.Equal(got, want) {
		t.Fatalf("refused requests are %v, want %v", got, want)
	}
}

func TestCrashesAreCountedAcrossHosts(t *testing.T) {
	d := NewDetector()
	reportSightings(d, "host-1", newSightingLog("boom", "a"))
	reportSightings(d, "host-2", newSightingLog("boom", "b", "a"))
	d.UpdateRefused(1, allEnded)
	assertRefused(t, d)
	reportSightings(d, "host-3", newSightingLog("boom", "c"))
	if !d.UpdateRefused(2, allEnded) {
		t.Fatal("no change reported when the third upstream crashed")
	}
	assertRefused(t, d, "boom")
	if d.UpdateRefused(3, allEnded) {
		t.Fatal("change reported without new sightings")
	}
	d.SetBrokenConnections("host-2", nil)
	d.SetBrokenConnections("host-3", nil)
	d.UpdateRefused(2+retentionMS, allEnded)
	assertRefused(t, d)
}

// TestBrokenConnectionIsNotACrash guards against refusing a request whose
// connections broke at upstreams that are still running.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	d := NewDetector()
	reportSightings(d, "host-1", newSightingLog("lookup", "a", "b", "c", "d"))
	d.UpdateRefused(1, func(s BrokenConnection) bool { return s.Upstream == "a" || s.Upstream == "b" })
	assertRefused(t, d)
}

func TestClearRemovesSightings(t *testing.T) {
	l := newSightingLog("lookup", "a", "b", "c")
	before, _ := l.Report()
	l.Clear("lookup")
	after, sightings := l.Report()
	if before == after || !l.Empty() || len(sightings) != 0 {
		t.Fatalf("revision %d then %d, sightings %v", before, after, sightings)
	}
}

func TestSightingLogIsBounded(t *testing.T) {
	l := &BrokenConnectionLog{}
	for i := range 2 * maxSightings {
		l.Record(rollout.Millis(i), BrokenConnection{Fingerprint: fmt.Sprint(i), Upstream: "a"})
	}
	if _, sightings := l.Report(); len(sightings) != maxSightings || sightings[0].Fingerprint != fmt.Sprint(maxSightings) {
		t.Fatalf("got %d sightings, the oldest %v", len(sightings), sightings[0])
	}
	l.Record(2*maxSightings+retentionMS+1, BrokenConnection{Fingerprint: "late", Upstream: "a"})
	if _, sightings := l.Report(); len(sightings) != 1 {
		t.Fatalf("got %d sightings after the others expired, want 1", len(sightings))
	}
}

func TestFingerprintCoversAccountTargetAndBody(t *testing.T) {
	f := Fingerprint("account", "POST", "/a?b", []byte("body"))
	for name, other := range map[string]string{
		"account":          Fingerprint("other", "POST", "/a?b", []byte("body")),
		"target":           Fingerprint("account", "POST", "/a", []byte("body")),
		"body":             Fingerprint("account", "POST", "/a?b", []byte("bodY")),
		"field boundaries": Fingerprint("accountP", "OST", "/a?b", []byte("body")),
	} {
		if f == other {
			t.Errorf("fingerprint does not depend on the %s", name)
		}
	}
}
