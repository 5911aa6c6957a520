package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

const (
	attemptTimeout = 2 * time.Second
	// retryDelay is the delay before the next control host is tried.
	retryDelay = 100 * time.Millisecond
	// redirectDelay is the delay before a call is sent to the leader that the
	// last reply named.
	redirectDelay = 2 * time.Millisecond
)

// Client calls the leader of the control hosts.
type Client struct {
	dialer    *link.Dialer
	addresses []string

	mu sync.Mutex
	// current is the address to call: the leader that a reply named last, or the
	// host that nextIndex selects.
	current   string
	nextIndex int
}

// NewClient returns a client of the control hosts.
func NewClient(dialer *link.Dialer, addresses []string) *Client {
	return &Client{dialer: dialer, addresses: addresses, current: addresses[0]}
}

// Execute runs an operator's statement.
func (c *Client) Execute(ctx context.Context, req *wire.ExecuteRequest) (*wire.ExecuteReply, error) {
	return callLeader(ctx, c, func(ctx context.Context, client wire.DRPCControlClient) (*wire.ExecuteReply, error) {
		return client.Execute(ctx, req)
	})
}

// Propose commits commands and returns their results. It retries until the
// context is done, which is safe because all commands of daemons may be repeated.
func (c *Client) Propose(ctx context.Context, cmds ...ledger.Command) ([]ledger.Result, error) {
	req := &wire.ProposeRequest{}
	for _, cmd := range cmds {
		data, err := json.Marshal(cmd)
		if err != nil {
			return nil, rollout.NewError(rollout.KindInternal, "encode command").WithCause(err)
		}
		req.Commands = append(req.Commands, data)
	}
	reply, err := callLeader(ctx, c, func(ctx context.Context, client wire.DRPCControlClient) (*wire.ProposeReply, error) {
		return client.Propose(ctx, req)
	})
	if err != nil {
		return nil, err
	}
	results := make([]ledger.Result, len(reply.Results))
	for i, data := range reply.Results {
		if err := json.Unmarshal(data, &results[i]); err != nil {
			return nil, rollout.NewError(rollout.KindInternal, "decode result").WithCause(err)
		}
	}
	return results, nil
}

// Renew sends a renewal request. If the reply names another host as the leader,
// it sends the request once more, to that host.
func (c *Client) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewReply, error) {
	for try := 0; ; try++ {
		reply, err := attempt(ctx, c, func(ctx context.Context, client wire.DRPCControlClient) (*wire.RenewReply, error) {
			return client.Renew(ctx, req)
		})
		if err == nil || try > 0 || !c.updateLeader(err) {
			return reply, err
		}
	}
}

// address returns the address of the control host to call.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// updateLeader switches to the leader that a NotLeader error names, or to the
// next control host if it names none other than the current one. It reports
// whether it switched to a named leader.
func (c *Client) updateLeader(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := rollout.ParseError(err.Error())
	address := strings.TrimPrefix(e.Message, "leader is ")
	if e.Kind == rollout.KindNotLeader && address != c.current && slices.Contains(c.addresses, address) {
		c.current = address
		return true
	}
	c.nextIndex++
	c.current = c.addresses[c.nextIndex%len(c.addresses)]
	return false
}

func attempt[R any](ctx context.Context, c *Client, call func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, wire.NewDRPCControlClient(c.dialer.Conn(ctx, c.address())))
}

// callLeader retries until a leader answers or the context is done. NotLeader,
// Unavailable and Storage errors are retried; any other error is returned.
func callLeader[R any](ctx context.Context, c *Client, call func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	for {
		r, err := attempt(ctx, c, call)
		if err == nil {
			return r, nil
		}
		e := rollout.ParseError(err.Error())
		if e.Kind != rollout.KindNotLeader && e.Kind != rollout.KindUnavailable && e.Kind != rollout.KindStorage {
			return r, e
		}
		delay := retryDelay
		if c.updateLeader(err) {
			delay = redirectDelay
		}
		select {
		case <-ctx.Done():
			return r, rollout.NewError(rollout.KindUnavailable, "no control leader answered").WithCause(e)
		case <-time.After(delay):
		}
	}
}
