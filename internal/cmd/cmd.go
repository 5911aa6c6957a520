// Package cmd holds the commands of the coltsfootspoke binary.
package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/logging"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
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
	Host    hostCmd    `cmd:"" help:"Run a process on a platform that supplies its settings."`
	Explain explainCmd `cmd:"" name:"explain-request" help:"Print what the logs tell of a request."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// daemonFlags are shared by the daemons.
type daemonFlags struct {
	Config string `required:"" help:"Settings file." type:"path"`
	Check  bool   `help:"Check the settings file and exit."`
}

// port is a listen address with the field of the settings that holds it.
type port struct {
	field   string
	address string
}

// open builds the logger and opens the ports of a daemon. With --check it only
// says that the file is good, and returns no logger.
func (f daemonFlags) open(streams Streams, common settings.Common, ports ...port) ([]net.Listener, *zap.Logger, error) {
	level := common.LogLevel
	if level == "" {
		level = "info"
	}
	log, err := logging.New(streams.Err, level, common.Name)
	if err != nil {
		return nil, nil, err
	}
	if f.Check {
		_, err := fmt.Fprintf(streams.Out, "%s: ok\n", f.Config)
		return nil, nil, err
	}
	var listeners []net.Listener
	for _, p := range ports {
		l, err := settings.Listen(f.Config, p.field, p.address)
		if err != nil {
			return nil, nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, log, nil
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
