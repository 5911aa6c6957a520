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
	// queuedLines bounds the lines that wait for a reader of the output; more
	// are dropped and counted.
	queuedLines = 2_048
	// Of each event below warning, the first sampleFirst lines of a second are
	// kept, then each sampleEvery-th.
	sampleFirst = 200
	sampleEvery = 20
	// reportInterval is the time between two lines that tell what was dropped.
	reportInterval = time.Second
)

// Sink hands lines to a writer from a thread of its own, so that nobody waits
// for an output that is not read.
type Sink struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// Dropped returns how many lines were dropped, sampled ones included.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Run writes lines until the context ends and the queue is empty.
func (s *Sink) Run(ctx context.Context, log *zap.Logger) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var told uint64
	for {
		select {
		case line := <-s.lines:
			_, _ = s.w.Write(line)
		case <-ticker.C:
			if now := s.Dropped(); now != told {
				log.Warn("LinesDropped", zap.Uint64("Count", now-told))
				told = now
			}
		case <-ctx.Done():
			s.drain()
			return
		}
	}
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Write implements zapcore.WriteSyncer. It never waits.
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

// NewBounded returns a logger whose volume is bounded, and the sink that must
// run for its lines to be written. Lines from warning on are not sampled.
func NewBounded(w io.Writer, level, daemon string) (*zap.Logger, *Sink, error) {
	s := &Sink{w: w, lines: make(chan []byte, queuedLines)}
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
		below := belowWarning{core}
		sampled := zapcore.NewSamplerWithOptions(below, time.Second, sampleFirst, sampleEvery, zapcore.SamplerHook(count))
		above, err := zapcore.NewIncreaseLevelCore(core, zapcore.WarnLevel)
		if err != nil {
			return core
		}
		return zapcore.NewTee(sampled, above)
	})), s, nil
}

// belowWarning passes on what is below warning.
type belowWarning struct{ zapcore.Core }

// Check implements zapcore.Core.
func (b belowWarning) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(e.Level) {
		return ce
	}
	return ce.AddCore(e, b)
}

// Enabled implements zapcore.Core.
func (b belowWarning) Enabled(l zapcore.Level) bool {
	return l < zapcore.WarnLevel && b.Core.Enabled(l)
}

// With implements zapcore.Core.
func (b belowWarning) With(fields []zapcore.Field) zapcore.Core {
	return belowWarning{b.Core.With(fields)}
}
