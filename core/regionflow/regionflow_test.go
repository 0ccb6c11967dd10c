package regionflow

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testLoads has the same demand in all regions and few servers in visayas, like the
// lotdesk service.
func testLoads(demand float64) []RegionLoad {
	return []RegionLoad{{"luzon", demand, 64}, {"mindanao", demand, 48}, {"visayas", demand, 16}}
}

// Guards against moving requests while their own region has capacity: each move
// costs a round trip.
func TestRegionWithSpareCapacityKeepsItsRequests(t *testing.T) {
	require.Equal(t, map[string]float64{"luzon": 1}, TargetShares("luzon", testLoads(9)))
	require.Equal(t, map[string]float64{"visayas": 1}, TargetShares("visayas", testLoads(9)))
}

// Guards against a region that is loaded beyond its capacity while others have
// spare capacity, and against regions that move requests to each other.
func TestExcessMovesToRegionsWithSpareCapacity(t *testing.T) {
	loads := testLoads(30)
	served := make(map[string]float64)
	for _, l := range loads {
		var sum float64
		for region, share := range TargetShares(l.Region, loads) {
			served[region] += share * l.Demand
			sum += share
		}
		require.InDelta(t, 1, sum, 1e-9)
	}
	for _, l := range loads {
		require.LessOrEqual(t, served[l.Region], l.Capacity*0.9, l.Region)
	}
	require.Equal(t, map[string]float64{"luzon": 1}, TargetShares("luzon", loads))
}

// Guards against a division by zero for a service without any servers.
func TestNoCapacity(t *testing.T) {
	require.Equal(t, map[string]float64{"a": 1}, TargetShares("a", []RegionLoad{{"a", 5, 0}, {"b", 0, 0}}))
}

// Guards against oscillating shares: within 2 s less than the limit on shifts may
// change region, whatever the target does.
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
			var shifted float64
			for _, r := range []string{"a", "b", "c"} {
				shifted += math.Abs(f.Shares()[r]-before[r]) / 2
			}
			require.LessOrEqual(t, shifted, 2*perSecond+3*minShare)
			before = f.Shares()
		}
	}
}

// Guards against shares that move at once by what they were allowed to move during a pause,
// in which there was no valid digest, the links were lost or the process was suspended. All
// VMs get the next digest at about the same moment.
func TestSharesDoNotJumpAfterAPause(t *testing.T) {
	const perSecond = 0.15 / 6
	for _, pause := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second, time.Hour} {
		var f Flow
		f.Step(0, map[string]float64{"a": 1}, perSecond, true)
		for i := range 9 {
			f.Step(pause+time.Duration(i)*250*time.Millisecond, map[string]float64{"a": 0.5, "b": 0.5}, perSecond, false)
		}
		require.LessOrEqual(t, f.Shares()["b"], 3*perSecond, "within 2 s after a pause of %s", pause)
		require.Positive(t, f.Shares()["b"])
	}
}

// Guards against a VM that starts in a fleet with traffic and begins with shares of equal
// demand, and against a fleet that starts together and whose shares jump with the first demand.
func TestSharesOfAVMThatStarts(t *testing.T) {
	idle, busy := testLoads(0), testLoads(20)
	type observation struct {
		loads          []RegionLoad
		valid, settled bool
	}
	for name, c := range map[string]struct {
		observations  []observation
		measuredAfter int
		adopt         bool
	}{
		"fleet with traffic":           {[]observation{{idle, false, false}, {idle, false, false}, {busy, true, true}}, 3, true},
		"fleet that starts together":   {[]observation{{idle, true, true}, {idle, true, true}, {busy, true, true}}, 3, false},
		"hub that has just started":    {[]observation{{idle, false, false}, {busy, true, false}}, 2, false},
		"digest that is no more valid": {[]observation{{busy, false, true}}, 1, false},
	} {
		var tracker DemandTracker
		for i, o := range c.observations {
			measured, adopt := tracker.Observe(o.loads, o.valid, o.settled)
			require.Equal(t, i+1 >= c.measuredAfter, measured, name)
			require.Equal(t, measured && c.adopt, adopt, name)
		}
		measured, adopt := tracker.Observe(idle, true, true)
		require.True(t, measured, name)
		require.False(t, adopt, "%s: once at most", name)
	}
}

// Guards against a region with few servers that serves all of its requests in the
// first seconds after a start, because no demand was measured yet.
func TestAssumedDemandSpreadsARegionWithFewServers(t *testing.T) {
	assumed := AssumeEqualDemand(testLoads(0), nil)
	require.Less(t, TargetShares("visayas", assumed)["visayas"], 0.6)
	require.Greater(t, TargetShares("luzon", assumed)["luzon"], 0.99)
}

// Guards against a region that keeps its own callers' requests although only that
// region may serve a large share of the requests of all regions.
func TestAssumedDemandCountsWhatIsPinned(t *testing.T) {
	loads := []RegionLoad{{"a", 0, 40}, {"b", 0, 40}}
	require.Equal(t, map[string]float64{"a": 1}, TargetShares("a", AssumeEqualDemand(loads, nil)))
	require.Less(t, TargetShares("a", AssumeEqualDemand(loads, map[string]float64{"a": 0.4}))["a"], 0.7)
}

// Guards against spillover to a region that is full with what the flows bring it.
func TestSpareRegions(t *testing.T) {
	require.Equal(t, map[string]bool{"luzon": true, "mindanao": true, "visayas": true}, SpareRegions(testLoads(5)))
	require.Equal(t, map[string]bool{"luzon": true, "mindanao": true, "visayas": false}, SpareRegions(testLoads(12)))
	require.Equal(t, map[string]bool{"luzon": false, "mindanao": false, "visayas": false}, SpareRegions(testLoads(60)))
	require.Equal(t, map[string]bool{"a": false}, SpareRegions([]RegionLoad{{"a", 0, 0}}))
}

// Guards against spare regions that do not follow from the target shares.
func TestSpareRegionsFollowTheTargetShares(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 7))
	for range 2000 {
		loads := make([]RegionLoad, 1+rng.IntN(6))
		for i := range loads {
			loads[i] = RegionLoad{string(rune('a' + i)), float64(rng.IntN(60)), float64(rng.IntN(60))}
		}
		served := make(map[string]float64)
		for _, l := range loads {
			var sum float64
			for region, share := range TargetShares(l.Region, loads) {
				served[region] += share * l.Demand
				sum += share
			}
			require.InDelta(t, 1, sum, 1e-9)
		}
		spare := SpareRegions(loads)
		for _, l := range loads {
			if bound := maxLocalUtilization * l.Capacity; math.Abs(served[l.Region]-bound) > 1e-9 {
				require.Equal(t, served[l.Region] < bound, spare[l.Region], "%v in %v", l.Region, loads)
			}
		}
	}
}

// Guards against objects that change region although the shares did not.
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
