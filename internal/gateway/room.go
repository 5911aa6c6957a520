package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/room"
)

// rooms holds the rooms of the pools of services, by pool. It is safe for concurrent use.
type rooms struct {
	clock rollout.Clock
	log   *zap.Logger
	// large returns the accounts whose requests wait behind those of others.
	large   func() []string
	metrics *roomMetrics

	mu     sync.Mutex
	byPool map[string]*room.Room
}

func newRooms(clock rollout.Clock, log *zap.Logger, registry *prometheus.Registry, large func() []string) *rooms {
	return &rooms{clock: clock, log: log, large: large, metrics: newRoomMetrics(registry), byPool: make(map[string]*room.Room)}
}

// roomMetrics holds the Prometheus metrics of rooms.
type roomMetrics struct {
	requests    *prometheus.CounterVec
	waitSeconds prometheus.Histogram
	window      *prometheus.GaugeVec
}

func newRoomMetrics(registry *prometheus.Registry) *roomMetrics {
	m := &roomMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_gateway_room_requests_total", Help: "Requests that found a pool full, by outcome: Admitted after a wait, Refused or Abandoned.",
		}, []string{"pool", "outcome"}),
		waitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coltsfootspoke_gateway_room_wait_seconds", Help: "Time that admitted requests waited for room at a full pool.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		window: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfootspoke_gateway_room_window", Help: "Maximum number of requests at the upstreams of a pool, or 0 if it is unlimited.",
		}, []string{"pool"}),
	}
	registry.MustRegister(m.requests, m.waitSeconds, m.window)
	return m
}

// sharesRoom reports whether requests of a route use the room of a pool. Streams and pools
// of engines have none.
func (g *Gateway) sharesRoom(route document.Route, pool string) bool {
	if route.Streaming || route.Resumable {
		return false
	}
	index := g.watcher.State().Index
	if index == nil {
		return false
	}
	p, _ := index.Pool(pool)
	return len(p.Models) == 0
}

// do sends a request of a route to an upstream, once there is room for it.
func (g *Gateway) do(ctx context.Context, req balance.Request, route document.Route) (balance.Response, error) {
	if !g.sharesRoom(route, req.Pool) {
		return g.balancer.Do(ctx, req)
	}
	return g.doWithinRoom(ctx, req)
}

// doWithinRoom sends a request to a pool once there is room for it.
func (g *Gateway) doWithinRoom(ctx context.Context, req balance.Request) (balance.Response, error) {
	admission, err := g.rooms.acquire(ctx, req)
	if err != nil {
		if rollout.AsError(err).Kind == rollout.KindOverloaded {
			g.meter.countRefused(req.UpstreamRequest.Account)
		}
		return balance.Response{}, err
	}
	rejected := false
	req.OnRejected = func() {
		rejected = true
		g.rooms.reject(req.Pool)
	}
	response, err := g.balancer.Do(ctx, req)
	if err != nil && rejected && rollout.AsError(err).Kind == rollout.KindOverloaded && rollout.AsError(err).NotRun {
		err = g.rooms.refuse(admission, req)
		g.meter.countRefused(req.UpstreamRequest.Account)
	}
	g.rooms.finish(admission, err == nil && response.Head.Status < statusServerError)
	return response, err
}

// admission is the use of a room by one request.
type admission struct {
	room      *room.Room
	startedMS rollout.Millis
}

// acquire waits for room for a request, no longer than its patience and its deadline.
func (s *rooms) acquire(ctx context.Context, req balance.Request) (admission, error) {
	r, w, started, err := s.enter(req)
	if err != nil {
		s.metrics.requests.WithLabelValues(req.Pool, "Refused").Inc()
		return admission{}, err
	}
	if w == nil {
		return admission{r, started}, nil
	}
	timer := time.NewTimer(patienceOf(req))
	defer timer.Stop()
	select {
	case <-w.Done():
	case <-timer.C:
		err = s.giveUp(r, w)
	case <-ctx.Done():
		if s.leave(r, w) {
			s.metrics.requests.WithLabelValues(req.Pool, "Abandoned").Inc()
			return admission{}, rollout.NewError(rollout.KindDeadlineExceeded, "caller left while the request waited for room at pool %s", req.Pool).WithCause(ctx.Err()).WithNotRun()
		}
	}
	if err == nil {
		<-w.Done()
		err = w.Err()
	}
	if err != nil {
		s.metrics.requests.WithLabelValues(req.Pool, "Refused").Inc()
		return admission{}, err
	}
	now := s.clock.Now()
	s.metrics.requests.WithLabelValues(req.Pool, "Admitted").Inc()
	s.metrics.waitSeconds.Observe((time.Duration(now-started) * time.Millisecond).Seconds())
	return admission{r, now}, nil
}

// patienceOf returns how long a request may wait for room.
func patienceOf(req balance.Request) time.Duration {
	return max(0, min(req.LimitPatience, time.Until(req.Deadline)))
}

// enter returns the room of a request and its place there, or nil if it is admitted.
func (s *rooms) enter(req balance.Request) (*room.Room, *room.Waiter, rollout.Millis, error) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byPool[req.Pool]
	if r == nil {
		r = room.New(req.Pool)
		s.byPool[req.Pool] = r
	}
	defer s.observeWindow(req.Pool, r, r.Limited())
	w, err := r.Enter(now, s.requestOf(r, req))
	return r, w, now, err
}

// requestOf describes a request to a room. Its fingerprint is needed only while the room
// is limited. The caller holds mu.
func (s *rooms) requestOf(r *room.Room, req balance.Request) room.Request {
	x := room.Request{Account: req.UpstreamRequest.Account, Priority: req.Priority}
	if r.Limited() {
		r.SetLarge(s.large())
		x.Key = balance.FingerprintOf(req.UpstreamRequest)
		x.PatienceMS = rollout.Millis(patienceOf(req).Milliseconds())
	}
	return x
}

// observeWindow records the window of a pool, and logs when it becomes limited or
// unlimited. The caller holds mu.
func (s *rooms) observeWindow(pool string, r *room.Room, wasLimited bool) {
	if !wasLimited && !r.Limited() {
		return
	}
	s.metrics.window.WithLabelValues(pool).Set(r.Window())
	switch {
	case r.Limited() && !wasLimited:
		s.log.Info("PoolFull", zap.String("Pool", pool), zap.Float64("Window", r.Window()))
	case wasLimited && !r.Limited():
		s.log.Info("PoolCalm", zap.String("Pool", pool))
	}
}

// reject records that an upstream of a pool rejected a request as full.
func (s *rooms) reject(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byPool[pool]
	defer s.observeWindow(pool, r, r.Limited())
	r.Reject(s.clock.Now())
}

// refuse returns the refusal of an admitted request that all upstreams rejected.
func (s *rooms) refuse(a admission, req balance.Request) error {
	s.metrics.requests.WithLabelValues(req.Pool, "Refused").Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	return a.room.Refuse(s.clock.Now(), s.requestOf(a.room, req))
}

// finish ends the use of a room.
func (s *rooms) finish(a admission, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	took := rollout.Millis(0)
	if succeeded {
		took = max(1, now-a.startedMS)
	}
	if a.room.Limited() {
		a.room.SetLarge(s.large())
	}
	a.room.Finish(now, took)
}

func (s *rooms) giveUp(r *room.Room, w *room.Waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.GiveUp(s.clock.Now(), w)
}

// leave removes a request that waits. If it is not waiting any more, its result stands.
func (s *rooms) leave(r *room.Room, w *room.Waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Leave(s.clock.Now(), w)
}
