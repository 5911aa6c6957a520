// Command slope measures the CPU time, memory and traffic that a number of agents cause at the
// control hosts and entries. The agents are simulated and use the protocol of real agents.
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
	// engineCount is the number of engines on the host of each agent.
	engineCount        = 2
	accountCount       = 8
	poolName           = "redactor"
	groupName          = "drafts"
	changePollInterval = 20 * time.Millisecond
	// upstreamPollInterval is the interval between queries of the states of all engines.
	upstreamPollInterval = 250 * time.Millisecond
	waitTimeout          = 90 * time.Second
)

type cli struct {
	Dir      string        `arg:"" type:"path" help:"Folder of a started layout."`
	Agents   int           `default:"100"`
	Steady   time.Duration `default:"8s" help:"How long each steady state is measured."`
	Fetch    time.Duration `default:"1s" help:"Duration of one weight fetch."`
	Swap     time.Duration `default:"2s" help:"Duration of one weight swap."`
	Claims   int           `default:"0" help:"Claims per second in an additional steady state; 0 skips it."`
	Changes  int           `default:"20" help:"Configuration changes to time."`
	Versions int           `default:"2" help:"Weight versions to publish."`
}

// benchmark is one run of all measurements against a started deployment.
type benchmark struct {
	cli      *cli
	layout   *demo.Layout
	operator *demo.Operator
	control  *daemon.Client
	dialer   *link.Dialer
	agents   []*simulatedAgent
}

func main() { os.Exit(run()) }

func run() int {
	var c cli
	kong.Parse(&c, kong.Name("slope"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Minute)
	defer cancel()
	if err := runBenchmark(ctx, &c); err != nil {
		fmt.Fprintln(os.Stderr, "slope:", err)
		return 1
	}
	return 0
}

func runBenchmark(ctx context.Context, c *cli) error {
	l, err := demo.Load(c.Dir)
	if err != nil {
		return err
	}
	b := &benchmark{cli: c, layout: l, operator: demo.NewOperator(l), dialer: link.NewDialer(l.Secret)}
	b.control = daemon.NewClient(b.dialer, l.Controls)
	defer b.operator.Close()
	for _, phase := range []func(context.Context) error{b.configure, b.startAgents, b.measureSteadyState, b.measurePublish, b.measureChanges, b.measureClaims} {
		if err := phase(ctx); err != nil {
			return err
		}
	}
	return nil
}

// configure creates the client accounts and the trainer group.
func (b *benchmark) configure(ctx context.Context) error {
	for i := range accountCount {
		if _, err := b.operator.Do(ctx, fmt.Sprintf("create account account-%d", i)); err != nil {
			return err
		}
	}
	_, err := b.operator.Do(ctx, fmt.Sprintf("create group %s account account-0 pool %s staleness 2", groupName, poolName))
	return err
}

// startAgents starts the simulated agents and measures the time until all their engines are listed.
func (b *benchmark) startAgents(ctx context.Context) error {
	start := time.Now()
	for i := range b.cli.Agents {
		a := newSimulatedAgent(b.cli, b.layout, i)
		b.agents = append(b.agents, a)
		go func() { _ = a.renewer.Run(ctx) }()
	}
	err := b.waitUntil(ctx, upstreamPollInterval, func() bool { return b.countRows(ctx, "show upstreams") == engineCount*b.cli.Agents })
	b.printEvent("register", "Upstreams", engineCount*b.cli.Agents, "MS", time.Since(start).Milliseconds())
	return err
}

// measureSteadyState measures resource usage while only loads and usage reports change.
func (b *benchmark) measureSteadyState(ctx context.Context) error {
	return b.measureResources(ctx, "steady", b.cli.Steady)
}

// measureResources measures the CPU time and memory of each process and the bytes exchanged per agent
// and second during d.
func (b *benchmark) measureResources(ctx context.Context, name string, d time.Duration) error {
	before, bytesBefore := b.resourceUsage(), b.transferredBytes()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
	}
	after, bytesAfter := b.resourceUsage(), b.transferredBytes()
	for _, p := range sortedNames(after) {
		share := (after[p].CPU - before[p].CPU).Seconds() / d.Seconds()
		b.printEvent(name, "Process", p, "CorePercent", fmt.Sprintf("%.2f", 100*share), "MemoryMB", after[p].Memory>>20)
	}
	b.printEvent(name, "BytesPerAgentAndSecond", int64(float64(bytesAfter-bytesBefore)/d.Seconds())/int64(max(b.cli.Agents, 1)))
	return nil
}

