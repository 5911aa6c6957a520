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

var update = flag.Bool("update", false, "write the golden files of the sessions anew")

// volatile values differ from run to run.
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
}

// TestSessions runs whole sessions of operators, callers and trainers from
// testdata against a deployment of real processes.
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

// sessions holds the deployment of each script by its name.
var sessions sync.Map

func session(ts *testscript.TestScript) *deployment {
	d, ok := sessions.Load(ts.Name())
	if !ok {
		ts.Fatalf("deploy first")
	}
	return d.(*deployment)
}

// cmdDeploy starts a deployment and waits for its upstreams.
func cmdDeploy(ts *testscript.TestScript, _ bool, _ []string) {
	l, err := demo.New(ts.MkAbs("."), demo.DefaultOptions())
	ts.Check(err)
	d := newDeployment(l)
	ts.Defer(d.close)
	for _, p := range l.Processes {
		ts.Check(d.launch(p.Name))
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ts.Check(d.check.WaitForUpstreams(ctx))
	sessions.Store(ts.Name(), d)
}

// cmdCtl runs a statement: ctl STATEMENT.
func cmdCtl(ts *testscript.TestScript, neg bool, args []string) {
	d := session(ts)
	all := append([]string{
		"ctl", "--control=" + strings.Join(d.layout.Controls, ","), "--secret=" + d.layout.Secret,
		"--operator-key=" + d.layout.OperatorKey,
	}, args...)
	err := ts.Exec(binDir+"/coltsfootspoke", all...)
	checkEnd(ts, neg, err)
	normalize(ts)
}

// cmdCall sends a caller's request: call ENTRY PATH KEY REQUESTID BODY.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	d := session(ts)
	entry := 0
	if args[0] == "2" {
		entry = 1
	}
	resp, err := d.check.Post(context.Background(), entry, args[1], value(args[2]), value(args[3]), args[4])
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	ts.Check(err)
	if neg == (resp.StatusCode < 400) {
		ts.Fatalf("answer %d: %s", resp.StatusCode, body.String())
	}
	write(ts, fmt.Sprintf("%d\n%s", resp.StatusCode, body.String()))
}

// cmdTrainer runs a trainer: trainer KEY GROUP STEPS SAMPLES.
func cmdTrainer(ts *testscript.TestScript, _ bool, args []string) {
	d := session(ts)
	ts.Check(ts.Exec(binDir+"/standin", "trainer", "--url="+strings.Join(d.layout.EntryURLs, ","),
		"--key="+args[0], "--group="+args[1], "--steps="+args[2], "--samples="+args[3]))
	normalize(ts)
}

func value(arg string) string {
	if arg == "-" {
		return ""
	}
	return arg
}

func checkEnd(ts *testscript.TestScript, neg bool, err error) {
	if neg == (err == nil) {
		ts.Fatalf("the command ended with %v", err)
	}
}

// normalize replaces what differs from run to run and keeps the result for
// cmp. A secret that was printed goes into $SECRET.
func normalize(ts *testscript.TestScript) {
	out := ts.ReadFile("stdout")
	if m := printedSecret.FindStringSubmatch(out); m != nil {
		ts.Setenv("SECRET", m[1])
	}
	write(ts, out+ts.ReadFile("stderr"))
}

var printedSecret = regexp.MustCompile(`secret (cfs_\S+)`)

func write(ts *testscript.TestScript, text string) {
	for _, v := range volatile {
		text = v.pattern.ReplaceAllString(text, v.replacement)
	}
	ts.Check(os.WriteFile(ts.MkAbs("out"), []byte(text), 0o600))
}
