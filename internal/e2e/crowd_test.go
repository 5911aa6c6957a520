package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
	"github.com/coltsfootspoke/coltsfootspoke/internal/processtest"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
)

const (
	// crowdMemoryBytes and crowdDescriptors are the limits of a daemon whose settings name none.
	crowdMemoryBytes = 256 << 20
	crowdDescriptors = 2_048
	silent           = crowdDescriptors + 300
)

// crowdDeployment is a deployment whose daemons are observed.
type crowdDeployment struct {
	*deployment
	// listeners holds the addresses of each kind of listener of the first daemon of each role.
	listeners map[string]listenerUnderTest
}

type listenerUnderTest struct{ process, address string }

func deployForCrowds(t *testing.T) *crowdDeployment {
	t.Helper()
	d := prepare(t, demo.DefaultOptions())
	path := func(name string) string { return filepath.Join(d.layout.Dir, name+".json") }
	entry, err := settings.LoadEntry(path("entry-1"))
	must(t, err)
	agent, err := settings.LoadAgent(path("agent-1"))
	must(t, err)
	control, err := settings.LoadControl(path("control-1"))
	must(t, err)
	d.startAll()
	must(t, d.check.Prepare(t.Context()))
	return &crowdDeployment{d, map[string]listenerUnderTest{
		"callers of the entry":  {"entry-1", entry.ListenAddress},
		"admin of the entry":    {"entry-1", entry.AdminAddress},
		"peers of the entry":    {"entry-1", entry.Address},
		"upstreams of an agent": {"agent-1", agent.AnnounceAddress},
		"admin of an agent":     {"agent-1", agent.AdminAddress},
		"peers of an agent":     {"agent-1", agent.Address},
		"admin of control":      {"control-1", control.AdminAddress},
		"peers of control":      {"control-1", control.Address},
	}}
}

// serveOrdinaryCaller calls the entry until the call is answered.
func (d *crowdDeployment) serveOrdinaryCaller(t *testing.T) {
	t.Helper()
	var last error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if last = d.callOnce(t); last == nil {
			return
		}
	}
	t.Fatalf("an ordinary call is not answered: %v", last)
}

func (d *crowdDeployment) callOnce(t *testing.T) error {
	t.Helper()
	resp, err := d.check.Post(t.Context(), 0, "/v1/completions", key, "", shortCall)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return err
}

// assertBears plays a crowd at a listener. The process must live, stay within its memory and
// descriptors, and an ordinary caller must be answered while the connections of the crowd are
// open and after they are closed.
func (d *crowdDeployment) assertBears(t *testing.T, l listenerUnderTest, crowd processtest.Crowd) {
	t.Helper()
	watch := processtest.Watch(t, d.procs[l.process].Process.Pid, l.address)
	running := crowd.Start(t, l.address)
	running.Settle(t)
	d.serveOrdinaryCaller(t)
	running.End()
	d.serveOrdinaryCaller(t)
	peak := watch.End(t)
	t.Logf("%d connections sent %d KiB; peak %d MiB of memory (%d of it unread), %d descriptors",
		crowd.Connections, running.Written()>>10, peak.Bytes()>>20, peak.UnreadBytes>>20, peak.Descriptors)
	if peak.Bytes() > crowdMemoryBytes {
		t.Errorf("the process took %d bytes, limit %d", peak.Bytes(), crowdMemoryBytes)
	}
	if peak.Descriptors > crowdDescriptors {
		t.Errorf("the process had %d descriptors open, limit %d", peak.Descriptors, crowdDescriptors)
	}
}

// Guards against clients that exhaust the memory of a daemon with heads.
func TestCrowdOfHeadsAtOwnListeners(t *testing.T) {
	d := deployForCrowds(t)
	for listener, l := range d.listeners {
		for name, crowd := range processtest.HeadCrowds("POST /v1/completions") {
			t.Run(listener+", "+name, func(t *testing.T) { d.assertBears(t, l, crowd) })
		}
	}
}

// Guards against clients that exhaust the memory of a daemon with bodies that do not end.
func TestCrowdOfBodiesAtOwnListeners(t *testing.T) {
	d := deployForCrowds(t)
	targets := map[string]string{
		"callers of the entry": "POST /v1/completions", "upstreams of an agent": "POST /announce", "admin of the entry": "POST /metrics",
	}
	for listener, target := range targets {
		crowds := processtest.BodyCrowds(target, "Authorization: Bearer "+key+"\r\n")
		crowds["bodies of unknown callers"] = processtest.BodyCrowds(target, "Authorization: Bearer unknown\r\n")["bodies with a length"]
		for name, crowd := range crowds {
			t.Run(listener+", "+name, func(t *testing.T) { d.assertBears(t, d.listeners[listener], crowd) })
		}
	}
}

// Guards against connections that exhaust the descriptors of a daemon.
func TestCrowdOfSilentConnectionsAtOwnListeners(t *testing.T) {
	d := deployForCrowds(t)
	for listener, l := range d.listeners {
		t.Run(listener, func(t *testing.T) { d.assertBears(t, l, processtest.SilentConnections(silent)) })
	}
}

// The largest legal body is served when nothing else happens.
func TestLargestBodyIsServedByOwnEntry(t *testing.T) {
	const largest = 16 << 20
	d := deployForCrowds(t)
	const beginning, end = `{"model":"draft","max_tokens":4,"prompt":"`, `"}`
	body := beginning + strings.Repeat("b", largest-len(beginning)-len(end)) + end
	for round := range 3 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			watch := processtest.Watch(t, d.procs["entry-1"].Process.Pid, d.listeners["callers of the entry"].address)
			resp, err := d.check.Post(t.Context(), 0, "/v1/completions", key, "", body)
			must(t, err)
			defer func() { _ = resp.Body.Close() }()
			text, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusOK {
				log, _ := os.ReadFile(filepath.Join(d.layout.Dir, "entry-1.log"))
				t.Errorf("status %d, %.300s, %v; log:\n%s", resp.StatusCode, text, err, tail(string(log)))
			}
			if peak := watch.End(t); peak.Bytes() > crowdMemoryBytes {
				t.Errorf("the process took %d bytes, limit %d", peak.Bytes(), crowdMemoryBytes)
			}
		})
	}
}
