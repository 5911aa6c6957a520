package link

import (
	"context"
	"errors"
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
	// maxMessageBytes limits the size of one message. The longest hold the body of a request, or a
	// snapshot of the control state.
	maxMessageBytes = 64 << 20
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout       = time.Minute
	maxIdlePerAddress = 64
	// unackedTimeout is the time after which a connection is closed if the peer
	// does not acknowledge sent data, as when the network drops packets without
	// an error.
	unackedTimeout = 5 * time.Second
)

// Dialer opens and pools connections to the processes of the deployment.
type Dialer struct {
	secret []byte
	pool   *drpcpool.Pool[poolKey, drpcpool.Conn]
	bytes  ByteCounters

	mu sync.Mutex
	// generations holds the current generation of the connections by address. It is
	// 0 for addresses that are not in it.
	generations map[string]uint64
}

// poolKey identifies the connections to an address that may be reused for each other.
type poolKey struct {
	address    string
	generation uint64
}

// ByteCounters counts the bytes sent and received over the connections of a
// dialer.
type ByteCounters struct {
	Sent, Received atomic.Int64
}

// countingConn is a connection that updates the counters of its dialer.
type countingConn struct {
	net.Conn
	bytes *ByteCounters
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Sent.Add(int64(n))
	return n, err
}

// NewDialer returns a dialer that authenticates with the given secret.
func NewDialer(secret string) *Dialer {
	return &Dialer{
		secret: []byte(secret),
		pool: drpcpool.New[poolKey, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			KeyCapacity: maxIdlePerAddress,
		}),
		generations: make(map[string]uint64),
	}
}

// Bytes returns the counters of the dialer.
func (d *Dialer) Bytes() *ByteCounters { return &d.bytes }

// Close closes all idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// Conn returns a connection to an address. It is dialed at the first call.
func (d *Dialer) Conn(ctx context.Context, address string) drpc.Conn {
	d.mu.Lock()
	key := poolKey{address, d.generations[address]}
	d.mu.Unlock()
	conn := d.pool.Get(ctx, key, func(ctx context.Context, key poolKey) (drpcpool.Conn, error) {
		return d.dial(ctx, key.address)
	})
	return renewedConn{conn, d, key}
}

// Renew makes the next calls to an address open new connections. The open ones may
// have failed without an error.
func (d *Dialer) Renew(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generations[address]++
}

// renewAfter renews the connections to an address if they still are of a generation.
func (d *Dialer) renewAfter(key poolKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.generations[key.address] == key.generation {
		d.generations[key.address]++
	}
}

// renewedConn renews the connections to its address after a call without a reply: what
// silenced one connection may have silenced those that are pooled beside it.
type renewedConn struct {
	drpc.Conn
	dialer *Dialer
	key    poolKey
}

// Invoke implements drpc.Conn.
func (c renewedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.dialer.renewAfter(c.key)
	}
	return err
}

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUnackedTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, rollout.NewError(rollout.KindUnavailable, "dial %s", address).WithCause(err).WithNotRun()
	}
	conn := countingConn{raw, &d.bytes}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, closeOnError(conn, err)
	}
	// The peer may accept connections and hang.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	err = clientHandshake(conn, d.secret)
	if !stop() {
		err = ctx.Err()
	}
	if err != nil {
		cause := rollout.NewError(rollout.KindUnavailable, "handshake with %s", address).WithCause(err).WithNotRun()
		return nil, closeOnError(conn, cause)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, closeOnError(conn, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Server accepts connections from the processes of the deployment.
type Server struct {
	handler  drpc.Handler
	secret   []byte
	listener net.Listener
	log      *zap.Logger
	// strangers are the connections whose peers have not proved that they hold the secret.
	strangers strangers
}

// NewServer returns a server that accepts connections on a listener.
func NewServer(listener net.Listener, secret string, handler drpc.Handler, log *zap.Logger) *Server {
	return &Server{handler: handler, secret: []byte(secret), listener: listener, log: log}
}

// Serve accepts connections until the context ends. It closes the listener then and
// waits for the connections.
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
			if isTemporary(err) {
				s.strangers.closeOldest()
				time.Sleep(acceptRetryDelay)
				continue
			}
			return rollout.NewError(rollout.KindInternal, "accept on %s", s.listener.Addr()).WithCause(err)
		}
		s.strangers.add(conn)
		wait.Go(func() { s.serveConn(ctx, server, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, server *drpcserver.Server, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	err := serverHandshake(conn, s.secret)
	s.strangers.remove(conn)
	if err != nil {
		s.log.Warn("HandshakeFailed", zap.String("Peer", conn.RemoteAddr().String()), zap.Error(err))
		_ = conn.Close()
		return
	}
	_ = server.ServeOne(ctx, conn)
}

// closeOnError closes a connection and returns err.
func closeOnError(conn net.Conn, err error) error {
	_ = conn.Close()
	return err
}

// managerOptions returns the DRPC options of both sides. SoftCancel is off, so a
// cancelled call closes its connection: the connection may be dead without an
// error, and the next call must not wait for it.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}
