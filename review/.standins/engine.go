package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached an engine.
type arrival struct {
	engine, attempt string
	at              time.Time
	ended           time.Time
	complete        bool
}

// engine is a stand-in for an engine of a service.
type engine struct {
	c                       *cluster
	id, service, zone, addr string
	slots                   int
	born                    int64
	model                   string
	eventGap                time.Duration
	work                    func(attempt, path string) time.Duration
	events                  func(attempt string) int
	server                  *http.Server
	running                 atomic.Int64
	stopBeats               chan struct{}
	beatsDone               chan struct{}
	left                    atomic.Bool
	mu                      sync.Mutex
	seq                     uint64
	orders                  uint64
	busy                    bool
	version                 uint64
	arrivals                []*arrival
	url                     string
	// late is the announcement that the network delivers late.
	late []byte
}

func (c *cluster) newEngine(number int, service, zone string, slots int) *engine {
	return &engine{
		c: c, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, slots: slots, version: 1,
		addr: fmt.Sprintf("127.%d.1.%d:%d", c.subnet, number, enginePort), born: time.Now().UnixMilli(),
		stopBeats: make(chan struct{}), beatsDone: make(chan struct{}),
		work: func(string, string) time.Duration { return 25 * time.Millisecond },
	}
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	return nil
}

// exit ends the engine. Its connections are closed.
func (e *engine) exit() { _ = e.server.Close() }

// announcement returns the next announcement of the engine.
func (e *engine) announcement(state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	body := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"coldRemainingMs": 0, "seq": e.seq, "born": e.born,
	}
	if e.model != "" {
		body["stage"] = "both"
		body["models"] = []any{map[string]any{"name": e.model, "version": e.version, "adapters": []any{}}}
	}
	data, _ := json.Marshal(body)
	return data
}

// beat announces the engine every heartbeat, at the next control process after a failure.
func (e *engine) beat() {
	defer close(e.beatsDone)
	client := http.Client{Timeout: time.Second}
	for i := 0; ; {
		data := e.announcement("ready")
		for range 2 * len(e.c.fronts) {
			url := "http://" + e.c.controlAddress(i%len(e.c.fronts)) + "/api/instances/" + e.id
			if e.url != "" {
				url = e.url
			}
			req, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
			req.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(req)
			if err == nil {
				var reply struct {
					HeartbeatURL string `json:"heartbeatUrl"`
				}
				_ = json.NewDecoder(resp.Body).Decode(&reply)
				_ = resp.Body.Close()
				if resp.StatusCode/100 == 2 {
					e.url = reply.HeartbeatURL
					break
				}
			}
			e.url = ""
			i++
			select {
			case <-e.stopBeats:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		select {
		case <-e.stopBeats:
			return
		case <-time.After(heartbeat):
		}
	}
}

// leave sends the DELETE of the engine to a control process and returns once it is acknowledged.
// The engine sends no announcement after it.
func (e *engine) leave(control string) error {
	close(e.stopBeats)
	<-e.beatsDone
	e.late = e.announcement("ready")
	e.left.Store(true)
	client := http.Client{Timeout: time.Second}
	req, _ := http.NewRequest(http.MethodDelete, "http://"+control+"/api/instances/"+e.id, nil)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("DELETE of %s got %d", e.id, resp.StatusCode)
	}
	return nil
}

// sendLate delivers the last announcement that the engine sent before its DELETE, which was
// held up on its way, to the first control process that takes it.
func (e *engine) sendLate() (status int, err error) {
	client := http.Client{Timeout: time.Second}
	for i := range e.c.fronts {
		req, _ := http.NewRequest(http.MethodPut, "http://"+e.c.controlAddress(i)+"/api/instances/"+e.id, bytes.NewReader(e.late))
		req.Header.Set("Content-Type", "application/json")
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			_ = resp.Body.Close()
			if status = resp.StatusCode; status/100 == 2 {
				return status, nil
			}
		}
	}
	return status, err
}

