package cmd

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/internal/entry"
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
	ls, log, err := c.open(streams, cfg.Common,
		port{"ListenAddress", cfg.ListenAddress},
		port{"Address", cfg.Peers()},
		port{"AdminAddress", cfg.AdminAddress})
	if err != nil || log == nil {
		return err
	}
	return entry.Run(ctx, cfg, entry.Listeners{Callers: ls[0], Peers: ls[1], Admin: ls[2]}, clock.New(), log)
}
