package cmd

import (
	"context"

	"github.com/coltsfootspoke/coltsfootspoke/internal/entry"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
)

// entryCmd runs an entry daemon.
type entryCmd struct {
	daemonFlags
}

// Run runs the daemon until the context is cancelled.
func (c *entryCmd) Run(ctx context.Context, streams Streams) error {
	cfg, err := settings.LoadEntry(c.Config)
	if err != nil {
		return err
	}
	listeners, log, err := c.openListeners(streams, cfg.Common,
		listenSetting{"ListenAddress", cfg.ListenAddress},
		listenSetting{"Address", cfg.PeerListenAddress()},
		listenSetting{"AdminAddress", cfg.AdminAddress})
	if err != nil || log == nil {
		return err
	}
	return entry.Run(ctx, cfg, entry.Listeners{Callers: listeners[0], Peers: listeners[1], Admin: listeners[2]}, clock.New(), log)
}
