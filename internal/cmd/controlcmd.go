package cmd

import (
	"context"
	"fmt"

	"github.com/coltsfootspoke/coltsfootspoke/internal/control"
	"github.com/coltsfootspoke/coltsfootspoke/internal/logging"
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
	log, err := logging.New(streams.Err, levelOf(cfg.LogLevel), cfg.Name)
	if err != nil {
		return err
	}
	if c.Check {
		_, err := fmt.Fprintf(streams.Out, "%s: ok\n", c.Config)
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
	return control.Run(ctx, cfg, control.Listeners{Peers: peers, Admin: admin}, clock.New(), log)
}

func levelOf(level string) string {
	if level == "" {
		return "info"
	}
	return level
}
