package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/coltsfootspoke/coltsfootspoke/internal/callers"
	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// maxAnnouncementBytes is many times the length of an announcement.
const maxAnnouncementBytes = 1 << 20

// serveAnnounce serves the HTTP endpoint for announcements of upstreams until the
// context ends.
func (a *agent) serveAnnounce(ctx context.Context, l net.Listener, limits *intake.Intake) error {
	server := &fasthttp.Server{
		Handler: a.handleAnnounceRequest, Name: "coltsfootspoke", CloseOnShutdown: true, MaxRequestBodySize: maxAnnouncementBytes,
	}
	limited := callers.LimitFastHTTP(l, server, callers.Options{Intake: limits, MaxConnections: limits.MaxConnections()},
		func(rc *fasthttp.RequestCtx, err *rollout.Error) { rc.Error(err.Error(), err.Status()) })
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(limited)
}

func (a *agent) handleAnnounceRequest(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != "/announce" || !rc.IsPost() {
		rc.Error("want POST /announce", fasthttp.StatusNotFound)
		return
	}
	var an announcement
	dec := json.NewDecoder(bytes.NewReader(rc.PostBody()))
	dec.DisallowUnknownFields()
	err := dec.Decode(&an)
	if err == nil {
		err = an.validate()
	}
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	a.enqueue(func(now rollout.Millis) { a.recordAnnouncement(now, an) })
}

type metrics struct {
	registry *prometheus.Registry
	attempts *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_attempts_total", Help: "Attempts at upstreams, by outcome.",
		}, []string{"outcome"}),
	}
	m.registry.MustRegister(m.attempts)
	return m
}
