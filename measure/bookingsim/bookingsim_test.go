package bookingsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

// Guards against a booking that runs twice and an answer of not run that is not
// true, with all faults together.
func TestAllFaults(t *testing.T) {
	c := config{
		rate: faultRate, mode: paced, oneWay: virtual.Deployments[0].StoreDelay,
		repeats: true, records: true, failing: true, faults: scenarios[len(scenarios)-1].faults,
	}
	w := newWorld(c, seeds[0]).run()
	require.Zero(t, w.twice())
	require.Zero(t, w.falsely)
	require.Greater(t, w.attempts, len(w.bookings), "callers repeat bookings")
	c.records = false
	require.NotZero(t, newWorld(c, seeds[0]).run().twice(), "the faults do not provoke a second execution")
}

// Guards against more than two rows written per booking, against batches that do
// not grow with the load, VMs that exceed the table's rate, and a booking without
// exactly one answer.
func TestLoad(t *testing.T) {
	for _, m := range []mode{unlimited, queued, paced} {
		for _, oneWay := range []time.Duration{2500 * time.Microsecond, 27500 * time.Microsecond} {
			for _, rate := range loads {
				t.Run(fmt.Sprint(m, oneWay, rate), func(t *testing.T) {
					t.Parallel()
					w := newWorld(config{rate: float64(rate), mode: m, oneWay: func(int) time.Duration { return oneWay }, records: true}, seeds[0]).run()
					require.LessOrEqual(t, w.rows, 2*len(w.bookings))
					if m != unlimited {
						require.LessOrEqual(t, w.transactions(), 1.05*tableRate)
					}
					require.Equal(t, len(w.bookings), w.completed+w.refused)
				})
			}
		}
	}
}
