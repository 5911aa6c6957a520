// Package scorer asks the service that scores samples.
package scorer

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
	scorerTimeout  = 10 * time.Second
	maxScoreAnswer = 1 << 16
)

// Scorer asks a service for the score of a sample.
type Scorer struct {
	url    string
	client *http.Client
}

// Request names a sample and holds its text.
type Request struct {
	Group, Step string
	Index       int
	Text        string
}

// answer is what the service answers.
type answer struct{ Score float64 }

// New returns a scorer behind a URL. An empty one scores each sample zero.
func New(url string) *Scorer {
	return &Scorer{url: url, client: &http.Client{Timeout: scorerTimeout}}
}

// Score returns the score of a sample.
func (s *Scorer) Score(ctx context.Context, r Request) (float64, error) {
	if s.url == "" {
		return 0, nil
	}
	data, err := json.Marshal(r)
	if err != nil {
		return 0, rollout.NewError(rollout.KindInternal, "encode score request").WithCause(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/score", bytes.NewReader(data))
	if err != nil {
		return 0, rollout.NewError(rollout.KindInternal, "score request").WithCause(err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, rollout.NewError(rollout.KindUnavailable, "scorer").WithCause(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxScoreAnswer))
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, rollout.NewError(rollout.KindUnavailable, "scorer answered %d", resp.StatusCode).WithCause(err)
	}
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		return 0, rollout.NewError(rollout.KindUpstreamFailed, "scorer").WithCause(err)
	}
	return a.Score, nil
}
