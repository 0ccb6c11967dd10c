package trafficsim

const (
	experimentReports      = "reports-stop"
	figureP99All           = "p99-no-server-reports"
	figureP99Half          = "p99-half-report"
	figureFailedHalf       = "failed-half-report"
	figureUnreportedWork   = "work-of-third-without-reports"
	unitFractionOfRequests = "part of requests"
)

// ReportsStop measures lookups at the morning peak when servers stop reporting but
// continue to serve: all of them, every second one, or about a third of them, which
// is more than may be ejected. For the last case, the figure is the fraction of
// requests that the servers without reports receive.
func ReportsStop(d Deployment, seed uint64) []Figure {
	run := func(p policy, stopsReporting func(i int) bool) *fleet {
		f := newFleet(d, p, peakUtilization, seed)
		f.limitSlots(true)
		f.RunUntil(faultStart)
		for i, b := range f.backendList {
			b.reportsStopped = stopsReporting(i)
		}
		f.RunUntil(measurementStart)
		for _, b := range f.backendList {
			b.received = 0
		}
		return f.measure(measurementStart, measurementEnd)
	}
	unreportedWork := func(f *fleet) float64 {
		n := 0
		for _, b := range f.backendList {
			if b.reportsStopped {
				n += b.received
			}
		}
		return float64(n) / float64(f.sent)
	}
	testedPolicy, baselinePolicy := policies[0], policies[len(policies)-1]
	figure := func(name, unit string, value, baseline float64) Figure {
		return Figure{Experiment: experimentReports + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, BaselineName: baselinePolicy.name, Baseline: baseline}
	}
	all := func(int) bool { return true }
	half := func(i int) bool { return i%2 == 0 }
	third := func(i int) bool { return i%4 == 0 || i == 1 }
	testedHalf, baselineHalf := run(testedPolicy, half), run(baselinePolicy, half)
	return []Figure{
		figure(figureP99All, unitMS, run(testedPolicy, all).percentile(99), run(baselinePolicy, all).percentile(99)),
		figure(figureP99Half, unitMS, testedHalf.percentile(99), baselineHalf.percentile(99)),
		figure(figureFailedHalf, unitFractionOfRequests, testedHalf.failedFraction(), baselineHalf.failedFraction()),
		figure(figureUnreportedWork, unitFractionOfRequests, unreportedWork(run(testedPolicy, third)), unreportedWork(run(baselinePolicy, third))),
	}
}
