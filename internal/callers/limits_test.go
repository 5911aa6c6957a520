package callers_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/coltsfootspoke/coltsfootspoke/internal/callers"
	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

// shortLimits are limits that a test reaches soon.
func shortLimits() document.Limits {
	return document.Limits{HeaderBytes: 1_000, HeaderTimeoutMS: 200, IdleTimeoutMS: 400}
}

// startLimited starts a server with a handler that answers with the length of the body.
func startLimited(t *testing.T, opts callers.Options, body callers.BodyOptions) string {
	t.Helper()
	return startHandler(t, opts, func(w http.ResponseWriter, r *http.Request) {
		data, err := callers.ReadBody(r, body)
		if err != nil {
			http.Error(w, err.Error(), rollout.AsError(err).Kind.Response().Status)
			return
		}
		_, _ = fmt.Fprint(w, len(data))
	})
}

func startHandler(t *testing.T, opts callers.Options, handler http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := callers.NewServer(l, handler, opts)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// startFast is startLimited for a fasthttp server.
func startFast(t *testing.T, opts callers.Options, maxBytes int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{MaxRequestBodySize: maxBytes, Handler: func(rc *fasthttp.RequestCtx) {
		_, _ = fmt.Fprint(rc, len(rc.PostBody()))
	}}
	limited := callers.LimitFastHTTP(l, server, opts, func(rc *fasthttp.RequestCtx, err *rollout.Error) {
		rc.Error(err.Error(), err.Kind.Response().Status)
	})
	served := make(chan error, 1)
	go func() { served <- server.Serve(limited) }()
	t.Cleanup(func() {
		_ = server.Shutdown()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// eachServer runs a test with both kinds of servers.
func eachServer(t *testing.T, opts callers.Options, maxBytes int, test func(t *testing.T, address string)) {
	t.Helper()
	t.Run("net/http", func(t *testing.T) { test(t, startLimited(t, opts, callers.BodyOptions{MaxBytes: int64(maxBytes)})) })
	t.Run("fasthttp", func(t *testing.T) { test(t, startFast(t, opts, maxBytes)) })
}

func (c caller) write(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// read reads a response and returns its status and body.
func (c caller) read(t *testing.T) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func (c caller) assertAnswer(t *testing.T, status int, body string) {
	t.Helper()
	if got, text := c.read(t); got != status || (body != "" && text != body) {
		t.Fatalf("status %d, body %q, want %d and %q", got, text, status, body)
	}
}

// assertCut checks that the connection ends, in order or not.
func (c caller) assertCut(t *testing.T) {
	t.Helper()
	_, err := io.Copy(io.Discard, c.reader)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatal("the connection is still open")
	}
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	t.Parallel()
	eachServer(t, callers.Options{Limits: shortLimits}, 100, func(t *testing.T, address string) {
		c := dial(t, address)
		c.write(t, "GET / HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("a", 900)+"\r\n\r\n")
		c.assertAnswer(t, http.StatusOK, "0")
		c = dial(t, address)
		c.write(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 200))
		if status, _ := c.read(t); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Fatalf("status %d, want 431", status)
		}
		c.assertCut(t)
	})
}

func TestHeadThatDoesNotEndIsCutOff(t *testing.T) {
	t.Parallel()
	eachServer(t, callers.Options{Limits: shortLimits}, 100, func(t *testing.T, address string) {
		c := dial(t, address)
		c.write(t, "GET / HTTP/1.1\r\nHo")
		c.assertCut(t)
	})
}

func TestIdleConnectionEndsAfterTheTimeout(t *testing.T) {
	t.Parallel()
	eachServer(t, callers.Options{Limits: shortLimits}, 100, func(t *testing.T, address string) {
		unused, kept := dial(t, address), dial(t, address)
		for range 4 {
			// A caller may reuse a connection within four fifths of the timeout.
			time.Sleep(200 * time.Millisecond)
			kept.mustSend(t, "/")
		}
		unused.assertCut(t)
		kept.assertCut(t)
	})
}

// Guards against callers that find no connection because others hold all of them and send
// nothing, and against a request that is cut off for a new connection.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	const most = 4
	eachServer(t, callers.Options{MaxConnections: most}, 100, func(t *testing.T, address string) {
		var silent []caller
		for i := range 10 * most {
			c := dial(t, address)
			switch i % 3 {
			case 1:
				c.write(t, "GET /")
			case 2:
				c.write(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\npart")
			}
			silent = append(silent, c)
			dial(t, address).mustSend(t, "/")
		}
		silent[0].assertCut(t)
	})
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]string{
		"with a length": "Content-Length: 101\r\n\r\n" + strings.Repeat("b", 101),
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("b", 101) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dial(t, startLimited(t, callers.Options{}, callers.BodyOptions{MaxBytes: 100}))
			c.write(t, "POST / HTTP/1.1\r\nHost: h\r\n"+request)
			c.assertAnswer(t, http.StatusRequestEntityTooLarge, "")
		})
	}
}

