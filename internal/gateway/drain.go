package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// rotationDelay is the time from the start of a drain until no more requests are
	// accepted. It covers two readiness probes one second apart with their latency. The
	// platform lets a host that stops cut off requests that were sent up to 3 s after the
	// signal; the rest of that time is for the signal and the request to arrive.
	rotationDelay = 2_700 * time.Millisecond
	// rotationShare limits rotationDelay to a part of the grace period.
	rotationShare = 3
	// exitShare is the part of the grace period, as a divisor, that is left for the last
	// answers and the exit of the process. The platform lets requests be cut off in the last
	// sixth.
	exitShare = 12
	// stoppingRetryMS is the retry delay of requests that are refused because the entry
	// stops. Another entry can serve them at once.
	stoppingRetryMS rollout.Millis = 1
)

// CallerServer serves callers and can be stopped in steps.
type CallerServer interface {
	// CloseAfterResponses ends each connection with its next response.
	CloseAfterResponses()
	// Shutdown accepts no further connections and returns once all requests have been
	// answered, or with an error when the context ends.
	Shutdown(ctx context.Context) error
	// CancelRequests makes the requests that are being served fail.
	CancelRequests()
}

// Drain makes the entry report that it is not ready. It accepts requests until no new
// connections arrive, as a caller whose kept connection ends sooner may get this entry again,
// and then waits for those that run. Callers whose requests have not ended shortly before the
// end of the grace period get an error.
func (g *Gateway) Drain(ctx context.Context, grace time.Duration, server CallerServer) {
	g.opts.Log.Info("DrainStarted", zap.Duration("Grace", grace))
	started := time.Now()
	g.draining.Store(true)
	server.CloseAfterResponses()
	select {
	case <-ctx.Done():
		return
	case <-time.After(min(rotationDelay, grace/rotationShare)):
	}
	g.refusing.Store(true)
	reserve := grace / exitShare
	err := shutdownUntil(ctx, server, started.Add(grace-reserve))
	if err != nil {
		g.opts.Log.Warn("RequestsCutOff", zap.Error(err))
		server.CancelRequests()
		err = shutdownUntil(ctx, server, started.Add(grace-reserve/2))
	}
	g.opts.Log.Info("DrainEnded", zap.Error(err))
}

func shutdownUntil(ctx context.Context, server CallerServer, end time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	return server.Shutdown(ctx)
}

// CheckAccepting returns an error if the entry accepts no more requests, as it might not
// answer them before it stops.
func (g *Gateway) CheckAccepting() error {
	if !g.refusing.Load() {
		return nil
	}
	return rollout.NewError(rollout.KindUnavailable, "entry %s is stopping", g.opts.Host).WithNotRun().WithRetryAfter(stoppingRetryMS)
}

// Draining reports whether Drain has been called.
func (g *Gateway) Draining() bool { return g.draining.Load() }
