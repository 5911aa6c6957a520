// Package daemon contains code that the daemons share: the admin HTTP server, the
// client of the control hosts, and the Renewer, which renews a daemon's lease and
// keeps its configuration up to date.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/coltsfootspoke/coltsfootspoke/internal/callers"
	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
)

const adminCloseTimeout = time.Second

// ServeAdmin serves /metrics, /healthz and /readyz until the context is done, within the limits
// of the process.
func ServeAdmin(ctx context.Context, l net.Listener, registry *prometheus.Registry, ready func() bool, limits *intake.Intake) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte("not ready\n"))
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	server := callers.NewServer(l, mux, callers.Options{Intake: limits})
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	return server.Serve()
}
