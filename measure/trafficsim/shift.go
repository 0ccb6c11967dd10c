package trafficsim

import (
	"time"
)

const (
	experimentFailure = "region-failure"
	experimentStale   = "stale-measurement"
	baselineWeights   = "weights-from-measured-load"

	figureOverCap          = "requests-over-region-cap"
	figureRampExcess       = "ramp-exceeded-by"
	figureHeadroom         = "headroom-left-"
	figureRejectedOf       = "refused-"
	figureRejectedAfter30s = "refused-after-30s"
	figurePeakRate         = "peak-of-"
	figureDeviation        = "deviation-of-"
	unitRequests           = "requests"
	unitFractionOfCap      = "part of cap"
	unitFractionOfOffered  = "part of requests"
	failureAt              = 30 * time.Second
	settledAt              = 60 * time.Second
	failureEnd             = 80 * time.Second
	// failureDemand is the demand of each region, relative to its cap.
	failureDemand  = 0.6
	staleSettledAt = 20 * time.Second
	staleEnd       = 80 * time.Second
	// staleHighDemand and staleOtherDemand are the demands of the first two regions
	// and of the third, relative to their caps.
	staleHighDemand  = 1.3
	staleOtherDemand = 0.3
)

// RegionFailure measures the failure of a region at 60% load. Its traffic moves to the
// other two regions within their caps and ramps.
func RegionFailure(d Deployment, seed uint64) []Figure {
	measured, measuredSettled := runFailure(d, seed, newRoutingChooser)
	baseline, baselineSettled := runFailure(d, seed, newWeightedChooser)
	var out []Figure
	figure := func(name, unit string, target Target, value, baseline float64) {
		out = append(out, Figure{Experiment: experimentFailure + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, Target: target, BaselineName: baselineWeights, Baseline: baseline})
	}
	figure(figureOverCap, unitRequests, atMost(0), measured.requestsOverCap(), baseline.requestsOverCap())
	for _, r := range d.Regions[1:] {
		figure(figureRampExcess+separator+r, unitFractionOfCap, atMost(0), measured.rampExcess(r, failureAt), baseline.rampExcess(r, failureAt))
		figure(figureHeadroom+r, unitFractionOfCap, Target{}, measured.headroom(r), baseline.headroom(r))
	}
	for i := range measured.accounts {
		figure(figureRejectedOf+accountName(i), unitFractionOfOffered, Target{}, measured.accounts[i].rejectedFraction(), baseline.accounts[i].rejectedFraction())
	}
	figure(figureRejectedAfter30s, unitFractionOfOffered, Target{}, measuredSettled, baselineSettled)
	return out
}

// runFailure returns the fleet, with the counts of the accounts in the 30 s after the
// failure, and the fraction of requests that were rejected after those 30 s.
func runFailure(d Deployment, seed uint64, build func(*regionFleet, string) regionChooser) (*regionFleet, float64) {
	demand := map[string]float64{}
	for _, r := range d.Regions {
		demand[r] = failureDemand
	}
	f := newRegionFleet(d, demand, seed, build)
	f.RunUntil(failureAt)
	f.accounts = newAccounts(d)
	f.failRegion(d.Regions[0])
	f.RunUntil(settledAt)
	accountsAfterFailure := f.accounts
	f.accounts = newAccounts(d)
	f.RunUntil(failureEnd)
	settled := f.rejectedFraction()
	f.accounts = accountsAfterFailure
	return f, settled
}

func (a counts) rejectedFraction() float64 { return float64(a.rejected) / float64(max(1, a.offered)) }

// totalCount returns the sum of the counts of all accounts.
func (f *regionFleet) totalCount() counts {
	var sum counts
	for _, a := range f.accounts {
		sum.offered += a.offered
		sum.rejected += a.rejected
	}
	return sum
}

// rejectedFraction returns the fraction of all requests that were rejected.
func (f *regionFleet) rejectedFraction() float64 { return f.totalCount().rejectedFraction() }

func (f *regionFleet) offered() int { return f.totalCount().offered }

// headroom returns the fraction of a region's cap that was free in the last 10 s.
func (f *regionFleet) headroom(region string) float64 {
	const seconds = 10
	rates := f.requestsPerSecond[region]
	sum := 0.0
	for _, v := range rates[len(rates)-seconds:] {
		sum += v
	}
	return 1 - sum/seconds/f.deployment.capOf(region)
}

// StaleMeasurement measures two regions whose callers send 1.3 times the regions' caps.
// The VMs there decide how much to send to the third region, all on the same
// measurement, which is 2 to 3 s old.
func StaleMeasurement(d Deployment, seed uint64) []Figure {
	measured, baseline := runStale(d, seed, newRoutingChooser), runStale(d, seed, newWeightedChooser)
	third := d.Regions[2]
	var out []Figure
	figure := func(name, unit string, target Target, value, baseline float64) {
		out = append(out, Figure{Experiment: experimentStale + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, Target: target, BaselineName: baselineWeights, Baseline: baseline})
	}
	figure(figureOverCap, unitRequests, atMost(0), measured.requestsOverCap(), baseline.requestsOverCap())
	figure(figurePeakRate+third, unitFractionOfCap, Target{}, measured.peakRate(third, staleSettledAt), baseline.peakRate(third, staleSettledAt))
	figure(figureDeviation+third, unitFractionOfCap, Target{}, measured.rateDeviation(third, staleSettledAt), baseline.rateDeviation(third, staleSettledAt))
	figure(figureRampExcess+separator+third, unitFractionOfCap, atMost(0), measured.rampExcess(third, 0), baseline.rampExcess(third, 0))
	figure(figureRejectedAfter30s, unitFractionOfOffered, Target{}, measured.rejectedFraction(), baseline.rejectedFraction())
	return out
}

func runStale(d Deployment, seed uint64, build func(*regionFleet, string) regionChooser) *regionFleet {
	demand := map[string]float64{d.Regions[0]: staleHighDemand, d.Regions[1]: staleHighDemand, d.Regions[2]: staleOtherDemand}
	f := newRegionFleet(d, demand, seed, build)
	f.RunUntil(failureAt)
	f.accounts = newAccounts(d)
	f.RunUntil(staleEnd)
	return f
}
