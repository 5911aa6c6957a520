package upstream

import (
	"bytes"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/replytest"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
)

// earlyRounds repeats a test whose outcome depends on which call gets the error of a reset.
const earlyRounds = 8

func callUpstream(t *testing.T, address string, bodyBytes int) Outcome {
	t.Helper()
	req := &wire.RunRequest{Method: "POST", Path: "/x", Body: bytes.Repeat([]byte("b"), bodyBytes)}
	return Call(t.Context(), NewClient(true), "http://"+address, req, func(*wire.RunChunk) error { return nil }, &Observer{}, nil)
}

// Guards against heads that HTTP does not allow and that callers got as responses.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, head := range replytest.BrokenHeads("") {
		t.Run(name, func(t *testing.T) {
			outcome := callUpstream(t, replytest.Start(t, head, "X-Id", false).Address, 10)
			if outcome.Err == nil || outcome.Err.NotRun {
				t.Fatalf("error %v, want one that does not say that the request has not run", outcome.Err)
			}
		})
	}
}

// Guards against parts of responses that count as complete.
func TestEarlyAnswerThatIsResetIsNoAnswer(t *testing.T) {
	for name, head := range replytest.EarlyHeads("") {
		t.Run(name, func(t *testing.T) {
			server := replytest.Start(t, head, "X-Id", true)
			for range earlyRounds {
				if outcome := callUpstream(t, server.Address, 16<<20); outcome.Err == nil {
					t.Errorf("got %d bytes as a complete answer", outcome.Bytes)
				}
			}
		})
	}
}

// Guards against an answer whose head or chunks stop early that counts as one without a body or
// with a short one.
func TestStoppedHeadIsNoAnswer(t *testing.T) {
	for name, head := range replytest.StoppedHeads("") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outcome := callUpstream(t, replytest.Start(t, head, "X-Id", false).Address, 10)
			if outcome.Err == nil || outcome.Err.NotRun {
				t.Fatalf("error %v, want one that does not say that the request has not run", outcome.Err)
			}
		})
	}
}
