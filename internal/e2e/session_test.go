package e2e

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

var update = flag.Bool("update", false, "update the golden files of the sessions")

// volatile lists values that differ between runs, and their replacements in the
// golden files.
var volatile = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`version \d+`), "version N"},
	{regexp.MustCompile(`"Request":"[0-9a-f]+"`), `"Request":"ID"`},
	{regexp.MustCompile(`secret cfs_\S+`), "secret SECRET"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`"IdleMS":\d+`), `"IdleMS":0`},
	{regexp.MustCompile(`"Service":"[^"]+"`), `"Service":"ID"`},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:]+Z  \d+ +`), "TIME  N  "},
}

// TestSessions runs the scripts in testdata/sessions, which act as operators,
// callers and trainers, each against a deployment of real processes.
func TestSessions(t *testing.T) {
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/sessions",
		UpdateScripts: *update,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"deploy":  cmdDeploy,
			"ctl":     cmdCtl,
			"call":    cmdCall,
			"trainer": cmdTrainer,
		},
	})
}

// sessions maps the name of a script to its deployment.
var sessions sync.Map

func session(ts *testscript.TestScript) *deployment {
	d, ok := sessions.Load(ts.Name())
	if !ok {
		ts.Fatalf("no deployment: run the deploy command first")
	}
	return d.(*deployment)
}

// cmdDeploy starts a deployment and waits until its upstreams are ready.
func cmdDeploy(ts *testscript.TestScript, _ bool, _ []string) {
	l, err := demo.New(ts.MkAbs("."), demo.DefaultOptions())
	ts.Check(err)
	d := newDeployment(l)
	ts.Defer(d.close)
	for _, p := range l.Processes {
		ts.Check(d.launch(p.Name))
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ts.Check(d.check.WaitForUpstreams(ctx))
	sessions.Store(ts.Name(), d)
}

// cmdCtl runs a control statement: ctl STATEMENT.
func cmdCtl(ts *testscript.TestScript, neg bool, args []string) {
	d := session(ts)
	all := append([]string{
		"ctl", "--control=" + strings.Join(d.layout.Controls, ","), "--secret=" + d.layout.Secret,
		"--operator-key=" + d.layout.OperatorKey,
	}, args...)
	err := ts.Exec(binDir+"/coltsfootspoke", all...)
	checkExit(ts, neg, err)
	normalize(ts)
}

// cmdCall sends a request of a caller: call ENTRY PATH KEY REQUESTID BODY. A key or
// request ID of "-" is omitted.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	d := session(ts)
	entry := 0
	if args[0] == "2" {
		entry = 1
	}
	resp, err := d.check.Post(context.Background(), entry, args[1], optionalArg(args[2]), optionalArg(args[3]), args[4])
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	ts.Check(err)
	if neg == (resp.StatusCode < 400) {
		ts.Fatalf("unexpected status %d: %s", resp.StatusCode, body.String())
	}
	writeOutput(ts, fmt.Sprintf("%d\n%s", resp.StatusCode, body.String()))
}

// cmdTrainer runs a trainer: trainer KEY GROUP STEPS SAMPLES.
func cmdTrainer(ts *testscript.TestScript, _ bool, args []string) {
	d := session(ts)
	ts.Check(ts.Exec(binDir+"/standin", "trainer", "--url="+strings.Join(d.layout.EntryURLs, ","),
		"--key="+args[0], "--group="+args[1], "--steps="+args[2], "--samples="+args[3]))
	normalize(ts)
}

func optionalArg(arg string) string {
	if arg == "-" {
		return ""
	}
	return arg
}

func checkExit(ts *testscript.TestScript, neg bool, err error) {
	if neg == (err == nil) {
		ts.Fatalf("unexpected command result: %v", err)
	}
}

// normalize writes the output of a command to the file out for cmp, without its
// volatile values. A secret in the output is stored in $SECRET.
func normalize(ts *testscript.TestScript) {
	out := ts.ReadFile("stdout")
	if m := secretPattern.FindStringSubmatch(out); m != nil {
		ts.Setenv("SECRET", m[1])
	}
	writeOutput(ts, out+ts.ReadFile("stderr"))
}

var secretPattern = regexp.MustCompile(`secret (cfs_\S+)`)

// writeOutput writes a text to the file out, with its volatile values replaced.
func writeOutput(ts *testscript.TestScript, text string) {
	for _, v := range volatile {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	ts.Check(os.WriteFile(ts.MkAbs("out"), []byte(text), 0o600))
}
