// Package scorer is the client of the service that scores samples.
package scorer

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
	timeout          = 10 * time.Second
	maxResponseBytes = 1 << 16
)

// Scorer requests the score of a sample from a service.
type Scorer struct {
	url    string
	client *http.Client
}

// Request identifies a sample and holds its text.
type Request struct {
	Group, Step string
	Index       int
	Text        string
}

// response is the body of a response of the service.
type response struct{ Score float64 }

// New returns a scorer for the service at a URL. If the URL is empty, each sample
// gets the score 0.
func New(url string) *Scorer {
	client := upstream.NewClient(true)
	client.Timeout = timeout
	return &Scorer{url: url, client: client}
}

// Score returns the score of a sample.
func (s *Scorer) Score(ctx context.Context, r Request) (float64, error) {
	if s.url == "" {
		return 0, nil
	}
	data, err := json.Marshal(r)
	if err != nil {
		return 0, rollout.NewError(rollout.KindInternal, "encode score request for sample %d of step %s of group %s", r.Index, r.Step, r.Group).WithCause(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/score", bytes.NewReader(data))
	if err != nil {
		return 0, rollout.NewError(rollout.KindInternal, "create score request to %s", s.url).WithCause(err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, rollout.NewError(rollout.KindUnavailable, "send score request to %s", s.url).WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, rollout.NewError(rollout.KindUnavailable, "scorer %s returned HTTP status %d", s.url, resp.StatusCode).WithCause(err)
	}
	var scored response
	if err := json.Unmarshal(text, &scored); err != nil {
		return 0, rollout.NewError(rollout.KindUpstreamFailed, "decode response of scorer %s", s.url).WithCause(err)
	}
	return scored.Score, nil
}
