package eventlog

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replays an overload in which every request is rejected. Guards against a log
// that grows with the load, against lines that are omitted without being
// counted, and against one kind that suppresses another.
func TestLimiter(t *testing.T) {
	l := NewLimiter()
	written, reported := 0, 0
	for ms := range 3000 {
		now := time.Duration(ms) * time.Millisecond
		for range 5 {
			if ok, omitted := l.Allow(now, "503"); ok {
				written++
				reported += omitted
			}
		}
		ok, _ := l.Allow(now, "quiet")
		require.Equal(t, ms%1000 < DefaultLinesPerSecond, ok)
	}
	require.Equal(t, 3*DefaultLinesPerSecond, written)
	require.Equal(t, 2*(5000-DefaultLinesPerSecond), reported)
}

// Guards against a sample that differs between processes, is empty or contains
// all requests.
func TestSampled(t *testing.T) {
	hits := 0
	for i := range 6400 {
		if Sampled(strconv.Itoa(i), 64) {
			hits++
		}
		require.True(t, Sampled(strconv.Itoa(i), 1))
		require.False(t, Sampled(strconv.Itoa(i), 0))
	}
	require.InDelta(t, 100, hits, 40)
}