// measurePublish measures the time from publishing a weight version until all engines serve it.
func (b *benchmark) measurePublish(ctx context.Context) error {
	for v := range b.cli.Versions {
		version := uint64(v + 1)
		before := b.resourceUsage()
		start := time.Now()
		if _, err := b.control.Propose(ctx, ledger.Command{PublishWeights: &ledger.PublishWeights{Group: groupName, Version: version}}); err != nil {
			return err
		}
		query := fmt.Sprintf("show upstreams where Versions = %s:%d", groupName, version)
		err := b.waitUntil(ctx, upstreamPollInterval, func() bool { return b.countRows(ctx, query) == engineCount*b.cli.Agents })
		elapsed := time.Since(start)
		after := b.resourceUsage()
		for _, p := range sortedNames(after) {
			b.printEvent("publish", "Process", p, "CoreMS", (after[p].CPU - before[p].CPU).Milliseconds())
		}
		b.printEvent("publish", "Version", version, "MS", elapsed.Milliseconds())
		if err != nil {
			return err
		}
	}
	return nil
}

// measureChanges measures the time from a configuration change until it is in force at all daemons.
func (b *benchmark) measureChanges(ctx context.Context) error {
	var durations []int64
	for i := range b.cli.Changes {
		start := time.Now()
		answer, err := b.operator.Do(ctx, fmt.Sprintf("set account account-%d weight %d", i%accountCount, i+2))
		if err != nil {
			return err
		}
		err = b.waitUntil(ctx, changePollInterval, func() bool {
			result, err := b.operator.Do(ctx, fmt.Sprintf("wait version %d", answer.Version))
			return err == nil && result.InForce
		})
		if err != nil {
			return err
		}
		durations = append(durations, time.Since(start).Milliseconds())
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	if len(durations) > 0 {
		b.printEvent("change", "Changes", len(durations), "MedianMS", durations[len(durations)/2], "LongestMS", durations[len(durations)-1])
	}
	return nil
}

// measureClaims measures resource usage while claims are proposed at the configured rate. Failed
// proposals are ignored.
func (b *benchmark) measureClaims(ctx context.Context) error {
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
	return b.measureResources(ctx, fmt.Sprintf("claims-%d", b.cli.Claims), b.cli.Steady)
}

// waitUntil polls a condition until it is true or waitTimeout has passed.
func (b *benchmark) waitUntil(ctx context.Context, interval time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
	return nil
}

// transferredBytes returns the bytes that all agents have sent and received.
func (b *benchmark) transferredBytes() int64 {
	var sum int64
	for _, a := range b.agents {
		sum += a.dialer.Bytes().Sent.Load() + a.dialer.Bytes().Received.Load()
	}
	return sum
}

// countRows returns the number of rows of the table that a statement returns, or -1 if it fails.
func (b *benchmark) countRows(ctx context.Context, statement string) int {
	a, err := b.operator.Do(ctx, statement)
	if err != nil || a.Table == nil {
		return -1
	}
	return len(a.Table.Rows)
}

// printEvent prints one line with the number of agents and alternating keys and values.
func (b *benchmark) printEvent(event string, pairs ...any) {
	line := fmt.Sprintf("Event=%s Agents=%d", event, b.cli.Agents)
	for i := 0; i < len(pairs); i += 2 {
		line += fmt.Sprintf(" %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Println(line)
}

// resourceUsage returns the resource usage of the processes of the control hosts and entries.
func (b *benchmark) resourceUsage() map[string]demo.ResourceUsage {
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
