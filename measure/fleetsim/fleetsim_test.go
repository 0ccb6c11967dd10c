package fleetsim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

// Guards against admissions beyond rate and burst, lost units that do not return
// and a VM that is never evicted, in each fault of the shorter runs.
func TestFaults(t *testing.T) {
	for _, s := range scenarios {
		if s.time > runTime {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(virtual.Deployments[0], seeds[0])
			for _, f := range s.run(w) {
				t.Log(f.Figure, f.Value, f.Unit)
			}
			require.Zero(t, w.overshootTokens())
			require.GreaterOrEqual(t, w.usable(), settledPart)
			require.Len(t, w.watch.evictedAt, len(s.victims))
		})
	}
}

// Guards against figures that differ between runs with the same seed.
func TestDeterministic(t *testing.T) {
	run := func() any { return scenarios[0].run(newWorld(virtual.Deployments[1], seeds[1])) }
	require.Equal(t, run(), run())
}
