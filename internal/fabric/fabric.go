// Package fabric provides remote procedure calls between the processes of a
// deployment. Methods are called by name, with JSON bodies, over authenticated DRPC
// connections.
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

// maxKeptBytes is the size up to which a connection keeps its buffer.
const maxKeptBytes = 1 << 20

// packer is shared by all connections because it keeps no state between bodies.
var packer = pack.New()

// Packer returns the packer of the connections, for bodies that are packed once and
// sent often.
func Packer() *pack.Packer { return packer }

// jsonEncoding implements drpc.Encoding with JSON that is packed by packer.
type jsonEncoding struct{}

// Encoded is a body that is encoded once and may be sent several times.
type Encoded struct{ packed []byte }

// Encode encodes a body.
func Encode(body any) (Encoded, error) {
	packed, err := jsonEncoding{}.Marshal(body)
	return Encoded{packed}, err
}

// selfEncoder is a body that may be large and encodes itself in less memory than the encoder of
// the standard library takes.
type selfEncoder interface{ EncodeJSON() ([]byte, error) }

// Marshal implements drpc.Encoding.
func (e jsonEncoding) Marshal(msg drpc.Message) ([]byte, error) { return e.MarshalAppend(nil, msg) }

// MarshalAppend appends a message to a buffer, which connections use again. A large buffer is
// not kept for small messages.
func (jsonEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	if cap(buf) > maxKeptBytes && len(buf) == 0 {
		buf = nil
	}
	if encoded, ok := msg.(Encoded); ok {
		if len(buf) == 0 && cap(encoded.packed) > maxKeptBytes {
			// The connection does not write to a buffer of this size again.
			return encoded.packed, nil
		}
		return append(buf, encoded.packed...), nil
	}
	data, err := encodeJSON(msg)
	if err != nil {
		return nil, rollout.NewError(rollout.KindInternal, "encode body").WithCause(err)
	}
	return packer.AppendPack(buf, data), nil
}

func encodeJSON(msg drpc.Message) ([]byte, error) {
	if large, ok := msg.(selfEncoder); ok {
		return large.EncodeJSON()
	}
	return json.Marshal(msg)
}

// Unmarshal implements drpc.Encoding.
func (jsonEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	data, err := packer.Unpack(buf)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, msg); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "decode body of %d bytes", len(data)).WithCause(err)
	}
	return nil
}

// Client calls methods of other processes.
type Client struct {
	dialer *link.Dialer
}

// NewClient returns a client that uses the connections of a dialer.
func NewClient(dialer *link.Dialer) *Client { return &Client{dialer: dialer} }

// Call calls a method of the process at an address. If NotRun of the error is true,
// the call was not sent.
func (c *Client) Call(ctx context.Context, address, method string, in, out any) error {
	if address == "" {
		return rollout.NewError(rollout.KindUnavailable, "no address for %s", method).WithNotRun()
	}
	err := c.dialer.Conn(ctx, address).Invoke(ctx, method, jsonEncoding{}, in, out)
	if err == nil {
		return nil
	}
	var typed *rollout.Error
	if errors.As(err, &typed) {
		return typed
	}
	if ctx.Err() != nil {
		return rollout.NewError(rollout.KindDeadlineExceeded, "no reply to %s from %s", method, address).WithCause(err)
	}
	return rollout.ParseError(err.Error())
}

// Renew makes the next calls to an address open new connections.
func (c *Client) Renew(address string) { c.dialer.Renew(address) }

// handler handles the calls of one method.
type handler func(ctx context.Context, stream drpc.Stream) error

// Mux dispatches calls to the handlers of their methods. It passes calls of unknown
// methods to the next handler.
type Mux struct {
	next drpc.Handler

	mu       sync.RWMutex
	handlers map[string]handler
}

// NewMux returns a Mux without methods. If next is nil, calls of unknown methods
// fail with KindNotFound.
func NewMux(next drpc.Handler) *Mux {
	return &Mux{next: next, handlers: make(map[string]handler)}
}

// Handle registers the handler of a method. A nil reply is sent as JSON null.
func Handle[In, Out any](m *Mux, method string, handle func(context.Context, In) (Out, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[method] = func(ctx context.Context, stream drpc.Stream) error {
		var in In
		if err := stream.MsgRecv(&in, jsonEncoding{}); err != nil {
			return err
		}
		out, err := handle(ctx, in)
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
	return rollout.NewError(rollout.KindNotFound, "unknown method %q", rpc)
}
