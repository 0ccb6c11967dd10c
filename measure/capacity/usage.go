package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the user and system time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap returns the heap bytes in use after garbage collection. The second
// collection frees what finalizers and pools kept alive.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// allocations returns the number of heap objects allocated so far.
func allocations() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
