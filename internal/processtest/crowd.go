package processtest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// seed orders what a crowd sends.
	seed = 51
	// crowdTimeout ends a crowd that does not settle. No result depends on its value.
	crowdTimeout = 2 * time.Minute
	// settleTime is how long a crowd has sent nothing when it counts as settled.
	settleTime = 1_500 * time.Millisecond
)

// Crowd is a number of connections that each send a part of a request and stay open.
type Crowd struct {
	Connections int
	// Send writes to one of the connections until it has written everything or fails.
	Send func(w io.Writer, random *rand.Rand)
}

const (
	largeBody  = 4 << 20
	mediumBody = 1 << 20
	longHead   = 900 << 10
)

func requestHead(target, fields string) string {
	method, path, _ := strings.Cut(target, " ")
	return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + fields
}

// repeat writes a text until a number of bytes has been written.
func repeat(w io.Writer, text string, bytes int) error {
	block := strings.Repeat(text, max(1, 4_096/len(text)))
	for written := 0; written < bytes; written += len(block) {
		if _, err := io.WriteString(w, block); err != nil {
			return err
		}
	}
	return nil
}

// HeadCrowds returns crowds that send heads without an end to a target.
func HeadCrowds(target string) map[string]Crowd {
	beginning := requestHead(target, "")
	return map[string]Crowd{
		"short header fields": {60, func(w io.Writer, _ *rand.Rand) {
			_, _ = io.WriteString(w, beginning)
			_ = repeat(w, "a: b\r\n", longHead)
		}},
		"distinct header fields": {60, func(w io.Writer, random *rand.Rand) {
			_, _ = io.WriteString(w, beginning)
			for written := 0; written < longHead; written += 14 {
				if _, err := fmt.Fprintf(w, "a%08x: b\r\n", random.Uint32()); err != nil {
					return
				}
			}
		}},
		"one header field": {200, func(w io.Writer, _ *rand.Rand) {
			_, _ = io.WriteString(w, beginning+"X-A: ")
			_ = repeat(w, "a", longHead)
		}},
		"request line": {200, func(w io.Writer, _ *rand.Rand) {
			_, _ = io.WriteString(w, "GET /")
			_ = repeat(w, "a", longHead)
		}},
		"empty lines": {200, func(w io.Writer, _ *rand.Rand) { _ = repeat(w, "\r\n", 4*longHead) }},
	}
}

// HeadsWithinLimit returns a crowd of legal heads that expand in memory and lack their end.
func HeadsWithinLimit(target string) Crowd {
	return Crowd{600, func(w io.Writer, random *rand.Rand) {
		text := requestHead(target, "")
		for len(text) < 15<<10 {
			text += fmt.Sprintf("%c%x:\r\n", 'a'+random.IntN(26), random.IntN(1<<12))
		}
		_, _ = io.WriteString(w, text)
	}}
}

// BodyCrowds returns crowds that send bodies that lack their last byte to a target.
func BodyCrowds(target, fields string) map[string]Crowd {
	chunked := requestHead(target, fields+"Transfer-Encoding: chunked\r\n\r\n")
	withLength := func(n int) string { return requestHead(target, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", fields, n)) }
	chunk := func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("b", n)) }
	body := strings.Repeat("b", largeBody-1)
	return map[string]Crowd{
		"bodies with a length": {120, func(w io.Writer, _ *rand.Rand) {
			_, _ = io.WriteString(w, withLength(largeBody)+body)
		}},
		"bodies piece by piece": {120, func(w io.Writer, random *rand.Rand) {
			_, _ = io.WriteString(w, withLength(largeBody))
			for rest := body; rest != ""; {
				n := min(len(rest), 1+random.IntN(64<<10))
				if _, err := io.WriteString(w, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}},
		"bodies of many sizes": {300, func(w io.Writer, random *rand.Rand) {
			n := 16<<10 + random.IntN(2*mediumBody)
			_, _ = io.WriteString(w, withLength(n)+body[:n-1])
		}},
		"large chunks": {120, func(w io.Writer, _ *rand.Rand) {
			_, _ = io.WriteString(w, fmt.Sprintf("%s%x\r\n%s", chunked, largeBody, body))
		}},
		"chunks": {120, func(w io.Writer, _ *rand.Rand) {
			_, _ = io.WriteString(w, chunked)
			_ = repeat(w, chunk(32<<10), largeBody)
			_, _ = io.WriteString(w, "2\r\nb")
		}},
		"small chunks": {200, func(w io.Writer, _ *rand.Rand) {
			_, _ = io.WriteString(w, chunked)
			_ = repeat(w, chunk(16), mediumBody*22/16)
			_, _ = io.WriteString(w, "2\r\nb")
		}},
	}
}

// SilentConnections returns a crowd that sends nothing.
func SilentConnections(connections int) Crowd {
	return Crowd{connections, func(io.Writer, *rand.Rand) {}}
}

// RunningCrowd is a crowd whose connections are open.
type RunningCrowd struct {
	mu      sync.Mutex
	conns   []net.Conn
	written atomic.Int64
	senders sync.WaitGroup
}

type countingWriter struct {
	io.Writer
	written *atomic.Int64
}

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.written.Add(int64(n))
	return n, err
}

// Start opens the connections of a crowd and starts to send.
func (c Crowd) Start(t *testing.T, address string) *RunningCrowd {
	t.Helper()
	r := &RunningCrowd{}
	t.Cleanup(r.End)
	for i := range c.Connections {
		conn, err := (&net.Dialer{Timeout: crowdTimeout}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		r.mu.Lock()
		r.conns = append(r.conns, conn)
		r.mu.Unlock()
		r.senders.Go(func() {
			c.Send(countingWriter{conn, &r.written}, rand.New(rand.NewPCG(seed, uint64(i))))
		})
	}
	return r
}

// Settle waits until the crowd has sent nothing for settleTime.
func (r *RunningCrowd) Settle(t *testing.T) {
	t.Helper()
	last, changed := int64(-1), time.Now()
	for end := time.Now().Add(crowdTimeout); time.Since(changed) < settleTime; time.Sleep(20 * time.Millisecond) {
		if now := r.written.Load(); now != last {
			last, changed = now, time.Now()
		}
		if time.Now().After(end) {
			t.Fatalf("the crowd still sends after %v, %d bytes", crowdTimeout, last)
		}
	}
}

// End closes the connections.
func (r *RunningCrowd) End() {
	r.mu.Lock()
	conns := r.conns
	r.conns = nil
	r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	r.senders.Wait()
}

// Written returns the number of bytes that the crowd has sent.
func (r *RunningCrowd) Written() int64 { return r.written.Load() }
