package eventlog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultLinesPerSecond is the number of lines of one kind that are written in a
// second. A VM of today's size rejects fewer requests than that on an ordinary
// day, so that each of them has its line.
const DefaultLinesPerSecond = 200

// Limiter bounds the lines of each kind. It is not safe for concurrent use.
type Limiter struct {
	kinds map[string]*kindCount
	limit int
}

type kindCount struct {
	second  time.Duration
	written int
	omitted int
}

// NewLimiter returns a limiter.
func NewLimiter() *Limiter {
	return &Limiter{kinds: make(map[string]*kindCount), limit: DefaultLinesPerSecond}
}

// SetLimit changes the number of lines of each kind a second.
func (l *Limiter) SetLimit(linesPerSecond int) { l.limit = linesPerSecond }

// Allow reports whether a line of a kind may be written at now, and how many
// lines of the kind were left out since the last one.
func (l *Limiter) Allow(now time.Duration, kind string) (ok bool, omitted int) {
	k := l.kinds[kind]
	if k == nil {
		k = &kindCount{}
		l.kinds[kind] = k
	}
	if second := now / time.Second; second != k.second {
		k.second, k.written = second, 0
	}
	if k.written >= l.limit {
		k.omitted++
		return false, 0
	}
	k.written++
	omitted, k.omitted = k.omitted, 0
	return true, omitted
}

// Sampled reports whether an id belongs to the one in n that is logged, by all
// processes alike; with n 0 none does.
func Sampled(id string, n int) bool { return n > 0 && xxhash.Sum64String(id)%uint64(n) == 0 }
