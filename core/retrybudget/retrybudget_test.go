package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var limits = Limits{Ratio: 0.2, Margin: 60, Window: 10 * time.Second}

// Guards against a fleet that exceeds the limit on retries when requests fail. Each
// VM retries every request up to three times if its budget allows it.
func TestFleetStaysWithinTheBound(t *testing.T) {
	const vms, perSecond = 10, 20
	budgets := make([]*Budget, vms)
	for i := range budgets {
		budgets[i] = New(limits)
	}
	retries := make(map[int]int)
	requests := make(map[int]int)
	for ms := range 40_000 {
		now := time.Duration(ms) * time.Millisecond
		if ms%(1000/perSecond) != 0 {
			continue
		}
		for _, b := range budgets {
			b.AddRequest(now)
			requests[ms/1000]++
			for range 3 {
				if b.Take(now, vms) {
					retries[ms/1000]++
				}
			}
		}
	}
	for second := 10; second < 40; second++ {
		var windowRequests, windowRetries int
		for s := second - 9; s <= second; s++ {
			windowRequests += requests[s]
			windowRetries += retries[s]
		}
		require.LessOrEqual(t, float64(windowRetries), limits.Ratio*float64(windowRequests)+limits.Margin)
		require.Greater(t, windowRetries, windowRequests/10, "the budget allows retries")
	}
}

// Guards against one VM spending the margin of the whole fleet.
func TestMarginIsDivided(t *testing.T) {
	b := New(limits)
	retries := 0
	for range 100 {
		if b.Take(time.Second, 10) {
			retries++
		}
	}
	require.LessOrEqual(t, retries, int(limits.Margin/10))
	require.Positive(t, retries)
}

// Guards against requests that still allow retries after the window.
func TestOldRequestsDoNotCount(t *testing.T) {
	b := New(limits)
	for range 1000 {
		b.AddRequest(0)
	}
	require.True(t, b.Take(time.Second, 1000))
	require.False(t, b.Take(30*time.Second, 1000))
}
