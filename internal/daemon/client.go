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
	callTimeout = 2 * time.Second
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
	// target is the address to call: the leader that a reply named last, or the
	// host that addressIndex selects.
	target       string
	addressIndex int
}

// NewClient returns a client of the control hosts.
func NewClient(dialer *link.Dialer, addresses []string) *Client {
	return &Client{dialer: dialer, addresses: addresses, target: addresses[0]}
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
			return nil, rollout.NewError(rollout.KindInternal, "decode result %d of %d", i+1, len(reply.Results)).WithCause(err)
		}
	}
	return results, nil
}

// Renew sends a renewal request. If the reply names another host as the leader,
// it sends the request once more, to that host.
func (c *Client) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewReply, error) {
	for try := 0; ; try++ {
		reply, err := callOnce(ctx, c, func(ctx context.Context, client wire.DRPCControlClient) (*wire.RenewReply, error) {
			return client.Renew(ctx, req)
		})
		if err == nil || try > 0 || !c.chooseTarget(err) {
			return reply, err
		}
	}
}

// address returns the address of the control host to call.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target
}

// chooseTarget sets the target after a failed call: to the leader that a NotLeader
// error names, if that is another configured address, or else to the next control
// host. It reports whether it chose a named leader.
func (c *Client) chooseTarget(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := rollout.ParseError(err.Error())
	address := strings.TrimPrefix(e.Message, "leader is ")
	if e.Kind == rollout.KindNotLeader && address != c.target && slices.Contains(c.addresses, address) {
		c.target = address
		return true
	}
	c.addressIndex++
	c.target = c.addresses[c.addressIndex%len(c.addresses)]
	return false
}

// callOnce calls the target once and waits up to callTimeout for its reply.
func callOnce[R any](ctx context.Context, c *Client, call func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, wire.NewDRPCControlClient(c.dialer.Conn(ctx, c.address())))
}

// callLeader retries until a leader answers or the context is done. NotLeader,
// Unavailable and Storage errors are retried; any other error is returned.
func callLeader[R any](ctx context.Context, c *Client, call func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	for {
		r, err := callOnce(ctx, c, call)
		if err == nil {
			return r, nil
		}
		e := rollout.ParseError(err.Error())
		if e.Kind != rollout.KindNotLeader && e.Kind != rollout.KindUnavailable && e.Kind != rollout.KindStorage {
			return r, e
		}
		delay := retryDelay
		if c.chooseTarget(err) {
			delay = redirectDelay
		}
		select {
		case <-ctx.Done():
			return r, rollout.NewError(rollout.KindUnavailable, "no leader answered among the control hosts %s", strings.Join(c.addresses, ", ")).WithCause(e)
		case <-time.After(delay):
		}
	}
}
