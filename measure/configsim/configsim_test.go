package configsim

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

// Guards against a reverted or lost version and a withdrawn key that stays in
// effect for more than 5 s, in each scenario.
func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(virtual.Deployments[0], virtual.EntryVMs, seeds[0], false)
			s.run(w)
			checkWorld(t, w)
		})
	}
}

// Guards against a propagation time that grows faster than with the logarithm of
// the fleet, and against a change that takes longer than 5 s, with 55 ms between
// any two VMs.
func TestSizes(t *testing.T) {
	far := virtual.Deployment{Regions: []string{""}, InRegionDelay: 55 * time.Millisecond, CrossRegionDelay: 55 * time.Millisecond}
	for _, n := range sizes {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			w := newWorld(far, n, seeds[0], false)
			ofSize.run(w)
			checkWorld(t, w)
		})
	}
}

func checkWorld(t *testing.T, w *world) {
	worst, mean, pending := w.inEffect()
	t.Log(worst, mean)
	require.Less(t, worst, inEffectTarget*time.Second)
	require.Less(t, w.connected(), inEffectTarget*time.Second)
	require.Zero(t, pending)
	require.Zero(t, w.reverted)
	require.Greater(t, w.current.Version, uint64(changes))
}
