package steersim

import (
	"math"
	"time"

	"github.com/cassiawind/cassiawind/measure"
)

const (
	runLength = 30 * time.Second
	// asked is the load of the users' deployments relative to what cold servers
	// carry: 428 against 320 requests per second.
	asked = 428.0 / 320
	// overload is above what servers carry that have every object of a request.
	overload = 1.15 / warmPart
	// waveDepth is how far the demand of a region goes up and down, and
	// wavePeriod how long that takes; regions peak one after the other.
	waveDepth  = 0.6
	wavePeriod = 15 * time.Second
	// hotPart of the requests of a burst is for one object.
	hotPart = 0.35
	// troubled is one in how many servers that fail, are slow or are replaced.
	troubled = 5
)

// Seeds of all experiments.
var Seeds = []uint64{1, 2, 3}

// scenario is a load pattern with the policies that it tells apart.
type scenario struct {
	name         string
	load         load
	alternatives []policy
	// ranks also reports the ranks apart.
	ranks bool
}

func even(factor float64) func(site, string, time.Duration) float64 {
	return func(s site, _ string, _ time.Duration) float64 {
		return factor * s.coldCapacity() / float64(len(s.regions))
	}
}

func waves(s site, region string, now time.Duration) float64 {
	phase := 0.0
	for i, r := range s.regions {
		if r.name == region {
			phase = float64(i) / float64(len(s.regions))
		}
	}
	return even(asked)(s, region, now) * (1 + waveDepth*math.Sin(2*math.Pi*(now.Seconds()/wavePeriod.Seconds()+phase)))
}

// some calls change for every fifth server.
func some(change func(*server)) func(*world) {
	return func(w *world) {
		for i := 0; i < len(w.order); i += troubled {
			change(w.order[i])
		}
	}
}

var scenarios = []scenario{
	{"cold-start", load{perSecond: even(asked), length: 4 * time.Second}, []policy{noAffinity, nearest, randomOfTwo}, false},
	{"peak", load{perSecond: even(asked), length: runLength}, []policy{noAffinity, nearest, randomOfTwo, ownRegion, byServers}, false},
	{"waves", load{perSecond: waves, length: runLength}, []policy{noAffinity, nearest, ownRegion, byServers, withoutBound}, false},
	{"hot-object", load{perSecond: even(asked), hot: hotPart, length: runLength}, []policy{noAffinity, nearest, randomOfTwo}, false},
	{"overload", load{perSecond: even(overload), length: runLength}, []policy{noRanks, nearest, randomOfTwo}, true},
	{"failing", load{perSecond: even(asked), length: runLength, trouble: some(func(s *server) { s.failing = 0.9 })}, []policy{nearest, randomOfTwo}, false},
	{"slow", load{perSecond: even(asked), length: runLength, trouble: some(func(s *server) { s.slow = 8 })}, []policy{nearest, randomOfTwo}, false},
	{"replaced", load{perSecond: even(asked), length: runLength, trouble: func(w *world) {
		w.After(runLength/2, func() { some(func(s *server) { s.kept = nil })(w) })
	}}, []policy{noAffinity, nearest}, false},
}

// Experiments returns every load pattern on both sites with every seed, and
// those of the rates of client accounts.
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
	return append(out, rateExperiments()...)
}

func (sc scenario) run(s site, seed uint64) []measure.Figure {
	own := play(s, core, sc.load, seed)
	figures := []measure.Figure{
		measure.Value("work per request", "ms", own.meanWorkMS()),
		measure.Value("repeats per request", "1", own.repeats()),
	}
	for _, p := range sc.alternatives {
		other := play(s, p, sc.load, seed)
		f := measure.Value("served in time", "1", own.served()).HigherIsBetter().WithBaseline(other.served())
		f.BaselineName = p.name
		figures = append(figures, f)
		if p.shares != flowShares && p.newChooser == nil {
			f := measure.Value("sent to another region", "1", own.movedPart()).WithBaseline(other.movedPart())
			f.BaselineName = p.name
			figures = append(figures, f)
		}
		if sc.ranks {
			for rank := range accounts {
				f := measure.Value("served in time, rank "+string(rune('0'+rank)), "1", own.servedOf(rank)).HigherIsBetter().WithBaseline(other.servedOf(rank))
				f.BaselineName = p.name
				figures = append(figures, f)
			}
		}
	}
	return figures
}

func sum(counts [accounts]int) float64 {
	total := 0
	for _, n := range counts {
		total += n
	}
	return float64(total)
}

// served is the part of all requests that were answered in time.
func (w *world) served() float64 { return sum(w.inTime) / sum(w.offered) }

func (w *world) servedOf(rank int) float64 {
	return float64(w.inTime[rank]) / float64(w.offered[rank])
}

// repeats are the sends beyond the first, by request.
func (w *world) repeats() float64 {
	return (float64(w.sends) - (sum(w.offered) - sum(w.rejected))) / sum(w.offered)
}

// movedPart is the part of all sends that went to another region.
func (w *world) movedPart() float64 { return float64(w.moved) / float64(max(1, w.sends)) }

func (w *world) meanWorkMS() float64 {
	work, handled := 0.0, 0
	for _, s := range w.order {
		work += s.workMS
		handled += s.handled
	}
	return work / float64(max(1, handled))
}
