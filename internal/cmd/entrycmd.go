package cmd

import (
	"context"
	"fmt"

	"github.com/coltsfootspoke/coltsfootspoke/internal/entry"
	"github.com/coltsfootspoke/coltsfootspoke/internal/logging"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// entryCmd runs an entry.
type entryCmd struct {
	daemonFlags
}

// Run implements the command.
func (c *entryCmd) Run(ctx context.Context, streams Streams) error {
	cfg, err := settings.LoadEntry(c.Config)
	if err != nil {
		return err
	}
	log, err := logging.New(streams.Err, levelOf(cfg.LogLevel), cfg.Name)
	if err != nil {
		return err
	}
	if c.Check {
		_, err := fmt.Fprintf(streams.Out, "%s: ok\n", c.Config)
		return err
	}
	callers, err := settings.Listen(c.Config, "ListenAddress", cfg.ListenAddress)
	if err != nil {
		return err
	}
	peers, err := settings.Listen(c.Config, "Address", cfg.Address)
	if err != nil {
		return err
	}
	admin, err := settings.Listen(c.Config, "AdminAddress", cfg.AdminAddress)
	if err != nil {
		return err
	}
	return entry.Run(ctx, cfg, entry.Listeners{Callers: callers, Peers: peers, Admin: admin}, clock.New(), log)
}
