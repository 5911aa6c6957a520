// Command demo writes the settings of a deployment on the loopback address, and checks and measures
// the deployment after a script has started its processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

type cli struct {
	Layout  layoutCmd  `cmd:"" help:"Write settings and command lines into a folder."`
	Check   checkCmd   `cmd:"" help:"Run real requests against a started deployment."`
	Idle    idleCmd    `cmd:"" help:"Measure the daemons without traffic."`
	Latency latencyCmd `cmd:"" help:"Compare calls through an entry with direct calls."`
}

type layoutCmd struct {
	Dir       string `arg:"" type:"path"`
	Entries   int    `default:"2" help:"Number of entries."`
	Agents    int    `default:"3" help:"Number of agents."`
	Upstreams bool   `default:"true" negatable:"" help:"Include upstreams in the layout."`
}

type checkCmd struct {
	Dir string `arg:"" type:"path"`
}

func main() { os.Exit(run()) }

func run() int {
	var c cli
	kctx := kong.Parse(&c, kong.Name("demo"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(); err != nil {
		fmt.Printf("Outcome=failed Cause=%q\n", err.Error())
		return 1
	}
	return 0
}

// Run implements the command.
func (c *layoutCmd) Run() error {
	o := demo.DefaultOptions()
	o.Entries, o.Agents = c.Entries, c.Agents
	if !c.Upstreams {
		o.Upstreams = nil
	}
	_, err := demo.New(c.Dir, o)
	return err
}

// Run implements the command.
func (c *checkCmd) Run(ctx context.Context) error {
	l, err := demo.Load(c.Dir)
	if err != nil {
		return err
	}
	r, err := demo.NewCheck(l).Run(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("Outcome=passed StreamEvents=%d ServiceStatus=%d RepeatedRun=%d Samples=%d CutAfterMS=%d RefusedStatus=%d "+
		"UsageWindow=%d UsageRequests=%d KeysSeen=%d ChangedWindows=%d\n",
		r.StreamEvents, r.ServiceStatus, r.RepeatedRun, r.Samples, r.CutAfterMS, r.RefusedStatus,
		r.UsageWindow, r.UsageRequests, r.KeysSeen, r.ChangedWindows)
	return nil
}
