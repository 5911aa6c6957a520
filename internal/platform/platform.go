// Package platform implements rollout.Platform: over HTTP, and only while a
// lease lasts.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// TimeoutMS bounds one call of the platform. The leader's lease
	// must outlast it at the moment of the write.
	TimeoutMS      = 300
	maxAnswerBytes = 1 << 16
)

// HTTP speaks the platform's HTTP interface.
type HTTP struct {
	url    string
	client *http.Client
}

// NewHTTP returns a platform behind a URL.
func NewHTTP(url string) *HTTP {
	return &HTTP{url: url, client: &http.Client{}}
}

// SendOrder implements rollout.Platform.
func (p *HTTP) SendOrder(ctx context.Context, o rollout.Order) error {
	return p.post(ctx, "/orders", o)
}

// SendUsage implements rollout.Platform.
func (p *HTTP) SendUsage(ctx context.Context, r rollout.UsageReport) error {
	return p.post(ctx, "/usage", r)
}

func (p *HTTP) post(ctx context.Context, path string, body any) error {
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
		return rollout.NewError(rollout.KindUnavailable, "platform").WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if resp.StatusCode != http.StatusOK {
		return rollout.NewError(rollout.KindUnavailable, "platform answered %d: %s", resp.StatusCode, text)
	}
	return nil
}

// Leased lets a call through only while the leader's lease outlasts
// it.
type Leased struct {
	next       rollout.Platform
	clock      rollout.Clock
	leaseUntil func() rollout.Millis
}

// NewLeased returns a platform that asks for the end of the lease before each
// call.
func NewLeased(next rollout.Platform, clock rollout.Clock, leaseUntil func() rollout.Millis) *Leased {
	return &Leased{next: next, clock: clock, leaseUntil: leaseUntil}
}

// SendOrder implements rollout.Platform.
func (p *Leased) SendOrder(ctx context.Context, o rollout.Order) error {
	return p.guard(ctx, func(ctx context.Context) error { return p.next.SendOrder(ctx, o) })
}

// SendUsage implements rollout.Platform.
func (p *Leased) SendUsage(ctx context.Context, r rollout.UsageReport) error {
	return p.guard(ctx, func(ctx context.Context) error { return p.next.SendUsage(ctx, r) })
}

func (p *Leased) guard(ctx context.Context, call func(context.Context) error) error {
	left := p.leaseUntil() - p.clock.Now()
	if left < TimeoutMS {
		return rollout.NewError(rollout.KindNotLeader, "lease ends in %d ms", left).WithNotRun()
	}
	ctx, cancel := context.WithTimeout(ctx, TimeoutMS*time.Millisecond)
	defer cancel()
	return call(ctx)
}
