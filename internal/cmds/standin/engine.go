package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const bytesPerToken = 4

// engineCmd runs a model engine that returns placeholder tokens.
type engineCmd struct {
	ID            string        `required:""`
	Pool          string        `required:""`
	Listen        string        `required:"" help:"host:port"`
	Agent         string        `required:"" help:"URL of the agent's announce port."`
	Slots         int           `default:"8"`
	TokenTime     time.Duration `default:"1ms" help:"Time to generate one token."`
	SwapTime      time.Duration `default:"50ms" help:"Duration of a weight swap."`
	CrashOn       string        `help:"Crash on a request that contains this text."`
	FailSwaps     int           `help:"Number of weight swaps that fail before others succeed."`
	IgnoreFencing bool          `help:"Accept weight swaps with a stale fencing token."`
}

// engine is the state of a model engine.
type engine struct {
	cmd *engineCmd
	mu  sync.Mutex
	// versions holds the weight version served for each trainer group.
	versions       map[string]uint64
	highestFencing uint64
	running        int
	waiting        int
	// failedSwaps counts the weight swaps that failed because of FailSwaps.
	failedSwaps int
	// keysSeen counts the requests that contained a caller's key.
	keysSeen int
	slots    chan struct{}
}

// upstreamStatus is the response to a status request of the agent.
type upstreamStatus struct {
	Running  int
	Waiting  int
	Versions map[string]uint64
	KeysSeen int
}

type engineRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

type engineChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

type engineUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type engineChunk struct {
	Object        string         `json:"object"`
	Model         string         `json:"model"`
	Choices       []engineChoice `json:"choices"`
	WeightVersion uint64         `json:"weight_version"`
	Usage         *engineUsage   `json:"usage,omitempty"`
}

// Run implements the command.
func (c *engineCmd) Run(ctx context.Context) error {
	e := &engine{cmd: c, versions: make(map[string]uint64), slots: make(chan struct{}, c.Slots)}
	go announce(ctx, c.Agent, announcement{
		ID: c.ID, Kind: "engine", Pool: c.Pool, URL: "http://" + c.Listen, Slots: c.Slots,
	})
	return serve(ctx, c.Listen, e.handler())
}

func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.status()) })
	mux.HandleFunc("POST /weights", e.handleWeights)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	return mux
}

func (e *engine) status() upstreamStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := upstreamStatus{Running: e.running, Waiting: e.waiting, KeysSeen: e.keysSeen, Versions: make(map[string]uint64)}
	for g, v := range e.versions {
		st.Versions[g] = v
	}
	return st
}

// handleWeights swaps the weights of a trainer group. It rejects a fencing token lower than the
// highest received.
func (e *engine) handleWeights(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	group := r.URL.Query().Get("Group")
	version, _ := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	fencing, _ := strconv.ParseUint(r.URL.Query().Get("Fencing"), 10, 64)
	e.mu.Lock()
	stale := fencing < e.highestFencing && !e.cmd.IgnoreFencing
	e.highestFencing = max(e.highestFencing, fencing)
	e.mu.Unlock()
	if stale {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	time.Sleep(e.cmd.SwapTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failedSwaps < e.cmd.FailSwaps {
		e.failedSwaps++
		http.Error(w, "swap failed", http.StatusInternalServerError)
		return
	}
	e.versions[group] = version
}

// handleCompletion responds to a completion request once a slot is free.
func (e *engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var req engineRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.cmd.CrashOn != "" && strings.Contains(string(body), e.cmd.CrashOn) {
		os.Exit(1)
	}
	e.countExposedKey(r, body)
	e.addToCounter(&e.waiting, 1)
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		e.addToCounter(&e.waiting, -1)
		return
	}
	e.addToCounter(&e.waiting, -1)
	e.addToCounter(&e.running, 1)
	defer func() {
		<-e.slots
		e.addToCounter(&e.running, -1)
	}()
	e.generate(w, r, req, (len(req.Prompt)+len(req.Messages))/bytesPerToken)
}

// addToCounter adds d to one of the counters of the engine.
func (e *engine) addToCounter(counter *int, d int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*counter += d
}

// countExposedKey increments keysSeen if the request contains a caller's key. Entries must remove
// the key before they forward a request.
func (e *engine) countExposedKey(r *http.Request, body []byte) {
	if containsCallerKey(r, body) {
		e.addToCounter(&e.keysSeen, 1)
	}
}

// containsCallerKey reports whether a request contains a caller's key in its headers, URL or body.
func containsCallerKey(r *http.Request, body []byte) bool {
	text := string(body) + r.URL.String() + r.URL.Query().Encode()
	for name, values := range r.Header {
		text += name + strings.Join(values, " ")
	}
	return r.Header.Get("Authorization") != "" || strings.Contains(text, "cfs_")
}

func (e *engine) version(group string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[group]
}

// generate writes the tokens of a completion. Each chunk carries the weight version that the engine
// serves when it writes the chunk.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, req engineRequest, promptTokens int) {
	tokens := max(req.MaxTokens, 1)
	if !req.Stream {
		text, ok := e.generateText(r.Context(), tokens)
		if !ok {
			return
		}
		writeJSON(w, e.chunk(req.Model, text, &engineUsage{promptTokens, tokens}))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i := range tokens {
		if !sleep(r.Context(), e.cmd.TokenTime) {
			return
		}
		var usage *engineUsage
		if i == tokens-1 {
			usage = &engineUsage{promptTokens, tokens}
		}
		data, _ := json.Marshal(e.chunk(req.Model, fmt.Sprintf("t%d ", i), usage))
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		flusher.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// generateText returns the text of a completion, or false if the context is done first.
func (e *engine) generateText(ctx context.Context, tokens int) (string, bool) {
	var text strings.Builder
	for i := range tokens {
		if !sleep(ctx, e.cmd.TokenTime) {
			return "", false
		}
		_, _ = fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String(), true
}

func (e *engine) chunk(model, text string, usage *engineUsage) engineChunk {
	return engineChunk{
		Object: "text_completion", Model: model, Choices: []engineChoice{{Text: text}},
		WeightVersion: e.version(model), Usage: usage,
	}
}

// sleep waits for d and returns false if the context is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
