package poison

import (
	"fmt"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

func always(Sighting) bool { return true }

// crashed returns the log of a host at which a request broke off at each of
// the upstreams.
func crashed(fingerprint string, upstreams ...string) *SightingLog {
	l := &SightingLog{}
	for _, u := range upstreams {
		l.Record(1, Sighting{Fingerprint: fingerprint, Upstream: u})
	}
	return l
}

func note(j *Detector, host string, l *SightingLog) {
	_, sightings := l.Report()
	j.SetSightings(host, sightings)
}

func assertRefused(t *testing.T, j *Detector, want ...string) {
	t.Helper()
	if got := j.Refused(); !slices.Equal(got, want) {
		t.Fatalf("refused are %v, want %v", got, want)
	}
}

func TestRequestThatCrashesEnginesIsRecognisedAcrossHosts(t *testing.T) {
	j := NewDetector()
	note(j, "host-1", crashed("boom", "a"))
	note(j, "host-2", crashed("boom", "b", "a"))
	j.UpdateRefused(1, always)
	assertRefused(t, j)
	note(j, "host-3", crashed("boom", "c"))
	if !j.UpdateRefused(2, always) {
		t.Fatal("nothing has changed")
	}
	assertRefused(t, j, "boom")
	if j.UpdateRefused(3, always) {
		t.Fatal("it changed again")
	}
	j.SetSightings("host-2", nil)
	j.SetSightings("host-3", nil)
	j.UpdateRefused(2+retentionMS, always)
	assertRefused(t, j)
}

func TestLostAnswersAreNoCrash(t *testing.T) {
	j := NewDetector()
	note(j, "host-1", crashed("lookup", "a", "b", "c", "d"))
	j.UpdateRefused(1, func(s Sighting) bool { return s.Upstream == "a" || s.Upstream == "b" })
	assertRefused(t, j)
}

func TestAnsweredRequestIsCleared(t *testing.T) {
	l := crashed("lookup", "a", "b", "c")
	before, _ := l.Report()
	l.Clear("lookup")
	after, sightings := l.Report()
	if before == after || !l.Empty() || len(sightings) != 0 {
		t.Fatalf("revision %d then %d, sightings %v", before, after, sightings)
	}
}

func TestLogIsBounded(t *testing.T) {
	l := &SightingLog{}
	for i := range 2 * logLimit {
		l.Record(rollout.Millis(i), Sighting{Fingerprint: fmt.Sprint(i), Upstream: "a"})
	}
	if _, sightings := l.Report(); len(sightings) != logLimit || sightings[0].Fingerprint != fmt.Sprint(logLimit) {
		t.Fatalf("%d sightings, from %v on", len(sightings), sightings[0])
	}
	l.Record(2*logLimit+retentionMS+1, Sighting{Fingerprint: "late", Upstream: "a"})
	if _, sightings := l.Report(); len(sightings) != 1 {
		t.Fatalf("%d sightings after their time", len(sightings))
	}
}

func TestFingerprintHoldsWhatIsSentAgain(t *testing.T) {
	f := Fingerprint("account", "POST", "/a?b", []byte("body"))
	for name, other := range map[string]string{
		"account": Fingerprint("other", "POST", "/a?b", []byte("body")),
		"target":  Fingerprint("account", "POST", "/a", []byte("body")),
		"body":    Fingerprint("account", "POST", "/a?b", []byte("bodY")),
		"borders": Fingerprint("accountP", "OST", "/a?b", []byte("body")),
	} {
		if f == other {
			t.Errorf("%s makes no difference", name)
		}
	}
}
