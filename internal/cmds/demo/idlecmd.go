package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

// idleCmd measures the CPU time and memory of the daemons while there is no traffic.
type idleCmd struct {
	Dir  string        `arg:"" type:"path"`
	Over time.Duration `default:"20s"`
}

// Run implements the command.
func (c *idleCmd) Run(ctx context.Context) error {
	l, err := demo.Load(c.Dir)
	if err != nil {
		return err
	}
	if err := demo.NewCheck(l).Prepare(ctx); err != nil {
		return err
	}
	before := demo.ReadResourceUsage(c.Dir, "control", "entry", "agent")
	time.Sleep(c.Over)
	after := demo.ReadResourceUsage(c.Dir, "control", "entry", "agent")
	for _, name := range slices.Sorted(maps.Keys(after)) {
		share := (after[name].CPU - before[name].CPU).Seconds() / c.Over.Seconds()
		fmt.Printf("Event=idle Process=%s CorePercent=%.2f MemoryMB=%d\n", name, 100*share, after[name].Memory>>20)
	}
	return nil
}
