package processtest

import (
	"runtime"
	"runtime/debug"
	"time"
)

// heapInterval is the interval at which HeapGrowth looks at the heap.
const heapInterval = 5 * time.Millisecond

// garbageBytes is what may wait for the collector beside what the process held before.
const garbageBytes = 8 << 20

// HeapGrowth returns the most memory that the heap grows by while a function runs. The collector
// runs at least as often as by default, and so that what the process holds otherwise does not let
// more garbage wait.
func HeapGrowth(run func()) uint64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	percent := min(100, 1+int(100*garbageBytes/before.HeapInuse))
	defer debug.SetGCPercent(debug.SetGCPercent(percent))
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	most := before.HeapInuse
	for {
		select {
		case <-done:
			return most - before.HeapInuse
		case <-time.After(heapInterval):
		}
		runtime.ReadMemStats(&now)
		most = max(most, now.HeapInuse)
	}
}
