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

// meter counts the requests that upstreams have begun to run, and those refused for lack
// of room, by usage window and client account.
type meter struct {
	incarnation string
	windowMS    rollout.Millis

	mu      sync.Mutex
	windows map[uint64]map[string]uint64
	// refused is nil until the first refusal.
	refused map[uint64]map[string]uint64
}

func newMeter(incarnation string, windowMS rollout.Millis) *meter {
	return &meter{incarnation: incarnation, windowMS: max(1, windowMS), windows: make(map[uint64]map[string]uint64)}
}

// count adds a request of a client account that an upstream has begun to run. Requests
// without an account are not counted.
func (m *meter) count(account string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addCount(m.windows, m.currentWindow(), account)
}

// countRefused adds a request of a client account that was refused for lack of room.
func (m *meter) countRefused(account string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refused == nil {
		m.refused = make(map[uint64]map[string]uint64)
	}
	addCount(m.refused, m.currentWindow(), account)
}

func addCount(windows map[uint64]map[string]uint64, w uint64, account string) {
	if account == "" {
		return
	}
	if windows[w] == nil {
		windows[w] = make(map[string]uint64)
	}
	windows[w][account]++
}

func (m *meter) currentWindow() uint64 { return uint64(time.Now().UnixMilli()) / uint64(m.windowMS) }

// totals returns the counts of the reported windows, or nil if there are none.
// It deletes older windows.
func (m *meter) totals() *view.Usage {
	now := m.currentWindow()
	m.mu.Lock()
	defer m.mu.Unlock()
	u := &view.Usage{Incarnation: m.incarnation, Windows: reported(m.windows, now), Refused: reported(m.refused, now)}
	if len(u.Windows) == 0 && len(u.Refused) == 0 {
		return nil
	}
	return u
}

// reported returns the counts of the reported windows, or nil if there are none. It
// deletes older windows.
func reported(windows map[uint64]map[string]uint64, now uint64) map[uint64]map[string]uint64 {
	var counts map[uint64]map[string]uint64
	for w, c := range windows {
		if w+reportedWindows <= now {
			delete(windows, w)
			continue
		}
		if counts == nil {
			counts = make(map[uint64]map[string]uint64)
		}
		counts[w] = maps.Clone(c)
	}
	return counts
}
