// Package reply judges the responses of HTTP servers. What HTTP does not allow, and what may
// have broken off, is an error wherever responses are read.
package reply

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Conn is a connection to a server. It tells the end of a response that nothing marks but the
// end of the connection from one that was broken off: the kernel reports a reset once, and if
// the write of the request gets the report, the read of the response sees an orderly end. So an
// end counts only if the whole request was written without an error.
type Conn struct {
	net.Conn
	written atomic.Int64
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once

	// writeMu is held while bytes are written. It guards writeErr.
	writeMu sync.Mutex
	// writeErr is the first error of a write.
	writeErr error

	// failedID is the ID of the last request if its response was a failure, or nil.
	failedID atomic.Pointer[string]

	mu sync.Mutex
	// sent is closed once the request has been sent, and nil before the first request.
	sent chan struct{}
	// answered is true once a byte was read since the request began.
	answered bool
}

// Dial returns a function that opens connections of this package.
func Dial(dialer net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn, closed: make(chan struct{})}, nil
	}
}

// Written returns the number of bytes that have been written.
func (c *Conn) Written() int64 { return c.written.Load() }

// BeginID records that a request with an ID is about to be sent. It reports whether the last one
// had the same ID and failed: a late second copy of that failure could then not be told from the
// response.
func (c *Conn) BeginID(id string) (again bool) {
	failed := c.failedID.Swap(nil)
	return failed != nil && *failed == id
}

// FailID records that the response to the request with an ID was a failure.
func (c *Conn) FailID(id string) { c.failedID.Store(&id) }

// beginRequest records that a request is about to be sent. The returned function records that
// it was sent, or why not.
func (c *Conn) beginRequest() (end func(err error)) {
	sent := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent, c.answered = sent, false
	return func(err error) {
		c.writeMu.Lock()
		c.writeErr = errors.Join(c.writeErr, err)
		c.writeMu.Unlock()
		close(sent)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read implements net.Conn. It returns io.EOF after a part of a response only if the request
// was sent completely.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n > 0 {
		c.answered = true
	}
	sent, answered := c.sent, c.answered
	c.mu.Unlock()
	if !errors.Is(err, io.EOF) || !answered || sent == nil {
		return n, err
	}
	select {
	case <-sent:
	case <-c.closed:
		return n, net.ErrClosed
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr != nil {
		return n, c.writeErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}
