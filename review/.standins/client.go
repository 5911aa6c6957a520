package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The names of the deployment that the cases use.
const (
	hostName  = "ficu95.example"
	key       = "2b9wu3fexd9dnn2ctnfz"
	tenant    = "huka270"
	plain     = "wuno96b"
	models    = "huvo11a"
	modelName = "daka510000"
)

var attempts atomic.Int64

// newAttempt returns an ID that no other client attempt has.
func newAttempt() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// configuration returns a configuration with one version.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-order","host":%[2]q,"pathPrefix":"/lohu930/","type":"non_idempotent","timeoutMs":10000,"targetLatencyMs":400,"priority":2,"service":%[3]q,"maxAttempts":2,"public":false},
{"name":"r-score","host":%[2]q,"pathPrefix":"/pufi791/","type":"idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":2,"service":%[3]q,"maxAttempts":4,"public":true},
{"name":"r-draft","host":%[2]q,"pathPrefix":"/pule252/","type":"rollout","timeoutMs":10000,"targetLatencyMs":400,"resultDeadlineMs":20000,"maxQueueS":60,"priority":1,"service":%[4]q,"maxAttempts":3,"public":false}],
"services":[
{"name":%[4]q,"healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":44875,"kvBytes":18432,"linkMbps":2900000.0,"moves":true,"backups":true,"stride":53,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":%[5]q}]}},
{"name":%[3]q,"healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":%[6]q,"apiKeys":[%[7]q],"priority":1}]}`, version, hostName, plain, models, modelName, tenant, key)
}

// withListRoute adds an idempotent route to a configuration.
func withListRoute(configuration string) string {
	route := fmt.Sprintf(`{"name":"r-list","host":%q,"pathPrefix":"/zebu55/","type":"idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":2,"service":%q,"maxAttempts":3,"public":false},`, hostName, plain)
	return strings.Replace(configuration, `"routes":[`, `"routes":[`+route, 1)
}

// ingress is the platform's address of a zone. It hands new connections to the entries that
// are in rotation: an entry is out after two failed probes until one succeeds.
type ingress struct {
	c      *cluster
	mu     sync.Mutex
	missed map[string]int
	stop   chan struct{}
}

func newIngress(c *cluster) *ingress {
	g := &ingress{c: c, missed: make(map[string]int), stop: make(chan struct{})}
	for _, h := range c.fronts {
		go g.probe(h)
	}
	return g
}

func (g *ingress) probe(h *host) {
	for {
		ready := g.c.ready(h)
		g.mu.Lock()
		g.missed[h.ip]++
		if ready {
			g.missed[h.ip] = 0
		}
		g.mu.Unlock()
		select {
		case <-g.stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns the entry for a client, other than one that it has just tried.
func (g *ingress) pick(client int, besides string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var in []string
	for _, h := range g.c.fronts {
		if g.missed[h.ip] < 2 && h.ip != besides {
			in = append(in, h.ip)
		}
	}
	if len(in) == 0 {
		return g.c.fronts[client%len(g.c.fronts)].ip
	}
	return in[client%len(in)]
}

// sent is one client attempt.
type sent struct {
	client    int
	attempt   string
	entry     string
	reused    bool
	at, wrote time.Time
	answered  time.Time
	status    int
	err       error
}

// caller is a client with one kept connection.
type caller struct {
	number    int
	entry     string
	transport *http.Transport
	rec       *record
	// closed is true once the kept connection was closed by the entry.
	closed atomic.Bool
	// asked is true if the last answer asked to close the connection.
	asked atomic.Bool
}

// watchedConn notes that its peer has closed it.
type watchedConn struct {
	net.Conn
	closed *atomic.Bool
}

// Read implements net.Conn.
func (c watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.closed.Store(true)
	}
	return n, err
}

func newCaller(rec *record, number int) *caller {
	k := &caller{number: number, rec: rec}
	dialer := net.Dialer{Timeout: time.Second}
	k.transport = &http.Transport{MaxConnsPerHost: 1, IdleConnTimeout: 12 * time.Second, DisableCompression: true}
	k.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		k.closed.Store(false)
		return watchedConn{conn, &k.closed}, nil
	}
	return k
}

// send sends a request with a path and a body of its own to an entry and reads the whole answer.
func (k *caller) send(entry, path string, deadline time.Duration) sent {
	attempt := newAttempt()
	return k.exchange(entry, http.MethodPost, path+attempt, attempt, "body of "+attempt, deadline)
}

// get sends a GET without a body.
func (k *caller) get(entry, path string, deadline time.Duration) sent {
	return k.exchange(entry, http.MethodGet, path, newAttempt(), "", deadline)
}

func (k *caller) exchange(entry, method, path, attempt, text string, deadline time.Duration) sent {
	s := sent{client: k.number, attempt: attempt, entry: entry, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+1500*time.Millisecond)
	defer cancel()
	var mu sync.Mutex
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { mu.Lock(); s.reused = i.Reused; mu.Unlock() },
		WroteRequest: func(httptrace.WroteRequestInfo) { mu.Lock(); s.wrote = time.Now(); mu.Unlock() },
	})
	req, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", entry, frontPort, path), nil)
	if text != "" {
		// Without GetBody the transport does not send the request again by itself.
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("X-Coltsfootspoke-Attempt-Id", s.attempt)
	req.Header.Set("X-Coltsfootspoke-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := k.transport.RoundTrip(req)
	if err == nil {
		s.status = resp.StatusCode
		k.asked.Store(resp.Close)
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	s.err, s.answered = err, time.Now()
	mu.Lock()
	defer mu.Unlock()
	k.rec.add("client %d sent %s at %d ms (written %d ms, kept connection %v) to %s: status %d, error %v", k.number, s.attempt, k.rec.at(s.at), k.rec.at(s.wrote), s.reused, entry, s.status, err)
	return s
}

// jobCall sends a call of a trainer on a new connection.
func jobCall(entry, method, path, attempt, body string, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", entry, frontPort, path), strings.NewReader(body))
	req.Host = hostName
	req.Header.Set("Authorization", "Token "+key)
	if attempt != "" {
		req.Header.Set("X-Coltsfootspoke-Attempt-Id", attempt)
	}
	if method == http.MethodGet {
		req.Header.Set("X-Coltsfootspoke-Wait-Ms", "1000")
	}
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// sendKept sends a request on the kept connection of the caller, or on a new one if the entry
// has closed it. It reports whether the answer asks to close the connection.
func (k *caller) sendKept(entry, path string, deadline time.Duration, pick func() string) (sent, bool) {
	if k.closed.Load() {
		entry = pick()
	}
	s := k.send(entry, path, deadline)
	return s, k.asked.Load()
}