func TestBodiesAreReadWhole(t *testing.T) {
	t.Parallel()
	const maxBytes = 3 << 20
	eachServer(t, callers.Options{}, maxBytes, func(t *testing.T, address string) {
		c := dial(t, address)
		for _, n := range []int{0, 1, 4_095, 4_096, 4_097, 65_536, 65_537, 1 << 20, maxBytes - 1, maxBytes} {
			c.write(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("b", n)))
			c.assertAnswer(t, http.StatusOK, fmt.Sprint(n))
			text := ""
			for rest := n; rest > 0; {
				piece := min(rest, 50_000)
				text += fmt.Sprintf("%x\r\n%s\r\n", piece, strings.Repeat("b", piece))
				rest -= piece
			}
			c.write(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+text+"0\r\n\r\n")
			c.assertAnswer(t, http.StatusOK, fmt.Sprint(n))
		}
	})
}

func TestBodyThatIsLateIsAnswered(t *testing.T) {
	t.Parallel()
	address := startHandler(t, callers.Options{}, func(w http.ResponseWriter, r *http.Request) {
		_, err := callers.ReadBody(r, callers.BodyOptions{MaxBytes: 100, Deadline: time.Now().Add(100 * time.Millisecond)})
		http.Error(w, fmt.Sprint(err), rollout.AsError(err).Kind.Response().Status)
	})
	c := dial(t, address)
	c.write(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\npart")
	c.assertAnswer(t, http.StatusGatewayTimeout, "")
	c.assertCut(t)
}

// A body that nobody reads delays its response only shortly, and its connection is used again
// only if the body ends.
func TestUnusedBody(t *testing.T) {
	t.Parallel()
	address := startHandler(t, callers.Options{}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
	})
	for name, c := range map[string]struct {
		request string
		ends    bool
	}{
		"short":          {"Content-Length: 4\r\n\r\nbody", false},
		"short, chunked": {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"unfinished":     {"Content-Length: 5\r\n\r\nbody", true},
		"long":           {"Content-Length: 1000000\r\n\r\nbody", true},
		"expected":       {"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, address)
			conn.write(t, "POST / HTTP/1.1\r\nHost: h\r\n"+c.request)
			conn.assertAnswer(t, http.StatusUnauthorized, "")
			if c.ends {
				conn.assertCut(t)
				return
			}
			conn.write(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			conn.assertAnswer(t, http.StatusUnauthorized, "")
		})
	}
}

// Guards against memory that stays taken after the requests that took it.
func TestMemoryIsGivenBack(t *testing.T) {
	t.Parallel()
	limits := intake.New(intake.Options{MemoryBytes: 10 << 20})
	eachServer(t, callers.Options{Intake: limits, MaxConnections: 100}, 1<<20, func(t *testing.T, address string) {
		for range 20 {
			c := dial(t, address)
			c.write(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("b", 100_000))
			_ = c.Close()
		}
		kept := dial(t, address)
		kept.write(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("b", 500_000))
		kept.assertAnswer(t, http.StatusOK, "500000")
		for end := time.Now().Add(testTimeout); limits.Stats().Holders > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("still held: %+v", limits.Stats())
			}
		}
	})
}

// A crowd of bodies that stop before their end holds all memory. The one that has stalled for
// longest is refused, as not run, and one that is sent whole is served.
func TestStalledBodiesYield(t *testing.T) {
	t.Parallel()
	limits := intake.New(intake.Options{MemoryBytes: 10 << 20})
	eachServer(t, callers.Options{Intake: limits, MaxConnections: 100}, 1<<20, func(t *testing.T, address string) {
		var crowd []caller
		for range 12 {
			c := dial(t, address)
			c.write(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("b", 20_000))
			crowd = append(crowd, c)
		}
		dial(t, address).mustSend(t, "/")
		c := dial(t, address)
		c.write(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("b", 500_000))
		c.assertAnswer(t, http.StatusOK, "500000")
		crowd[0].assertAnswer(t, http.StatusTooManyRequests, "")
	})
}

// Guards against callers that ask for long responses and do not read them.
func TestResponseThatNobodyReadsYields(t *testing.T) {
	t.Parallel()
	// length exceeds the buffers of a connection.
	const length = 32 << 20
	limits := intake.New(intake.Options{MemoryBytes: 10 << 20})
	response := make([]byte, length)
	address := startHandler(t, callers.Options{Intake: limits, MaxConnections: 100}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := callers.ReadBody(r, callers.BodyOptions{MaxBytes: 1 << 20}); err != nil {
			http.Error(w, err.Error(), rollout.AsError(err).Kind.Response().Status)
			return
		}
		if r.URL.Path == "/long" {
			callers.HoldResponse(r, length)
			_, _ = w.Write(response)
		}
	})
	var crowd []caller
	for range 4 {
		c := dial(t, address)
		c.write(t, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		crowd = append(crowd, c)
	}
	for end := time.Now().Add(testTimeout); limits.Stats().Holders < 4; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("responses are not charged: %+v", limits.Stats())
		}
	}
	c := dial(t, address)
	c.write(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("b", 500_000))
	c.assertAnswer(t, http.StatusOK, "")
	for _, c := range crowd {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return
		}
		read, _ := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if read < length {
			return
		}
	}
	t.Fatal("no response was cut off")
}
