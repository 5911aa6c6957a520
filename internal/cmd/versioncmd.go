package cmd

import (
	"fmt"
	"runtime/debug"
)

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version of the main module.
func (c *versionCmd) Run(streams Streams) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(streams.Out, "coltsfootspoke %s\n", version)
	return err
}
