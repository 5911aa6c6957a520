package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
)

// streamRun is a run of a stream at an upstream.
type streamRun struct{ upstream, after string }

// scriptedStreams is an upstream client whose streams consist of lines "ID DATA".
type scriptedStreams struct {
	rollout.UpstreamClient
	mu   sync.Mutex
	runs []streamRun
	// silentRuns is the number of runs, the first ones, that get no response.
	silentRuns int
	// onSend is called with each request. It may be nil.
	onSend func()
	// status returns the status of a run, from 1. It may be nil for 200.
	status func(run int) int
	// body returns the body of a run, from 1.
	body func(ctx context.Context, run int, r rollout.UpstreamRequest) io.ReadCloser
}

// SendRequest implements rollout.UpstreamClient.
func (u *scriptedStreams) SendRequest(ctx context.Context, r rollout.UpstreamRequest) (rollout.UpstreamResponse, error) {
	u.mu.Lock()
	u.runs = append(u.runs, streamRun{r.Instance, r.ResumeAfter})
	silent := len(u.runs) <= u.silentRuns
	u.mu.Unlock()
	if u.onSend != nil {
		u.onSend()
	}
	if silent {
		<-ctx.Done()
		return rollout.UpstreamResponse{}, ctx.Err()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	resp := rollout.UpstreamResponse{Status: 200, Streaming: true, Body: u.body(ctx, len(u.runs), r)}
	if u.status != nil {
		resp.Status = u.status(len(u.runs))
	}
	return resp, nil
}

// ReadRawEvents implements rollout.UpstreamClient.
func (u *scriptedStreams) ReadRawEvents(body io.Reader, handle func(uint64, []byte) error) error {
	return readLineEvents(body, handle)
}

// IsListening implements rollout.UpstreamClient.
func (u *scriptedStreams) IsListening(context.Context, string) (bool, error) { return true, nil }

// readLineEvents reads events that are lines "ID DATA".
func readLineEvents(body io.Reader, handle func(uint64, []byte) error) error {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		id, data, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		n, err := strconv.ParseUint(id, 10, 64)
		if err == nil {
			err = handle(n, []byte(data))
		}
		if err != nil {
			return err
		}
	}
}

// lineBody is a body of events that ends with an error, or waits for the end of the context
// after its events if err is nil.
type lineBody struct {
	io.Reader
	ctx context.Context
	err error
}

// Read implements io.Reader.
func (b *lineBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.err == nil {
		<-b.ctx.Done()
		return n, b.ctx.Err()
	}
	return n, b.err
}

// Close implements io.Closer.
func (b *lineBody) Close() error { return nil }

var errBroken = errors.New("connection reset")

// events returns the events from first to last.
func events(first, last int) io.Reader {
	var text strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&text, "%d e%d\n", id, id)
	}
	return strings.NewReader(text.String())
}

// openStream sends the request of a stream to a gateway whose upstreams have the given
// software versions.
func openStream(t *testing.T, u *scriptedStreams, software map[string]string, maxAttempts int) Response {
	t.Helper()
	g := New(Options{Log: zap.NewNop(), Registry: prometheus.NewRegistry(), WindowMS: 1_000, Controls: func() []string { return nil }, Upstreams: u})
	us := make(map[string]discovery.Upstream)
	for id, v := range software {
		us[id] = discovery.Upstream{ID: id, Pool: "p", Address: id, State: discovery.StateReady, Slots: 4, Born: 1, Software: v}
	}
	syncUpstreams(g, us)
	route := document.Route{Name: "chat", Streaming: true, Resumable: true, MaxAttempts: maxAttempts, Split: []document.Share{{Pool: "p", Weight: 1}}}
	resp, err := g.forward(t.Context(), Inbound{AttemptID: "r", Received: time.Now(), BudgetMS: 60_000}, route, "farm")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(resp.Close)
	return resp
}

// copyAll copies a stream and returns its events.
func copyAll(r Response) ([]string, error) {
	var got []string
	err := r.CopyStream(func(data []byte) error {
		got = append(got, string(data))
		return nil
	})
	return got, err
}

