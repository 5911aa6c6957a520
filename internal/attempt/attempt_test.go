package attempt

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"storj.io/drpc"

	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/retry"
)

// fakeStream returns the given chunks and then io.EOF.
type fakeStream struct {
	drpc.Stream
	chunks []*wire.RunChunk
}

func (s *fakeStream) Recv() (*wire.RunChunk, error) {
	if len(s.chunks) == 0 {
		return nil, io.EOF
	}
	c := s.chunks[0]
	s.chunks = s.chunks[1:]
	return c, nil
}

func (s *fakeStream) RecvMsg(*wire.RunChunk) error { return io.EOF }

func (s *fakeStream) Close() error { return nil }

func readAnswer(chunks ...*wire.RunChunk) ([]byte, error) {
	s := &Stream{attempt: "mine", ctx: context.Background(), cancel: func() {}, stream: &fakeStream{chunks: chunks}}
	return s.ReadAll(nil)
}

func headChunk(attempt string) *wire.RunChunk {
	return &wire.RunChunk{Attempt: attempt, Head: &wire.Head{Status: 200}}
}

func dataChunk(attempt, text string) *wire.RunChunk {
	return &wire.RunChunk{Attempt: attempt, Data: []byte(text)}
}

func endChunk(attempt string, length uint64, err string) *wire.RunChunk {
	return &wire.RunChunk{Attempt: attempt, End: &wire.End{Length: length, Error: err}}
}

func TestReadAllAcceptsOnlyCompleteOwnAnswer(t *testing.T) {
	for _, tc := range []struct {
		name   string
		chunks []*wire.RunChunk
		want   rollout.Kind
	}{
		{"head of another attempt", []*wire.RunChunk{headChunk("other"), dataChunk("other", "x"), endChunk("other", 1, "")}, rollout.KindInternal},
		{"data of another attempt", []*wire.RunChunk{headChunk("mine"), dataChunk("other", "x"), endChunk("mine", 1, "")}, rollout.KindInternal},
		{"end marker of another attempt", []*wire.RunChunk{headChunk("mine"), dataChunk("mine", "x"), endChunk("other", 1, "")}, rollout.KindInternal},
		{"status 0", []*wire.RunChunk{{Attempt: "mine", Head: &wire.Head{}}, dataChunk("mine", "x"), endChunk("mine", 1, "")}, rollout.KindUpstreamFailed},
		{"no end marker", []*wire.RunChunk{headChunk("mine"), dataChunk("mine", "x")}, rollout.KindTruncated},
		{"short answer", []*wire.RunChunk{headChunk("mine"), dataChunk("mine", "x"), endChunk("mine", 2, "")}, rollout.KindTruncated},
		{"error in the end marker", []*wire.RunChunk{headChunk("mine"), dataChunk("mine", "x"), endChunk("mine", 1, "Truncated: cut")}, rollout.KindTruncated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body, err := readAnswer(tc.chunks...)
			var e *rollout.Error
			if !errors.As(err, &e) || e.Kind != tc.want || e.NotRun {
				t.Fatalf("body %q, error %v, want %v", body, err, tc.want)
			}
		})
	}
	t.Run("complete own answer", func(t *testing.T) {
		body, err := readAnswer(headChunk("mine"), dataChunk("mine", "wh"), dataChunk("mine", "ole"), endChunk("mine", 5, ""))
		if err != nil || string(body) != "whole" {
			t.Fatalf("body %q, error %v", body, err)
		}
	})
}

// TestOpenAtStoppedAgentMayBeRetried covers an agent that has just stopped while
// the entry still routes to it: the request must be marked as not run, so that the
// entry may retry it.
func TestOpenAtStoppedAgentMayBeRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	dialer := link.NewDialer("secret")
	defer func() { _ = dialer.Close() }()
	_, err = Open(t.Context(), dialer, clock.NewManual(0), address, &wire.RunRequest{Attempt: "mine"})
	var r *rollout.Error
	if !errors.As(err, &r) || r.Kind != rollout.KindUnavailable || !r.NotRun {
		t.Fatalf("error %v, want Unavailable and not run", err)
	}
	if !retry.Allowed(retry.Attempt{Err: r, Number: 1, Remaining: 1}) {
		t.Fatal("retry.Allowed returned false, want true")
	}
}

// Guards against a status of an upstream that tells a caller that its request has not run, of a
// new answer as well as of a remembered one.
func TestStatusOfAnswerPromisesNothing(t *testing.T) {
	for _, status := range []int32{408, 421, 429, 503} {
		head := &wire.RunChunk{Attempt: "mine", Head: &wire.Head{Status: status, Headers: []*wire.Header{{Name: "retry-after", Value: "1"}, {Name: "X", Value: "y"}}}}
		s := &Stream{attempt: "mine", ctx: t.Context(), cancel: func() {}, stream: &fakeStream{chunks: []*wire.RunChunk{head, endChunk("mine", 0, "")}}}
		if _, err := s.ReadAll(nil); err != nil {
			t.Fatal(err)
		}
		if s.Head.Status != 502 || s.UpstreamStatus != int(status) || len(s.Head.Headers) != 1 {
			t.Errorf("status %d: got head %v, upstream status %d, want 502 without a Retry-After", status, s.Head, s.UpstreamStatus)
		}
	}
}
