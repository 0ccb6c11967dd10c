package trafficsim

import (
	"time"
)

const (
	// peakLoad is the part of the slots that the morning peak uses.
	peakLoad = 0.65
	// faultsAt is when the faulty servers begin to misbehave.
	faultsAt = 10 * time.Second
	// measureFrom leaves the policies 5 s to detect the faults; the figures of
	// the detection phase are reported apart.
	measureFrom = 15 * time.Second
	peakEnd     = 40 * time.Second

	experimentPeak = "lookups-at-peak"
	unitMS         = "ms"
	unitPart       = "part"
	figureP50      = "p50"
	figureP99      = "p99"
	figureFailed   = "failed"
	figureP99Onset = "p99-first-5s-of-faults"
)

// peakResult is the result of one policy.
type peakResult struct {
	p50, p99, onset, failed float64
}

// LookupsAtPeak measures lookups at the morning peak while one server of each
// region is faulty: one slow, one with false reports, one silent. All policies
// have the same schedulers, retries and attempt time-outs.
func LookupsAtPeak(d Deployment, seed uint64) []Figure {
	results := make(map[string]peakResult)
	for _, p := range policies {
		results[p.name] = runPeak(d, p, seed)
	}
	own := results[policyBalance]
	var out []Figure
	for _, p := range policies[1:] {
		base := results[p.name]
		figure := func(name, unit string, value, baseline float64) {
			out = append(out, Figure{Experiment: experimentPeak + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, BaselineName: p.name, Baseline: baseline})
		}
		figure(figureP50, unitMS, own.p50, base.p50)
		figure(figureP99, unitMS, own.p99, base.p99)
		figure(figureP99Onset, unitMS, own.onset, base.onset)
		figure(figureFailed, unitPart, own.failed, base.failed)
	}
	return out
}

func runPeak(d Deployment, p policy, seed uint64) peakResult {
	f := newFleet(d, p, peakLoad, seed)
	f.limitSlots(true)
	f.RunUntil(faultsAt)
	f.order[0].fault = faultSlow
	f.order[1].fault = faultLying
	f.order[2].fault = faultSilent
	f.measuring = true
	f.RunUntil(measureFrom)
	r := peakResult{onset: f.percentile(99)}
	f.latency.Reset()
	f.sent, f.failed = 0, 0
	f.RunUntil(peakEnd)
	r.p50, r.p99 = f.percentile(50), f.percentile(99)
	r.failed = float64(f.failed) / float64(f.sent)
	return r
}
