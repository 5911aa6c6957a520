// Package gateway runs an entry: it authenticates callers, finds the route of
// a request and sends it to an upstream, and hands batch jobs to the leader of
// the job store.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	mathrand "math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
)

const (
	// hedgeShare is the part of a route's target latency after which a
	// repeatable request goes to a second upstream.
	hedgeShare        = 0.6
	statusServerError = 500
	// incarnationBytes make the ID of a run of the process.
	incarnationBytes = 8
)

// Options set an entry up.
type Options struct {
	Host          string
	FailureDomain string
	// Controls returns addresses of control hosts. They may change.
	Controls func() []string
	// WindowMS is the length of a usage window.
	WindowMS  rollout.Millis
	Upstreams rollout.Upstreams
	Secret    string
	Log       *zap.Logger
	Registry  *prometheus.Registry
}

// Gateway is an entry.
type Gateway struct {
	opts     Options
	dialer   *link.Dialer
	client   *fabric.Client
	watcher  *view.Watcher
	balancer *balance.Balancer
	meter    *meter
	metrics  *metrics
	leaving  atomic.Bool
}

// Inbound is a caller's request.
type Inbound struct {
	AttemptID string
	Method    string
	// URI is the path and query as sent; Path is the path alone.
	URI, Path string
	Host      string
	// Header holds what passes through to the upstream.
	Header []rollout.HeaderField
	Body   []byte
	Key    string
	// BudgetMS is how long the caller waits, or 0 when it did not say.
	BudgetMS rollout.Millis
	Received time.Time
}

// New returns an entry.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts, dialer: link.NewDialer(opts.Secret), metrics: newMetrics(opts.Registry)}
	g.client = fabric.NewClient(g.dialer)
	g.balancer = balance.New(opts.Upstreams, clock.Boottime{}, opts.FailureDomain, opts.Log)
	id := make([]byte, incarnationBytes)
	_, _ = rand.Read(id)
	g.meter = newMeter(hex.EncodeToString(id), opts.WindowMS)
	g.watcher = view.NewWatcher(view.Options{
		Host: opts.Host, Role: view.RoleEntry, FailureDomain: opts.FailureDomain, Seeds: opts.Controls,
		Client: g.client, Log: opts.Log, Usage: g.meter.totals, Crashes: g.balancer.Crashes,
		OnChange: func(c view.Copy) { g.balancer.Sync(c.Upstreams) },
	})
	return g
}

// Ready tells whether the entry knows a configuration and is not leaving.
func (g *Gateway) Ready() bool { return !g.Draining() && g.watcher.Copy().Index != nil }

// Limits returns what callers may send. The zero value is returned until a
// configuration is known.
func (g *Gateway) Limits() document.Limits {
	if x := g.watcher.Copy().Index; x != nil {
		return x.Document.Limits
	}
	return document.Limits{}
}

// Run follows control until the context ends.
func (g *Gateway) Run(ctx context.Context) error { return g.watcher.Run(ctx) }

// Resolve finds the route and the client account of a request.
func (g *Gateway) Resolve(in Inbound) (document.Route, string, error) {
	x := g.watcher.Copy().Index
	if x == nil {
		return document.Route{}, "", rollout.NewError(rollout.KindNoAuthority, "no configuration is known yet").WithNotRun()
	}
	route, ok := x.Route(in.Host, in.Path)
	if !ok {
		return route, "", rollout.NewError(rollout.KindNotFound, "no route for %s%s", in.Host, in.Path).WithNotRun()
	}
	account, err := authenticate(x, route, in.Key)
	return route, account, err
}

func authenticate(x *document.Index, route document.Route, key string) (string, error) {
	if len(x.Document.Accounts) == 0 {
		return "", nil
	}
	account, ok := x.Account(key)
	if !ok && !route.Public {
		return "", rollout.NewError(rollout.KindUnauthenticated, "the key is not known").WithNotRun()
	}
	return account.Name, nil
}

// Do sends a request to an upstream and returns its answer.
func (g *Gateway) Do(ctx context.Context, in Inbound) (balance.Answer, error) {
	route, account, err := g.Resolve(in)
	if err != nil {
		g.logRefusal(in, route, err)
		return balance.Answer{}, err
	}
	budget := rollout.Millis(math.MaxInt32)
	for _, limit := range []rollout.Millis{route.TimeoutMS, in.BudgetMS} {
		if limit > 0 {
			budget = min(budget, limit)
		}
	}
	req := balance.Request{
		Exchange: rollout.Exchange{
			Method: in.Method, URI: in.URI, Host: in.Host, Header: in.Header, AttemptID: in.AttemptID,
			Account: account, Body: in.Body,
		},
		Pool:        route.PickPool(mathrand.Float64()),
		Repeatable:  route.Kind == document.RouteIdempotent && !route.Streaming,
		MaxAttempts: max(1, route.MaxAttempts),
		Deadline:    in.Received.Add(time.Duration(budget) * time.Millisecond),
		HedgeAfter:  time.Duration(hedgeShare * float64(route.TargetLatencyMS) * float64(time.Millisecond)),
		Began:       func() { g.meter.count(account) },
	}
	if err := g.checkPoison(req.Exchange); err != nil {
		g.logRefusal(in, route, err)
		return balance.Answer{}, err
	}
	answer, err := g.balancer.Do(ctx, req)
	g.metrics.answered(in.Received, err)
	if err != nil {
		g.logRefusal(in, route, err)
		return answer, err
	}
	level := zap.InfoLevel
	if late := rollout.Millis(time.Since(in.Received).Milliseconds()) > route.TargetLatencyMS; late || answer.Head.Status >= statusServerError {
		level = zap.WarnLevel
	}
	g.opts.Log.Log(level, "Answered", zap.String("Request", in.AttemptID), zap.String("Route", route.Name), zap.String("Upstream", answer.Upstream),
		zap.Int("Status", answer.Head.Status), zap.Duration("Took", time.Since(in.Received)))
	return answer, nil
}

// checkPoison refuses a request that has crashed the upstreams that ran it.
func (g *Gateway) checkPoison(x rollout.Exchange) error {
	poisons := g.watcher.Copy().Facts.Poisons
	if len(poisons) == 0 || !slices.Contains(poisons, balance.FingerprintOf(x)) {
		return nil
	}
	return rollout.NewError(rollout.KindPoisoned, "%d upstreams crashed while they ran this request", poison.CrashLimit).WithNotRun()
}

func (g *Gateway) logRefusal(in Inbound, route document.Route, err error) {
	g.opts.Log.Warn("Refused", zap.String("Request", in.AttemptID), zap.String("Route", route.Name),
		zap.Duration("Took", time.Since(in.Received)), zap.Error(err))
}
