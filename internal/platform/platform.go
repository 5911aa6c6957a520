// Package platform implements rollout.Platform over HTTP, with a wrapper that
// permits calls only while the leader holds its lease.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/upstream"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// TimeoutMS is the time-out of a call to the platform. When the call starts,
	// the leader's lease must be valid for at least this long.
	TimeoutMS        = 300
	maxResponseBytes = 1 << 16
)

// HTTPClient calls the platform over HTTP. It implements rollout.Platform.
type HTTPClient struct {
	url    string
	client *http.Client
}

// NewHTTPClient returns a client of the platform at a URL.
func NewHTTPClient(url string) *HTTPClient {
	return &HTTPClient{url: url, client: upstream.NewClient(true)}
}

// SendOrder implements rollout.Platform.
func (p *HTTPClient) SendOrder(ctx context.Context, o rollout.Order) error {
	return p.post(ctx, "/orders", o)
}

// SendUsage implements rollout.Platform.
func (p *HTTPClient) SendUsage(ctx context.Context, r rollout.UsageReport) error {
	return p.post(ctx, "/usage", r)
}

func (p *HTTPClient) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err != nil {
		return rollout.NewError(rollout.KindUnavailable, "send %s request to platform", path).WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		return rollout.NewError(rollout.KindUnavailable, "platform returned HTTP status %d for %s: %s", resp.StatusCode, path, text)
	}
	return nil
}

// Leased forwards a call only if the leader's lease lasts at least as long as the
// time-out of the call.
type Leased struct {
	next       rollout.Platform
	clock      rollout.Clock
	leaseUntil func() rollout.Millis
}

// NewLeased returns a platform that forwards calls to next. Before each call it
// reads the end of the lease from leaseUntil.
func NewLeased(next rollout.Platform, clock rollout.Clock, leaseUntil func() rollout.Millis) *Leased {
	return &Leased{next: next, clock: clock, leaseUntil: leaseUntil}
}

// SendOrder implements rollout.Platform.
func (p *Leased) SendOrder(ctx context.Context, o rollout.Order) error {
	return p.callWithinLease(ctx, func(ctx context.Context) error { return p.next.SendOrder(ctx, o) })
}

// SendUsage implements rollout.Platform.
func (p *Leased) SendUsage(ctx context.Context, r rollout.UsageReport) error {
	return p.callWithinLease(ctx, func(ctx context.Context) error { return p.next.SendUsage(ctx, r) })
}

// callWithinLease runs a call with a time-out of TimeoutMS. It rejects the call
// with KindNotLeader if the lease could end before the time-out.
func (p *Leased) callWithinLease(ctx context.Context, call func(context.Context) error) error {
	left := p.leaseUntil() - p.clock.Now()
	if left < TimeoutMS {
		return rollout.NewError(rollout.KindNotLeader, "lease ends in %d ms, before the time-out of the call after %d ms", left, TimeoutMS).WithNotRun()
	}
	ctx, cancel := context.WithTimeout(ctx, TimeoutMS*time.Millisecond)
	defer cancel()
	return call(ctx)
}
