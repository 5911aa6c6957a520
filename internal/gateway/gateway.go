// Package gateway implements an entry. It authenticates callers, routes requests
// to upstreams, and forwards batch jobs to the leader of the job store.
package gateway

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/origins"
	"github.com/coltsfootspoke/coltsfootspoke/internal/permits"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/residency"
)

const (
	// hedgeLatencyFraction is the fraction of the target latency of a route
	// after which a repeatable request is also sent to a second upstream.
	hedgeLatencyFraction = 0.6
	statusServerError    = 500
	defaultApplyMS       = 2_000
	// refusalAgeDivisor sets the maximum age of a copy from which a request is refused
	// as a fraction of the time within which a configuration must be in force. The rest
	// is for the request itself and for what is on its way to control.
	refusalAgeDivisor = 2
	// incarnationIDBytes is the length of the random ID of a process.
	incarnationIDBytes = 8
)

// Options configures an entry.
type Options struct {
	Host          string
	FailureDomain string
	// Regions holds the region of each failure domain of the deployment. It may be empty.
	Regions map[string]string
	// Controls returns addresses of control hosts, which may change between
	// calls.
	Controls func() []string
	// WindowMS is the length of a usage window.
	WindowMS rollout.Millis
	// ApplyMS is the time within which a configuration must be in force after its
	// acknowledgement. 0 selects defaultApplyMS.
	ApplyMS rollout.Millis
	// ColdBound bounds the requests that a cold upstream gets.
	ColdBound limit.ColdBound
	Upstreams rollout.UpstreamClient
	Secret    string
	Log       *zap.Logger
	Registry  *prometheus.Registry
}

// Gateway runs an entry.
type Gateway struct {
	opts     Options
	dialer   *link.Dialer
	client   *fabric.Client
	watcher  *view.Watcher
	news     controlNews
	balancer *balance.Balancer
	origins  *origins.Client
	regions  residency.Map
	meter    *meter
	metrics  *metrics
	draining atomic.Bool
	// refusing is true once the entry accepts no more requests.
	refusing atomic.Bool
}

// Inbound is a request received from a caller.
type Inbound struct {
	AttemptID string
	Method    string
	// URI is the path and query as sent; Path is the path alone.
	URI, Path string
	Host      string
	// Header holds the fields that are forwarded to the upstream.
	Header []rollout.HeaderField
	Body   []byte
	Key    string
	// Resumes holds the values of the field that names the attempt whose stream the caller
	// takes up, and LastEventID those of the one that names the last event received.
	Resumes, LastEventID []string
	// BudgetMS is how long the caller waits, or 0 if the caller set no limit.
	BudgetMS rollout.Millis
	Received time.Time
}

// Deadline returns the time by which a request on a route must have been answered.
func (in Inbound) Deadline(route document.Route) time.Time {
	budget := rollout.Millis(math.MaxInt32)
	for _, limit := range []rollout.Millis{route.TimeoutMS, in.BudgetMS} {
		if limit > 0 {
			budget = min(budget, limit)
		}
	}
	return in.Received.Add(time.Duration(budget) * time.Millisecond)
}

// New returns an entry.
func New(opts Options) *Gateway {
	g := &Gateway{opts: opts, dialer: link.NewDialer(opts.Secret), metrics: newMetrics(opts.Registry), regions: residency.NewMap(opts.Regions)}
	g.client = fabric.NewClient(g.dialer)
	g.balancer = balance.New(opts.Upstreams, clock.Boottime{}, opts.FailureDomain, opts.Log)
	g.balancer.RegisterMetrics(opts.Registry)
	id := make([]byte, incarnationIDBytes)
	_, _ = rand.Read(id)
	g.meter = newMeter(hex.EncodeToString(id), opts.WindowMS)
	g.watcher = view.NewWatcher(view.Options{
		Host: opts.Host, Role: view.RoleEntry, FailureDomain: opts.FailureDomain, Seeds: opts.Controls,
		Client: g.client, Clock: clock.Boottime{}, Log: opts.Log, Registry: opts.Registry, Usage: g.meter.totals, BrokenConnections: g.brokenConnections, CrashRecorded: g.balancer.CrashRecorded(), Leaving: g.balancer.Leaving().Report,
		OnChange: func(v view.State) {
			if v.Index != nil {
				g.balancer.Limits().SetShareRates(g.opts.ColdBound.ShareRates(v.Index.Document.Pools))
			}
			g.balancer.Sync(discovery.WithEvacuated(v.Upstreams, v.Facts.Evacuated))
		},
	})
	g.news = g.watcher
	g.balancer.Limits().Follow(func() limit.Contact {
		v := g.watcher.State()
		return limit.Contact{ConfirmedMS: v.ConfirmedMS, Share: v.ColdShare}
	})
	g.origins = origins.NewClient(origins.Options{Client: g.client, Clock: clock.Boottime{}, Log: opts.Log, Hosts: func() []string { return g.watcher.State().Facts.Controls }})
	return g
}

