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
	// holderTimeout bounds a request to one holder of a payload, and a refresh of
	// a step.
	holderTimeout = 2 * time.Second
	// agentHolderPrefix marks a holder as the address of an agent. Holders
	// without it are entries.
	agentHolderPrefix = "agent:"
	// payloadLossTimeoutMS is how long a payload may be unavailable before its
	// sample is reported as lost.
	payloadLossTimeoutMS = 15_000
)

// Payload implements wire.DRPCEntryServer. It returns a payload that this entry
// holds.
func (e *entry) Payload(_ context.Context, req *wire.PayloadRequest) (*wire.PayloadReply, error) {
	data, ok := e.payloads.Get(req.Group, req.Attempt)
	if !ok {
		return nil, rollout.NewError(rollout.KindNotFound, "the payload of attempt %s is not stored on this entry", req.Attempt)
	}
	return &wire.PayloadReply{Payload: data}, nil
}

// loadPayload returns the payload of a committed sample from one of its holders. If
// every holder confirms that it has no valid payload, or the payload has been
// unavailable for payloadLossTimeoutMS, the sample is reported as lost. Its
// position becomes void, and a new sample replaces it.
func (e *entry) loadPayload(ctx context.Context, group string, s stream.Sample) ([]byte, error) {
	if data, ok := e.payloads.Get(group, s.Attempt); ok && payload.Digest(data) == s.Digest {
		return data, nil
	}
	absent := true
	for _, holder := range s.Holders {
		data, err := e.fetchPayload(ctx, group, s, holder)
		if err == nil && payload.Digest(data) == s.Digest {
			e.payloads.Put(group, s.Attempt, data, s.Position)
			return data, nil
		}
		if err != nil && !confirmsAbsence(err) {
			absent = false
		}
	}
	if absent || e.payloads.RecordMissing(e.clock.Now(), s.Attempt) > payloadLossTimeoutMS {
		e.log.Warn("SampleLost", zap.String("Group", group), zap.Uint64("Position", s.Position), zap.String("Attempt", s.Attempt))
		if _, err := propose[any](ctx, e, ledger.Command{LoseSample: &stream.LoseSample{Group: group, Position: s.Position, Attempt: s.Attempt}}); err != nil {
			return nil, err
		}
	}
	return nil, rollout.NewError(rollout.KindUnavailable, "the payload of position %d of trainer group %s is unavailable", s.Position, group)
}

// fetchPayload requests the payload of a sample from one holder.
func (e *entry) fetchPayload(ctx context.Context, group string, s stream.Sample, holder string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	if address, ok := strings.CutPrefix(holder, agentHolderPrefix); ok {
		return e.fetchFromAgent(ctx, address, s.Attempt)
	}
	if holder == e.cfg.Address {
		return nil, rollout.NewError(rollout.KindNotFound, "the payload of attempt %s is not stored on this entry", s.Attempt)
	}
	reply, err := wire.NewDRPCEntryClient(e.dialer.Conn(ctx, holder)).Payload(ctx, &wire.PayloadRequest{
		Group: group, Position: s.Position, Attempt: s.Attempt,
	})
	if err != nil {
		return nil, err
	}
	return reply.Payload, nil
}

// fetchFromAgent reads the response that an agent has cached for an attempt.
func (e *entry) fetchFromAgent(ctx context.Context, address, attempt string) ([]byte, error) {
	s, err := e.openAttempt(ctx, address, &wire.RunRequest{Attempt: attempt, Attach: true})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return s.ReadAll(nil)
}

// confirmsAbsence reports whether the error comes from a holder that does not have
// the payload, and not from a failed call.
func confirmsAbsence(err error) bool {
	switch rollout.ParseError(err.Error()).Kind {
	case rollout.KindNotFound, rollout.KindConflict, rollout.KindOutcomeUnknown:
		return true
	default:
		return false
	}
}