// crash ends the engine at once. It announces nothing any more, and its runs are lost.
func (e *engine) crash() {
	close(e.stopBeats)
	e.exit()
	e.c.rec.add("%s crashed", e.id)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if e.left.Load() {
		// The responses of an engine that leaves say so.
		w.Header().Set("Connection", "close")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Coltsfootspoke-Instance-Id", e.id)
	switch r.URL.Path {
	case "/api/report":
		e.report(w)
		return
	case "/api/order":
		e.order(w, r, body)
		return
	case "/healthz":
		w.WriteHeader(http.StatusOK)
		return
	}
	attempt := r.Header.Get("X-Coltsfootspoke-Attempt-Id")
	w.Header().Set("X-Coltsfootspoke-Attempt-Id", attempt)
	if expect := r.Header.Get("X-Coltsfootspoke-Expect-Instance"); expect != "" && expect != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	version, busy := e.version, e.busy
	e.mu.Unlock()
	if v := r.Header.Get("X-Coltsfootspoke-Expect-Version"); v != "" && v != strconv.FormatUint(version, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy || e.running.Add(1) > int64(e.slots) {
		if !busy {
			e.running.Add(-1)
		}
		w.Header().Set("X-Coltsfootspoke-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	a := &arrival{engine: e.id, attempt: attempt, at: time.Now()}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	e.c.rec.add("%s runs %s, Last-Event-Id %q", e.id, attempt, r.Header.Get("Last-Event-Id"))
	defer func() {
		e.mu.Lock()
		a.ended = time.Now()
		e.mu.Unlock()
		e.c.rec.add("%s ended %s, complete %v", e.id, attempt, a.complete)
	}()
	w.Header().Set("X-Coltsfootspoke-Response-Stamp", fmt.Sprintf("%s.%s.%d", e.id, attempt, a.at.UnixNano()))
	if e.events != nil {
		e.stream(w, r, a, version)
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(e.work(attempt, r.URL.Path)):
	}
	answer := []byte("answer of " + e.id + " to " + attempt + "\n")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if _, err := w.Write(answer); err == nil {
		a.complete = true
	}
}

// eventData is the data of an event of an item. It depends on the item and the number only.
func eventData(attempt string, n int) string { return fmt.Sprintf("%s-%03d", attempt, n) }

// stream answers with the events of an item, after the one that the request names.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, a *arrival, version uint64) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Coltsfootspoke-Weight-Versions", strconv.FormatUint(version, 10))
	rc := http.NewResponseController(w)
	for n := from + 1; n <= e.events(a.attempt); n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.eventGap):
		}
		e.mu.Lock()
		now := e.version
		e.mu.Unlock()
		line := ""
		if now != version {
			version = now
			line = fmt.Sprintf("x-coltsfootspoke-weight-versions: %d\n", now)
		}
		if _, err := fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", line, n, eventData(a.attempt, n)); err != nil {
			return
		}
		if rc.Flush() != nil {
			return
		}
	}
	a.complete = true
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	body := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": e.model, "version": e.version, "adapters": []any{}}},
		"busy": e.busy, "seq": e.orders, "queued": 0, "running": e.running.Load(), "kvUsed": 0, "kvTotal": 44875, "handles": 0,
	}
	e.mu.Unlock()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// order changes the weight version after 0.9 s. Runs go on, as with the mode retain.
func (e *engine) order(w http.ResponseWriter, r *http.Request, body []byte) {
	var o struct {
		Model    string  `json:"model"`
		Version  uint64  `json:"version"`
		Holder   string  `json:"holder"`
		Fence    uint64  `json:"fence"`
		Expected *uint64 `json:"expected"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 || o.Model != e.model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := r.Header.Get("X-Coltsfootspoke-Expect-Instance"); expect != "" && expect != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Version == e.version:
		w.WriteHeader(http.StatusOK)
	case e.busy || (o.Expected != nil && *o.Expected != e.orders):
		w.WriteHeader(http.StatusConflict)
	default:
		e.busy = true
		e.orders++
		w.WriteHeader(http.StatusAccepted)
		time.AfterFunc(900*time.Millisecond, func() {
			e.mu.Lock()
			e.busy, e.version = false, o.Version
			e.mu.Unlock()
		})
	}
}