// brokenConnections returns the broken connections to report to control.
func (g *Gateway) brokenConnections() view.BrokenConnections {
	revision, connections := g.balancer.BrokenConnections()
	return view.BrokenConnections{Incarnation: g.meter.incarnation, Revision: revision, Connections: connections}
}

// Ready reports whether the entry has a configuration and is not draining.
func (g *Gateway) Ready() bool { return !g.Draining() && g.watcher.State().Index != nil }

// Limits returns the limits for requests of callers. They are zero until the
// entry has a configuration.
func (g *Gateway) Limits() document.Limits {
	if index := g.watcher.State().Index; index != nil {
		return index.Document.Limits
	}
	return document.Limits{}
}

// Run keeps the entry's copy of the control state up to date until ctx is done.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.watcher.Run(ctx) })
	group.Go(func() error {
		return permits.New(permits.Options{
			Host: g.opts.Host, Gate: g.balancer.Limits(), Clock: clock.Boottime{}, Client: g.client, Leader: g.watcher.Leader, Log: g.opts.Log,
		}).Run(ctx)
	})
	return group.Wait()
}

// Resolve returns the route of a request and the name of its client account. It refuses
// a request for its route, its key or its client account only from a recent copy of the
// configuration, and fails with KindNoAuthority while there is none.
func (g *Gateway) Resolve(ctx context.Context, in Inbound) (document.Route, string, error) {
	route, account, err := g.resolve(in)
	if err == nil || !followsFromCopy(err) {
		return route, account, err
	}
	if err := g.confirmCopy(ctx); err != nil {
		return document.Route{}, "", err
	}
	return g.resolve(in)
}

// confirmCopy waits until the copy of the configuration is recent enough to refuse
// requests from it.
func (g *Gateway) confirmCopy(ctx context.Context) error {
	return g.watcher.Confirm(ctx, cmp.Or(g.opts.ApplyMS, defaultApplyMS)/refusalAgeDivisor)
}

// resolve looks up a request in the current copy of the configuration.
func (g *Gateway) resolve(in Inbound) (document.Route, string, error) {
	index := g.watcher.State().Index
	if index == nil {
		return document.Route{}, "", rollout.NewError(rollout.KindNoAuthority, "entry has not received a configuration yet").WithNotRun()
	}
	route, ok := index.Route(in.Host, in.Path)
	if !ok {
		return route, "", rollout.NewError(rollout.KindNotFound, "no route matches %s%s", in.Host, in.Path).WithNotRun()
	}
	account, err := authenticate(index, route, in.Key)
	return route, account, err
}

// authenticate returns the name of the client account of a key. The name is
// empty if no accounts are configured, or if the key is unknown and the route is
// public.
func authenticate(index *document.Index, route document.Route, key string) (string, error) {
	if len(index.Document.Accounts) == 0 {
		return "", nil
	}
	account, ok := index.Account(key)
	if !ok && !route.Public {
		return "", rollout.NewError(rollout.KindUnauthenticated, "unknown key").WithNotRun()
	}
	return account.Name, nil
}

// Do routes a request to an upstream and returns its response.
func (g *Gateway) Do(ctx context.Context, in Inbound) (Response, error) {
	route, account, err := g.Resolve(ctx, in)
	if err != nil {
		g.LogRefusal(in, route, err)
		return Response{}, err
	}
	return g.forward(ctx, in, route, account)
}

