package trafficsim

import (
	"github.com/cassiawind/cassiawind/measure"
)

// scenario is one measurement of a deployment with a seed.
type scenario struct {
	Name string
	Run  func(d Deployment, seed uint64) []Figure
}

// scenarios are all measurements of this package.
var scenarios = []scenario{
	{experimentPeak, LookupsAtPeak},
	{experimentLeaving, LeavingServer},
	{experimentReports, ReportsStop},
	{experimentFailure, RegionFailure},
	{experimentStale, StaleMeasurement},
	{experimentFairness, OverloadFairness},
	{experimentKilled, VMKilled},
	{experimentSlots, SlotsPerVM},
	{experimentAllLayers, OverloadAllLayers},
}

const namePrefix = "traffic-"

// Experiments returns every scenario on both deployments with every seed.
func Experiments() []measure.Experiment {
	var out []measure.Experiment
	for _, s := range scenarios {
		for _, d := range Deployments {
			out = append(out, measure.Experiment{
				Name:  namePrefix + s.Name + separator + d.Name,
				Seeds: Seeds,
				Run: func(seed uint64) []measure.Figure {
					var figures []measure.Figure
					for _, f := range s.Run(d, seed) {
						figures = append(figures, f.measured())
					}
					return figures
				},
			})
		}
	}
	return out
}

// measured converts the figure to that of package measure.
func (f Figure) measured() measure.Figure {
	out := measure.Value(f.Name, f.Unit, f.Value)
	switch {
	case f.Target.Min != nil:
		out = out.WithTarget(measure.AtLeast, *f.Target.Min)
	case f.Target.Max != nil:
		out = out.WithTarget(measure.AtMost, *f.Target.Max)
	}
	if f.BaselineName != "" {
		out = out.WithBaseline(f.Baseline)
		out.BaselineName = f.BaselineName
	}
	return out
}
