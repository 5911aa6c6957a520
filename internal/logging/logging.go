// Package logging builds the loggers of the daemons: one line of key=value
// pairs per event.
package logging

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// New returns a logger that writes lines at or above the given level to w.
func New(w io.Writer, level, daemon string) (*zap.Logger, error) {
	var l zapcore.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, rollout.NewError(rollout.KindInvalidInput, "LogLevel %q: want debug, info, warn or error", level)
	}
	cfg := zapcore.EncoderConfig{
		TimeKey:     "Time",
		LevelKey:    "Level",
		MessageKey:  "Event",
		LineEnding:  zapcore.DefaultLineEnding,
		EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeTime: func(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
			enc.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
		},
		EncodeDuration: zapcore.MillisDurationEncoder,
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(core).With(zap.String("Daemon", daemon)), nil
}
