// Package fabric carries calls between the system's own processes: named
// methods with JSON bodies over the authenticated drpc links.
package fabric

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"storj.io/drpc"

	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/pack"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// packer is shared by all connections: it holds no state between bodies.
var packer = pack.New()

// jsonEncoding implements drpc.Encoding: JSON, packed.
type jsonEncoding struct{}

// Marshal implements drpc.Encoding.
func (jsonEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := json.Marshal(msg)
	if err != nil {
		return nil, rollout.NewError(rollout.KindInternal, "encode body").WithCause(err)
	}
	return packer.Pack(data), nil
}

// Unmarshal implements drpc.Encoding.
func (jsonEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	data, err := packer.Unpack(buf)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, msg); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "body").WithCause(err)
	}
	return nil
}

// Client calls other processes.
type Client struct {
	dialer *link.Dialer
}

// NewClient returns a client over a dialer.
func NewClient(dialer *link.Dialer) *Client { return &Client{dialer: dialer} }

// Call runs a method at an address. An error whose NotRun is set means that
// the call never left this process.
func (c *Client) Call(ctx context.Context, address, method string, in, out any) error {
	if address == "" {
		return rollout.NewError(rollout.KindUnavailable, "no address for %s", method).WithNotRun()
	}
	err := c.dialer.Conn(ctx, address).Invoke(ctx, method, jsonEncoding{}, in, out)
	if err == nil {
		return nil
	}
	var known *rollout.Error
	if errors.As(err, &known) {
		return known
	}
	if ctx.Err() != nil {
		return rollout.NewError(rollout.KindDeadlineExceeded, "%s at %s", method, address).WithCause(err)
	}
	return rollout.ParseError(err.Error())
}

// handler answers one method.
type handler func(ctx context.Context, stream drpc.Stream) error

// Mux answers calls by method and hands methods that it does not know on.
type Mux struct {
	next drpc.Handler

	mu       sync.RWMutex
	handlers map[string]handler
}

// NewMux returns a Mux. Next may be nil.
func NewMux(next drpc.Handler) *Mux {
	return &Mux{next: next, handlers: make(map[string]handler)}
}

// Handle registers a method. A nil answer is sent as JSON null.
func Handle[In, Out any](m *Mux, method string, answer func(context.Context, In) (Out, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = func(ctx context.Context, stream drpc.Stream) error {
		var in In
		if err := stream.MsgRecv(&in, jsonEncoding{}); err != nil {
			return err
		}
		out, err := answer(ctx, in)
		if err != nil {
			return err
		}
		return stream.MsgSend(out, jsonEncoding{})
	}
}

// HandleRPC implements drpc.Handler.
func (m *Mux) HandleRPC(stream drpc.Stream, rpc string) error {
	m.mu.RLock()
	h := m.handlers[rpc]
	m.mu.RUnlock()
	if h != nil {
		return h(stream.Context(), stream)
	}
	if m.next != nil {
		return m.next.HandleRPC(stream, rpc)
	}
	return rollout.NewError(rollout.KindNotFound, "method %q", rpc)
}
