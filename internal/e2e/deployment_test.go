// Package e2e tests whole deployments of real processes.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
	"github.com/coltsfootspoke/coltsfootspoke/internal/language"
)

// waitTimeout limits waits that end early unless a test fails.
const waitTimeout = 30 * time.Second

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "coltsfootspoke-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "../..", "../cmds/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// deployment is a generated deployment and its running processes.
type deployment struct {
	t      *testing.T
	layout *demo.Layout
	check  *demo.Check
	op     *demo.Operator
	procs  map[string]*exec.Cmd
}

// prepare generates a deployment without starting it.
func prepare(t *testing.T, o demo.Options) *deployment {
	t.Helper()
	l, err := demo.New(t.TempDir(), o)
	must(t, err)
	d := newDeployment(l)
	d.t = t
	t.Cleanup(d.close)
	return d
}

func newDeployment(l *demo.Layout) *deployment {
	return &deployment{layout: l, procs: make(map[string]*exec.Cmd), check: demo.NewCheck(l), op: demo.NewOperator(l)}
}

// deploy generates, starts and configures a deployment.
func deploy(t *testing.T, o demo.Options) *deployment {
	t.Helper()
	t.Parallel()
	d := prepare(t, o)
	d.startAll()
	must(t, d.check.Prepare(t.Context()))
	return d
}

func (d *deployment) startAll() {
	for _, p := range d.layout.Processes {
		d.start(p.Name)
	}
}

func (d *deployment) start(name string) {
	d.t.Helper()
	must(d.t, d.launch(name))
}

// launch starts a process of the layout. Its output is appended to a log file.
func (d *deployment) launch(name string) error {
	i := slices.IndexFunc(d.layout.Processes, func(p demo.Process) bool { return p.Name == name })
	args := d.layout.Processes[i].Args
	log, err := os.OpenFile(filepath.Join(d.layout.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(binDir, args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	d.procs[name] = cmd
	return cmd.Start()
}

// kill sends SIGKILL to a process and waits until it has ended.
func (d *deployment) kill(name string) {
	d.signal(name, syscall.SIGKILL)
	_ = d.procs[name].Wait()
	delete(d.procs, name)
}

// stop sends SIGTERM to a process, waits until it has ended and returns its exit
// code.
func (d *deployment) stop(name string) int {
	d.signal(name, syscall.SIGTERM)
	_ = d.procs[name].Wait()
	code := d.procs[name].ProcessState.ExitCode()
	delete(d.procs, name)
	return code
}

func (d *deployment) signal(name string, sig syscall.Signal) {
	d.t.Helper()
	must(d.t, d.procs[name].Process.Signal(sig))
}

func (d *deployment) close() {
	for _, p := range d.procs {
		_ = p.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range d.procs {
		_ = p.Wait()
	}
	d.op.Close()
	if d.t != nil && d.t.Failed() {
		d.printLogs()
	}
}

func (d *deployment) printLogs() {
	files, _ := filepath.Glob(filepath.Join(d.layout.Dir, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		d.t.Logf("%s:\n%s", filepath.Base(f), strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
}

// logContains reports whether the log of a process contains a text.
func (d *deployment) logContains(name, text string) bool {
	data, _ := os.ReadFile(filepath.Join(d.layout.Dir, name+".log"))
	return strings.Contains(string(data), text)
}

// do runs a statement and fails the test if it returns an error.
func (d *deployment) do(statement string) language.Answer {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), waitTimeout)
	defer cancel()
	a, err := d.op.Do(ctx, statement)
	if err != nil {
		d.t.Fatalf("%s: %v", statement, err)
	}
	return a
}

// leader returns the name of the control host that is the leader.
func (d *deployment) leader() string {
	d.t.Helper()
	a := d.do("show members where Role = leader")
	for i, address := range d.layout.Controls {
		if a.Table.Rows[0][1].Text == address {
			return fmt.Sprintf("control-%d", i+1)
		}
	}
	d.t.Fatalf("leader %v is not a control host of the layout", a.Table.Rows[0])
	return ""
}

// reply is the response to a request of a caller.
type reply struct {
	status     int
	body       string
	retryAfter string
}

func (r reply) notRun() bool { return strings.Contains(r.body, `"NotRun":true`) }

// post sends a request and reads the whole response.
func (d *deployment) post(entry int, path, key, requestID, body string) (reply, error) {
	resp, err := d.check.Post(d.t.Context(), entry, path, key, requestID, body)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(data), resp.Header.Get("Retry-After")}, err
}

// runCounts returns how often a service upstream ran each request, by request ID.
func (d *deployment) runCounts(upstream string) map[string]int {
	d.t.Helper()
	counts := make(map[string]int)
	d.getJSON("http://"+d.address(upstream)+"/runs", &counts)
	return counts
}

func (d *deployment) address(upstream string) string {
	i := slices.IndexFunc(d.layout.Upstreams, func(u demo.Upstream) bool { return u.ID == upstream })
	return d.layout.Upstreams[i].Address
}

// platform is what the simulated platform has recorded. Changed counts usage
// windows that were reported again with other content. OldTerm counts orders with
// an older fencing number than an order before them.
type platform struct {
	Orders  []struct{ ID, Action, FailureDomain, Pool, Upstream string }
	Usage   []usageWindow
	Changed int
	OldTerm int
}

type usageWindow struct {
	Window uint64
	Total  struct{ Requests, InputTokens, OutputTokens uint64 }
}

func (d *deployment) platform() platform {
	d.t.Helper()
	var p platform
	d.getJSON("http://"+d.layout.Platform+"/state", &p)
	return p
}

func (d *deployment) getJSON(url string, into any) {
	d.t.Helper()
	resp, err := http.Get(url)
	must(d.t, err)
	defer func() { _ = resp.Body.Close() }()
	must(d.t, json.NewDecoder(resp.Body).Decode(into))
}

// eventually polls until a condition holds and fails the test after limit.
func eventually(t *testing.T, what string, limit time.Duration, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func contextWithTimeout(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(t.Context(), d)
}
