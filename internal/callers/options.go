package callers

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/intake"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
)

// The limits of a listener for which the configuration names none.
const (
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
	// AuxiliaryConnections is the number of connections of a listener that serves only
	// the platform or an operator.
	AuxiliaryConnections = 128
)

// Options configures a Server. Zero fields select defaults.
type Options struct {
	// Intake is shared by all listeners of the process.
	Intake *intake.Intake
	// MaxConnections is the number of connections that may be open. It defaults to
	// AuxiliaryConnections.
	MaxConnections int
	// Limits returns the limits in force, which may change between calls. BodyBytes is not
	// used.
	Limits func() document.Limits
	// BodyCopies is how many times its length a request with a body takes beside it. Only
	// LimitFastHTTP uses it; handlers of a Server name it as they read a body.
	BodyCopies int64
	Log        *zap.Logger
	// ErrorBody returns the body of the response to a request that is refused before a
	// handler is called.
	ErrorBody func(err *rollout.Error) []byte
}

// limits are the limits of a connection.
type limits struct {
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.Intake == nil {
		o.Intake = intake.New(intake.Options{})
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = AuxiliaryConnections
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.ErrorBody == nil {
		o.ErrorBody = func(err *rollout.Error) []byte {
			data, _ := json.Marshal(map[string]string{"error": err.Error()})
			return data
		}
	}
	return o
}

func (o Options) limits() limits {
	l := limits{DefaultHeaderBytes, DefaultHeaderTimeout, DefaultIdleTimeout}
	if o.Limits == nil {
		return l
	}
	named := o.Limits()
	if named.HeaderBytes > 0 {
		l.HeaderBytes = named.HeaderBytes
	}
	if named.HeaderTimeoutMS > 0 {
		l.HeaderTimeout = time.Duration(named.HeaderTimeoutMS) * time.Millisecond
	}
	if named.IdleTimeoutMS > 0 {
		l.IdleTimeout = time.Duration(named.IdleTimeoutMS) * time.Millisecond
	}
	return l
}
