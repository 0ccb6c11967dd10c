package trafficsim

// Experiment is one measurement of a deployment with a seed.
type Experiment struct {
	Name string
	Run  func(d Deployment, seed uint64) []Figure
}

// Experiments are all experiments of this package.
var Experiments = []Experiment{
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

// All runs every experiment on both deployments with every seed.
func All() []Figure {
	var out []Figure
	for _, e := range Experiments {
		for _, d := range Deployments {
			for _, seed := range Seeds {
				out = append(out, e.Run(d, seed)...)
			}
		}
	}
	return out
}
