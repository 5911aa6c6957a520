package callers_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/callers"
)

// testTimeout ends a test that hangs. No result depends on its value.
const testTimeout = 30 * time.Second

// startServer starts a server and returns it with its address.
func startServer(t *testing.T, handler http.HandlerFunc) (*callers.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := callers.NewServer(l, handler, callers.Options{})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// caller is a connection with its reader.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) caller {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return caller{conn, bufio.NewReader(conn)}
}

// answered is what a caller sees of a response that it has read to its end.
type answered struct {
	status int
	// ends is true if the response says that its connection ends.
	ends bool
}

// send sends a request and reads the response.
func (c caller) send(path string) (answered, error) {
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", path); err != nil {
		return answered{}, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answered{}, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return answered{resp.StatusCode, resp.Close}, errors.Join(err, resp.Body.Close())
}

func (c caller) mustSend(t *testing.T, path string) answered {
	t.Helper()
	a, err := c.send(path)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (c caller) assertEnds(t *testing.T) {
	t.Helper()
	if b, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("read %d, %v, want the end of the connection", b, err)
	}
}

func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(w, r.Body)
}

func TestShutdownEndsWaitingConnections(t *testing.T) {
	t.Parallel()
	s, address := startServer(t, answer)
	kept, unused := dial(t, address), dial(t, address)
	if resp := kept.mustSend(t, "/"); resp.ends {
		t.Fatal("the connection is not kept before the server stops")
	}
	s.CloseAfterResponses()
	if resp := kept.mustSend(t, "/"); !resp.ends {
		t.Fatal("the response does not say that the connection ends")
	}
	kept.assertEnds(t)
	if err := s.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	unused.assertEnds(t)
}

func TestResponseBegunBeforeAStopEndsItsConnection(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	begun := make(chan struct{})
	s, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-release
		answer(w, r)
	})
	c := dial(t, address)
	ended := make(chan error, 1)
	go func() {
		<-begun
		ended <- s.Shutdown(t.Context())
	}()
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	c.mustSend(t, "/")
	c.assertEnds(t)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestShutdownWaitsForRequests(t *testing.T) {
	t.Parallel()
	begun := make(chan struct{})
	s, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		time.Sleep(300 * time.Millisecond)
		answer(w, r)
	})
	ended := make(chan error, 1)
	go func() {
		<-begun
		ended <- s.Shutdown(t.Context())
	}()
	if resp := dial(t, address).mustSend(t, "/"); resp.status != http.StatusOK || !resp.ends {
		t.Fatalf("status %d, close %v, want 200 and true", resp.status, resp.ends)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// Guards against callers that get no answer when the server stops before their requests end.
func TestCancelledRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	begun := make(chan struct{})
	s, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		w.WriteHeader(http.StatusGatewayTimeout)
	})
	go func() {
		<-begun
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err := s.Shutdown(ctx); err == nil {
			t.Error("shut down with a request")
		}
		s.CancelRequests()
	}()
	if resp := dial(t, address).mustSend(t, "/"); resp.status != http.StatusGatewayTimeout {
		t.Fatalf("status %d, want 504", resp.status)
	}
}

// Guards against a request that crosses the end of its kept connection: the server must either
// read none of it or answer it.
func TestRequestThatCrossesAStopIsAnsweredOrNotRead(t *testing.T) {
	t.Parallel()
	const rounds, connections = 30, 16
	for round := range rounds {
		var mu sync.Mutex
		read := make(map[string]bool)
		s, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			mu.Lock()
			read[r.URL.Path] = err == nil && string(body) == "hi"
			mu.Unlock()
			answer(w, r)
		})
		var wait sync.WaitGroup
		for n := range connections {
			c := dial(t, address)
			c.mustSend(t, "/first")
			wait.Go(func() {
				for i := 0; ; i++ {
					path := fmt.Sprintf("/%d/%d", n, i)
					resp, err := c.send(path)
					mu.Lock()
					wasRead := read[path]
					mu.Unlock()
					if err != nil && wasRead {
						t.Errorf("round %d: request %s was read and not answered: %v", round, path, err)
					}
					if err != nil || resp.ends {
						return
					}
				}
			})
		}
		time.Sleep(time.Duration(round%5) * time.Millisecond)
		if round%2 == 0 {
			s.CloseAfterResponses()
		}
		if err := s.Shutdown(t.Context()); err != nil {
			t.Fatal(err)
		}
		wait.Wait()
	}
}

func TestListenerFailureEndsServe(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := callers.NewServer(l, http.HandlerFunc(answer), callers.Options{})
	_ = l.Close()
	if err := s.Serve(); err == nil || !strings.Contains(err.Error(), "closed") {
		t.Fatalf("error %v, want that of the listener", err)
	}
}
