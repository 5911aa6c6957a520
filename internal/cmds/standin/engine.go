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

// engineCmd runs a model engine that makes up its tokens.
type engineCmd struct {
	ID            string        `required:""`
	Pool          string        `required:""`
	Listen        string        `required:"" help:"host:port"`
	Agent         string        `required:"" help:"URL of the agent's announce port."`
	Slots         int           `default:"8"`
	TokenTime     time.Duration `default:"1ms" help:"Time of one token."`
	SwapTime      time.Duration `default:"50ms" help:"Time of a weight swap."`
	CrashOn       string        `help:"Crash when a prompt holds this text."`
	FailSwaps     int           `help:"How many weight swaps fail first."`
	IgnoreFencing bool          `help:"Obey orders with an old fencing number."`
}

// engine is the state of a model engine.
type engine struct {
	cmd *engineCmd
	mu  sync.Mutex
	// versions holds the weight version of each trainer group.
	versions map[string]uint64
	fencing  uint64
	running  int
	waiting  int
	failed   int
	keysSeen int
	slots    chan struct{}
}

// engineStatus is what the agent asks for.
type engineStatus struct {
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

func (e *engine) status() engineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := engineStatus{Running: e.running, Waiting: e.waiting, KeysSeen: e.keysSeen, Versions: make(map[string]uint64)}
	for g, v := range e.versions {
		st.Versions[g] = v
	}
	return st
}

func (e *engine) handleWeights(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	group := r.URL.Query().Get("Group")
	version, _ := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	fencing, _ := strconv.ParseUint(r.URL.Query().Get("Fencing"), 10, 64)
	e.mu.Lock()
	old := fencing < e.fencing && !e.cmd.IgnoreFencing
	e.fencing = max(e.fencing, fencing)
	e.mu.Unlock()
	if old {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	time.Sleep(e.cmd.SwapTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failed < e.cmd.FailSwaps {
		e.failed++
		http.Error(w, "swap failed", http.StatusInternalServerError)
		return
	}
	e.versions[group] = version
}

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
	e.note(r, body)
	e.count(&e.waiting, 1)
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		e.count(&e.waiting, -1)
		return
	}
	e.count(&e.waiting, -1)
	e.count(&e.running, 1)
	defer func() {
		<-e.slots
		e.count(&e.running, -1)
	}()
	e.generate(w, r, req, (len(req.Prompt)+len(req.Messages))/bytesPerToken)
}

func (e *engine) count(n *int, d int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n += d
}

// note counts requests in which a caller's key is seen.
func (e *engine) note(r *http.Request, body []byte) {
	if showsKey(r, body) {
		e.count(&e.keysSeen, 1)
	}
}

// showsKey tells whether a request carries a caller's key anywhere.
func showsKey(r *http.Request, body []byte) bool {
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

// generate writes tokens. Each carries the weight version that made it.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, req engineRequest, prompt int) {
	tokens := max(req.MaxTokens, 1)
	if !req.Stream {
		text, ok := e.all(r.Context(), tokens)
		if !ok {
			return
		}
		writeJSON(w, e.chunk(req.Model, text, &engineUsage{prompt, tokens}))
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
			usage = &engineUsage{prompt, tokens}
		}
		data, _ := json.Marshal(e.chunk(req.Model, fmt.Sprintf("t%d ", i), usage))
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		flusher.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func (e *engine) all(ctx context.Context, tokens int) (string, bool) {
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