func assertEvents(t *testing.T, got []string, last int) {
	t.Helper()
	var want []string
	for id := 1; id <= last; id++ {
		want = append(want, fmt.Sprintf("e%d", id))
	}
	if !slices.Equal(got, want) {
		t.Fatalf("events %v, want %v", got, want)
	}
}

func (u *scriptedStreams) assertRuns(t *testing.T, want int) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.runs) != want {
		t.Fatalf("runs %v, want %d", u.runs, want)
	}
}

// breakingOnce breaks the first run off after three of six events.
func breakingOnce(ctx context.Context, run int, _ rollout.UpstreamRequest) io.ReadCloser {
	if run == 1 {
		return &lineBody{events(1, 3), ctx, errBroken}
	}
	return &lineBody{events(4, 6), ctx, io.EOF}
}

func TestBrokenStreamGoesOnAfterItsLastEvent(t *testing.T) {
	u := &scriptedStreams{body: breakingOnce}
	got, err := copyAll(openStream(t, u, map[string]string{"a": "v1", "b": "v1", "c": "v2"}, 4))
	if err != nil {
		t.Fatal(err)
	}
	assertEvents(t, got, 6)
	u.assertRuns(t, 2)
	if u.runs[1].after != "3" {
		t.Fatalf("runs %v, want the second to go on after event 3", u.runs)
	}
}

// Guards against responses that look complete although no upstream could go on.
func TestStreamWithoutOtherUpstreamOfItsVersionBreaksOff(t *testing.T) {
	for name, software := range map[string]map[string]string{
		"unknown versions": {"a": "", "b": ""},
		"broken upstream":  {"a": "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			u := &scriptedStreams{body: func(ctx context.Context, _ int, _ rollout.UpstreamRequest) io.ReadCloser {
				return &lineBody{events(1, 3), ctx, errBroken}
			}}
			got, err := copyAll(openStream(t, u, software, 2))
			if err == nil {
				t.Fatal("the stream looks complete")
			}
			assertEvents(t, got, 3)
		})
	}
}

// Guards against more runs than the route allows.
func TestStreamRunsAtMostMaxAttempts(t *testing.T) {
	u := &scriptedStreams{body: func(ctx context.Context, run int, _ rollout.UpstreamRequest) io.ReadCloser {
		return &lineBody{events(run, run), ctx, errBroken}
	}}
	got, err := copyAll(openStream(t, u, map[string]string{"a": "v1", "b": "v1", "c": "v1", "d": "v1"}, 3))
	if err == nil {
		t.Fatal("the stream looks complete")
	}
	assertEvents(t, got, 3)
	u.assertRuns(t, 3)
}

// Guards against events that the caller gets twice, or out of order, from an upstream that
// does not go on where it should.
func TestRepeatedEventsEndTheRun(t *testing.T) {
	u := &scriptedStreams{body: func(ctx context.Context, run int, _ rollout.UpstreamRequest) io.ReadCloser {
		switch run {
		case 1:
			return &lineBody{events(1, 3), ctx, errBroken}
		case 2:
			return &lineBody{events(1, 6), ctx, io.EOF}
		}
		return &lineBody{events(4, 6), ctx, io.EOF}
	}}
	got, err := copyAll(openStream(t, u, map[string]string{"a": "v1", "b": "v1", "c": "v1"}, 4))
	if err != nil {
		t.Fatal(err)
	}
	assertEvents(t, got, 6)
	u.assertRuns(t, 3)
}

