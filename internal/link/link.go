package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	dialTimeout = time.Second
	// maxMessageBytes bounds one message, a snapshot included.
	maxMessageBytes = 256 << 20
	// idleExpiration closes connections that have not been used.
	idleExpiration = time.Minute
	idlePerAddress = 64
	// unackedTimeout closes a connection whose data the other side does not
	// acknowledge, as after a silent cut.
	unackedTimeout = 5 * time.Second
)

// Dialer opens and pools connections to the system's own processes.
type Dialer struct {
	secret []byte
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	bytes  Bytes
}

// Bytes counts what has passed over the connections of a dialer.
type Bytes struct {
	Sent, Received atomic.Int64
}

// countedConn adds to the counts of its dialer.
type countedConn struct {
	net.Conn
	bytes *Bytes
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Sent.Add(int64(n))
	return n, err
}

// NewDialer returns a dialer that shows the given secret.
func NewDialer(secret string) *Dialer {
	return &Dialer{
		secret: []byte(secret),
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			KeyCapacity: idlePerAddress,
		}),
	}
}

// Bytes returns the counts of the dialer.
func (d *Dialer) Bytes() *Bytes { return &d.bytes }

// Close closes all idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// Conn returns a connection to an address. It is dialled at the first call.
func (d *Dialer) Conn(ctx context.Context, address string) drpc.Conn {
	return d.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		return d.dial(ctx, address)
	})
}

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: limitUnacked}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, rollout.NewError(rollout.KindUnavailable, "dial %s", address).WithCause(err).WithNotRun()
	}
	conn := countedConn{raw, &d.bytes}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, closeWith(conn, err)
	}
	if err := shakeClient(conn, d.secret); err != nil {
		cause := rollout.NewError(rollout.KindUnavailable, "handshake with %s", address).WithCause(err).WithNotRun()
		return nil, closeWith(conn, cause)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, closeWith(conn, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Server accepts connections from the system's own processes.
type Server struct {
	handler  drpc.Handler
	secret   []byte
	listener net.Listener
	log      *zap.Logger
}

// NewServer returns a server on a listener.
func NewServer(listener net.Listener, secret string, handler drpc.Handler, log *zap.Logger) *Server {
	return &Server{handler: handler, secret: []byte(secret), listener: listener, log: log}
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	server := drpcserver.NewWithOptions(s.handler, drpcserver.Options{Manager: managerOptions()})
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return rollout.NewError(rollout.KindInternal, "accept on %s", s.listener.Addr()).WithCause(err)
		}
		wait.Go(func() { s.serveOne(ctx, server, conn) })
	}
}

func (s *Server) serveOne(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := shakeServer(conn, s.secret); err != nil {
		s.log.Warn("PeerRefused", zap.String("Peer", conn.RemoteAddr().String()), zap.Error(err))
		_ = conn.Close()
		return
	}
	_ = server.ServeOne(ctx, conn)
}

func closeWith(conn net.Conn, err error) error {
	_ = conn.Close()
	return err
}

// managerOptions returns the settings of both sides. A call that is cancelled
// closes its connection: after a silent cut it may be dead, and the next call
// must not wait on it.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}
