package cmd

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/internal/control"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// controlCmd runs a control host.
type controlCmd struct {
	daemonFlags
}

// Run implements the command.
func (c *controlCmd) Run(ctx context.Context, streams Streams) error {
	cfg, err := settings.LoadControl(c.Config)
	if err != nil {
		return err
	}
	ls, log, err := c.open(streams, cfg.Common,
		port{"Address", cfg.Peers()},
		port{"AdminAddress", cfg.AdminAddress})
	if err != nil || log == nil {
		return err
	}
	return control.Run(ctx, cfg, control.Listeners{Peers: ls[0], Admin: ls[1]}, clock.New(), log)
}
