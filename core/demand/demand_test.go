package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against demand that is still reported long after its callers left, and
// against a change that takes more than three intervals to show.
func TestDemandFollowsCallers(t *testing.T) {
	m := New()
	now := time.Duration(0)
	interval := func(requests int) map[string]float64 {
		m.AddRequests("a", requests)
		now += 500 * time.Millisecond
		m.EndInterval(now)
		accounts, _ := m.Report()
		return accounts
	}
	require.InDelta(t, 20, interval(10)["a"], 0.01, "the first measurement counts in full")
	interval(50)
	interval(50)
	require.InDelta(t, 100, interval(50)["a"], 15)
	for range 20 {
		interval(0)
	}
	require.NotContains(t, interval(0), "a")
}

// Guards against counting work that only one region may serve as work for any region.
func TestWorkIsInBusySlots(t *testing.T) {
	m := New()
	for range 100 {
		m.AddWork("desk", "", 50)
		m.AddWork("desk", "north", 10)
	}
	m.EndInterval(time.Second)
	_, work := m.Report()
	require.InDelta(t, 5, work.Unpinned["desk"], 0.01)
	require.InDelta(t, 1, work.Pinned["north"]["desk"], 0.01)
	m.EndInterval(time.Second)
	_, unchanged := m.Report()
	require.Equal(t, work, unchanged, "an interval without duration changes nothing")
}
