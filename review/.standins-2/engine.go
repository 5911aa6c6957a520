package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerID       = "X-Coltsfootspoke-Attempt-Id"
	headerStamp    = "X-Coltsfootspoke-Response-Stamp"
	headerExpect   = "X-Coltsfootspoke-Expect-Instance"
	headerVersion  = "X-Coltsfootspoke-Expect-Version"
	headerVersions = "X-Coltsfootspoke-Weight-Versions"
	headerNotRun   = "X-Coltsfootspoke-Not-Executed"
	announceEvery  = 1200 * time.Millisecond
)

// run is a request that reached an engine.
type run struct {
	id, path, lastEventID string
	at                    time.Time
	began                 bool
	status                int
}

// engine is a stand-in of a server. It checks what the pages say that servers check, queues
// beyond its slots, and announces itself.
type engine struct {
	id, service, zone, address string
	slots, queue               int
	model                      string
	// serve runs a request that was admitted. It returns the raw response, or false to close
	// the connection without one.
	serve func(e *engine, r *http.Request, body []byte, out io.Writer) bool

	listener net.Listener
	rec      *record
	free     chan struct{}

	mu      sync.Mutex
	waiting int
	runs    []run
	version uint64
	orders  uint64
	seq     uint64
	born    int64
}

// addEngine starts an engine on its own loopback address.
func (c *cluster) addEngine(e *engine) (*engine, error) {
	n := len(c.engines)
	l, err := net.Listen("tcp", c.engineIP(n)+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errNotRunnable, err)
	}
	e.id, e.zone, e.address, e.listener, e.rec = fmt.Sprintf("i-%s-%d", e.service, n), c.zones[n%3], l.Addr().String(), l, c.rec
	e.free, e.version, e.born = make(chan struct{}, e.slots), 1, time.Now().UnixMilli()
	c.engines = append(c.engines, e)
	go e.accept()
	go e.announce(c)
	return e, nil
}

func (e *engine) close() { _ = e.listener.Close() }

func (e *engine) announce(c *cluster) {
	for i := 0; ; i++ {
		e.mu.Lock()
		e.seq++
		body := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "coldRemainingMs": 0, "stage": "both", "seq": e.seq, "born": e.born}
		if e.model != "" {
			body["models"] = []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
		}
		e.mu.Unlock()
		data, _ := json.Marshal(body)
		for try := range 3 {
			resp, _, err := do(newRequest("PUT", "http://"+c.control((i+try)%3)+"/api/instances/"+e.id, string(data), map[string]string{"Content-Type": "application/json"}), time.Second)
			if err == nil && resp.StatusCode/100 == 2 {
				break
			}
		}
		select {
		case <-c.stop:
			return
		case <-time.After(announceEvery):
		}
	}
}

// reply is a connection to which responses are written.
type reply struct {
	io.Writer
	// extra is a response that is sent where the next one is expected.
	extra string
}

// sendLater sends a response a second time, where the next one on its connection is expected.
func (e *engine) sendLater(out io.Writer, response string) { out.(*reply).extra = response }

func (e *engine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

// serveConn serves one connection: one request at a time, with raw responses.
func (e *engine) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	out := &reply{Writer: conn}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if out.extra != "" {
			e.rec.line("%s answers a second time, where the response to %s is expected", e.id, r.Header.Get(headerID))
			_, _ = io.WriteString(conn, out.extra)
			out.extra = ""
		}
		if !e.handle(r, body, out) {
			return
		}
	}
}

func respond(out io.Writer, id string, status int, header, body string) {
	echo := ""
	if id != "" {
		echo = headerID + ": " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), echo, header, len(body), body)
}

// handle answers a request. It returns false if the connection is to be closed.
func (e *engine) handle(r *http.Request, body []byte, out io.Writer) bool {
	id := r.Header.Get(headerID)
	notRun := headerNotRun + ": 1\r\n"
	if want := r.Header.Get(headerExpect); want != "" && want != e.id {
		respond(out, id, http.StatusMisdirectedRequest, notRun, "")
		return true
	}
	switch r.URL.Path {
	case "/healthz":
		respond(out, "", http.StatusOK, "X-Coltsfootspoke-Instance-Id: "+e.id+"\r\n", "")
		return true
	case "/api/report":
		e.mu.Lock()
		text := fmt.Sprintf(`{"stage":"both","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":false,"seq":%d,"queued":0,"running":0,"kvUsed":0,"kvTotal":90000,"handles":0}`, e.model, e.version, e.orders)
		e.mu.Unlock()
		respond(out, "", http.StatusOK, "X-Coltsfootspoke-Instance-Id: "+e.id+"\r\nContent-Type: application/json\r\n", text)
		return true
	case "/api/order":
		var o struct {
			Version  uint64 `json:"version"`
			Expected uint64 `json:"expected"`
		}
		_ = json.Unmarshal(body, &o)
		e.mu.Lock()
		status := http.StatusAccepted
		switch {
		case o.Version == e.version:
			status = http.StatusOK
		case o.Expected != e.orders:
			status = http.StatusConflict
		default:
			e.orders++
			e.version = o.Version
		}
		e.mu.Unlock()
		respond(out, "", status, "", "{}")
		return true
	}
	if id == "" {
		respond(out, "", http.StatusBadRequest, notRun, "")
		return true
	}
	if want := r.Header.Get(headerVersion); want != "" {
		e.mu.Lock()
		has := strconv.FormatUint(e.version, 10)
		e.mu.Unlock()
		if want != has {
			respond(out, id, http.StatusMisdirectedRequest, notRun, "")
			return true
		}
	}
	e.mu.Lock()
	index := len(e.runs)
	e.runs = append(e.runs, run{id: id, path: r.URL.Path, lastEventID: r.Header.Get("Last-Event-Id"), at: time.Now()})
	if e.waiting >= e.slots+e.queue {
		e.mu.Unlock()
		respond(out, id, http.StatusServiceUnavailable, notRun, "")
		return true
	}
	e.waiting++
	e.mu.Unlock()
	e.free <- struct{}{}
	e.mu.Lock()
	e.runs[index].began = true
	e.mu.Unlock()
	defer func() {
		<-e.free
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	return e.serve(e, r, body, out)
}

// runsOf returns the requests with an ID that reached the engine.
func (e *engine) runsOf(match func(run) bool) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []run
	for _, r := range e.runs {
		if match(r) {
			found = append(found, r)
		}
	}
	return found
}

// weightVersion returns the version of the weights that the engine has.
func (e *engine) weightVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// streamEvents returns a handler that generates a text of a number of events. It goes on after
// the event that the request names, and stops when the connection closes.
func streamEvents(events int, pause time.Duration) func(*engine, *http.Request, []byte, io.Writer) bool {
	return func(e *engine, r *http.Request, _ []byte, out io.Writer) bool {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		_, err := fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp.%s.%d\r\n%s: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			headerID, r.Header.Get(headerID), headerStamp, e.id, time.Now().UnixNano(), headerVersions, e.weightVersion())
		for i := from + 1; err == nil && i <= events; i++ {
			time.Sleep(pause)
			event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, r.Header.Get(headerID), i)
			_, err = fmt.Fprintf(out, "%x\r\n%s\r\n", len(event), event)
		}
		if err != nil {
			return false
		}
		_, err = io.WriteString(out, "0\r\n\r\n")
		return err == nil
	}
}
