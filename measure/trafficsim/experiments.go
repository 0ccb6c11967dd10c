package trafficsim

import (
	"github.com/cassiawind/cassiawind/measure"
)

// scenario is a measurement that runs for a deployment with a seed.
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

// Experiments returns one experiment for each scenario on each deployment.
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
						figures = append(figures, f.toMeasure())
					}
					return figures
				},
			})
		}
	}
	return out
}

// toMeasure converts the figure to a figure of package measure.
func (f Figure) toMeasure() measure.Figure {
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
