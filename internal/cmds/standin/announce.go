package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const announceInterval = time.Second

// announcement is what an upstream tells the agent of its host.
type announcement struct {
	ID      string
	Kind    string
	Pool    string
	URL     string
	Slots   int
	Leaving bool
}

// announce repeats an announcement until the context ends.
func announce(ctx context.Context, agentURL string, an announcement) {
	data, _ := json.Marshal(an)
	client := &http.Client{Timeout: announceInterval}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, agentURL+"/announce", bytes.NewReader(data))
		if err != nil {
			return
		}
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}