// forward sends a request on a route to an upstream and returns its response.
func (g *Gateway) forward(ctx context.Context, in Inbound, route document.Route, account string) (Response, error) {
	clientAccount := g.accountNamed(account)
	restrict := g.restrict(route, clientAccount)
	req := balance.Request{
		UpstreamRequest: rollout.UpstreamRequest{
			Method: in.Method, URI: in.URI, Host: in.Host, Header: in.Header, AttemptID: in.AttemptID,
			Account: account, Body: in.Body,
		},
		Pool:        g.pickPool(route, restrict()),
		Repeatable:  isRepeatable(route),
		MaxAttempts: max(1, route.MaxAttempts),
		Deadline:    in.Deadline(route),
		OnStarted:   func() { g.meter.count(account) },
		Restrict:    restrict,
	}
	req.LimitPatience = time.Duration(hedgeLatencyFraction * float64(route.TargetLatencyMS) * float64(time.Millisecond))
	req.HedgeAfter = req.LimitPatience
	if route.Streaming {
		req.HedgeAfter = silentAfter
	}
	req.Priority = g.priorityOf(route, in.Key)
	req.Permit = func() error { return g.checkPoison(req.UpstreamRequest) }
	err := g.resume(ctx, in, route, &req)
	var response Response
	if err == nil {
		response.Response, err = g.balancer.Do(ctx, req)
	}
	if err == nil && req.Software != "" {
		if err = g.checkSoftware(ctx, response.Response, req.Software); err != nil {
			response.Close()
		}
	}
	g.metrics.observe(in.Received, err)
	if err != nil {
		if rollout.AsError(err).Kind == rollout.KindRegionNotAllowed {
			g.recordRegionRefusal(refusedRequest, in.AttemptID, g.policyOf(route, clientAccount))
		}
		g.LogRefusal(in, route, err)
		return response, err
	}
	if route.Resumable && response.Head.Streaming {
		response.stream = g.newStream(ctx, req, response.Response)
		response.Close = response.stream.close
	}
	level := zap.InfoLevel
	if slow := rollout.Millis(time.Since(in.Received).Milliseconds()) > route.TargetLatencyMS; slow || response.Head.Status >= statusServerError {
		level = zap.WarnLevel
	}
	g.opts.Log.Log(level, "Answered", zap.String("Request", in.AttemptID), zap.String("Route", route.Name), zap.String("Upstream", response.Upstream),
		zap.Int("Status", response.Head.Status), zap.Duration("Took", time.Since(in.Received)))
	return response, nil
}

// isRepeatable reports whether a request may run more than once. A stream may if it can be
// resumed.
func isRepeatable(route document.Route) bool {
	if route.Streaming {
		return route.Resumable
	}
	return route.Kind == document.RouteIdempotent
}

// priorityOf returns the priority of a request: that of its client account if it has one,
// or else that of its route.
func (g *Gateway) priorityOf(route document.Route, key string) int {
	if index := g.watcher.State().Index; index != nil {
		if account, ok := index.Account(key); ok && account.Priority != nil {
			return *account.Priority
		}
	}
	return route.Priority
}

// checkPoison returns an error if the request is one of those that crash upstreams,
// as the control leader or this host alone has found.
func (g *Gateway) checkPoison(x rollout.UpstreamRequest) error {
	poisons := g.watcher.State().Facts.Poisons
	if len(poisons) == 0 && !g.balancer.HasBrokenConnections() {
		return nil
	}
	fingerprint := balance.FingerprintOf(x)
	byControl := slices.Contains(poisons, fingerprint)
	if !byControl && !g.balancer.Refuses(fingerprint) {
		return nil
	}
	g.opts.Log.Info("PoisonFound", zap.String("Request", x.AttemptID), zap.String("Fingerprint", fingerprint), zap.Bool("ByControl", byControl))
	return rollout.NewError(rollout.KindPoisoned, "request refused: %d upstreams crashed while running it", poison.CrashLimit).WithNotRun()
}

// LogRefusal logs a request that ended with an error of the system itself.
func (g *Gateway) LogRefusal(in Inbound, route document.Route, err error) {
	fields := []zap.Field{
		zap.String("Request", in.AttemptID), zap.String("Route", route.Name),
		zap.Duration("Took", time.Since(in.Received)), zap.Error(err),
	}
	copyInfo := g.watcher.CopyInfo()
	if followsFromCopy(err) {
		g.metrics.refusalCopyAge.Observe((time.Duration(copyInfo.AgeMS) * time.Millisecond).Seconds())
	}
	if followsFromCopy(err) || rollout.AsError(err).Kind == rollout.KindNoAuthority {
		fields = append(fields, zap.Inline(copyInfo))
	}
	g.opts.Log.Warn("Refused", fields...)
}

// followsFromCopy reports whether a request was refused because the configuration
// that this host knows lacks its route, its key or its client account.
func followsFromCopy(err error) bool {
	switch rollout.AsError(err).Kind {
	case rollout.KindNotFound, rollout.KindUnauthenticated, rollout.KindForbidden:
		return true
	default:
		return false
	}
}
