package cmd

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/chzyer/readline"

	"github.com/coltsfootspoke/coltsfootspoke/internal/daemon"
	"github.com/coltsfootspoke/coltsfootspoke/internal/language"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

const (
	secretBytes    = 24
	secretPrefix   = "cfs_"
	commandIDBytes = 12
	pollInterval   = 100 * time.Millisecond
)

// ctlCmd runs statements of the operator language.
type ctlCmd struct {
	Control     []string      `required:"" env:"COLTSFOOTSPOKE_CONTROL" help:"Addresses of the control hosts."`
	Secret      string        `required:"" env:"COLTSFOOTSPOKE_SECRET" help:"Secret of the deployment."`
	OperatorKey string        `required:"" env:"COLTSFOOTSPOKE_OPERATOR_KEY" help:"Key of the operators."`
	CommandID   string        `help:"ID of a change. To retry a change, use the same ID."`
	Expect      uint64        `help:"Configuration version that a change is based on."`
	JSON        bool          `name:"json" help:"Print the answer in JSON."`
	DryRun      bool          `help:"Print what a change would do without applying it."`
	Timeout     time.Duration `default:"10s" help:"Time limit of each statement."`
	Statement   []string      `arg:"" optional:"" help:"Statement. Without one, an interactive shell starts."`
}

// Help returns the syntax of the statements.
func (c *ctlCmd) Help() string {
	return `Statements:
  show TABLE [where COLUMN OP VALUE [and ...]] [order by COLUMN [desc]] [limit N]
  create account NAME [weight N] [priority N] [queue N]
  set account NAME ...             drop account NAME
  grant key NAME account ACCOUNT   withdraw key NAME
  create group NAME account ACCOUNT pool POOL staleness N
  set group NAME staleness N       drop group NAME
  create route NAME pool POOL [open yes|no] [repeatable yes|no]
  set target DOMAIN/POOL min N max N
  drain upstream ID                remove member ID
  evacuate domain NAME             end evacuation NAME
  explain CHANGE
  wait version N
Tables: accounts, daemons, domains, evacuations, groups, keys, members, orders,
poisons, routes, samples, steps, targets, upstreams, usage, windows.`
}

// Run runs the statement of the command line, or an interactive shell if there
// is none.
func (c *ctlCmd) Run(ctx context.Context, streams Streams) error {
	dialer := link.NewDialer(c.Secret)
	defer func() { _ = dialer.Close() }()
	s := &ctlSession{cmd: c, client: daemon.NewClient(dialer, c.Control), out: streams.Out}
	if len(c.Statement) > 0 {
		return s.run(ctx, strings.Join(c.Statement, " "))
	}
	return s.runShell(ctx, streams)
}

// ctlSession runs statements with one client.
type ctlSession struct {
	cmd    *ctlCmd
	client *daemon.Client
	out    io.Writer
}

// run executes one statement and prints the result.
func (s *ctlSession) run(ctx context.Context, text string) error {
	st, err := language.Parse(text)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cmd.Timeout)
	defer cancel()
	if st.Wait != nil {
		return s.wait(ctx, text)
	}
	if st.Change != nil && s.cmd.DryRun {
		text = "explain " + text
	}
	req := &wire.ExecuteRequest{Statement: text, Expected: s.cmd.Expect}
	var secret string
	if ch := changeOf(st); ch != nil {
		req.CommandId = s.commandID()
		if ch.Verb == "grant" {
			secret = randomSecret()
			req.KeyDigest = catalog.Digest(secret)
		}
	}
	answer, err := s.execute(ctx, req)
	if err != nil {
		return err
	}
	return s.print(answer, secret)
}

// commandID returns the ID given on the command line, or a random one.
func (s *ctlSession) commandID() string {
	if s.cmd.CommandID != "" {
		return s.cmd.CommandID
	}
	b := make([]byte, commandIDBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (s *ctlSession) execute(ctx context.Context, req *wire.ExecuteRequest) (language.Answer, error) {
	req.OperatorKey = s.cmd.OperatorKey
	var answer language.Answer
	reply, err := s.client.Execute(ctx, req)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(reply.Result, &answer)
}

// wait runs a wait statement until its version has taken effect on all daemons.
func (s *ctlSession) wait(ctx context.Context, text string) error {
	for {
		answer, err := s.execute(ctx, &wire.ExecuteRequest{Statement: text})
		if err != nil {
			return err
		}
		if answer.InForce {
			_, err := fmt.Fprintln(s.out, "in force everywhere")
			return err
		}
		select {
		case <-ctx.Done():
			return rollout.NewError(rollout.KindDeadlineExceeded, "%s: not yet in force at: %s", text, strings.Join(answer.Behind, ", "))
		case <-time.After(pollInterval):
		}
	}
}

func (s *ctlSession) print(a language.Answer, secret string) error {
	if secret != "" && a.KeyDigest != "" && a.KeyDigest != catalog.Digest(secret) {
		return rollout.NewError(rollout.KindConflict, "the key was granted by the first command with this ID; its secret was printed then")
	}
	if s.cmd.JSON {
		return json.NewEncoder(s.out).Encode(struct {
			language.Answer
			Secret string `json:",omitempty"`
		}{a, secret})
	}
	if a.Table != nil {
		return printTable(s.out, a.Table)
	}
	if _, err := fmt.Fprintf(s.out, "%s (version %d)\n", a.Message, a.Version); err != nil {
		return err
	}
	if secret == "" || a.KeyDigest == "" {
		return nil
	}
	_, err := fmt.Fprintf(s.out, "secret %s\n", secret)
	return err
}

// runShell reads and runs statements until the end of the input.
func (s *ctlSession) runShell(ctx context.Context, streams Streams) error {
	in, ok := streams.In.(*os.File)
	if !ok {
		return rollout.NewError(rollout.KindInvalidInput, "no statement given, and standard input is not a file or a terminal")
	}
	rl, err := readline.NewEx(&readline.Config{
		Prompt: "coltsfootspoke> ", Stdin: in, Stdout: streams.Out, Stderr: streams.Err, AutoComplete: completer(),
	})
	if err != nil {
		return err
	}
	defer func() { _ = rl.Close() }()
	for {
		line, err := rl.Readline()
		if err != nil {
			return nil
		}
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		if err := s.run(ctx, line); err != nil {
			reportError(streams.Err, err)
		}
	}
}

func completer() readline.AutoCompleter {
	var items []readline.PrefixCompleterInterface
	for _, w := range []string{"show", "create", "set", "drop", "grant key", "withdraw key", "drain upstream", "explain", "wait version", "remove member", "evacuate domain", "end evacuation"} {
		items = append(items, readline.PcItem(w))
	}
	return readline.NewPrefixCompleter(items...)
}

// changeOf returns the change that a statement applies or explains, or nil.
func changeOf(st *language.Statement) *language.Change {
	if st.Change != nil {
		return st.Change
	}
	return st.Explain
}

func printTable(out io.Writer, t *language.Table) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		cells := make([]string, len(row))
		for i, c := range row {
			cells[i] = c.Text
			if c.Text == "" {
				cells[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

func randomSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b)
	return secretPrefix + base64.RawURLEncoding.EncodeToString(b)
}
