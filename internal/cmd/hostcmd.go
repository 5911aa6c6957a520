package cmd

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/platform"
)

// hostCmd runs a process whose settings file is supplied by the platform.
type hostCmd struct {
	Role string `arg:"" enum:"entry,control,store" help:"What the process does: entry, control or store."`
}

// Run runs the process in the given role.
func (c *hostCmd) Run(ctx context.Context, streams Streams) error {
	return platform.Run(ctx, c.Role, streams.Out)
}
