package steersim

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// meanShares returns the shares of the requests of a region that each region serves, averaged
// over the region's VMs.
func (w *world) meanShares(region string) map[string]float64 {
	shares := make(map[string]float64)
	alive := 0.0
	for _, v := range w.vmsByRegion[region] {
		if !v.killed {
			alive++
		}
	}
	for _, v := range w.vmsByRegion[region] {
		for name, share := range v.flow.Shares() {
			if !v.killed {
				shares[name] += share / alive
			}
		}
	}
	return shares
}

// Replays a region with few servers and few callers all of whose VMs are replaced within 2 s.
// Guards against VMs that start with shares of equal demand in all regions and move from there
// for seconds: the requests of the region change the region that serves them by more than 15%
// from one 2 s to the next.
func TestReplacedVMsKeepTheSharesOfTheirRegion(t *testing.T) {
	const (
		region             = "north"
		replacedAt, gap    = 16 * time.Second, 500 * time.Millisecond
		window, sampleTime = 2 * time.Second, 50 * time.Millisecond
		maxShift           = 0.15
	)
	rate := func(s site, name string, now time.Duration) float64 {
		if name == region {
			return 0.4 * evenRate(0.8)(s, name, now)
		}
		return evenRate(0.8)(s, name, now)
	}
	for _, seed := range Seeds {
		var samples []float64
		simulate(sites[1], corePolicy, workload{requestRate: rate, duration: 30 * time.Second, injectFault: func(w *world) {
			for i, v := range w.vmsByRegion[region] {
				killAt := replacedAt + time.Duration(i)*gap
				w.After(killAt, func() { v.killed = true })
				w.After(killAt+gap/2, v.restart)
			}
			w.Every(replacedAt-2*window, sampleTime, func() { samples = append(samples, w.meanShares(region)[region]) })
		}}, seed)
		const n = int(window / sampleTime)
		for i := 2 * n; i <= len(samples); i++ {
			before, after := mean(samples[i-2*n:i-n]), mean(samples[i-n:i])
			require.LessOrEqual(t, math.Abs(after-before), maxShift, "seed %d, %s", seed, replacedAt-2*window+time.Duration(i)*sampleTime)
		}
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
