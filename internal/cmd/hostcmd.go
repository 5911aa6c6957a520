package cmd

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/platform"
)

// hostCmd runs a process on a platform that supplies its settings file.
type hostCmd struct {
	Role string `arg:"" enum:"entry,control,store" help:"What the process does: entry, control or store."`
}

// Run implements the command.
func (c *hostCmd) Run(ctx context.Context, streams Streams) error {
	return platform.Run(ctx, c.Role, streams.Out)
}
