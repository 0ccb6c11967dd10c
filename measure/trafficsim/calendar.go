package trafficsim

import (
	"time"
)

const (
	// peakUtilization is the fraction of the slots in use at the morning peak.
	peakUtilization = 0.65
	// faultStart is the time at which the faults of backend servers start.
	faultStart = 10 * time.Second
	// measurementStart leaves the policies 5 s to detect the faults. The p99 of
	// this detection phase is a figure of its own.
	measurementStart = 15 * time.Second
	measurementEnd   = 40 * time.Second

	experimentPeak = "lookups-at-peak"
	unitMS         = "ms"
	unitFraction   = "part"
	figureP50      = "p50"
	figureP99      = "p99"
	figureFailed   = "failed"
	figureP99Onset = "p99-first-5s-of-faults"
)

// peakResult holds the results of one policy: latencies in milliseconds and the
// fraction of lookups that failed.
type peakResult struct {
	p50, p99, onsetP99, failed float64
}

// LookupsAtPeak measures lookups at the morning peak while one server of each region
// is faulty: one is slow, one gives false reports and one never responds. All
// policies have the same schedulers, retries and attempt timeouts.
func LookupsAtPeak(d Deployment, seed uint64) []Figure {
	results := make(map[string]peakResult)
	for _, p := range policies {
		results[p.name] = runPeak(d, p, seed)
	}
	measured := results[policyBalance]
	var out []Figure
	for _, p := range policies[1:] {
		baseline := results[p.name]
		figure := func(name, unit string, value, baseline float64) {
			out = append(out, Figure{Experiment: experimentPeak + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, BaselineName: p.name, Baseline: baseline})
		}
		figure(figureP50, unitMS, measured.p50, baseline.p50)
		figure(figureP99, unitMS, measured.p99, baseline.p99)
		figure(figureP99Onset, unitMS, measured.onsetP99, baseline.onsetP99)
		figure(figureFailed, unitFraction, measured.failed, baseline.failed)
	}
	return out
}

func runPeak(d Deployment, p policy, seed uint64) peakResult {
	f := newFleet(d, p, peakUtilization, seed)
	f.limitSlots(true)
	f.RunUntil(faultStart)
	f.backendList[0].fault = faultSlow
	f.backendList[1].fault = faultFalseReports
	f.backendList[2].fault = faultNoResponse
	f.measuring = true
	f.RunUntil(measurementStart)
	r := peakResult{onsetP99: f.percentile(99)}
	f.latency.Reset()
	f.sent, f.failed = 0, 0
	f.RunUntil(measurementEnd)
	r.p50, r.p99 = f.percentile(50), f.percentile(99)
	r.failed = float64(f.failed) / float64(f.sent)
	return r
}
