package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/budget"
	"github.com/coltsfootspoke/coltsfootspoke/internal/processtest"
	"github.com/coltsfootspoke/coltsfootspoke/internal/replytest"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
)

// endlessAnswers holds answers by what goes on without end: the beginning, and what is repeated
// after it.
var endlessAnswers = map[string][2]string{
	"no response":   {"", "\x00\x01garbage"},
	"header fields": {"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
	"body":          {"HTTP/1.1 200 OK\r\n\r\n", "bbbbbbbb"},
	"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nbbbbbbbb\r\n"},
	"trailers":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n"},
	"line":          {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "dddddddd"},
	"lines":         {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: {}\n"},
}

// startEndless starts a server that sends an answer until its peer closes the connection.
func startEndless(t *testing.T, answer [2]string) string {
	t.Helper()
	return replytest.Listen(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := io.WriteString(conn, answer[0])
		for piece := bytes.Repeat([]byte(answer[1]), 1+4_096/len(answer[1])); err == nil; {
			_, err = conn.Write(piece)
		}
	})
}

// Guards against an agent that keeps what faulty upstreams send without end, and runs out of
// memory.
func TestAnswersWithoutEndTakeLittleMemory(t *testing.T) {
	const calls = 8
	daemon := settings.Common{}
	debug.SetMemoryLimit(daemon.SoftMemoryLimit())
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			address := startEndless(t, answer)
			responses := budget.New(daemon.ResponseBytes())
			client := NewClient(true)
			growth := processtest.HeapGrowth(func() {
				var running sync.WaitGroup
				for range calls {
					running.Go(func() {
						held := responses.Open()
						defer held.Release()
						req := &wire.RunRequest{Attempt: "a", Method: http.MethodPost, Path: "/"}
						outcome := Call(t.Context(), client, "http://"+address, req, func(*wire.RunChunk) error { return nil }, &Observer{}, held)
						if outcome.Err == nil {
							t.Error("an answer without end counts as complete")
						}
					})
				}
				running.Wait()
			})
			t.Logf("the heap grew by %d KiB for %d answers", growth>>10, calls)
			if limit := daemon.SoftMemoryLimit(); growth > uint64(limit) {
				t.Errorf("the heap grew by %d bytes for %d answers, want %d at most", growth, calls, limit)
			}
			if used := responses.Used(); used != 0 {
				t.Errorf("%d bytes are still taken", used)
			}
		})
	}
}

// A long answer arrives whole, in chunks of bounded length.
func TestLongAnswerIsBufferedInChunks(t *testing.T) {
	body := strings.Repeat("b", 3*maxChunkBytes+1)
	address := replytest.StartSequence(t, "X-None", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	outcome := Call(t.Context(), NewClient(true), "http://"+address, &wire.RunRequest{Attempt: "a", Method: http.MethodPost, Path: "/"}, nil, &Observer{}, nil)
	if outcome.Err != nil || outcome.Buffered[0].Head == nil {
		t.Fatalf("outcome %+v, want a complete answer", outcome)
	}
	var got strings.Builder
	for _, c := range outcome.Buffered {
		if len(c.Data) > maxChunkBytes {
			t.Errorf("a chunk has %d bytes, limit %d", len(c.Data), maxChunkBytes)
		}
		got.Write(c.Data)
	}
	if got.String() != body {
		t.Errorf("got %d bytes, want %d", got.Len(), len(body))
	}
}
