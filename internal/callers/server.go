// Package callers serves HTTP to callers and stops without losing a request that has been
// read.
package callers

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// settleDelay is the time in which a connection that has read the first byte of a request
// reads the rest of its head. Connections in the midst of a head may be closed after it.
const settleDelay = 100 * time.Millisecond

const (
	// lingerTimeout bounds the wait for the rest of a body that nobody reads.
	lingerTimeout = time.Second
	// maxUnusedBodyBytes is the length of a body that is read to keep its connection, though
	// nobody uses it.
	maxUnusedBodyBytes = 64 << 10
)

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// Server is an HTTP server for callers. Its methods are safe for concurrent use.
type Server struct {
	http        http.Server
	connections *connections
	// cancel cancels the contexts of all requests.
	cancel   context.CancelFunc
	stopping atomic.Bool
}

// NewServer returns a server that accepts the connections of a listener.
func NewServer(l net.Listener, handler http.Handler, opts Options) *Server {
	s := &Server{connections: newConnections(l, opts)}
	requests, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.http = http.Server{
		Handler: s.serve(handler), ConnState: s.connections.observe,
		BaseContext: func(net.Listener) context.Context { return requests },
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
		// The connections limit the length of heads.
		MaxHeaderBytes: math.MaxInt32,
	}
	return s
}

// CancelRequests cancels the contexts of the requests that are being served.
func (s *Server) CancelRequests() { s.cancel() }

// Close closes all connections at once.
func (s *Server) Close() error {
	s.cancel()
	return s.http.Close()
}

// CloseAfterResponses ends each connection with its next response.
func (s *Server) CloseAfterResponses() { s.stopping.Store(true) }

// Serve serves until the server is shut down or closed, or the listener fails.
func (s *Server) Serve() error {
	err := s.http.Serve(s.connections)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown closes the listener and ends the connections as their requests are answered. It
// returns once there are none, or with an error when the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	if s.connections.end() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(settleDelay):
		}
	}
	err := s.http.Shutdown(ctx)
	if n := s.connections.count(); err != nil && n > 0 {
		return rollout.NewError(rollout.KindDeadlineExceeded, "%d connections of callers are open", n).WithCause(err)
	}
	return nil
}

// ShutdownAfter ends each connection with its next response, and shuts the server down after a
// delay, within a timeout.
func (s *Server) ShutdownAfter(ctx context.Context, delay, timeout time.Duration) error {
	s.CloseAfterResponses()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Shutdown(ctx)
}

// serve follows the requests of a connection, and adds "Connection: close" to the heads of
// responses that are written while the server is stopping or while a long rest of the body is
// unread.
func (s *Server) serve(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connectionKey{}).(*connection)
		c.beginServed(r.ContentLength != 0)
		defer c.release()
		defer c.beginRest()
		h.ServeHTTP(&closingWriter{ResponseWriter: w, stopping: &s.stopping, request: r, connection: c}, r)
	})
}

// closingWriter is a response writer that ends its connection if its server is stopping when
// the head is written.
type closingWriter struct {
	http.ResponseWriter
	stopping   *atomic.Bool
	request    *http.Request
	connection *connection
	// hasHead is true once the head has been written.
	hasHead bool
}

// Unwrap returns the writer that http.ResponseController controls.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.beforeHead()
	return w.ResponseWriter.Write(p)
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.beforeHead()
	w.ResponseWriter.WriteHeader(status)
}

func (w *closingWriter) beforeHead() {
	if w.hasHead {
		return
	}
	w.hasHead = true
	if !w.connection.skipBody(w.request) || w.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}
