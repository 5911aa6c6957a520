package upstream_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/upstream"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
)

// Guards against upstreams that fill the memory with the head of a response.
func TestLongHeadIsRejected(t *testing.T) {
	const allowed, tooLong = 32 << 10, 128 << 10
	for _, reuse := range []bool{false, true} {
		for length, fails := range map[int]bool{allowed: false, tooLong: true} {
			t.Run(fmt.Sprintf("reuse %v, %d bytes", reuse, length), func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("X-Long", strings.Repeat("x", length))
				}))
				t.Cleanup(server.Close)
				req := &wire.RunRequest{Attempt: "a", Method: http.MethodGet, Path: "/"}
				sink := func(*wire.RunChunk) error { return nil }
				outcome := upstream.Call(t.Context(), upstream.NewClient(reuse), server.URL, req, sink, &upstream.Observer{}, nil)
				if (outcome.Err != nil) != fails {
					t.Fatalf("error %v, want one: %v", outcome.Err, fails)
				}
			})
		}
	}
}
