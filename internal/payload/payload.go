// Package payload holds the answers of samples until their trainer has
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

// EventPrefix begins the data of a server-sent event.
const EventPrefix = "data:"

// Store holds the answers of samples until they are acknowledged.
type Store struct {
	mu sync.Mutex
	// byGroup holds the payloads of each trainer group by attempt.
	byGroup map[string]map[string]held
	// missingSince tells since when the payload of an attempt was not found.
	missingSince map[string]rollout.Millis
}

type held struct {
	data []byte
	// position is zero until the sample is committed.
	position uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{byGroup: make(map[string]map[string]held), missingSince: make(map[string]rollout.Millis)}
}

// Put holds a payload. The position is zero until the sample is committed.
func (s *Store) Put(group, attempt string, data []byte, position uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byGroup[group] == nil {
		s.byGroup[group] = make(map[string]held)
	}
	s.byGroup[group][attempt] = held{data: data, position: position}
}

// Get returns a payload and whether it is held.
func (s *Store) Get(group, attempt string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.byGroup[group][attempt]
	return h.data, ok
}

// Delete forgets a payload.
func (s *Store) Delete(group, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byGroup[group], attempt)
}

// DeleteAcknowledged drops the payloads that were acknowledged.
func (s *Store) DeleteAcknowledged(group string, acknowledged uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for attempt, h := range s.byGroup[group] {
		if h.position > 0 && h.position <= acknowledged {
			delete(s.byGroup[group], attempt)
			delete(s.missingSince, attempt)
		}
	}
}

// RecordMissing notes that a payload was not found and returns for how long.
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

// Digest returns the digest of a payload.
func Digest(data []byte) string {
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

// Text returns the text of a streamed answer.
func Text(payload []byte) string {
	var out strings.Builder
	for line := range bytes.Lines(payload) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte(EventPrefix))
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
