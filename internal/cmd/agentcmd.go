package cmd

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/internal/agent"
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
	ls, log, err := c.open(streams, cfg.Common,
		port{"Address", cfg.Peers()},
		port{"AnnounceAddress", cfg.AnnounceAddress},
		port{"AdminAddress", cfg.AdminAddress})
	if err != nil || log == nil {
		return err
	}
	return agent.Run(ctx, cfg, agent.Listeners{Peers: ls[0], Announce: ls[1], Admin: ls[2]}, clock.New(), log)
}
