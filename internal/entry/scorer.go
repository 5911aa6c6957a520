package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	scorerTimeout  = 10 * time.Second
	maxScoreAnswer = 1 << 16
)

// scorer asks a service for the score of a sample.
type scorer struct {
	url    string
	client *http.Client
}

// scoreRequest and scoreAnswer are what the scorer service speaks.
type scoreRequest struct {
	Group, Step string
	Index       int
	Text        string
}

type scoreAnswer struct{ Score float64 }

func newScorer(url string) *scorer {
	return &scorer{url: url, client: &http.Client{Timeout: scorerTimeout}}
}

// score returns the score of a sample. Without a service it is zero.
func (s *scorer) score(ctx context.Context, r scoreRequest) (float64, error) {
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
	var a scoreAnswer
	if err := json.Unmarshal(text, &a); err != nil {
		return 0, rollout.NewError(rollout.KindUpstreamFailed, "scorer").WithCause(err)
	}
	return a.Score, nil
}

type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	samples  *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_requests_total", Help: "Requests of callers and trainers, by outcome.",
		}, []string{"outcome"}),
		samples: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfootspoke_samples_total", Help: "Attempts for samples, by outcome.",
		}, []string{"outcome"}),
	}
	m.registry.MustRegister(m.requests, m.samples)
	return m
}
