package trafficsim

import (
	"time"
)

const (
	experimentFailure = "region-failure"
	experimentStale   = "stale-measurement"
	baselineWeights   = "weights-from-measured-load"

	figureOver       = "requests-over-region-cap"
	figureRamp       = "ramp-exceeded-by"
	figureHeadroom   = "headroom-left-"
	figureRefused    = "refused-"
	figureSettled    = "refused-after-30s"
	figurePeak       = "peak-of-"
	figureSpread     = "deviation-of-"
	unitRequests     = "requests"
	unitPartOfCap    = "part of cap"
	unitPartOfAsked  = "part of requests"
	failsAt          = 30 * time.Second
	settledAt        = 60 * time.Second
	failureEnd       = 80 * time.Second
	failureDemand    = 0.6
	staleSettled     = 20 * time.Second
	staleEnd         = 80 * time.Second
	staleHighDemand  = 1.3
	staleOtherDemand = 0.3
)

// RegionFailure measures a region failure at 60% load: traffic moves to the other
// two regions under their caps and ramps.
func RegionFailure(d Deployment, seed uint64) []Figure {
	own, ownSettled := runFailure(d, seed, newRegionsChooser)
	base, baseSettled := runFailure(d, seed, newWeightsChooser)
	var out []Figure
	figure := func(name, unit string, target Target, value, baseline float64) {
		out = append(out, Figure{Experiment: experimentFailure + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, Target: target, BaselineName: baselineWeights, Baseline: baseline})
	}
	figure(figureOver, unitRequests, atMost(0), own.over(), base.over())
	for _, r := range d.Regions[1:] {
		figure(figureRamp+separator+r, unitPartOfCap, atMost(0), own.rampExcess(r, failsAt), base.rampExcess(r, failsAt))
		figure(figureHeadroom+r, unitPartOfCap, Target{}, own.headroom(r), base.headroom(r))
	}
	for i := range own.accounts {
		figure(figureRefused+accountName(i), unitPartOfAsked, Target{}, own.accounts[i].part(), base.accounts[i].part())
	}
	figure(figureSettled, unitPartOfAsked, Target{}, ownSettled, baseSettled)
	return out
}

// runFailure returns the fleet, with account counts of the 30 s after the
// failure, and the part of the requests refused after that.
func runFailure(d Deployment, seed uint64, build func(*regionFleet, string) regionChooser) (*regionFleet, float64) {
	demand := map[string]float64{}
	for _, r := range d.Regions {
		demand[r] = failureDemand
	}
	f := newRegionFleet(d, demand, seed, build)
	f.RunUntil(failsAt)
	f.accounts = newAccounts(d)
	f.fail(d.Regions[0])
	f.RunUntil(settledAt)
	shift := f.accounts
	f.accounts = newAccounts(d)
	f.RunUntil(failureEnd)
	settled := f.refused()
	f.accounts = shift
	return f, settled
}

func (a accountCount) part() float64 { return float64(a.refused) / float64(max(1, a.offered)) }

// total returns the counts of all accounts together.
func (f *regionFleet) total() accountCount {
	var sum accountCount
	for _, a := range f.accounts {
		sum.offered += a.offered
		sum.refused += a.refused
	}
	return sum
}

// refused returns the part of all requests that was refused.
func (f *regionFleet) refused() float64 { return f.total().part() }

func (f *regionFleet) offered() int { return f.total().offered }

// headroom returns the part of a region's cap left in the last 10 s.
func (f *regionFleet) headroom(region string) float64 {
	const seconds = 10
	history := f.history[region]
	sum := 0.0
	for _, v := range history[len(history)-seconds:] {
		sum += v
	}
	return 1 - sum/seconds/f.d.capOf(region)
}

// StaleMeasurement measures two regions with 1.3 times their cap whose VMs decide
// on the same measurement, 2 to 3 s old, how much to send to the third region.
func StaleMeasurement(d Deployment, seed uint64) []Figure {
	own, base := runStale(d, seed, newRegionsChooser), runStale(d, seed, newWeightsChooser)
	third := d.Regions[2]
	var out []Figure
	figure := func(name, unit string, target Target, value, baseline float64) {
		out = append(out, Figure{Experiment: experimentStale + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, Target: target, BaselineName: baselineWeights, Baseline: baseline})
	}
	figure(figureOver, unitRequests, atMost(0), own.over(), base.over())
	figure(figurePeak+third, unitPartOfCap, Target{}, own.peak(third, staleSettled), base.peak(third, staleSettled))
	figure(figureSpread+third, unitPartOfCap, Target{}, own.spread(third, staleSettled), base.spread(third, staleSettled))
	figure(figureRamp+separator+third, unitPartOfCap, atMost(0), own.rampExcess(third, 0), base.rampExcess(third, 0))
	figure(figureSettled, unitPartOfAsked, Target{}, own.refused(), base.refused())
	return out
}

func runStale(d Deployment, seed uint64, build func(*regionFleet, string) regionChooser) *regionFleet {
	demand := map[string]float64{d.Regions[0]: staleHighDemand, d.Regions[1]: staleHighDemand, d.Regions[2]: staleOtherDemand}
	f := newRegionFleet(d, demand, seed, build)
	f.RunUntil(failsAt)
	f.accounts = newAccounts(d)
	f.RunUntil(staleEnd)
	return f
}
