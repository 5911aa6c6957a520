package logging_test

import (
	"context"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/logging"
)

// BenchmarkLine measures logging one line of a routed request, including the
// write.
func BenchmarkLine(b *testing.B) {
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	log, sink, err := logging.NewBounded(out, "info", "frontend-1/entry")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sink.Run(ctx, log)
	}()
	b.ReportAllocs()
	for b.Loop() {
		log.Warn("Answered", zap.String("Request", "9c41d07be2a35f68"), zap.String("Route", "orders"),
			zap.String("Upstream", "i-7f3a91c2"), zap.Int("Status", 200), zap.Duration("Took", 31*time.Millisecond))
	}
	cancel()
	<-done
}
