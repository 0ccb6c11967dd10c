package configsim

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

// Guards against reverted or lost versions, and against a withdrawn key that stays
// in effect for more than 5 s, in each scenario.
func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(virtual.Deployments[0], virtual.EntryVMs, seeds[0], false)
			s.run(sim)
			checkSimulation(t, sim)
		})
	}
}

// Guards against a propagation time that grows faster than the logarithm of the
// fleet size, and against a change that takes longer than 5 s. The delay between any
// two VMs is 55 ms.
func TestSizes(t *testing.T) {
	deployment := virtual.Deployment{Regions: []string{""}, InRegionDelay: 55 * time.Millisecond, CrossRegionDelay: 55 * time.Millisecond}
	for _, n := range fleetSizes {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(deployment, n, seeds[0], false)
			fleetSizeScenario.run(sim)
			checkSimulation(t, sim)
		})
	}
}

func checkSimulation(t *testing.T, sim *simulation) {
	worst, mean, pending := sim.inEffectDelays()
	t.Log(worst, mean)
	require.Less(t, worst, inEffectTargetSeconds*time.Second)
	require.Less(t, sim.maxConnectedDelay(), inEffectTargetSeconds*time.Second)
	require.Zero(t, pending)
	require.Zero(t, sim.reverted)
	require.Greater(t, sim.current.Version, uint64(changes))
}
