package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// windowsOpen is how many usage windows an entry reports: the one that runs
// and those that control may not have closed yet.
const windowsOpen = 3

// meter counts the requests that upstreams have begun, by usage window and
// client account.
type meter struct {
	incarnation string
	windowMS    rollout.Millis

	mu      sync.Mutex
	windows map[uint64]map[string]uint64
}

func newMeter(incarnation string, windowMS rollout.Millis) *meter {
	return &meter{incarnation: incarnation, windowMS: max(1, windowMS), windows: make(map[uint64]map[string]uint64)}
}

func (m *meter) count(account string) {
	if account == "" {
		return
	}
	w := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windows[w] == nil {
		m.windows[w] = make(map[string]uint64)
	}
	m.windows[w][account]++
}

func (m *meter) now() uint64 { return uint64(time.Now().UnixMilli()) / uint64(m.windowMS) }

// totals returns the totals of the open windows, or nil when there are none.
func (m *meter) totals() *view.Usage {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	u := &view.Usage{Incarnation: m.incarnation, Windows: make(map[uint64]map[string]uint64)}
	for w, counts := range m.windows {
		if w+windowsOpen <= now {
			delete(m.windows, w)
			continue
		}
		u.Windows[w] = maps.Clone(counts)
	}
	if len(u.Windows) == 0 {
		return nil
	}
	return u
}
