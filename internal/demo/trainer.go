package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	trainerTimeout       = 10 * time.Second
	trainerRetryInterval = 200 * time.Millisecond
	// repostInterval is the time without progress after which a step is posted
	// again.
	repostInterval = 3 * time.Second
)

// Trainer is a trainer client that requests steps and pulls their samples.
type Trainer struct {
	URLs      []string
	Key       string
	Group     string
	Steps     int
	Samples   int
	MaxTokens int
	// Publish makes the trainer publish a weight version before each step.
	Publish bool

	client   *http.Client
	urlIndex int
	cursor   uint64
	result   TrainerResult
}

// TrainerResult counts the samples that a trainer has received.
type TrainerResult struct {
	Steps      int
	Samples    int
	Void       int
	Repeated   int
	IdleMS     int64
	OldestSeen uint64
	NewestSeen uint64
}

type trainerSample struct {
	Position uint64
	Step     string
	Index    int
	Versions []uint64
	Text     string
	Void     string
}

// Run requests all steps, one after the other, and pulls their samples.
func (t *Trainer) Run(ctx context.Context) (TrainerResult, error) {
	t.client = &http.Client{Timeout: trainerTimeout}
	for step := range t.Steps {
		if t.Publish {
			if err := t.publishVersion(ctx, uint64(step+1)); err != nil {
				return t.result, err
			}
		}
		start := time.Now()
		if err := t.runStep(ctx, fmt.Sprintf("step-%d", step+1)); err != nil {
			return t.result, err
		}
		t.result.IdleMS += time.Since(start).Milliseconds()
		t.result.Steps++
	}
	return t.result, nil
}

func (t *Trainer) publishVersion(ctx context.Context, version uint64) error {
	for {
		_, err := t.call(ctx, http.MethodPost, "/weights", map[string]uint64{"Version": version})
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(trainerRetryInterval)
	}
}

// runStep posts a step and pulls until each of its samples has been received. It
// posts the step again if there is no progress.
func (t *Trainer) runStep(ctx context.Context, name string) error {
	received := make(map[int]bool)
	var posted time.Time
	for len(received) < t.Samples {
		if ctx.Err() != nil {
			return fmt.Errorf("step %s: received %d of %d samples: %w", name, len(received), t.Samples, ctx.Err())
		}
		if time.Since(posted) > repostInterval {
			posted = time.Now()
			if err := t.postStep(ctx, name); err != nil {
				time.Sleep(trainerRetryInterval)
				posted = time.Time{}
				continue
			}
		}
		samples, err := t.pullSamples(ctx)
		if err != nil {
			time.Sleep(trainerRetryInterval)
			continue
		}
		for _, s := range samples {
			t.recordSample(s, name, received)
			posted = time.Now()
		}
	}
	return t.acknowledge(ctx)
}

func (t *Trainer) postStep(ctx context.Context, name string) error {
	_, err := t.call(ctx, http.MethodPost, "/steps", map[string]any{
		"Step": name, "Samples": t.Samples, "MaxTokens": t.MaxTokens,
		"Prompts": []string{"one lane, two queues: " + name, "a junction is closed: " + name, "a convoy comes: " + name},
	})
	return err
}

func (t *Trainer) pullSamples(ctx context.Context) ([]trainerSample, error) {
	data, err := t.call(ctx, http.MethodGet, fmt.Sprintf("/samples?After=%d&Max=64&WaitMS=2000", t.cursor), nil)
	if err != nil {
		return nil, err
	}
	var answer struct{ Samples []trainerSample }
	return answer.Samples, json.Unmarshal(data, &answer)
}

// acknowledge acknowledges all samples up to the cursor, by pulling after it.
func (t *Trainer) acknowledge(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := t.call(ctx, http.MethodGet, fmt.Sprintf("/samples?After=%d&Max=1", t.cursor), nil); err == nil {
			return nil
		}
		time.Sleep(trainerRetryInterval)
	}
	return ctx.Err()
}

// recordSample advances the cursor and counts a sample. It marks the index as
// received unless the sample is void as stale or lost, since such a sample is
// generated again.
func (t *Trainer) recordSample(s trainerSample, step string, received map[int]bool) {
	if s.Position <= t.cursor {
		t.result.Repeated++
		return
	}
	t.cursor = s.Position
	if s.Void != "" {
		t.result.Void++
		received[s.Index] = received[s.Index] || (s.Void != "stale" && s.Void != "lost")
		return
	}
	if s.Step == step && received[s.Index] {
		t.result.Repeated++
	}
	received[s.Index] = true
	t.result.Samples++
	for _, v := range s.Versions {
		if t.result.OldestSeen == 0 || v < t.result.OldestSeen {
			t.result.OldestSeen = v
		}
		t.result.NewestSeen = max(t.result.NewestSeen, v)
	}
}

// call sends one request. If it fails, the next call uses the next entry.
func (t *Trainer) call(ctx context.Context, method, path string, body any) ([]byte, error) {
	url := t.URLs[t.urlIndex%len(t.URLs)]
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url+"/v1/rollouts/"+t.Group+path, reader)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+t.Key)
	resp, err := t.client.Do(req)
	if err != nil {
		t.urlIndex++
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.urlIndex++
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		t.urlIndex++
		return nil, fmt.Errorf("%s %s returned status %d: %s", method, path, resp.StatusCode, bytes.TrimSpace(data))
	}
	return data, nil
}
