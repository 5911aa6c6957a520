// Package session tracks the running requests of each key, so that they can be
// cancelled when the key is withdrawn.
package session

import (
	"context"
	"sync"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// Table tracks the running requests of each key. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// byKey holds the cancel functions of the running requests by key ID.
	byKey  map[string]map[uint64]context.CancelCauseFunc
	lastID uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{byKey: make(map[string]map[uint64]context.CancelCauseFunc)}
}

// Add registers a running request. The returned function removes it.
func (t *Table) Add(keyID string, cancel context.CancelCauseFunc) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	id := t.lastID
	if t.byKey[keyID] == nil {
		t.byKey[keyID] = make(map[uint64]context.CancelCauseFunc)
	}
	t.byKey[keyID][id] = cancel
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byKey[keyID], id)
		if len(t.byKey[keyID]) == 0 {
			delete(t.byKey, keyID)
		}
	}
}

// CancelAll cancels the requests of all keys.
func (t *Table) CancelAll(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, running := range t.byKey {
		for _, cancel := range running {
			cancel(cause)
		}
	}
}

// CancelWithdrawn cancels the requests whose key is withdrawn or no longer in
// the catalog.
func (t *Table) CancelWithdrawn(c *catalog.Catalog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for keyID, running := range t.byKey {
		if k, ok := c.Keys[keyID]; ok && !k.Withdrawn {
			continue
		}
		for _, cancel := range running {
			cancel(rollout.NewError(rollout.KindWithdrawn, "key %s was withdrawn", keyID))
		}
	}
}
