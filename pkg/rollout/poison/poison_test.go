package poison

import (
	"fmt"
	"slices"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

func allEnded(BrokenConnection) bool { return true }

// newLog returns a log with one broken connection of the request per upstream.
func newLog(fingerprint string, upstreams ...string) *BrokenConnectionLog {
	l := &BrokenConnectionLog{}
	for _, u := range upstreams {
		l.Record(1, BrokenConnection{Fingerprint: fingerprint, Upstream: u})
	}
	return l
}

func reportLog(d *Detector, daemon string, l *BrokenConnectionLog) {
	revision, connections := l.Report()
	d.SetReport(1, Reporter{Daemon: daemon}, Report{Revision: revision, Connections: connections})
}

func assertRefused(t *testing.T, d *Detector, want ...string) {
	t.Helper()
	if got := d.Refused(); !slices.Equal(got, want) {
		t.Fatalf("refused requests are %v, want %v", got, want)
	}
}

func TestCrashesAreCountedAcrossDaemons(t *testing.T) {
	d := NewDetector()
	reportLog(d, "daemon-1", newLog("boom", "a"))
	reportLog(d, "daemon-2", newLog("boom", "b", "a"))
	d.UpdateRefused(1, allEnded)
	assertRefused(t, d)
	reportLog(d, "daemon-3", newLog("boom", "c"))
	if !d.UpdateRefused(2, allEnded) {
		t.Fatal("no change reported when the third upstream crashed")
	}
	assertRefused(t, d, "boom")
	if d.UpdateRefused(3, allEnded) {
		t.Fatal("change reported without new broken connections")
	}
	for _, daemon := range []string{"daemon-2", "daemon-3"} {
		d.SetReport(3, Reporter{Daemon: daemon}, Report{Revision: 9})
	}
	d.UpdateRefused(2+RetentionMS, allEnded)
	assertRefused(t, d)
}

// TestBrokenConnectionIsNotACrash guards against refusing a request whose
// connections broke at upstreams that are still running.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	d := NewDetector()
	reportLog(d, "daemon-1", newLog("lookup", "a", "b", "c", "d"))
	d.UpdateRefused(1, func(s BrokenConnection) bool { return s.Upstream == "a" || s.Upstream == "b" })
	assertRefused(t, d)
}

func TestClearRemovesBrokenConnections(t *testing.T) {
	l := newLog("lookup", "a", "b", "c")
	before, _ := l.Report()
	l.Clear("lookup")
	after, connections := l.Report()
	if before == after || !l.Empty() || len(connections) != 0 {
		t.Fatalf("revision %d then %d, broken connections %v", before, after, connections)
	}
}

