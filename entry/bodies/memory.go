package bodies

import "sync"

// Memory bounds the memory that bodies have at the same time. It is safe for concurrent use.
type Memory struct {
	limits Limits

	mu       sync.Mutex
	used     int64
	bySource map[string]int64
}

// growing is held while a long body is copied to a larger buffer, so that one of them at a time has two.
var growing sync.Mutex

// Limits are the bounds of a Memory in bytes.
type Limits struct {
	// Total bounds all bodies, PerSource those that come from one source.
	Total, PerSource int64
	// ShortReserve is the part of both that only bodies of up to ShortBytes get.
	ShortReserve int64
	// Uncounted is the size up to which a body always gets its memory.
	Uncounted int64
}

// ShortBytes is the size up to which a body is short.
const ShortBytes = 1 << 20

// NewMemory returns a memory without bodies.
func NewMemory(limits Limits) *Memory {
	return &Memory{limits: limits, bySource: make(map[string]int64)}
}

// Used returns the memory of all bodies in bytes.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Reservation is the memory of one body. It must be released.
type Reservation struct {
	memory *Memory
	source string
	bytes  int64
}

// Reserve returns a reservation without memory for a body from a source.
func (m *Memory) Reserve(source string) *Reservation { return &Reservation{memory: m, source: source} }

// resize changes the memory of the body. It reports false if the limits do not allow it.
func (r *Reservation) resize(size int64) bool {
	m := r.memory
	if size <= m.limits.Uncounted {
		size = 0
	}
	reserve := int64(0)
	if size > ShortBytes {
		reserve = m.limits.ShortReserve
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	added := size - r.bytes
	if added > 0 && (m.used+added > m.limits.Total-reserve || m.bySource[r.source]+added > m.limits.PerSource-reserve) {
		return false
	}
	m.used += added
	if m.bySource[r.source] += added; m.bySource[r.source] == 0 {
		delete(m.bySource, r.source)
	}
	r.bytes = size
	return true
}

// Release ends the reservation: the body is no longer in use. It may be called again.
func (r *Reservation) Release() { r.resize(0) }
