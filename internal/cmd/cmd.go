// Package cmd implements the command line of the coltsfootspoke binary.
package cmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/logging"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Streams holds the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// cli defines the commands of the binary.
type cli struct {
	Control controlCmd `cmd:"" help:"Run a control host."`
	Entry   entryCmd   `cmd:"" help:"Run an entry daemon."`
	Agent   agentCmd   `cmd:"" help:"Run the agent of an upstream host."`
	Ctl     ctlCmd     `cmd:"" help:"Query and change the configuration."`
	Host    hostCmd    `cmd:"" help:"Run a process on a platform that supplies its settings."`
	Explain explainCmd `cmd:"" name:"explain-request" help:"Print the log lines of a request in chronological order."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// daemonFlags holds the flags that the daemon commands share.
type daemonFlags struct {
	Config string `required:"" help:"Settings file." type:"path"`
	Check  bool   `help:"Check the settings file and exit."`
}

// listenSetting is a listen address and the settings field that holds it.
type listenSetting struct {
	field   string
	address string
}

// openListeners opens the listeners of a daemon and creates its logger. With
// --check it only prints that the settings file is valid and returns a nil
// logger.
func (f daemonFlags) openListeners(streams Streams, common settings.Common, addresses ...listenSetting) ([]net.Listener, *zap.Logger, error) {
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
	debug.SetMemoryLimit(common.SoftMemoryLimit())
	var listeners []net.Listener
	for _, a := range addresses {
		l, err := settings.Listen(f.Config, a.field, a.address)
		if err != nil {
			return nil, nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, log, nil
}

// Main parses the arguments, runs the command and returns the exit code.
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
		return reportError(streams.Err, err)
	}
	return exitOK
}

// reportError prints an error on one line and returns the exit code for its
// kind.
func reportError(w io.Writer, err error) int {
	_, _ = fmt.Fprintf(w, "coltsfootspoke: %v\n", err)
	if rollout.AsError(err).Kind == rollout.KindInvalidInput {
		return exitUsage
	}
	return exitFailure
}
