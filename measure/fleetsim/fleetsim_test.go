package fleetsim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

// Guards against admissions beyond rate and burst, units that stay lost, and VMs
// that are never evicted, in each of the shorter scenarios.
func TestFaults(t *testing.T) {
	for _, s := range scenarios {
		if s.duration > faultScenarioDuration {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(virtual.Deployments[0], seeds[0])
			for _, f := range s.run(sim) {
				t.Log(f.Figure, f.Value, f.Unit)
			}
			require.Zero(t, sim.overshootTokens())
			require.GreaterOrEqual(t, sim.usableFraction(), settledFraction)
			require.Len(t, sim.observations.evictedAt, len(s.victims))
		})
	}
}

// Guards against figures that differ between runs with the same seed.
func TestDeterministic(t *testing.T) {
	run := func() any { return scenarios[0].run(newSimulation(virtual.Deployments[1], seeds[1])) }
	require.Equal(t, run(), run())
}