// Guards against the text of an error in the middle of a stream, and against streams that end as
// complete after it: the upstream that is to go on answers with an error, in whichever form.
func TestErrorOfNextUpstreamNeverReachesTheCaller(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		body   string
	}{
		"status 500":                {500, "4 error\n"},
		"status 503":                {503, "4 error\n"},
		"error as an event":         {200, "0 error\n"},
		"error and then events":     {200, "0 error\n4 e4\n5 e5\n6 e6\n"},
		"events are missing":        {200, "5 e5\n6 e6\n"},
		"bytes that are no event":   {200, "error\n"},
		"the stream from its start": {200, "1 e1\n2 e2\n3 e3\n4 e4\n5 e5\n6 e6\n"},
	} {
		for _, upstreams := range []int{2, 3} {
			t.Run(fmt.Sprintf("%s, %d upstreams", name, upstreams), func(t *testing.T) {
				t.Parallel()
				u := &scriptedStreams{}
				u.status = func(run int) int {
					if run == 2 {
						return tc.status
					}
					return 200
				}
				u.body = func(ctx context.Context, run int, _ rollout.UpstreamRequest) io.ReadCloser {
					switch run {
					case 1:
						return &lineBody{events(1, 3), ctx, errBroken}
					case 2:
						return &lineBody{strings.NewReader(tc.body), ctx, io.EOF}
					}
					return &lineBody{events(4, 6), ctx, io.EOF}
				}
				got, err := copyAll(openStream(t, u, map[string]string{"a": "v1", "b": "v1", "c": "v1"}, upstreams))
				if wantComplete := upstreams == 3; (err == nil) != wantComplete {
					t.Fatalf("complete: %v, want %v; error %v, events %v, runs %v", err == nil, wantComplete, err, got, u.runs)
				}
				assertEvents(t, got, 3*(upstreams-1))
			})
		}
	}
}

// Guards against events that the caller gets twice: nobody knows where to go on after events
// without IDs.
func TestStreamWithoutEventIDsBreaksOff(t *testing.T) {
	u := &scriptedStreams{body: func(ctx context.Context, _ int, _ rollout.UpstreamRequest) io.ReadCloser {
		return &lineBody{strings.NewReader("0 e1\n0 e2\n"), ctx, errBroken}
	}}
	got, err := copyAll(openStream(t, u, map[string]string{"a": "v1", "b": "v1"}, 2))
	if err == nil {
		t.Fatal("the stream looks complete")
	}
	assertEvents(t, got, 2)
	u.assertRuns(t, 1)
}

// trickle delivers bytes that complete no event, one after another, for as long as it is read.
type trickle struct{ first io.Reader }

// Read implements io.Reader.
func (r trickle) Read(p []byte) (int, error) {
	if n, err := r.first.Read(p); n > 0 {
		return n, err
	}
	time.Sleep(100 * time.Millisecond)
	return copy(p, "x"), nil
}

// Guards against streams that a silent upstream holds up, also if it sends a byte now and
// then.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	for name, first := range map[string]func(context.Context) io.Reader{
		"no bytes":            func(ctx context.Context) io.Reader { return &lineBody{events(1, 3), ctx, nil} },
		"a byte now and then": func(context.Context) io.Reader { return trickle{events(1, 3)} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := &scriptedStreams{body: func(ctx context.Context, run int, _ rollout.UpstreamRequest) io.ReadCloser {
				if run == 1 {
					return &closableBody{Reader: first(ctx), ctx: ctx}
				}
				return &lineBody{events(4, 6), ctx, io.EOF}
			}}
			got, err := copyAll(openStream(t, u, map[string]string{"a": "v1", "b": "v1"}, 4))
			if err != nil {
				t.Fatal(err)
			}
			assertEvents(t, got, 6)
			u.assertRuns(t, 2)
		})
	}
}

// Guards against streams that wait for the first event of an upstream whose connection has
// fallen silent.
func TestUpstreamSilentBeforeFirstEventIsLeft(t *testing.T) {
	t.Parallel()
	u := &scriptedStreams{body: func(ctx context.Context, _ int, _ rollout.UpstreamRequest) io.ReadCloser {
		return &lineBody{events(1, 6), ctx, io.EOF}
	}}
	u.silentRuns = 1
	started := time.Now()
	got, err := copyAll(openStream(t, u, map[string]string{"a": "v1", "b": "v1"}, 4))
	if err != nil {
		t.Fatal(err)
	}
	assertEvents(t, got, 6)
	if took := time.Since(started); took < silentAfter {
		t.Fatalf("the stream was complete after %v, want the first upstream to have %v", took, silentAfter)
	}
}

// closableBody fails once its context has ended, as a connection does.
type closableBody struct {
	io.Reader
	ctx context.Context
}

