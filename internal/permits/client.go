// Package permits asks the leader of control for permits to send requests to upstreams
// that name a limit.
package permits

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/limit"
)

// MethodAsk is the call by which a host asks for permits.
const MethodAsk = "Control.AskPermits"

const (
	// askTimeout spans many round trips between failure domains.
	askTimeout = 300 * time.Millisecond
	// minAskInterval bounds the calls of a host whose requests wait.
	minAskInterval = 10 * time.Millisecond
	// retryInterval is the interval of attempts to reach the leader.
	retryInterval = 100 * time.Millisecond
)

// Request asks for permits.
type Request struct {
	Host  string
	Wants []limit.Want
}

// Reply grants permits.
type Reply struct {
	Grants []limit.Grant
	// Hosts is the number of hosts that share the limits.
	Hosts int
}

// Options configures a Client.
type Options struct {
	Host   string
	Gate   *limit.Gate
	Clock  rollout.Clock
	Client *fabric.Client
	// Leader returns the address of the leader of control, or an empty string.
	Leader func() string
	Log    *zap.Logger
}

// globalRandom uses the global generator.
type globalRandom struct{}

// Int64N implements rollout.Random.
func (globalRandom) Int64N(n int64) int64 { return rand.Int64N(n) }

// Client asks for the permits that a gate lacks.
type Client struct{ opts Options }

// New returns a client.
func New(opts Options) *Client { return &Client{opts} }

// Run asks for permits until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-c.opts.Gate.Wake():
		}
		for ctx.Err() == nil && c.opts.Gate.Tick() {
			interval := time.Duration(limit.AskInterval(globalRandom{})) * time.Millisecond
			if err := c.ask(ctx); err != nil {
				c.opts.Log.Info("PermitsNotReached", zap.Error(err))
				interval = retryInterval
			}
			c.pause(ctx, interval)
		}
	}
	return nil
}

// pause waits for an interval, or until there are new wants.
func (c *Client) pause(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(minAskInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	timer.Reset(interval - minAskInterval)
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.opts.Gate.Wake():
	}
}

func (c *Client) ask(ctx context.Context) error {
	wants, must := c.opts.Gate.Ask()
	if !must {
		return nil
	}
	leader := c.opts.Leader()
	if leader == "" {
		return rollout.NewError(rollout.KindUnavailable, "no leader of control is known")
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sentMS := c.opts.Clock.Now()
	var reply Reply
	if err := c.opts.Client.Call(ctx, leader, MethodAsk, Request{Host: c.opts.Host, Wants: wants}, &reply); err != nil {
		return err
	}
	c.opts.Gate.Apply(sentMS, wants, reply.Grants, reply.Hosts)
	return nil
}
