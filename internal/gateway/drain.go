package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// rotationDelay is the time after which no new connections arrive once
	// the readiness probe fails. It covers two probes one second apart and the
	// latency of a probe.
	rotationDelay = 3_200 * time.Millisecond
	// exitReserve is the part of the grace period reserved for the exit of the
	// process.
	exitReserve = time.Second
)

// Drain makes the entry report that it is not ready, serves requests until no
// new connections arrive, and then calls closeAll, which must return when its
// context is done.
func (g *Gateway) Drain(ctx context.Context, grace time.Duration, closeAll func(context.Context) error) {
	g.opts.Log.Info("DrainStarted", zap.Duration("Grace", grace))
	g.draining.Store(true)
	select {
	case <-ctx.Done():
		return
	case <-time.After(min(rotationDelay, grace)):
	}
	closing, cancel := context.WithTimeout(ctx, max(grace-rotationDelay-exitReserve, 0))
	defer cancel()
	g.opts.Log.Info("DrainEnded", zap.Error(closeAll(closing)))
}

// Draining reports whether Drain has been called.
func (g *Gateway) Draining() bool { return g.draining.Load() }
