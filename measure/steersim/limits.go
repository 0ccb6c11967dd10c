package steersim

import (
	"time"

	"github.com/cassiawind/cassiawind/measure"
)

// limitsFrom is when servers begin to name limits.
const limitsFrom = 3 * time.Second

// largeSite is a fleet of the size of the users' grown deployments.
var largeSite = site{"large", []region{{"a", 28, 44}, {"b", 28, 30}, {"c", 28, 20}}, 6, 500 * time.Microsecond, 35 * time.Millisecond}

// limitServers lets the affected servers name limits.
func limitServers(w *world) {
	limits := []float64{5.9, 3, 0.5, 12}
	affected := 0
	changeAffectedServers(func(s *server) {
		s.limit, s.limitedAt = limits[affected%len(limits)], limitsFrom
		affected++
	})(w)
}

// limitUse returns the largest number of requests that a limited server got in a window,
// relative to what the rule allows, and the part of all limits that was used.
func (w *world) limitUse() (worst, used float64) {
	var arrived, allowed float64
	for _, s := range w.serverList {
		if s.limit == 0 {
			continue
		}
		counted, bound := s.limitExcess(true)
		worst = max(worst, float64(counted)/bound)
		from := s.limitedAt + limitSettleTime
		for _, a := range s.arrivals {
			if a.at >= from && a.at < w.workload.duration {
				arrived++
			}
		}
		allowed += s.limit * (w.workload.duration - from).Seconds()
	}
	return worst, arrived / allowed
}

// limitExperiments measure servers that name limits, in the fleets of today and in a
// large one.
func limitExperiments() []measure.Experiment {
	var out []measure.Experiment
	for _, s := range append([]site{largeSite}, sites...) {
		out = append(out, measure.Experiment{Name: "steer-limits-" + s.name, Seeds: Seeds, Run: func(seed uint64) []measure.Figure {
			load := workload{requestRate: evenRate(loadFactor), duration: runDuration, injectFault: limitServers}
			coreRun, baseline := simulate(s, corePolicy, load, seed), simulate(s, noLimits, load, seed)
			worst, used := coreRun.limitUse()
			worstBaseline, usedBaseline := baseline.limitUse()
			inTime := measure.Value("served in time", "1", coreRun.servedInTime()).HigherIsBetter().WithBaseline(baseline.servedInTime())
			inTime.BaselineName = noLimits.name
			return []measure.Figure{
				measure.Value("requests in 4 s at a limited server, of those allowed", "1", worst).WithTarget(measure.AtMost, 1).WithBaseline(worstBaseline),
				measure.Value("part of the limits used", "1", used).HigherIsBetter().WithBaseline(usedBaseline),
				inTime,
			}
		}})
	}
	return out
}
