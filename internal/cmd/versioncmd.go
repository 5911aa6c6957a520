package cmd

import (
	"fmt"
	"runtime/debug"
)

// versionCmd prints the version.
type versionCmd struct{}

// Run implements the command.
func (c *versionCmd) Run(streams Streams) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(streams.Out, "coltsfootspoke %s\n", version)
	return err
}
