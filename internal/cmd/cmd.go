// Package cmd holds the commands of the coltsfootspoke binary.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Streams are the standard streams.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// cli lists the commands.
type cli struct {
	Control controlCmd `cmd:"" help:"Run a control host."`
	Entry   entryCmd   `cmd:"" help:"Run an entry."`
	Agent   agentCmd   `cmd:"" help:"Run the agent of an upstream host."`
	Ctl     ctlCmd     `cmd:"" help:"Ask and change the configuration."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// daemonFlags are shared by the daemons.
type daemonFlags struct {
	Config string `required:"" help:"Settings file." type:"path"`
	Check  bool   `help:"Check the settings file and exit."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, streams Streams) int {
	var c cli
	exited := -1
	parser, err := kong.New(&c,
		kong.Name("coltsfootspoke"),
		kong.Description("A rollout service for reinforcement learning."),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { exited = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		_, _ = fmt.Fprintln(streams.Err, err)
		return exitFailure
	}
	kctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "coltsfootspoke: %v\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(streams); err != nil {
		return report(streams.Err, err)
	}
	return exitOK
}

// report prints an error in one line and returns the exit code of its kind.
func report(w io.Writer, err error) int {
	_, _ = fmt.Fprintf(w, "coltsfootspoke: %v\n", err)
	if rollout.AsError(err).Kind == rollout.KindInvalidInput {
		return exitUsage
	}
	return exitFailure
}
