package trafficsim

const (
	experimentReports  = "reports-stop"
	figureP99All       = "p99-no-server-reports"
	figureP99Half      = "p99-half-report"
	figureLostHalf     = "failed-half-report"
	figureUnreported   = "work-of-third-without-reports"
	unitPartOfRequests = "part of requests"
)

// ReportsStop measures lookups at the morning peak when servers stop reporting
// but serve on: all of them, every second one, and every third one, which is more
// than may be ejected. The work of the last is given as part of all requests.
func ReportsStop(d Deployment, seed uint64) []Figure {
	run := func(p policy, mute func(i int) bool) *fleet {
		f := newFleet(d, p, peakLoad, seed)
		f.limitSlots(true)
		f.RunUntil(faultsAt)
		for i, b := range f.order {
			b.mute = mute(i)
		}
		f.RunUntil(measureFrom)
		for _, b := range f.order {
			b.received = 0
		}
		return f.measure(measureFrom, peakEnd)
	}
	unreportedWork := func(f *fleet) float64 {
		n := 0
		for _, b := range f.order {
			if b.mute {
				n += b.received
			}
		}
		return float64(n) / float64(f.sent)
	}
	own, base := policies[0], policies[len(policies)-1]
	figure := func(name, unit string, value, baseline float64) Figure {
		return Figure{Experiment: experimentReports + separator + d.Name, Seed: seed, Name: name, Unit: unit, Value: value, BaselineName: base.name, Baseline: baseline}
	}
	all := func(int) bool { return true }
	half := func(i int) bool { return i%2 == 0 }
	third := func(i int) bool { return i%4 == 0 || i == 1 }
	ownHalf, baseHalf := run(own, half), run(base, half)
	return []Figure{
		figure(figureP99All, unitMS, run(own, all).percentile(99), run(base, all).percentile(99)),
		figure(figureP99Half, unitMS, ownHalf.percentile(99), baseHalf.percentile(99)),
		figure(figureLostHalf, unitPartOfRequests, ownHalf.lost(), baseHalf.lost()),
		figure(figureUnreported, unitPartOfRequests, unreportedWork(run(own, third)), unreportedWork(run(base, third))),
	}
}
