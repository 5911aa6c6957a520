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

// Run runs the daemon until the context is cancelled.
func (c *controlCmd) Run(ctx context.Context, streams Streams) error {
	cfg, err := settings.LoadControl(c.Config)
	if err != nil {
		return err
	}
	listeners, log, err := c.openListeners(streams, cfg.Common,
		listenSetting{"Address", cfg.PeerListenAddress()},
		listenSetting{"AdminAddress", cfg.AdminAddress})
	if err != nil || log == nil {
		return err
	}
	return control.Run(ctx, cfg, control.Listeners{Peers: listeners[0], Admin: listeners[1]}, clock.New(), log)
}
