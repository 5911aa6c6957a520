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

// Run runs the daemon until the context is cancelled.
func (c *agentCmd) Run(ctx context.Context, streams Streams) error {
	cfg, err := settings.LoadAgent(c.Config)
	if err != nil {
		return err
	}
	listeners, log, err := c.openListeners(streams, cfg.Common,
		listenSetting{"Address", cfg.PeerListenAddress()},
		listenSetting{"AnnounceAddress", cfg.AnnounceAddress},
		listenSetting{"AdminAddress", cfg.AdminAddress})
	if err != nil || log == nil {
		return err
	}
	return agent.Run(ctx, cfg, agent.Listeners{Peers: listeners[0], Announce: listeners[1], Admin: listeners[2]}, clock.New(), log)
}
