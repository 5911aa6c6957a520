package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// reportedWindows is the number of usage windows that an entry reports: the
// current one and those that the control leader may not have closed yet.
const reportedWindows = 3

// meter counts the requests that upstreams have begun to run, by usage window
// and client account.
type meter struct {
	incarnation string
	windowMS    rollout.Millis

	mu      sync.Mutex
	windows map[uint64]map[string]uint64
}

func newMeter(incarnation string, windowMS rollout.Millis) *meter {
	return &meter{incarnation: incarnation, windowMS: max(1, windowMS), windows: make(map[uint64]map[string]uint64)}
}

// count adds a request of a client account. Requests without an account are not
// counted.
func (m *meter) count(account string) {
	if account == "" {
		return
	}
	w := m.currentWindow()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.windows[w] == nil {
		m.windows[w] = make(map[string]uint64)
	}
	m.windows[w][account]++
}

func (m *meter) currentWindow() uint64 { return uint64(time.Now().UnixMilli()) / uint64(m.windowMS) }

// totals returns the counts of the reported windows, or nil if there are none.
// It deletes older windows.
func (m *meter) totals() *view.Usage {
	now := m.currentWindow()
	m.mu.Lock()
	defer m.mu.Unlock()
	u := &view.Usage{Incarnation: m.incarnation, Windows: make(map[uint64]map[string]uint64)}
	for w, counts := range m.windows {
		if w+reportedWindows <= now {
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
