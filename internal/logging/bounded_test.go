package logging_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/logging"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ started, release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	select {
	case b.started <- struct{}{}:
	default:
	}
	<-b.release
	return len(p), nil
}

// captureOutput returns the output of all lines that emit logs, and the sink.
func captureOutput(t *testing.T, emit func(*zap.Logger)) (string, *logging.Sink) {
	t.Helper()
	var out bytes.Buffer
	log, sink, err := logging.NewBounded(&out, "info", "d")
	if err != nil {
		t.Fatal(err)
	}
	emit(log)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	sink.Run(ctx, log)
	return out.String(), sink
}

func TestFrequentEventIsSampled(t *testing.T) {
	out, sink := captureOutput(t, func(log *zap.Logger) {
		for range 1_000 {
			log.Info("Routine")
		}
	})
	lines := strings.Count(out, "Event=Routine")
	if lines >= 1_000 || uint64(1_000-lines) != sink.Dropped() {
		t.Fatalf("%d lines written, %d dropped", lines, sink.Dropped())
	}
}

func TestWarningsAreNotSampled(t *testing.T) {
	out, sink := captureOutput(t, func(log *zap.Logger) {
		for range 1_000 {
			log.Warn("Failed")
		}
	})
	if lines := strings.Count(out, "Event=Failed"); lines != 1_000 || sink.Dropped() != 0 {
		t.Fatalf("%d lines written, %d dropped", lines, sink.Dropped())
	}
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	b := blockedWriter{make(chan struct{}, 1), make(chan struct{})}
	log, sink, err := logging.NewBounded(b, "info", "d")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { sink.Run(ctx, log) })
	log.Warn("First")
	<-b.started
	for range 10_000 {
		log.Warn("Failed")
	}
	if sink.Dropped() == 0 {
		t.Fatal("no lines dropped while the output is blocked")
	}
	close(b.release)
	cancel()
	wait.Wait()
}

func TestDebugLinesAreNotWrittenAtInfoLevel(t *testing.T) {
	if out, _ := captureOutput(t, func(log *zap.Logger) { log.Debug("Detail") }); out != "" {
		t.Fatalf("output %q", out)
	}
}
