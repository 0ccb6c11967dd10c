package eventlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replays an overload in which every request is rejected. Guards against a log
// that grows with the load, against lines that vanish without a trace, and
// against one kind that hides another.
func TestLimiter(t *testing.T) {
	l := NewLimiter()
	written, told := 0, 0
	for ms := range 3000 {
		now := time.Duration(ms) * time.Millisecond
		for range 5 {
			if ok, omitted := l.Allow(now, "503"); ok {
				written++
				told += omitted
			}
		}
		ok, _ := l.Allow(now, "quiet")
		require.Equal(t, ms%1000 < linesPerSecond, ok)
	}
	require.Equal(t, 3*linesPerSecond, written)
	require.Equal(t, 2*(5000-linesPerSecond), told)
}
