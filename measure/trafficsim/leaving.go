package trafficsim

import (
	"time"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

const (
	experimentLeaving     = "leaving-server"
	figureLeavingReported = "last-work-after-leaving-report"
	figureReportsStopped  = "last-work-after-reports-stopped"
	unitSeconds           = "s"
	leavingAt             = 10 * time.Second
	leavingEnd            = 30 * time.Second
	// leavingTarget is from docs/design.md, section 1: a leaving server gets no
	// new work after 3 s.
	leavingTarget = 3
)

// LeavingServer measures how long a leaving server still gets new work. In one case,
// the server reports that it is leaving. In the other, it only stops reporting.
func LeavingServer(d Deployment, seed uint64) []Figure {
	figure := func(name string, reportsStopped bool) Figure {
		return Figure{
			Experiment: experimentLeaving + separator + d.Name, Seed: seed, Name: name, Unit: unitSeconds,
			Value: runLeaving(d, policies[0], reportsStopped, seed), Target: atMost(leavingTarget),
			BaselineName: policyRandom, Baseline: runLeaving(d, policies[1], reportsStopped, seed),
		}
	}
	return []Figure{figure(figureLeavingReported, false), figure(figureReportsStopped, true)}
}

func runLeaving(d Deployment, p policy, reportsStopped bool, seed uint64) float64 {
	f := newFleet(d, p, peakUtilization, seed)
	f.RunUntil(leavingAt)
	b := f.backendList[0]
	b.leaving, b.reportsStopped = !reportsStopped, reportsStopped
	f.RunUntil(leavingEnd)
	return b.lastReceivedAt.Sub(virtual.Epoch.Add(leavingAt)).Seconds()
}
