package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
)

const (
	holderTimeout = 2 * time.Second
	// eventPrefix begins the data of a server-sent event.
	eventPrefix = "data:"
	// agentHolder marks the address of an agent among the holders.
	agentHolder = "agent:"
	// lostAfterMS is how long a payload may be out of reach before its sample
	// is given up.
	lostAfterMS = 15_000
)

// payloads holds the answers of samples until they are acknowledged.
type payloads struct {
	mu sync.Mutex
	// byAttempt holds the payloads of each trainer group by attempt.
	byGroup map[string]map[string]heldPayload
	// missingSince tells since when the payload of an attempt was not found.
	missingSince map[string]rollout.Millis
}

type heldPayload struct {
	data []byte
	// position is zero until the sample is committed.
	position uint64
}

func newPayloads() *payloads {
	return &payloads{byGroup: make(map[string]map[string]heldPayload), missingSince: make(map[string]rollout.Millis)}
}

func (p *payloads) put(group, attempt string, data []byte, position uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byGroup[group] == nil {
		p.byGroup[group] = make(map[string]heldPayload)
	}
	p.byGroup[group][attempt] = heldPayload{data: data, position: position}
}

func (p *payloads) get(group, attempt string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.byGroup[group][attempt]
	return h.data, ok
}

func (p *payloads) drop(group, attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byGroup[group], attempt)
}

// forget drops the payloads that were acknowledged.
func (p *payloads) forget(group string, acknowledged uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for attempt, h := range p.byGroup[group] {
		if h.position > 0 && h.position <= acknowledged {
			delete(p.byGroup[group], attempt)
			delete(p.missingSince, attempt)
		}
	}
}

// missing notes that a payload was not found and returns for how long.
func (p *payloads) missing(now rollout.Millis, attempt string) rollout.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.missingSince[attempt]
	if !ok {
		p.missingSince[attempt] = now
		since = now
	}
	return now - since
}

// Payload serves a payload to another entry.
func (e *entry) Payload(_ context.Context, req *wire.PayloadRequest) (*wire.PayloadReply, error) {
	data, ok := e.payloads.get(req.Group, req.Attempt)
	if !ok {
		return nil, rollout.NewError(rollout.KindNotFound, "no payload of attempt %s", req.Attempt)
	}
	return &wire.PayloadReply{Payload: data}, nil
}

// payload returns the payload of a committed sample from its holders. When
// each holder says that it has none, or none was reached for long, the sample
// is made void, so that another takes its place.
func (e *entry) payload(ctx context.Context, group string, s stream.Sample) ([]byte, error) {
	if data, ok := e.payloads.get(group, s.Attempt); ok && digestOf(data) == s.Digest {
		return data, nil
	}
	gone := true
	for _, holder := range s.Holders {
		data, err := e.fetchPayload(ctx, group, s, holder)
		if err == nil && digestOf(data) == s.Digest {
			e.payloads.put(group, s.Attempt, data, s.Position)
			return data, nil
		}
		if err != nil && !definite(err) {
			gone = false
		}
	}
	if gone || e.payloads.missing(e.clock.Now(), s.Attempt) > lostAfterMS {
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
	s, err := e.openAttempt(ctx, address, &wire.RunRequest{Attempt: attempt, Attach: true})
	if err != nil {
		return nil, err
	}
	defer s.close()
	return s.readAll(nil)
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

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// textEvent is the part of an engine's event that holds the text.
type textEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// textOf returns the text of a streamed answer.
func textOf(payload []byte) string {
	var out strings.Builder
	for line := range bytes.Lines(payload) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte(eventPrefix))
		if !ok {
			continue
		}
		var ev textEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			continue
		}
		for _, c := range ev.Choices {
			out.WriteString(c.Text)
			out.WriteString(c.Delta.Content)
		}
	}
	return out.String()
}
