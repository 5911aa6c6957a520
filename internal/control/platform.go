package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

const (
	// platformTimeoutMS bounds one call of the platform. The leader's lease
	// must outlast it at the moment of the write.
	platformTimeoutMS = 300
	jobsLength        = 64
	maxAnswerBytes    = 1 << 16
)

// platformJob is one order or one usage report.
type platformJob struct {
	name   string
	order  *rollout.Order
	report *rollout.UsageReport
	// after is committed once the platform has accepted the job.
	after ledger.Command
}

// httpPlatform speaks the platform's HTTP interface.
type httpPlatform struct {
	url    string
	client *http.Client
}

// newHTTPPlatform returns a platform behind a URL.
func newHTTPPlatform(url string) *httpPlatform {
	return &httpPlatform{url: url, client: &http.Client{}}
}

// SendOrder implements rollout.Platform.
func (p *httpPlatform) SendOrder(ctx context.Context, o rollout.Order) error {
	return p.post(ctx, "/orders", o)
}

// SendUsage implements rollout.Platform.
func (p *httpPlatform) SendUsage(ctx context.Context, r rollout.UsageReport) error {
	return p.post(ctx, "/usage", r)
}

func (p *httpPlatform) post(ctx context.Context, path string, body any) error {
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

// leasedPlatform lets a call through only while the leader's lease outlasts
// it.
type leasedPlatform struct {
	next       rollout.Platform
	clock      rollout.Clock
	leaseUntil func() rollout.Millis
}

// SendOrder implements rollout.Platform.
func (p *leasedPlatform) SendOrder(ctx context.Context, o rollout.Order) error {
	return p.guard(ctx, func(ctx context.Context) error { return p.next.SendOrder(ctx, o) })
}

// SendUsage implements rollout.Platform.
func (p *leasedPlatform) SendUsage(ctx context.Context, r rollout.UsageReport) error {
	return p.guard(ctx, func(ctx context.Context) error { return p.next.SendUsage(ctx, r) })
}

func (p *leasedPlatform) guard(ctx context.Context, call func(context.Context) error) error {
	left := p.leaseUntil() - p.clock.Now()
	if left < platformTimeoutMS {
		return rollout.NewError(rollout.KindNotLeader, "lease ends in %d ms", left).WithNotRun()
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeoutMS*time.Millisecond)
	defer cancel()
	return call(ctx)
}

// runPlatform carries out jobs until the context ends.
func runPlatform(ctx context.Context, platform rollout.Platform, jobs <-chan platformJob, done func(platformJob, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-jobs:
			if job.order != nil {
				done(job, platform.SendOrder(ctx, *job.order))
			} else {
				done(job, platform.SendUsage(ctx, *job.report))
			}
		}
	}
}
