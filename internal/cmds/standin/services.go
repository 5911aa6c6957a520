package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// serviceCmd runs a service that counts how often it has run each request, by idempotency key.
type serviceCmd struct {
	ID     string        `required:""`
	Pool   string        `required:""`
	Listen string        `required:""`
	Agent  string        `required:""`
	Slots  int           `default:"16"`
	Delay  time.Duration `default:"2ms"`
}

type service struct {
	cmd       *serviceCmd
	mu        sync.Mutex
	runsByKey map[string]int
	running   int
	keysSeen  int
}

type serviceResponse struct {
	Service string
	Path    string
	Run     int
	Body    string
}

// Run implements the command.
func (c *serviceCmd) Run(ctx context.Context) error {
	s := &service{cmd: c, runsByKey: make(map[string]int)}
	go announce(ctx, c.Agent, announcement{
		ID: c.ID, Kind: "service", Pool: c.Pool, URL: "http://" + c.Listen, Slots: c.Slots,
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, upstreamStatus{Running: s.running, KeysSeen: s.keysSeen})
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, s.runsByKey)
	})
	mux.HandleFunc("/", s.handleRequest)
	return serve(ctx, c.Listen, mux)
}

// handleRequest runs a request and returns how often its idempotency key has run.
func (s *service) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runsByKey[id]++
	run := s.runsByKey[id]
	if containsCallerKey(r, body) {
		s.keysSeen++
	}
	s.mu.Unlock()
	time.Sleep(s.cmd.Delay)
	writeJSON(w, serviceResponse{Service: s.cmd.ID, Path: r.URL.Path, Run: run, Body: string(body)})
}

// weightStoreCmd runs a weight store that limits the number of reads per second.
type weightStoreCmd struct {
	Listen string `required:""`
	Bytes  int    `default:"65536"`
	Rate   int    `default:"4" help:"Reads per second."`
}

// Run implements the command.
func (c *weightStoreCmd) Run(ctx context.Context) error {
	var mu sync.Mutex
	var currentSecond int64
	var reads, total int
	mux := http.NewServeMux()
	mux.HandleFunc("GET /reads", func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		writeJSON(w, total)
	})
	mux.HandleFunc("GET /weights/{group}/{version}", func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		if now := time.Now().Unix(); now != currentSecond {
			currentSecond, reads = now, 0
		}
		reads++
		total++
		limited := reads > c.Rate
		mu.Unlock()
		if limited {
			http.Error(w, "too many reads", http.StatusTooManyRequests)
			return
		}
		_, _ = w.Write(make([]byte, c.Bytes))
	})
	return serve(ctx, c.Listen, mux)
}

// scorerCmd runs a scorer whose score is the number of words of the text.
type scorerCmd struct {
	Listen string `required:""`
}

// Run implements the command.
func (c *scorerCmd) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /score", func(w http.ResponseWriter, r *http.Request) {
		var req struct{ Text string }
		_ = json.NewDecoder(r.Body).Decode(&req)
		writeJSON(w, struct{ Score float64 }{float64(len(strings.Fields(req.Text)))})
	})
	return serve(ctx, c.Listen, mux)
}

// platformCmd runs the platform. It records the orders and usage reports that it receives, and
// counts those that violate the protocol.
type platformCmd struct {
	Listen string `required:""`
}

type platformOrder struct {
	ID, Action, FailureDomain, Pool, Upstream string
	Fencing                                   uint64
}

type platformUsage struct {
	Window uint64
	Lines  json.RawMessage
	Total  struct{ Requests, InputTokens, OutputTokens uint64 }
}

// platformState is the response to a state request.
type platformState struct {
	Orders []platformOrder
	Usage  []platformUsage
	// Changed counts the usage reports that repeated a window with other lines.
	Changed int
	// OldTerm counts the orders whose fencing token was lower than the highest received.
	OldTerm int
}

// Run implements the command.
func (c *platformCmd) Run(ctx context.Context) error {
	p := &platform{seenOrders: make(map[string]bool), linesByWindow: make(map[uint64]string)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", p.handleOrder)
	mux.HandleFunc("POST /usage", p.handleUsage)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, p.state)
	})
	return serve(ctx, c.Listen, mux)
}

type platform struct {
	mu    sync.Mutex
	state platformState
	// seenOrders holds the IDs of the orders received.
	seenOrders map[string]bool
	// linesByWindow holds the encoded lines of each usage window received.
	linesByWindow map[uint64]string
	// highestFencing is the highest fencing token received with an order.
	highestFencing uint64
}

// handleOrder records an order once. It rejects a fencing token lower than the highest received.
func (p *platform) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o platformOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Fencing < p.highestFencing {
		p.state.OldTerm++
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	p.highestFencing = o.Fencing
	if !p.seenOrders[o.ID] {
		p.seenOrders[o.ID] = true
		p.state.Orders = append(p.state.Orders, o)
	}
}

// handleUsage records the usage report of a window with the totals of its lines.
func (p *platform) handleUsage(w http.ResponseWriter, r *http.Request) {
	var u platformUsage
	if err := json.NewDecoder(r.Body).Decode(&u); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if first, ok := p.linesByWindow[u.Window]; ok {
		if first != string(u.Lines) {
			p.state.Changed++
		}
		return
	}
	p.linesByWindow[u.Window] = string(u.Lines)
	var lines []struct{ Requests, InputTokens, OutputTokens uint64 }
	_ = json.Unmarshal(u.Lines, &lines)
	for _, l := range lines {
		u.Total.Requests += l.Requests
		u.Total.InputTokens += l.InputTokens
		u.Total.OutputTokens += l.OutputTokens
	}
	p.state.Usage = append(p.state.Usage, u)
	_, _ = fmt.Fprintln(w, "ok")
}
