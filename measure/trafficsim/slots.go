package trafficsim

import (
	"time"
)

const (
	experimentSlots     = "slots-per-vm"
	experimentAllLayers = "overload-all-layers"
	baselineEqualSlots  = "equal-slots"
	baselineNone        = "no-admission"
	unevenPeakLoad      = 0.9
	slotsFrom           = 5 * time.Second
	slotsEnd            = 25 * time.Second
	// wrongfulTarget is from docs/design.md, section 1: wrongful rejections in
	// normal operation.
	wrongfulTarget = 0.001
	figureRejected = "rejected"
)

// SlotsPerVM measures VMs with uneven traffic at 90% of the slots when their
// slots follow their demand, against equal parts. No account exceeds its rate, so
// every rejection is wrongful.
func SlotsPerVM(d Deployment, seed uint64) []Figure {
	run := func(adaptive bool) *fleet {
		f := newFleet(d, policies[0], unevenPeakLoad, seed)
		f.limitSlots(adaptive)
		return f.measure(slotsFrom, slotsEnd)
	}
	own, base := run(true), run(false)
	figure := func(name, unit string, target Target, value, baseline float64) Figure {
		return Figure{Experiment: experimentSlots + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, Target: target, BaselineName: baselineEqualSlots, Baseline: baseline}
	}
	return []Figure{
		figure(figureP50, unitMS, Target{}, own.percentile(50), base.percentile(50)),
		figure(figureP99, unitMS, Target{}, own.percentile(99), base.percentile(99)),
		figure(figureRejected, unitPartOfAsked, atMost(wrongfulTarget), own.lost(), base.lost()),
	}
}

// OverloadAllLayers measures the worst-served account, as OverloadFairness does,
// with schedulers, balancers and backend servers together.
func OverloadAllLayers(d Deployment, seed uint64) []Figure {
	accounts := overloadAccounts(d)
	weights, demands := 0.0, 0.0
	for _, a := range accounts {
		weights += a.weight
		demands += a.demand
	}
	run := func(admit bool) *fleet {
		f := newFleet(d, policies[0], rateLoad*demands/weights, seed)
		f.accounts = overloadAccounts(d)
		if admit {
			f.limitSlots(true)
		}
		return f.measure(slotsFrom, slotsEnd)
	}
	own, base := run(true), run(false)
	return []Figure{{
		Experiment: experimentAllLayers + separator + d.Name, Seed: seed, Name: figureWorst, Unit: unitPartOfDue,
		Value: worst(own.accounts), Target: atLeast(worstServedTarget), BaselineName: baselineNone, Baseline: worst(base.accounts),
	}}
}

// measure runs the fleet and measures between two times.
func (f *fleet) measure(from, to time.Duration) *fleet {
	f.RunUntil(from)
	f.measuring = true
	f.RunUntil(to)
	return f
}

// lost returns the part of the lookups sent that failed.
func (f *fleet) lost() float64 { return float64(f.failed) / float64(f.sent) }
