package link

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
)

// serve starts a server with the secret "secret" and returns its address.
func serve(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- NewServer(l, "secret", drpcmux.New(), zap.NewNop()).Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// assertClosed checks that the server closes a connection without sending data.
func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(2 * handshakeTimeout))
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || n > 0 {
		t.Fatalf("read %d bytes, error %v; want 0 bytes, EOF", n, err)
	}
}

func TestServerRejectsInvalidProof(t *testing.T) {
	conn, err := net.Dial("tcp", serve(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(make([]byte, nonceBytes))
	_, _ = io.ReadFull(conn, make([]byte, nonceBytes+32))
	_, _ = conn.Write(make([]byte, 32))
	assertClosed(t, conn)
}

func TestClientRejectsServerWithOtherSecret(t *testing.T) {
	address := serve(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := clientHandshake(conn, []byte("other")); err == nil {
		t.Fatal("the client accepted a server with another secret")
	}
	good, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = good.Close() }()
	if err := clientHandshake(good, []byte("secret")); err != nil {
		t.Fatal(err)
	}
}
