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

// assertClosed checks that the server has closed a connection.
func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(2 * handshakeTimeout))
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || n > 0 {
		t.Fatalf("read %d bytes, %v", n, err)
	}
}

func TestAServerRefusesAFalseProof(t *testing.T) {
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

func TestAClientRefusesAFalseServer(t *testing.T) {
	address := serve(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := shakeClient(conn, []byte("other")); err == nil {
		t.Fatal("the client took a server without the secret")
	}
	good, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = good.Close() }()
	if err := shakeClient(good, []byte("secret")); err != nil {
		t.Fatal(err)
	}
}
