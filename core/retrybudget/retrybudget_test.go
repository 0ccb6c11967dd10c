package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var limits = Limits{Ratio: 0.2, Margin: 60, Window: 10 * time.Second}

// Guards against a fleet that exceeds the bound on repeats when every request
// fails. Replays servers that shed half of their requests: each VM repeats
// whenever it may.
func TestFleetStaysWithinTheBound(t *testing.T) {
	const vms, perSecond = 10, 20
	budgets := make([]*Budget, vms)
	for i := range budgets {
		budgets[i] = New(limits)
	}
	repeats := make(map[int]int)
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
					repeats[ms/1000]++
				}
			}
		}
	}
	for second := 10; second < 40; second++ {
		var asked, again int
		for s := second - 9; s <= second; s++ {
			asked += requests[s]
			again += repeats[s]
		}
		require.LessOrEqual(t, float64(again), limits.Ratio*float64(asked)+limits.Margin)
		require.Greater(t, again, asked/10, "the budget is of use")
	}
}

// Guards against a VM that spends the slack of the whole fleet.
func TestMarginIsDivided(t *testing.T) {
	b := New(limits)
	n := 0
	for range 100 {
		if b.Take(time.Second, 10) {
			n++
		}
	}
	require.LessOrEqual(t, n, int(limits.Margin/10))
	require.Positive(t, n)
}

// Guards against requests of the past that pay for repeats now.
func TestOldRequestsDoNotCount(t *testing.T) {
	b := New(limits)
	for range 1000 {
		b.AddRequest(0)
	}
	require.True(t, b.Take(time.Second, 1000))
	require.False(t, b.Take(30*time.Second, 1000))
}
