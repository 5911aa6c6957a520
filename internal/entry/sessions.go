package entry

import (
	"context"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// sessions holds the running requests of each key, so that a withdrawal cuts
// them.
type sessions struct {
	mu sync.Mutex
	// byKey holds the cancel functions of the running requests by key ID.
	byKey map[string]map[uint64]context.CancelCauseFunc
	next  uint64
}

func newSessions() *sessions {
	return &sessions{byKey: make(map[string]map[uint64]context.CancelCauseFunc)}
}

// add notes a running request. The returned function forgets it.
func (s *sessions) add(keyID string, cancel context.CancelCauseFunc) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	if s.byKey[keyID] == nil {
		s.byKey[keyID] = make(map[uint64]context.CancelCauseFunc)
	}
	s.byKey[keyID][id] = cancel
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.byKey[keyID], id)
		if len(s.byKey[keyID]) == 0 {
			delete(s.byKey, keyID)
		}
	}
}

// cutAll cuts the requests of all keys.
func (s *sessions) cutAll(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, running := range s.byKey {
		for _, cancel := range running {
			cancel(cause)
		}
	}
}

// cutWithdrawn cuts the requests whose key is no longer valid.
func (s *sessions) cutWithdrawn(c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for keyID, running := range s.byKey {
		if k, ok := c.Keys[keyID]; ok && !k.Withdrawn {
			continue
		}
		for _, cancel := range running {
			cancel(rollout.NewError(rollout.KindWithdrawn, "key %s was withdrawn", keyID))
		}
	}
}