func TestBrokenConnectionLogIsBounded(t *testing.T) {
	l := &BrokenConnectionLog{}
	for i := range 2 * maxBrokenConnections {
		l.Record(rollout.Millis(i), BrokenConnection{Fingerprint: fmt.Sprint(i), Upstream: "a"})
	}
	if _, connections := l.Report(); len(connections) != maxBrokenConnections || connections[0].Fingerprint != fmt.Sprint(maxBrokenConnections) {
		t.Fatalf("got %d broken connections, the oldest %v", len(connections), connections[0])
	}
	l.Record(2*maxBrokenConnections+RetentionMS+1, BrokenConnection{Fingerprint: "late", Upstream: "a"})
	if _, connections := l.Report(); len(connections) != 1 {
		t.Fatalf("got %d broken connections after the others expired, want 1", len(connections))
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

func TestBrokenConnectionAtEndedUpstreamCountsAtOnce(t *testing.T) {
	d := NewDetector()
	l := &BrokenConnectionLog{}
	for _, upstream := range []string{"a", "b", "c"} {
		l.Record(1, BrokenConnection{Fingerprint: "boom", Upstream: upstream, Ended: true})
		l.Record(1, BrokenConnection{Fingerprint: "reset", Upstream: upstream})
	}
	reportLog(d, "daemon", l)
	d.UpdateRefused(1, func(BrokenConnection) bool { return false })
	assertRefused(t, d, "boom")
}

// A report that is sent at once may overtake a watch request, and the reverse.
func TestOvertakenReportIsIgnored(t *testing.T) {
	d := NewDetector()
	from := Reporter{Daemon: "daemon", Incarnation: "first"}
	_, connections := newLog("boom", "a", "b", "c").Report()
	d.SetReport(1, from, Report{Revision: 3, Connections: connections})
	d.SetReport(1, from, Report{Revision: 2, Connections: connections[:2]})
	d.UpdateRefused(1, allEnded)
	assertRefused(t, d, "boom")
}

// A daemon that starts again has forgotten what it reported.
func TestReportOutlivesIncarnationOfReporter(t *testing.T) {
	d := NewDetector()
	_, connections := newLog("boom", "a", "b", "c").Report()
	d.SetReport(1, Reporter{Daemon: "daemon", Incarnation: "first"}, Report{Revision: 2, Connections: connections[:2]})
	d.SetReport(2, Reporter{Daemon: "daemon", Incarnation: "second"}, Report{Revision: 1, Connections: connections[2:]})
	d.UpdateRefused(2, allEnded)
	assertRefused(t, d, "boom")
	d.UpdateRefused(2+2*RetentionMS, allEnded)
	assertRefused(t, d)
}

// reportRuns reports, for each request, the crashed upstreams at which it was running.
func reportRuns(d *Detector, runs map[string][]string) {
	l := &BrokenConnectionLog{}
	for fingerprint, upstreams := range runs {
		for _, u := range upstreams {
			l.Record(1, BrokenConnection{Fingerprint: fingerprint, Upstream: u, Ended: true})
		}
	}
	reportLog(d, "daemon", l)
	d.UpdateRefused(1, allEnded)
}

// Guards against refusing sound requests that were running beside one that crashes its
// upstreams.
func TestRequestIsNotRefusedForItsCompany(t *testing.T) {
	for name, c := range map[string]struct {
		runs map[string][]string
		want []string
	}{
		"fewer crashes":             {map[string][]string{"boom": {"a", "b", "c"}, "sound": {"a", "b"}}, []string{"boom"}},
		"all but one crash":         {map[string][]string{"boom": {"a", "b", "c", "d"}, "sound": {"b", "c", "d"}}, []string{"boom"}},
		"company and another crash": {map[string][]string{"boom": {"a", "b", "c"}, "sound": {"b", "c", "e"}}, []string{"boom"}},
		"unknown which":             {map[string][]string{"boom": {"a", "b", "c"}, "sound": {"a", "b", "c"}}, nil},
		"unknown for too long":      {map[string][]string{"boom": {"a", "b", "c", "d", "e"}, "sound": {"a", "b", "c", "d", "e"}}, []string{"boom", "sound"}},
		"two of them":               {map[string][]string{"boom": {"a", "b", "c"}, "bang": {"c", "d", "e"}}, []string{"bang"}},
		"two of them, one more":     {map[string][]string{"boom": {"a", "b", "c", "f"}, "bang": {"c", "d", "e"}}, []string{"bang", "boom"}},
		"a domain is lost":          {map[string][]string{"f": {"a"}, "g": {"a"}, "h": {"b"}, "i": {"b", "c"}, "j": {"c"}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDetector()
			reportRuns(d, c.runs)
			assertRefused(t, d, c.want...)
		})
	}
}

// Guards against a refusal that ends while callers still retry the request, which they do
// for minutes.
func TestRefusalLastsForMinutes(t *testing.T) {
	const minutes = 5 * 60 * 1_000
	d := NewDetector()
	reportLog(d, "daemon", newLog("boom", "a", "b", "c"))
	d.UpdateRefused(1, allEnded)
	d.SetReport(2, Reporter{Daemon: "daemon"}, Report{Revision: 9})
	d.UpdateRefused(minutes, allEnded)
	assertRefused(t, d, "boom")
	if !d.Refuses(minutes, "boom") {
		t.Fatalf("boom is not refused after %d ms", minutes)
	}
}
