package trafficsim

import (
	"time"

	"github.com/cassiawind/cassiawind/measure/virtual"
)

const (
	experimentLeaving = "leaving-server"
	figureReported    = "last-work-after-leaving-report"
	figureMute        = "last-work-after-reports-stopped"
	unitSeconds       = "s"
	leavesAt          = 10 * time.Second
	leavingEnd        = 30 * time.Second
	// leavingTarget is from docs/design.md, section 1: no new work after 3 s.
	leavingTarget = 3
)

// LeavingServer measures how long a leaving server still gets new work, when it
// reports that it leaves and when it only stops reporting.
func LeavingServer(d Deployment, seed uint64) []Figure {
	figure := func(name string, mute bool) Figure {
		return Figure{
			Experiment: experimentLeaving + separator + d.Name, Seed: seed, Name: name, Unit: unitSeconds,
			Value: runLeaving(d, policies[0], mute, seed), Target: atMost(leavingTarget),
			BaselineName: policyRandom, Baseline: runLeaving(d, policies[1], mute, seed),
		}
	}
	return []Figure{figure(figureReported, false), figure(figureMute, true)}
}

func runLeaving(d Deployment, p policy, mute bool, seed uint64) float64 {
	f := newFleet(d, p, peakLoad, seed)
	f.RunUntil(leavesAt)
	b := f.order[0]
	b.leaving, b.mute = !mute, mute
	f.RunUntil(leavingEnd)
	return b.lastWork.Sub(virtual.Epoch.Add(leavesAt)).Seconds()
}
