package entry

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/payload"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
)

const (
	holderTimeout = 2 * time.Second
	// agentHolder marks the address of an agent among the holders.
	agentHolder = "agent:"
	// lostAfterMS is how long a payload may be out of reach before its sample
	// is given up.
	lostAfterMS = 15_000
)

// Payload serves a payload to another entry.
func (e *entry) Payload(_ context.Context, req *wire.PayloadRequest) (*wire.PayloadReply, error) {
	data, ok := e.payloads.Get(req.Group, req.Attempt)
	if !ok {
		return nil, rollout.NewError(rollout.KindNotFound, "no payload of attempt %s", req.Attempt)
	}
	return &wire.PayloadReply{Payload: data}, nil
}

// payload returns the payload of a committed sample from its holders. When
// each holder says that it has none, or none was reached for long, the sample
// is made void, so that another takes its place.
func (e *entry) payload(ctx context.Context, group string, s stream.Sample) ([]byte, error) {
	if data, ok := e.payloads.Get(group, s.Attempt); ok && payload.Digest(data) == s.Digest {
		return data, nil
	}
	gone := true
	for _, holder := range s.Holders {
		data, err := e.fetchPayload(ctx, group, s, holder)
		if err == nil && payload.Digest(data) == s.Digest {
			e.payloads.Put(group, s.Attempt, data, s.Position)
			return data, nil
		}
		if err != nil && !definite(err) {
			gone = false
		}
	}
	if gone || e.payloads.Missing(e.clock.Now(), s.Attempt) > lostAfterMS {
		e.log.Warn("SampleLost", zap.String("Group", group), zap.Uint64("Position", s.Position), zap.String("Attempt", s.Attempt))
		if _, err := propose[any](ctx, e, ledger.Command{LoseSample: &stream.Lose{Group: group, Position: s.Position, Attempt: s.Attempt}}); err != nil {
			return nil, err
		}
	}
	return nil, rollout.NewError(rollout.KindUnavailable, "the payload of position %d is out of reach", s.Position)
}

func (e *entry) fetchPayload(ctx context.Context, group string, s stream.Sample, holder string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	if address, ok := strings.CutPrefix(holder, agentHolder); ok {
		return e.fetchKept(ctx, address, s.Attempt)
	}
	if holder == e.cfg.Address {
		return nil, rollout.NewError(rollout.KindNotFound, "not held here")
	}
	reply, err := wire.NewDRPCEntryClient(e.dialer.Conn(ctx, holder)).Payload(ctx, &wire.PayloadRequest{
		Group: group, Position: s.Position, Attempt: s.Attempt,
	})
	if err != nil {
		return nil, err
	}
	return reply.Payload, nil
}

// fetchKept takes the answer that an agent kept.
func (e *entry) fetchKept(ctx context.Context, address, attempt string) ([]byte, error) {
	s, err := e.open(ctx, address, &wire.RunRequest{Attempt: attempt, Attach: true})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return s.ReadAll(nil)
}

// definite tells whether a holder itself says that it has no payload.
func definite(err error) bool {
	switch rollout.ParseError(err.Error()).Kind {
	case rollout.KindNotFound, rollout.KindConflict, rollout.KindOutcomeUnknown:
		return true
	default:
		return false
	}
}
