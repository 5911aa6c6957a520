// Package replytest serves broken HTTP responses.
package replytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Server answers each request with the same text and closes the connection.
type Server struct {
	Address string
	// reset makes the server reset the connection instead of closing it in order.
	reset bool
}

// Start starts a server that writes head as soon as it has read the head of a request. "{id}" in
// it becomes the value of the header field idField. If reset is true, the connection is reset
// while the rest of the request is being sent.
func Start(t *testing.T, head, idField string, reset bool) *Server {
	t.Helper()
	s := &Server{reset: reset}
	s.Address = Listen(t, func(conn net.Conn) { s.serve(conn, head, idField) })
	return s
}

// StartSequence starts a server that answers the requests of each connection with the given
// responses in turn, as Start does, and then closes it. It returns its address.
func StartSequence(t *testing.T, idField string, responses ...string) string {
	t.Helper()
	return Listen(t, func(conn net.Conn) { serveSequence(conn, idField, responses) })
}

// Listen starts a server that passes each connection to serve, which must close it. It returns
// its address.
func Listen(t *testing.T, serve func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var connections sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { serve(conn) })
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
		connections.Wait()
	})
	return listener.Addr().String()
}

func serveSequence(conn net.Conn, idField string, responses []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := conn.Write([]byte(strings.ReplaceAll(response, "{id}", req.Header.Get(idField)))); err != nil {
			return
		}
	}
}

func (s *Server) serve(conn net.Conn, head, idField string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := conn.Write([]byte(strings.ReplaceAll(head, "{id}", req.Header.Get(idField)))); err != nil {
		return
	}
	if !s.reset {
		// The rest of a short request is read, so that the close is no reset.
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, _ = reader.Discard(1 << 20)
		return
	}
	// The client reads the part while it is still sending.
	time.Sleep(50 * time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// BrokenHeads holds heads that HTTP does not allow, by what is wrong with them. The fields
// are added to each.
func BrokenHeads(fields string) map[string]string {
	head := func(statusLine, more, end string) string { return statusLine + "\r\n" + fields + more + "\r\n" + end }
	return map[string]string{
		"status 000":                    head("HTTP/1.1 000 OK", "Content-Length: 2\r\n", "ab"),
		"status 000 without a body":     head("HTTP/1.1 000 OK", "Content-Length: 0\r\n", ""),
		"status 099":                    head("HTTP/1.1 099 OK", "Content-Length: 2\r\n", "ab"),
		"status 600":                    head("HTTP/1.1 600 OK", "Content-Length: 2\r\n", "ab"),
		"status 999":                    head("HTTP/1.1 999 OK", "Content-Length: 2\r\n", "ab"),
		"unasked switch of protocols":   head("HTTP/1.1 101 Switching Protocols", "", "ab"),
		"unasked upgrade":               head("HTTP/1.1 101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: h\r\n", "ab"),
		"blank in a name":               head("HTTP/1.1 200 OK", "X A: b\r\nContent-Length: 2\r\n", "ab"),
		"blank before the colon":        head("HTTP/1.1 200 OK", "X-A : b\r\nContent-Length: 2\r\n", "ab"),
		"blank that hides a length":     head("HTTP/1.1 200 OK", "Content-Length : 2\r\n", "abc"),
		"blank that hides an encoding":  head("HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n", "2\r\nab\r\n0\r\n\r\n"),
		"tab in a name":                 head("HTTP/1.1 200 OK", "X\tA: b\r\nContent-Length: 2\r\n", "ab"),
		"control byte in a name":        head("HTTP/1.1 200 OK", "X\x01A: b\r\nContent-Length: 2\r\n", "ab"),
		"delete in a name":              head("HTTP/1.1 200 OK", "X\x7fA: b\r\nContent-Length: 2\r\n", "ab"),
		"NUL in a value":                head("HTTP/1.1 200 OK", "X-A: b\x00c\r\nContent-Length: 2\r\n", "ab"),
		"blank in a name, status 500":   head("HTTP/1.1 500 No", "X A: b\r\nContent-Length: 2\r\n", "ab"),
		"blank in a name, no body":      head("HTTP/1.1 200 OK", "X A: b\r\nContent-Length: 0\r\n", ""),
		"empty name":                    head("HTTP/1.1 200 OK", ": b\r\nContent-Length: 2\r\n", "ab"),
		"two lengths":                   head("HTTP/1.1 200 OK", "Content-Length: 1\r\nContent-Length: 2\r\n", "ab"),
		"blank line within a long name": head("HTTP/1.1 200 OK", "X-A\x0bB: b\r\nContent-Length: 2\r\n", "ab"),
	}
}

// EarlyHeads holds heads of responses that end with their connection. The fields are added to
// each.
func EarlyHeads(fields string) map[string]string {
	return map[string]string{
		"status 200":            "HTTP/1.1 200 OK\r\n" + fields + "\r\n{\"part\":",
		"status 500":            "HTTP/1.1 500 No\r\n" + fields + "\r\n{\"part\":",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\n" + fields + "\r\n{\"part\":",
		"HTTP/1.0, no length":   "HTTP/1.0 200 OK\r\n" + fields + "Connection: close\r\n\r\n{}",
		"whole JSON, no length": "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n{}",
	}
}

// StoppedHeads holds responses that stop within their head or before the end of their chunks, by
// how many bytes there are. The fields are added to the head.
func StoppedHeads(fields string) map[string]string {
	stopped := make(map[string]string)
	for name, whole := range map[string]string{
		"empty":    "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"short":    "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nab",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\n" + fields + "\r\n",
		"chunked":  "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	} {
		for n := range len(whole) {
			stopped[fmt.Sprintf("%s, %d bytes", name, n)] = whole[:n]
		}
	}
	return stopped
}
