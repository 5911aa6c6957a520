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
	// retryPause is the time between rounds over the control hosts.
	retryPause = 100 * time.Millisecond
	// redirectPause is the time before a call goes to the leader just named.
	redirectPause = 2 * time.Millisecond
)

// Client calls the leader among the control hosts.
type Client struct {
	dialer    *link.Dialer
	addresses []string

	mu sync.Mutex
	// current is the address that answered last.
	current string
	next    int
}

// NewClient returns a client of the control hosts.
func NewClient(dialer *link.Dialer, addresses []string) *Client {
	return &Client{dialer: dialer, addresses: addresses, current: addresses[0]}
}

// Execute runs a statement of an operator.
func (c *Client) Execute(ctx context.Context, req *wire.ExecuteRequest) (*wire.ExecuteReply, error) {
	return callLeader(ctx, c, func(ctx context.Context, client wire.DRPCControlClient) (*wire.ExecuteReply, error) {
		return client.Execute(ctx, req)
	})
}

// Propose commits commands and returns their results. All commands of daemons
// may be sent again, so it tries until the context ends.
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

// Renew asks once for a confirmation, and once more when another host leads.
func (c *Client) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewReply, error) {
	for try := 0; ; try++ {
		reply, err := attempt(ctx, c, func(ctx context.Context, client wire.DRPCControlClient) (*wire.RenewReply, error) {
			return client.Renew(ctx, req)
		})
		if err == nil || try > 0 || !c.learn(err) {
			return reply, err
		}
	}
}

// address returns the host to call.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// learn takes the leader's address from a refusal, or goes on to the next
// host. It tells whether the leader is known.
func (c *Client) learn(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := rollout.ParseError(err.Error())
	address := strings.TrimPrefix(e.Message, "leader is ")
	if e.Kind == rollout.KindNotLeader && address != c.current && slices.Contains(c.addresses, address) {
		c.current = address
		return true
	}
	c.next++
	c.current = c.addresses[c.next%len(c.addresses)]
	return false
}

func attempt[R any](ctx context.Context, c *Client, call func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, wire.NewDRPCControlClient(c.dialer.Conn(ctx, c.address())))
}

// callLeader tries until a leader answers or the context ends. A refusal by a
// leader is final.
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
		pause := retryPause
		if c.learn(err) {
			pause = redirectPause
		}
		select {
		case <-ctx.Done():
			return r, rollout.NewError(rollout.KindUnavailable, "no control host in charge answered").WithCause(e)
		case <-time.After(pause):
		}
	}
}
