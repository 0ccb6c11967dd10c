package trafficsim

import (
	"time"
)

const (
	experimentSlots       = "slots-per-vm"
	experimentAllLayers   = "overload-all-layers"
	baselineEqualSlots    = "equal-slots"
	baselineNoAdmission   = "no-admission"
	unevenPeakUtilization = 0.9
	slotsStart            = 5 * time.Second
	slotsEnd              = 25 * time.Second
	// wrongfulRejectionTarget is from docs/design.md, section 1: wrongful
	// rejections in normal operation.
	wrongfulRejectionTarget = 0.001
	figureRejected          = "rejected"
)

// SlotsPerVM measures VMs with uneven traffic at 90% of the slots. It compares slots
// that follow the demand of each VM with equal shares. No account exceeds its rate, so
// every rejection is wrongful.
func SlotsPerVM(d Deployment, seed uint64) []Figure {
	run := func(adaptive bool) *fleet {
		f := newFleet(d, policies[0], unevenPeakUtilization, seed)
		f.limitSlots(adaptive)
		return f.measure(slotsStart, slotsEnd)
	}
	measured, baseline := run(true), run(false)
	figure := func(name, unit string, target Target, value, baseline float64) Figure {
		return Figure{Experiment: experimentSlots + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, Target: target, BaselineName: baselineEqualSlots, Baseline: baseline}
	}
	return []Figure{
		figure(figureP50, unitMS, Target{}, measured.percentile(50), baseline.percentile(50)),
		figure(figureP99, unitMS, Target{}, measured.percentile(99), baseline.percentile(99)),
		figure(figureRejected, unitFractionOfOffered, atMost(wrongfulRejectionTarget), measured.failedFraction(), baseline.failedFraction()),
	}
}

// OverloadAllLayers measures the worst-served account like OverloadFairness, but with
// schedulers, balancers and backend servers together.
func OverloadAllLayers(d Deployment, seed uint64) []Figure {
	accounts := newOverloadAccounts(d)
	weights, demands := 0.0, 0.0
	for _, a := range accounts {
		weights += a.weight
		demands += a.demand
	}
	run := func(admit bool) *fleet {
		f := newFleet(d, policies[0], utilizationAtRates*demands/weights, seed)
		f.accounts = newOverloadAccounts(d)
		if admit {
			f.limitSlots(true)
		}
		return f.measure(slotsStart, slotsEnd)
	}
	measured, baseline := run(true), run(false)
	return []Figure{{
		Experiment: experimentAllLayers + separator + d.Name, Seed: seed, Name: figureWorstServed, Unit: unitFractionOfDue,
		Value: worstServedFraction(measured.accounts), Target: atLeast(worstServedTarget), BaselineName: baselineNoAdmission, Baseline: worstServedFraction(baseline.accounts),
	}}
}

// measure runs the fleet and measures it from one time to the other.
func (f *fleet) measure(from, to time.Duration) *fleet {
	f.RunUntil(from)
	f.measuring = true
	f.RunUntil(to)
	return f
}

// failedFraction returns the fraction of lookups that failed.
func (f *fleet) failedFraction() float64 { return float64(f.failed) / float64(f.sent) }
