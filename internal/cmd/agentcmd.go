package cmd

import (
	"context"
	"fmt"

	"github.com/coltsfootspoke/coltsfootspoke/internal/agent"
	"github.com/coltsfootspoke/coltsfootspoke/internal/logging"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// agentCmd runs the agent of an upstream host.
type agentCmd struct {
	daemonFlags
}

// Run implements the command.
func (c *agentCmd) Run(ctx context.Context, streams Streams) error {
	cfg, err := settings.LoadAgent(c.Config)
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
	announce, err := settings.Listen(c.Config, "AnnounceAddress", cfg.AnnounceAddress)
	if err != nil {
		return err
	}
	admin, err := settings.Listen(c.Config, "AdminAddress", cfg.AdminAddress)
	if err != nil {
		return err
	}
	return agent.Run(ctx, cfg, agent.Listeners{Peers: peers, Announce: announce, Admin: admin}, clock.New(), log)
}
