package eventlog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultLinesPerSecond is the number of lines of one kind that are written in
// a second. In normal operation, a VM of the present size rejects fewer
// requests than that, so that each rejection is logged.
const DefaultLinesPerSecond = 200

// Limiter bounds the log lines of each kind per second. It is not safe for
// concurrent use.
type Limiter struct {
	kinds map[string]*kindState
	limit int
}

type kindState struct {
	second  time.Duration
	written int
	omitted int
}

// NewLimiter returns a limiter with the limit DefaultLinesPerSecond.
func NewLimiter() *Limiter {
	return &Limiter{kinds: make(map[string]*kindState), limit: DefaultLinesPerSecond}
}

// SetLimit changes the number of lines of each kind per second.
func (l *Limiter) SetLimit(linesPerSecond int) { l.limit = linesPerSecond }

// Allow reports whether a line of a kind may be written now, and how many lines
// of the kind were omitted since the last one.
func (l *Limiter) Allow(now time.Duration, kind string) (ok bool, omitted int) {
	state := l.kinds[kind]
	if state == nil {
		state = &kindState{}
		l.kinds[kind] = state
	}
	if second := now / time.Second; second != state.second {
		state.second, state.written = second, 0
	}
	if state.written >= l.limit {
		state.omitted++
		return false, 0
	}
	state.written++
	omitted, state.omitted = state.omitted, 0
	return true, omitted
}

// Sampled reports whether the request with this id belongs to the sample of one
// in n that is logged. All processes select the same requests. If n is 0, none
// is selected.
func Sampled(id string, n int) bool { return n > 0 && xxhash.Sum64String(id)%uint64(n) == 0 }
