package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// outOfRotation is the time from the first failed readiness probe until no
	// new connections come: two probes a second apart, and the probe's way.
	outOfRotation = 3_200 * time.Millisecond
	// graceSpare is the part of the grace period that is left for the exit.
	graceSpare = time.Second
)

// Drain makes the entry leave: it is no longer ready, answers on until no new
// connections come, and then has them closed by a function, which may take as
// long as its context.
func (g *Gateway) Drain(ctx context.Context, grace time.Duration, closeAll func(context.Context) error) {
	g.opts.Log.Info("Leaving", zap.Duration("Grace", grace))
	g.leaving.Store(true)
	select {
	case <-ctx.Done():
		return
	case <-time.After(min(outOfRotation, grace)):
	}
	closing, cancel := context.WithTimeout(ctx, max(grace-outOfRotation-graceSpare, 0))
	defer cancel()
	g.opts.Log.Info("EntryClosed", zap.Error(closeAll(closing)))
}

// Draining tells whether the entry is leaving.
func (g *Gateway) Draining() bool { return g.leaving.Load() }
