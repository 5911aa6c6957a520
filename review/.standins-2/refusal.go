package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	orderEngines = 6
	// failedShare is the share of the requests that one engine of orderEngines fails.
	failedShare   = 0.45
	orderClients  = 6
	orderTime     = 30 * time.Second
	orderDeadline = "2000"
)

const orderConfig = `{"version":7,"routes":[
{"name":"r-orders","host":"ficu95.example","pathPrefix":"/lohu930/","type":"non_idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":2,"service":"wuno96b","maxAttempts":3}],
"services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["key-of-the-trainer-1"],"priority":1}]}`

// promises are the statuses that say that a request has not run.
var promises = map[int]bool{http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// orders holds what engines ran: the attempts, and how often each order.
type orders struct {
	mu       sync.Mutex
	attempts map[string]string
	runs     map[string]int
}

// refusal lets an engine fail some requests after it has run them. It counts the requests that
// are answered with a promise that they have not run.
func refusal(rec *record, trouble bool) (int, error) {
	c, err := newCluster(rec)
	if err != nil {
		return 0, err
	}
	defer c.close()
	ran := &orders{attempts: map[string]string{}, runs: map[string]int{}}
	for i := range orderEngines {
		e := &engine{service: "wuno96b", slots: 6, queue: 24}
		e.serve = func(e *engine, r *http.Request, body []byte, out io.Writer) bool {
			id, order := r.Header.Get(headerID), string(body)
			time.Sleep(25 * time.Millisecond)
			ran.mu.Lock()
			ran.attempts[id] = e.id
			ran.runs[order]++
			ran.mu.Unlock()
			stamp := fmt.Sprintf("%s: stamp.%s.%d\r\n", headerStamp, e.id, time.Now().UnixNano())
			if trouble && i == 0 && rand.Float64() < failedShare {
				rec.line("%s has run request %s of %s and answers 503 without %s", e.id, id, order, headerNotRun)
				respond(out, id, http.StatusServiceUnavailable, stamp, "the order is stored, its confirmation failed")
				return true
			}
			respond(out, id, http.StatusOK, stamp, "stored "+order)
			return true
		}
		if _, err := c.addEngine(e); err != nil {
			return 0, err
		}
	}
	if err := c.putConfig(orderConfig); err != nil {
		return 0, err
	}
	if err := c.awaitReady(); err != nil {
		return 0, err
	}
	if err := c.awaitOrders(); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	broken, sent := 0, 0
	var clients sync.WaitGroup
	for client := range orderClients {
		clients.Go(func() {
			for end, n := time.Now().Add(orderTime), 0; time.Now().Before(end); n++ {
				order := fmt.Sprintf("order-%d-%d", client, n)
				// A client tries again after a promise only, over a new connection.
				for try := range 2 {
					id := fmt.Sprintf("%08x%02x%02x%04x", rand.Uint32(), client, try, n)
					h := c.jobHeader(id)
					h["X-Coltsfootspoke-Deadline-Ms"] = orderDeadline
					resp, _, err := do(newRequest("POST", "http://"+c.entry((client+try)%3)+"/lohu930/2f", order, h), 3*time.Second)
					mu.Lock()
					sent++
					mu.Unlock()
					if err != nil || !promises[resp.StatusCode] {
						break
					}
					ran.mu.Lock()
					engine, hasRun := ran.attempts[id]
					ran.mu.Unlock()
					if hasRun {
						rec.line("request %s of %s is answered %d, and %s has run it", id, order, resp.StatusCode, engine)
						mu.Lock()
						broken++
						mu.Unlock()
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	doubled := 0
	ran.mu.Lock()
	for order, n := range ran.runs {
		if n > 1 && strings.HasPrefix(order, "order-") {
			doubled++
		}
	}
	ran.mu.Unlock()
	rec.line("%d requests were sent, %d were answered with a promise and have run, %d orders were stored twice", sent, broken, doubled)
	return broken, nil
}

// awaitOrders waits until requests are served at all entries.
func (c *cluster) awaitOrders() error {
	for end, i := time.Now().Add(startTimeout), 0; i < 3; {
		resp, _, err := do(newRequest("POST", "http://"+c.entry(i)+"/lohu930/2f", "warm-up", c.jobHeader(fmt.Sprintf("%016x", rand.Uint64()))), 3*time.Second)
		if err == nil && resp.StatusCode == http.StatusOK {
			i++
			continue
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: entry %d serves no orders", errNotRunnable, i)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}
