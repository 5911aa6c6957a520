package logging

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity is the number of lines that may wait to be written; further
	// lines are dropped and counted.
	queueCapacity = 2_048
	// Of each event below the warning level, the first sampleFirst lines in a
	// second are kept, then every sampleEvery-th line.
	sampleFirst = 200
	sampleEvery = 20
	// dropReportInterval is the interval at which the number of dropped lines is
	// logged.
	dropReportInterval = time.Second
)

// Sink queues lines and writes them from its own goroutine, so that logging does
// not block when the output is not read.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// Dropped returns the number of lines dropped, including those removed by
// sampling.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Run writes queued lines until the context is done and the queue is empty.
func (s *Sink) Run(ctx context.Context, log *zap.Logger) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case line := <-s.lines:
			_, _ = s.w.Write(line)
		case <-ticker.C:
			if dropped := s.Dropped(); dropped != reported {
				log.Warn("LinesDropped", zap.Uint64("Count", dropped-reported))
				reported = dropped
			}
		case <-ctx.Done():
			s.drain()
			return
		}
	}
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Write implements zapcore.WriteSyncer. It never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			_, _ = s.w.Write(line)
		default:
			return
		}
	}
}

// NewBounded returns a logger with bounded output and its sink. Lines are written
// only while Sink.Run is running. Lines at or above the warning level are not
// sampled.
func NewBounded(w io.Writer, level, daemon string) (*zap.Logger, *Sink, error) {
	s := &Sink{w: w, lines: make(chan []byte, queueCapacity)}
	log, err := New(s, level, daemon)
	if err != nil {
		return nil, nil, err
	}
	count := func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			s.dropped.Add(1)
		}
	}
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		below := belowWarningCore{core}
		sampled := zapcore.NewSamplerWithOptions(below, time.Second, sampleFirst, sampleEvery, zapcore.SamplerHook(count))
		above, err := zapcore.NewIncreaseLevelCore(core, zapcore.WarnLevel)
		if err != nil {
			return core
		}
		return zapcore.NewTee(sampled, above)
	})), s, nil
}

// belowWarningCore passes on only entries below the warning level.
type belowWarningCore struct{ zapcore.Core }

// Check implements zapcore.Core.
func (b belowWarningCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(e.Level) {
		return ce
	}
	return ce.AddCore(e, b)
}

// Enabled implements zapcore.Core.
func (b belowWarningCore) Enabled(l zapcore.Level) bool {
	return l < zapcore.WarnLevel && b.Core.Enabled(l)
}

// With implements zapcore.Core.
func (b belowWarningCore) With(fields []zapcore.Field) zapcore.Core {
	return belowWarningCore{b.Core.With(fields)}
}
