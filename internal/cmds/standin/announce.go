package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const announceInterval = time.Second

// announcement describes an upstream to the agent on its host.
type announcement struct {
	ID      string
	Kind    string
	Pool    string
	URL     string
	Slots   int
	Leaving bool
}

// announce sends an announcement every announceInterval until the context is done. Failures are
// ignored because the next announcement follows.
func announce(ctx context.Context, agentURL string, a announcement) {
	data, _ := json.Marshal(a)
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
