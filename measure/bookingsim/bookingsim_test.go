package bookingsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

// Guards against a booking that is executed twice, and against a response that
// reports a booking as not run although it ran, while all faults occur together.
func TestAllFaults(t *testing.T) {
	c := config{
		rate: faultScenarioRate, mode: paced, storeDelay: virtual.Deployments[0].StoreDelay,
		retries: true, records: true, randomFailures: true, scheduleFaults: scenarios[len(scenarios)-1].scheduleFaults,
	}
	sim := newSimulation(c, seeds[0]).run()
	require.Zero(t, sim.executedTwice())
	require.Zero(t, sim.falseNotRun)
	require.Greater(t, sim.requests, len(sim.bookings), "no caller retried a booking")
	c.records = false
	require.NotZero(t, newSimulation(c, seeds[0]).run().executedTwice(), "without records, the faults caused no second execution")
}

// Guards against more than two rows written per booking, batches that do not grow
// with the load, VMs that together exceed the table's rate, and bookings that do
// not get exactly one response.
func TestLoad(t *testing.T) {
	for _, m := range []mode{unlimited, queued, paced} {
		for _, storeDelay := range []time.Duration{2500 * time.Microsecond, 27500 * time.Microsecond} {
			for _, rate := range bookingRates {
				t.Run(fmt.Sprint(m, storeDelay, rate), func(t *testing.T) {
					t.Parallel()
					sim := newSimulation(config{rate: float64(rate), mode: m, storeDelay: func(int) time.Duration { return storeDelay }, records: true}, seeds[0]).run()
					require.LessOrEqual(t, sim.writtenRows, 2*len(sim.bookings))
					if m != unlimited {
						require.LessOrEqual(t, sim.tps(), 1.05*tableRate)
					}
					require.Equal(t, len(sim.bookings), sim.completed+sim.rejected)
				})
			}
		}
	}
}
