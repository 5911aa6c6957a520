package gateway

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

// scriptedUpstreams answers each attempt with a function of its number, from 1.
type scriptedUpstreams struct {
	rollout.UpstreamClient
	attempts atomic.Int64
	answer   func(ctx context.Context, attempt int64) error
}

// SendRequest implements rollout.UpstreamClient.
func (u *scriptedUpstreams) SendRequest(ctx context.Context, _ rollout.UpstreamRequest) (rollout.UpstreamResponse, error) {
	if err := u.answer(ctx, u.attempts.Add(1)); err != nil {
		return rollout.UpstreamResponse{}, err
	}
	return rollout.UpstreamResponse{Status: 200, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

// IsListening implements rollout.UpstreamClient. All upstreams keep running.
func (u *scriptedUpstreams) IsListening(context.Context, string) (bool, error) { return true, nil }

var errReset = errors.New("connection reset")

// crashableDocument has one repeatable route with a target latency.
func crashableDocument(targetMS rollout.Millis) document.Document {
	d := documentWithRoutes(1, "/p/")
	d.Routes[0].Kind, d.Routes[0].Split = document.RouteIdempotent, []document.Share{{Pool: "p", Weight: 1}}
	d.Routes[0].MaxAttempts, d.Routes[0].TimeoutMS, d.Routes[0].TargetLatencyMS = 4, 5_000, targetMS
	return d
}

// newGatewayWithUpstreams returns a gateway that follows a control host with the
// document and five upstreams.
func newGatewayWithUpstreams(t *testing.T, c *controlHost, upstreams rollout.UpstreamClient) *Gateway {
	t.Helper()
	var us []discovery.Upstream
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		us = append(us, discovery.Upstream{ID: id, Pool: "p", Address: id, State: discovery.StateReady, Slots: 4, Born: 1})
	}
	c.upstreams.Store(&us)
	g := New(Options{
		Log: zap.NewNop(), Registry: prometheus.NewRegistry(), WindowMS: 1_000, ApplyMS: testApplyMS,
		Controls: func() []string { return []string{c.address} }, Upstreams: upstreams,
	})
	runUntilEnd(t, func(ctx context.Context) { _ = g.Run(ctx) })
	for !g.Ready() {
		time.Sleep(time.Millisecond)
	}
	return g
}

func crashingRequest() Inbound {
	return Inbound{AttemptID: "r", Method: "GET", URI: "/p/x", Path: "/p/x", Host: "h", Key: "key", Received: time.Now()}
}

// refuse makes control refuse the request and waits until the gateway knows it.
func refuse(g *Gateway, c *controlHost) {
	fingerprint := balance.FingerprintOf(rollout.UpstreamRequest{Account: "farm", Method: "GET", URI: "/p/x"})
	c.facts.Store(&view.Facts{Poisons: []string{fingerprint}})
	for len(g.watcher.State().Facts.Poisons) == 0 {
		time.Sleep(time.Millisecond)
	}
}

func assertAttempts(t *testing.T, u *scriptedUpstreams, want int64) {
	t.Helper()
	if got := u.attempts.Load(); got != want {
		t.Fatalf("sent to %d upstreams, want %d", got, want)
	}
}

// Guards against retries and hedges of a call whose request has been refused since the
// call began.
func TestCallEndsOnceItsRequestIsRefused(t *testing.T) {
	t.Run("retry", func(t *testing.T) {
		c := newControlHost(t, crashableDocument(0))
		u := &scriptedUpstreams{}
		g := newGatewayWithUpstreams(t, c, u)
		u.answer = func(context.Context, int64) error {
			refuse(g, c)
			return errReset
		}
		if _, err := g.Do(t.Context(), crashingRequest()); err == nil || rollout.AsError(err).NotRun {
			t.Fatalf("got error %v, want one of a request that may have run", err)
		}
		assertAttempts(t, u, 1)
	})
	t.Run("hedge", func(t *testing.T) {
		c := newControlHost(t, crashableDocument(200))
		u := &scriptedUpstreams{}
		g := newGatewayWithUpstreams(t, c, u)
		u.answer = func(ctx context.Context, _ int64) error {
			refuse(g, c)
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			return nil
		}
		if _, err := g.Do(t.Context(), crashingRequest()); err != nil {
			t.Fatalf("got error %v, want the response of the first upstream", err)
		}
		assertAttempts(t, u, 1)
	})
}
