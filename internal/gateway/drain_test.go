package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/callers"
)

// fakeServer records the steps of a drain. Its requests end when they are cancelled.
type fakeServer struct {
	mu        sync.Mutex
	started   time.Time
	steps     []string
	cancelled chan struct{}
	observe   func(step string)
}

func newFakeServer(observe func(step string)) *fakeServer {
	return &fakeServer{started: time.Now(), cancelled: make(chan struct{}), observe: observe}
}

func (s *fakeServer) record(step string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, step)
	s.observe(step)
}

func (s *fakeServer) CloseAfterResponses() { s.record("CloseAfterResponses") }

func (s *fakeServer) CancelRequests() {
	s.record("CancelRequests")
	close(s.cancelled)
}

func (s *fakeServer) Shutdown(ctx context.Context) error {
	s.record("Shutdown")
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.cancelled:
		return nil
	}
}

func TestDrainEndsReadinessAndClosesInSteps(t *testing.T) {
	t.Parallel()
	g := newTestGateway()
	s := newFakeServer(func(step string) {
		if g.Ready() || !g.Draining() {
			t.Errorf("%s: ready %v, draining %v, want false and true", step, g.Ready(), g.Draining())
		}
		if accepts, want := g.CheckAccepting() == nil, step == "CloseAfterResponses"; accepts != want {
			t.Errorf("%s: accepts requests %v, want %v", step, accepts, want)
		}
	})
	g.Drain(t.Context(), 240*time.Millisecond, s)
	if want := []string{"CloseAfterResponses", "Shutdown", "CancelRequests", "Shutdown"}; !slices.Equal(s.steps, want) {
		t.Fatalf("steps %v, want %v", s.steps, want)
	}
}

// Guards against requests that are cut off before the last sixth of the grace period, or not at
// all before the process is killed.
func TestDrainCutsOffInTheLastSixthOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			var cutOff time.Duration
			start := time.Now()
			s := newFakeServer(func(step string) {
				if step == "CancelRequests" {
					cutOff = time.Since(start)
				}
			})
			newTestGateway().Drain(t.Context(), grace, s)
			if cutOff < grace*5/6 || cutOff >= grace {
				t.Fatalf("requests were cut off after %v of %v", cutOff, grace)
			}
		})
	}
}

// drainRecord is what happened to the requests of a test by their number.
type drainRecord struct {
	mu                sync.Mutex
	passedOn, answers map[string]time.Duration
}

// Guards against requests that arrive late in a drain on kept connections, are passed on, and
// are cut off without an answer. The platform excuses that for requests that were sent up to
// 3 s after the signal.
func TestRequestsLateInADrainAreAnsweredOrNotPassedOn(t *testing.T) {
	t.Parallel()
	const (
		grace       = 8 * time.Second
		work        = 4_500 * time.Millisecond
		callerCount = 80
		excused     = 3 * time.Second
	)
	g := newTestGateway()
	rec := drainRecord{passedOn: make(map[string]time.Duration), answers: make(map[string]time.Duration)}
	var warm atomic.Bool
	warm.Store(true)
	var started time.Time
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if warm.Load() {
			return
		}
		if g.CheckAccepting() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rec.mu.Lock()
		rec.passedOn[r.URL.Path] = time.Since(started)
		rec.mu.Unlock()
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := callers.NewServer(l, handler, callers.Options{})
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	clients := make([]*http.Client, callerCount)
	send := func(n int) (int, error) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s/%d", l.Addr(), n), http.NoBody)
		if err != nil {
			return 0, err
		}
		resp, err := clients[n].Do(req)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	for n := range clients {
		clients[n] = &http.Client{Transport: &http.Transport{}}
		if _, err := send(n); err != nil {
			t.Fatal(err)
		}
	}
	warm.Store(false)
	started = time.Now()
	var wait sync.WaitGroup
	for n := range clients {
		wait.Go(func() {
			// From 2.4 s to 3.4 s after the signal.
			time.Sleep(time.Until(started.Add(2_400*time.Millisecond + time.Duration(n)*time.Second/callerCount)))
			if _, err := send(n); err == nil {
				rec.mu.Lock()
				rec.answers[fmt.Sprintf("/%d", n)] = time.Since(started)
				rec.mu.Unlock()
			}
		})
	}
	g.Drain(t.Context(), grace, server)
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	wait.Wait()
	if err := <-served; err != nil {
		t.Error(err)
	}
	for path, at := range rec.passedOn {
		if _, answered := rec.answers[path]; !answered && at > excused {
			t.Errorf("request %s was passed on %v after the signal and not answered", path, at)
		}
	}
	if len(rec.passedOn) == 0 {
		t.Error("no request was passed on, want those sent up to 2.7 s after the signal")
	}
}
