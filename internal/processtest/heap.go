package processtest

import (
	"runtime"
	"time"
)

// heapInterval is the interval at which HeapGrowth looks at the heap.
const heapInterval = 5 * time.Millisecond

// HeapGrowth returns the most memory that the heap grows by while a function runs.
func HeapGrowth(run func()) uint64 {
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
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
