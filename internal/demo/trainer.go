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
	trainerTimeout = 10 * time.Second
	trainerPause   = 200 * time.Millisecond
	// repostInterval is the time after which a step without progress is asked
	// for again.
	repostInterval = 3 * time.Second
)

// Trainer pulls whole steps and may publish a weight version before each.
type Trainer struct {
	URLs      []string
	Key       string
	Group     string
	Steps     int
	Samples   int
	MaxTokens int
	// Publish announces a weight version before each step.
	Publish bool

	client *http.Client
	next   int
	cursor uint64
	result TrainerResult
}

// TrainerResult is what a trainer has received.
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

// Run pulls all steps.
func (t *Trainer) Run(ctx context.Context) (TrainerResult, error) {
	t.client = &http.Client{Timeout: trainerTimeout}
	for step := range t.Steps {
		if t.Publish {
			if err := t.publish(ctx, uint64(step+1)); err != nil {
				return t.result, err
			}
		}
		start := time.Now()
		if err := t.step(ctx, fmt.Sprintf("step-%d", step+1)); err != nil {
			return t.result, err
		}
		t.result.IdleMS += time.Since(start).Milliseconds()
		t.result.Steps++
	}
	return t.result, nil
}

func (t *Trainer) publish(ctx context.Context, version uint64) error {
	for {
		_, err := t.call(ctx, http.MethodPost, "/weights", map[string]uint64{"Version": version})
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(trainerPause)
	}
}

// step asks for a step until each of its samples has come once.
func (t *Trainer) step(ctx context.Context, name string) error {
	got := make(map[int]bool)
	var posted time.Time
	for len(got) < t.Samples {
		if ctx.Err() != nil {
			return fmt.Errorf("step %s: %d of %d samples: %w", name, len(got), t.Samples, ctx.Err())
		}
		if time.Since(posted) > repostInterval {
			posted = time.Now()
			if err := t.post(ctx, name); err != nil {
				time.Sleep(trainerPause)
				posted = time.Time{}
				continue
			}
		}
		samples, err := t.pull(ctx)
		if err != nil {
			time.Sleep(trainerPause)
			continue
		}
		for _, s := range samples {
			t.take(s, name, got)
			posted = time.Now()
		}
	}
	return t.acknowledge(ctx)
}

func (t *Trainer) post(ctx context.Context, name string) error {
	_, err := t.call(ctx, http.MethodPost, "/steps", map[string]any{
		"Step": name, "Samples": t.Samples, "MaxTokens": t.MaxTokens,
		"Prompts": []string{"one lane, two queues: " + name, "a junction is closed: " + name, "a convoy comes: " + name},
	})
	return err
}

func (t *Trainer) pull(ctx context.Context) ([]trainerSample, error) {
	data, err := t.call(ctx, http.MethodGet, fmt.Sprintf("/samples?After=%d&Max=64&WaitMS=2000", t.cursor), nil)
	if err != nil {
		return nil, err
	}
	var answer struct{ Samples []trainerSample }
	return answer.Samples, json.Unmarshal(data, &answer)
}

// acknowledge tells that all was received.
func (t *Trainer) acknowledge(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := t.call(ctx, http.MethodGet, fmt.Sprintf("/samples?After=%d&Max=1", t.cursor), nil); err == nil {
			return nil
		}
		time.Sleep(trainerPause)
	}
	return ctx.Err()
}

func (t *Trainer) take(s trainerSample, step string, got map[int]bool) {
	if s.Position <= t.cursor {
		t.result.Repeated++
		return
	}
	t.cursor = s.Position
	if s.Void != "" {
		t.result.Void++
		got[s.Index] = got[s.Index] || (s.Void != "stale" && s.Void != "lost")
		return
	}
	if s.Step == step && got[s.Index] {
		t.result.Repeated++
	}
	got[s.Index] = true
	t.result.Samples++
	for _, v := range s.Versions {
		if t.result.OldestSeen == 0 || v < t.result.OldestSeen {
			t.result.OldestSeen = v
		}
		t.result.NewestSeen = max(t.result.NewestSeen, v)
	}
}

// call makes one request, and goes on to the next entry when it fails.
func (t *Trainer) call(ctx context.Context, method, path string, body any) ([]byte, error) {
	url := t.URLs[t.next%len(t.URLs)]
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
		t.next++
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.next++
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		t.next++
		return nil, fmt.Errorf("%s %s answered %d: %s", method, path, resp.StatusCode, bytes.TrimSpace(data))
	}
	return data, nil
}
