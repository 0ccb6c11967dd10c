package steersim

import (
	"math"
	"time"

	"github.com/cassiawind/cassiawind/measure"
)

const (
	runDuration = 30 * time.Second
	// loadFactor is the load of the users' deployments relative to the capacity
	// of servers without cached objects: 428 to 320 requests per second.
	loadFactor = 428.0 / 320
	// overloadFactor is the same ratio for a load that exceeds the capacity of
	// servers that have the objects of all requests cached.
	overloadFactor = 1.15 / warmWorkFraction
	// waveAmplitude is the amplitude of the demand of a region relative to its
	// mean, and wavePeriod is the period. Regions peak one after the other.
	waveAmplitude = 0.6
	wavePeriod    = 15 * time.Second
	// hotObjectFraction is the fraction of requests for one object during a burst.
	hotObjectFraction = 0.35
	// affectedInterval selects the servers that fail, are slow or are replaced:
	// every fifth one.
	affectedInterval = 5
)

// Seeds are the seeds with which each experiment runs.
var Seeds = []uint64{1, 2, 3}

// scenario is a load pattern with the policies that are the baselines of the core
// policy under it.
type scenario struct {
	name      string
	workload  workload
	baselines []policy
	// perPriority also reports the figures of each priority.
	perPriority bool
}

// evenRate returns a constant request rate that is equal in all regions. The
// factor is relative to the cold capacity of the site.
func evenRate(factor float64) func(site, string, time.Duration) float64 {
	return func(s site, _ string, _ time.Duration) float64 {
		return factor * s.coldCapacity() / float64(len(s.regions))
	}
}

// waveRate is a request rate that follows a sine wave, with another phase in
// each region.
func waveRate(s site, region string, now time.Duration) float64 {
	phase := 0.0
	for i, r := range s.regions {
		if r.name == region {
			phase = float64(i) / float64(len(s.regions))
		}
	}
	return evenRate(loadFactor)(s, region, now) * (1 + waveAmplitude*math.Sin(2*math.Pi*(now.Seconds()/wavePeriod.Seconds()+phase)))
}

// changeAffectedServers calls apply for each server that affectedInterval selects.
func changeAffectedServers(apply func(*server)) func(*world) {
	return func(w *world) {
		for i := 0; i < len(w.serverList); i += affectedInterval {
			apply(w.serverList[i])
		}
	}
}

var scenarios = []scenario{
	{"cold-start", workload{requestRate: evenRate(loadFactor), duration: 4 * time.Second}, []policy{noAffinity, nearest, randomOfTwo}, false},
	{"peak", workload{requestRate: evenRate(loadFactor), duration: runDuration}, []policy{noAffinity, nearest, randomOfTwo, ownRegionOnly, fixedShares}, false},
	{"waves", workload{requestRate: waveRate, duration: runDuration}, []policy{noAffinity, nearest, ownRegionOnly, fixedShares, sharesWithoutBound}, false},
	{"hot-object", workload{requestRate: evenRate(loadFactor), hotFraction: hotObjectFraction, duration: runDuration}, []policy{noAffinity, nearest, randomOfTwo}, false},
	{"overload", workload{requestRate: evenRate(overloadFactor), duration: runDuration}, []policy{noPriorities, nearest, randomOfTwo}, true},
	{"failing", workload{requestRate: evenRate(loadFactor), duration: runDuration, injectFault: changeAffectedServers(func(s *server) { s.failureFraction = 0.9 })}, []policy{nearest, randomOfTwo}, false},
	{"slow", workload{requestRate: evenRate(loadFactor), duration: runDuration, injectFault: changeAffectedServers(func(s *server) { s.slowFactor = 8 })}, []policy{nearest, randomOfTwo}, false},
	{"replaced", workload{requestRate: evenRate(loadFactor), duration: runDuration, injectFault: func(w *world) {
		w.After(runDuration/2, func() { changeAffectedServers(func(s *server) { s.recentObjects = nil })(w) })
	}}, []policy{noAffinity, nearest}, false},
}

// Experiments returns one experiment for each load pattern and site, and those
// for the rate limits of client accounts and for the limits of backend servers.
func Experiments() []measure.Experiment {
	var out []measure.Experiment
	for _, sc := range scenarios {
		for _, s := range sites {
			out = append(out, measure.Experiment{
				Name: "steer-" + sc.name + "-" + s.name, Seeds: Seeds,
				Run: func(seed uint64) []measure.Figure { return sc.run(s, seed) },
			})
		}
	}
	out = append(out, rateExperiments()...)
	out = append(out, limitExperiments()...)
	return append(out, crashExperiments()...)
}

// run simulates the scenario with the core policy and with each baseline.
func (sc scenario) run(s site, seed uint64) []measure.Figure {
	coreRun := simulate(s, corePolicy, sc.workload, seed)
	figures := []measure.Figure{
		measure.Value("work per request", "ms", coreRun.meanWorkMS()),
		measure.Value("repeats per request", "1", coreRun.retriesPerRequest()),
	}
	for _, p := range sc.baselines {
		baselineRun := simulate(s, p, sc.workload, seed)
		f := measure.Value("served in time", "1", coreRun.servedInTime()).HigherIsBetter().WithBaseline(baselineRun.servedInTime())
		f.BaselineName = p.name
		figures = append(figures, f)
		if p.shares != gradualShares && p.newChooser == nil {
			f := measure.Value("sent to another region", "1", coreRun.remoteRatio()).WithBaseline(baselineRun.remoteRatio())
			f.BaselineName = p.name
			figures = append(figures, f)
		}
		if sc.perPriority {
			for priority := range priorities {
				f := measure.Value("served in time, rank "+string(rune('0'+priority)), "1", coreRun.servedInTimeOf(priority)).HigherIsBetter().WithBaseline(baselineRun.servedInTimeOf(priority))
				f.BaselineName = p.name
				figures = append(figures, f)
			}
		}
	}
	return figures
}

func sum(counts [priorities]int) float64 {
	total := 0
	for _, n := range counts {
		total += n
	}
	return float64(total)
}

// servedInTime is the fraction of requests with a response within the objective.
func (w *world) servedInTime() float64 { return sum(w.inTime) / sum(w.arrived) }

func (w *world) servedInTimeOf(priority int) float64 {
	return float64(w.inTime[priority]) / float64(w.arrived[priority])
}

// retriesPerRequest is the number of attempts after the first, divided by the
// number of requests.
func (w *world) retriesPerRequest() float64 {
	return (float64(w.attempts) - (sum(w.arrived) - sum(w.rejected))) / sum(w.arrived)
}

// remoteRatio is the fraction of attempts that went to another region.
func (w *world) remoteRatio() float64 { return float64(w.remoteAttempts) / float64(max(1, w.attempts)) }

// meanWorkMS is the mean work of the requests that servers started.
func (w *world) meanWorkMS() float64 {
	work, started := 0.0, 0
	for _, s := range w.serverList {
		work += s.workMS
		started += s.started
	}
	return work / float64(max(1, started))
}
