// Command slope measures what the control hosts and an entry spend on a number
// of agents. The agents are stand-ins that speak as real ones do.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/coltsfootspoke/coltsfootspoke/internal/daemon"
	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/claim"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

const (
	// engineCount is the number of engines beside each agent.
	engineCount  = 2
	accountCount = 8
	poolName     = "redactor"
	groupName    = "drafts"
	pollPause    = 20 * time.Millisecond
	// publishPoll is the time between looks at all engines.
	publishPoll = 250 * time.Millisecond
	limit       = 90 * time.Second
)

type cli struct {
	Dir      string        `arg:"" type:"path" help:"Folder of a started layout."`
	Agents   int           `default:"100"`
	Steady   time.Duration `default:"8s" help:"How long each steady state is measured."`
	Fetch    time.Duration `default:"1s" help:"Time of one copy of weights."`
	Swap     time.Duration `default:"2s" help:"Time of one weight swap."`
	Claims   int           `default:"0" help:"Claims a second in a further state."`
	Changes  int           `default:"20" help:"Configuration changes to time."`
	Versions int           `default:"2" help:"Weight versions to publish."`
}

// bench is one measurement.
type bench struct {
	cli     *cli
	layout  *demo.Layout
	op      *demo.Operator
	control *daemon.Client
	dialer  *link.Dialer
	agents  []*agent
}

func main() { os.Exit(run()) }

func run() int {
	var c cli
	kong.Parse(&c, kong.Name("slope"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	if err := measure(ctx, &c); err != nil {
		fmt.Fprintln(os.Stderr, "slope:", err)
		return 1
	}
	return 0
}

func measure(ctx context.Context, c *cli) error {
	l, err := demo.Load(c.Dir)
	if err != nil {
		return err
	}
	b := &bench{cli: c, layout: l, op: demo.NewOperator(l), dialer: link.NewDialer(l.Secret)}
	b.control = daemon.NewClient(b.dialer, l.Controls)
	defer b.op.Close()
	for _, part := range []func(context.Context) error{b.configure, b.startAgents, b.steady, b.publish, b.change, b.claim} {
		if err := part(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) configure(ctx context.Context) error {
	for i := range accountCount {
		if _, err := b.op.Do(ctx, fmt.Sprintf("create account account-%d", i)); err != nil {
			return err
		}
	}
	_, err := b.op.Do(ctx, fmt.Sprintf("create group %s account account-0 pool %s staleness 2", groupName, poolName))
	return err
}

func (b *bench) startAgents(ctx context.Context) error {
	start := time.Now()
	for i := range b.cli.Agents {
		a := newAgent(b.cli, b.layout, i)
		b.agents = append(b.agents, a)
		go func() { _ = a.renewer.Run(ctx) }()
	}
	err := b.await(ctx, publishPoll, func() bool { return b.count(ctx, "show upstreams") == engineCount*b.cli.Agents })
	b.print("register", "Upstreams", engineCount*b.cli.Agents, "MS", time.Since(start).Milliseconds())
	return err
}

// steady measures a while without changes but for loads and usage.
func (b *bench) steady(ctx context.Context) error { return b.usage(ctx, "steady", b.cli.Steady) }

// usage measures processor time, memory and bytes over a while.
func (b *bench) usage(ctx context.Context, name string, d time.Duration) error {
	before, bytesBefore := b.processes(), b.bytes()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
	}
	after, bytesAfter := b.processes(), b.bytes()
	for _, p := range sortedNames(after) {
		core := (after[p].CPU - before[p].CPU).Seconds() / d.Seconds()
		b.print(name, "Process", p, "CorePercent", fmt.Sprintf("%.2f", 100*core), "MemoryMB", after[p].Memory>>20)
	}
	b.print(name, "BytesPerAgentAndSecond", int64(float64(bytesAfter-bytesBefore)/d.Seconds())/int64(max(b.cli.Agents, 1)))
	return nil
}

// publish times new weight versions until all engines serve them.
func (b *bench) publish(ctx context.Context) error {
	for v := range b.cli.Versions {
		version := uint64(v + 1)
		before := b.processes()
		start := time.Now()
		if _, err := b.control.Propose(ctx, ledger.Command{PublishWeights: &ledger.PublishWeights{Group: groupName, Version: version}}); err != nil {
			return err
		}
		want := fmt.Sprintf("show upstreams where Versions = %s:%d", groupName, version)
		err := b.await(ctx, publishPoll, func() bool { return b.count(ctx, want) == engineCount*b.cli.Agents })
		took := time.Since(start)
		after := b.processes()
		for _, p := range sortedNames(after) {
			b.print("publish", "Process", p, "CoreMS", (after[p].CPU - before[p].CPU).Milliseconds())
		}
		b.print("publish", "Version", version, "MS", took.Milliseconds())
		if err != nil {
			return err
		}
	}
	return nil
}

// change times configuration changes until they are in force everywhere.
func (b *bench) change(ctx context.Context) error {
	var took []int64
	for i := range b.cli.Changes {
		start := time.Now()
		a, err := b.op.Do(ctx, fmt.Sprintf("set account account-%d weight %d", i%accountCount, i+2))
		if err != nil {
			return err
		}
		err = b.await(ctx, pollPause, func() bool {
			w, err := b.op.Do(ctx, fmt.Sprintf("wait version %d", a.Version))
			return err == nil && w.InForce
		})
		if err != nil {
			return err
		}
		took = append(took, time.Since(start).Milliseconds())
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	if len(took) > 0 {
		b.print("change", "Changes", len(took), "MedianMS", took[len(took)/2], "LongestMS", took[len(took)-1])
	}
	return nil
}

// claim measures a while with claims at a rate.
func (b *bench) claim(ctx context.Context) error {
	if b.cli.Claims == 0 {
		return nil
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		ticker := time.NewTicker(time.Second / time.Duration(b.cli.Claims))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			go func() {
				_, _ = b.control.Propose(ctx, ledger.Command{TakeClaim: &claim.Take{Claim: claim.Claim{
					Account: "account-1", RequestID: fmt.Sprintf("order-%d", i), Digest: strings.Repeat("d", 64),
					Attempt: fmt.Sprintf("attempt-%d", i), Upstream: "engine-1", Address: "127.0.0.1:1", Incarnation: "0123456789abcdef",
				}}})
			}()
		}
	}()
	return b.usage(ctx, fmt.Sprintf("claims-%d", b.cli.Claims), b.cli.Steady)
}

func (b *bench) await(ctx context.Context, pause time.Duration, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	return nil
}

func (b *bench) bytes() int64 {
	var sum int64
	for _, a := range b.agents {
		sum += a.dialer.Bytes().Sent.Load() + a.dialer.Bytes().Received.Load()
	}
	return sum
}

func (b *bench) count(ctx context.Context, statement string) int {
	a, err := b.op.Do(ctx, statement)
	if err != nil || a.Table == nil {
		return -1
	}
	return len(a.Table.Rows)
}

func (b *bench) print(event string, pairs ...any) {
	line := fmt.Sprintf("Event=%s Agents=%d", event, b.cli.Agents)
	for i := 0; i < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Println(line)
}

// processes reads the control hosts and entries.
func (b *bench) processes() map[string]demo.ResourceUsage {
	return demo.ReadResourceUsage(b.layout.Dir, "control", "entry")
}

func sortedNames(m map[string]demo.ResourceUsage) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
