package regionflow

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loads have few servers where as many callers are as elsewhere, like lotdesk
// in visayas.
func loads(demand float64) []RegionLoad {
	return []RegionLoad{{"luzon", demand, 64}, {"mindanao", demand, 48}, {"visayas", demand, 16}}
}

// Guards against moving requests while their own region has room: each costs a
// round trip.
func TestRegionWithRoomKeepsItsRequests(t *testing.T) {
	require.Equal(t, map[string]float64{"luzon": 1}, TargetShares("luzon", loads(9)))
	require.Equal(t, map[string]float64{"visayas": 1}, TargetShares("visayas", loads(9)))
}

// Guards against a region that is loaded beyond its capacity while others have
// room, and against regions that pass requests to each other.
func TestExcessMovesToRegionsWithRoom(t *testing.T) {
	all := loads(30)
	served := make(map[string]float64)
	for _, l := range all {
		var sum float64
		for region, share := range TargetShares(l.Region, all) {
			served[region] += share * l.Demand
			sum += share
		}
		require.InDelta(t, 1, sum, 1e-9)
	}
	for _, l := range all {
		require.LessOrEqual(t, served[l.Region], l.Capacity*0.9, l.Region)
	}
	require.Equal(t, map[string]float64{"luzon": 1}, TargetShares("luzon", all))
}

// Guards against a division by zero where a service has no servers at all.
func TestNoCapacity(t *testing.T) {
	require.Equal(t, map[string]float64{"a": 1}, TargetShares("a", []RegionLoad{{"a", 5, 0}, {"b", 0, 0}}))
}

// Guards against shares that swing: within 2 s less than the bound on shifts
// may change region, whatever the target does.
func TestSharesMoveSlowly(t *testing.T) {
	const perSecond = 0.15 / 6
	var f Flow
	f.Step(0, map[string]float64{"a": 1}, perSecond, true)
	before := f.Shares()
	for i := 1; i <= 200; i++ {
		target := map[string]float64{"b": 1}
		if i/10%2 == 0 {
			target = map[string]float64{"c": 1}
		}
		f.Step(time.Duration(i)*250*time.Millisecond, target, perSecond, false)
		if i%8 == 0 {
			var moved float64
			for _, r := range []string{"a", "b", "c"} {
				moved += math.Abs(f.Shares()[r]-before[r]) / 2
			}
			require.LessOrEqual(t, moved, 2*perSecond+3*minShare)
			before = f.Shares()
		}
	}
}

// Guards against the first seconds of a day, in which a region with few
// servers gets all of its requests because nothing was measured yet.
func TestAssumedDemandSpreadsARegionWithFewServers(t *testing.T) {
	unknown := AssumeEqualDemand(loads(0), nil)
	require.Less(t, TargetShares("visayas", unknown)["visayas"], 0.6)
	require.Greater(t, TargetShares("luzon", unknown)["luzon"], 0.99)
}

// Guards against a region that keeps its callers' requests while accounts of
// all regions may only be served there.
func TestAssumedDemandCountsWhatIsPinned(t *testing.T) {
	all := []RegionLoad{{"a", 0, 40}, {"b", 0, 40}}
	require.Equal(t, map[string]float64{"a": 1}, TargetShares("a", AssumeEqualDemand(all, nil)))
	require.Less(t, TargetShares("a", AssumeEqualDemand(all, map[string]float64{"a": 0.4}))["a"], 0.7)
}

// Guards against objects that change region though the shares did not.
func TestChooseFollowsTheShares(t *testing.T) {
	var f Flow
	f.Step(0, map[string]float64{"a": 0.5, "b": 0.3, "c": 0.2}, 1, true)
	counts := make(map[string]int)
	for i := range 1000 {
		counts[f.ChooseRegion("a", float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"a": 500, "b": 300, "c": 200}, counts)
	require.Equal(t, "a", new(Flow).ChooseRegion("a", 0.99))
}
