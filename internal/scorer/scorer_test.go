package scorer

import (
	"strings"
	"testing"

	"github.com/coltsfootspoke/coltsfootspoke/internal/replytest"
)

// Guards against scores from responses that HTTP does not allow.
func TestBrokenHeadIsNoScore(t *testing.T) {
	for name, head := range replytest.BrokenHeads("") {
		head = strings.Replace(head, "\r\n\r\nab", "\r\n\r\n{}", 1)
		t.Run(name, func(t *testing.T) {
			s := New("http://" + replytest.Start(t, head, "X-Id", false).Address)
			if score, err := s.Score(t.Context(), Request{Group: "g", Step: "s", Text: "t"}); err == nil {
				t.Fatalf("score %v, want an error", score)
			}
		})
	}
}
