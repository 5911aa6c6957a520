// Package payload stores the responses of samples until their trainer group has
// acknowledged them.
package payload

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// EventPrefix precedes the data of a server-sent event.
const EventPrefix = "data:"

// Store holds payloads in memory. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// byGroup holds the payloads by trainer group and attempt ID.
	byGroup map[string]map[string]storedPayload
	// missingSince holds the time at which the payload of an attempt was first
	// not found.
	missingSince map[string]rollout.Millis
}

type storedPayload struct {
	data []byte
	// position is the position of the sample, or zero until it is committed.
	position uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{byGroup: make(map[string]map[string]storedPayload), missingSince: make(map[string]rollout.Millis)}
}

// Put stores a payload. The position is zero until the sample is committed.
func (s *Store) Put(group, attempt string, data []byte, position uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byGroup[group] == nil {
		s.byGroup[group] = make(map[string]storedPayload)
	}
	s.byGroup[group][attempt] = storedPayload{data: data, position: position}
}

// Get returns a payload and whether it is stored.
func (s *Store) Get(group, attempt string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.byGroup[group][attempt]
	return p.data, ok
}

// Delete deletes a payload.
func (s *Store) Delete(group, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byGroup[group], attempt)
}

// DeleteAcknowledged deletes the committed payloads of a group up to and including
// the acknowledged position.
func (s *Store) DeleteAcknowledged(group string, acknowledged uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for attempt, p := range s.byGroup[group] {
		if p.position > 0 && p.position <= acknowledged {
			delete(s.byGroup[group], attempt)
			delete(s.missingSince, attempt)
		}
	}
}

// RecordMissing records that the payload of an attempt was not found, and returns
// the time since this was first recorded.
func (s *Store) RecordMissing(now rollout.Millis, attempt string) rollout.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, ok := s.missingSince[attempt]
	if !ok {
		s.missingSince[attempt] = now
		since = now
	}
	return now - since
}

// Digest returns the hex SHA-256 of a payload.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// completionEvent holds the text of an event of an engine's stream.
type completionEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Text returns the generated text of a streamed response. It skips lines that are
// not completion events.
func Text(payload []byte) string {
	var out strings.Builder
	for line := range bytes.Lines(payload) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte(EventPrefix))
		if !ok {
			continue
		}
		var ev completionEvent
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