// Read implements io.Reader.
func (b *closableBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (b *closableBody) Close() error { return nil }

// Guards against sound streams that are cut because their caller reads slowly, or because
// they are slow and no other upstream could go on.
func TestSlowStreamIsNotCut(t *testing.T) {
	const pause = silentAfter + 300*time.Millisecond
	t.Run("slow caller", func(t *testing.T) {
		t.Parallel()
		u := &scriptedStreams{body: func(ctx context.Context, _ int, _ rollout.UpstreamRequest) io.ReadCloser {
			return &lineBody{events(1, 6), ctx, io.EOF}
		}}
		var got []string
		err := openStream(t, u, map[string]string{"a": "v1", "b": "v1"}, 4).CopyStream(func(data []byte) error {
			if len(got) == 2 {
				time.Sleep(pause)
			}
			got = append(got, string(data))
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		assertEvents(t, got, 6)
		u.assertRuns(t, 1)
	})
	t.Run("slow upstream without another one", func(t *testing.T) {
		t.Parallel()
		u := &scriptedStreams{body: func(ctx context.Context, _ int, _ rollout.UpstreamRequest) io.ReadCloser {
			return &closableBody{Reader: io.MultiReader(events(1, 3), &pausedReader{pause: pause}, events(4, 6)), ctx: ctx}
		}}
		got, err := copyAll(openStream(t, u, map[string]string{"a": "v1", "b": "v2"}, 4))
		if err != nil {
			t.Fatal(err)
		}
		assertEvents(t, got, 6)
		u.assertRuns(t, 1)
	})
}

// pausedReader ends after a pause.
type pausedReader struct{ pause time.Duration }

// Read implements io.Reader.
func (r *pausedReader) Read([]byte) (int, error) {
	time.Sleep(r.pause)
	return 0, io.EOF
}

// Guards against streams that an upstream goes on with that has started again under its ID
// with another software version since it was selected.
func TestResponseOfUpstreamThatStartedAgainIsDropped(t *testing.T) {
	u := &scriptedStreams{body: func(ctx context.Context, _ int, _ rollout.UpstreamRequest) io.ReadCloser {
		return &lineBody{events(4, 6), ctx, io.EOF}
	}}
	g := New(Options{Log: zap.NewNop(), Registry: prometheus.NewRegistry(), WindowMS: 1_000, Controls: func() []string { return nil }, Upstreams: u})
	upstreamOf := func(born int64, software string) map[string]discovery.Upstream {
		return map[string]discovery.Upstream{"a": {ID: "a", Pool: "p", Address: "a", State: discovery.StateReady, Slots: 4, Born: born, Software: software}}
	}
	syncUpstreams(g, upstreamOf(1, "v1"))
	u.onSend = func() { syncUpstreams(g, upstreamOf(2, "v2")) }
	g.origins.Record(t.Context(), origin.Record{Key: origin.Key{Account: "farm", Attempt: "first"}, Origin: origin.Origin{Pool: "p", Software: "v1"}})
	route := document.Route{Name: "chat", Streaming: true, Resumable: true, MaxAttempts: 1, Split: []document.Share{{Pool: "p", Weight: 1}}}
	in := Inbound{AttemptID: "r", Received: time.Now(), BudgetMS: 60_000, Resumes: []string{"first"}, LastEventID: []string{"3"}}
	if resp, err := g.forward(t.Context(), in, route, "farm"); err == nil || rollout.AsError(err).NotRun {
		resp.Close()
		t.Fatalf("got error %v, want one of a request that may have run", err)
	}
	u.assertRuns(t, 1)
}

// Guards against a response whose later events are of an upstream that has started again
// with another software version since it was selected to go on with the stream.
func TestStreamDoesNotGoOnWithUpstreamThatStartedAgain(t *testing.T) {
	u := &scriptedStreams{body: breakingOnce}
	resp := openStream(t, u, map[string]string{"a": "v1", "b": "v1"}, 2)
	u.onSend = func() {
		us := make(map[string]discovery.Upstream)
		for _, id := range []string{"a", "b"} {
			us[id] = discovery.Upstream{ID: id, Pool: "p", Address: id, State: discovery.StateReady, Slots: 4, Born: 2, Software: "v2"}
		}
		syncUpstreams(resp.stream.gateway, us)
	}
	got, err := copyAll(resp)
	if err == nil {
		t.Fatal("the stream looks complete")
	}
	assertEvents(t, got, 3)
	u.assertRuns(t, 2)
}
