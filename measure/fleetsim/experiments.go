package fleetsim

import (
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/measure"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// Targets of docs/design.md, section 1.
const (
	faultTarget = 1 // percent
	noOvershoot = 0
)

const (
	// warmUp lets 11 VMs join one after another and fills the buckets.
	warmUp      = 40 * time.Second
	runTime     = time.Minute
	firstTime   = 10 * time.Second
	sampleEvery = 50 * time.Millisecond
	cutTime     = 20 * time.Second
	pauseTime   = 10 * time.Second
	storeDown   = 15 * time.Minute
	killInDown  = 5 * time.Minute
	settledPart = 0.999
	percent     = 100
)

// Names of figures and units.
const (
	wrongfulName  = "wrongful refusals"
	firstName     = "wrongful refusals in the 10 s after the fault"
	overshootName = "overshoot of rate and burst"
	evictedName   = "time until evicted"
	unusableName  = "units unusable"
	recoveryName  = "time until units are usable"
	leaselessName = "time without a lease at unaffected VMs"
	backName      = "time until affected VMs serve again"
	baselineName  = "static-shares"
	unitPercent   = "%"
	unitTokens    = "tokens"
	unitSeconds   = "s"
	namePrefix    = "fleet-"
	separator     = "-"
)

var seeds = []uint64{1, 2, 3}

// scenario is a fault.
type scenario struct {
	name    string
	victims []int
	// hasTarget tells that the design page bounds wrongful refusals in this
	// fault.
	hasTarget bool
	time      time.Duration
	// hitsAt is the time of the loss of the victims after the start of the
	// fault; countFrom that from which recovery is possible, and healsAt that
	// at which the victims run and are connected again, or 0.
	hitsAt, countFrom, healsAt time.Duration
	start                      func(w *world, victims []*vm)
}

func kill(_ *world, victims []*vm) {
	for _, v := range victims {
		v.dead = true
	}
}

func cut(w *world, victims []*vm) {
	set := func(cut bool) {
		for _, v := range victims {
			v.cut = cut
		}
	}
	set(true)
	w.After(cutTime, func() { set(false) })
}

func pause(w *world, victims []*vm) {
	for _, v := range victims {
		v.paused = true
		w.After(pauseTime, func() { w.resume(v) })
	}
}

func storeDownKill(w *world, victims []*vm) {
	w.table.Down = true
	w.After(killInDown, func() { kill(w, victims) })
	w.After(storeDown, func() { w.table.Down = false })
}

// scenarios are the faults. VMs 1 and 7 are a failure domain of the second
// region; 2, 5 and 8 are the third region.
var scenarios = []scenario{
	{name: "vm-killed", victims: []int{4}, hasTarget: true, time: runTime, start: kill},
	{name: "domain-killed", victims: []int{1, 7}, time: runTime, start: kill},
	{name: "region-cut", victims: []int{2, 5, 8}, time: runTime, healsAt: cutTime, start: cut},
	{name: "vm-paused", victims: []int{4}, time: runTime, healsAt: pauseTime, start: pause},
	{name: "store-down-kill", victims: []int{4}, hasTarget: true, time: storeDown + runTime,
		hitsAt: killInDown, countFrom: storeDown, start: storeDownKill},
}

// Experiments returns each fault at both deployments.
func Experiments() []measure.Experiment {
	var out []measure.Experiment
	for _, s := range scenarios {
		for _, d := range virtual.Deployments {
			out = append(out, measure.Experiment{
				Name: namePrefix + s.name + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure { return s.run(newWorld(d, seed)) },
			})
		}
	}
	return out
}

// watch is what is seen during a fault.
type watch struct {
	victims   []lease.ID
	evictedAt map[int]time.Time
	unusable  float64
	recovered time.Duration // after countFrom
	back      time.Duration // after healsAt
	leaseless time.Duration
}

func (s scenario) run(w *world) []measure.Figure {
	w.RunUntil(warmUp)
	start := w.Now
	affected := map[int]bool{}
	var victims []*vm
	for _, i := range s.victims {
		affected[i] = true
		victims = append(victims, w.vms[i])
		w.watch.victims = append(w.watch.victims, lease.IDOf(w.vms[i].member))
	}
	before := w.total()
	s.start(w, victims)
	var hit, first tally
	w.After(s.hitsAt, func() { hit = w.total() })
	w.After(s.hitsAt+firstTime, func() { first = w.total().minus(hit) })
	w.Every(sampleEvery, sampleEvery, func() { s.sample(w, w.Now.Sub(start), victims, affected) })
	w.RunUntil(warmUp + s.time)
	return s.figures(w, w.total().minus(before), first, start)
}

func (s scenario) sample(w *world, since time.Duration, victims []*vm, affected map[int]bool) {
	usable := w.usable()
	w.watch.unusable = max(w.watch.unusable, 1-usable)
	if usable < settledPart && since > s.countFrom {
		w.watch.recovered = since - s.countFrom
	}
	for _, v := range w.vms {
		if !affected[v.index] && !w.serves(v) {
			w.watch.leaseless += sampleEvery
		}
	}
	for _, v := range victims {
		if s.healsAt > 0 && since > s.healsAt && !w.serves(v) {
			w.watch.back = since - s.healsAt
		}
	}
}

func (s scenario) figures(w *world, all, first tally, start time.Time) []measure.Figure {
	out := []measure.Figure{
		s.wrongful(wrongfulName, all),
		s.wrongful(firstName, first),
		measure.Value(overshootName, unitTokens, w.overshootTokens()).WithTarget(measure.AtMost, noOvershoot),
		measure.Value(evictedName, unitSeconds, s.evicted(w, start).Seconds()),
		measure.Value(unusableName, unitPercent, percent*w.watch.unusable),
		measure.Value(recoveryName, unitSeconds, w.watch.recovered.Seconds()),
		measure.Value(leaselessName, unitSeconds, w.watch.leaseless.Seconds()),
	}
	if s.healsAt > 0 {
		out = append(out, measure.Value(backName, unitSeconds, w.watch.back.Seconds()))
	}
	return out
}

func (s scenario) wrongful(name string, t tally) measure.Figure {
	f := measure.Value(name, unitPercent, percent*t.refused/t.due)
	if s.hasTarget {
		f = f.WithTarget(measure.Below, faultTarget)
	}
	f = f.WithBaseline(percent * t.baseRefused / t.due)
	f.BaselineName = baselineName
	return f
}

// evicted returns the time until the last victim was evicted, or the whole run.
func (s scenario) evicted(w *world, start time.Time) time.Duration {
	last := time.Duration(0)
	for i := range w.watch.victims {
		at, ok := w.watch.evictedAt[i]
		if !ok {
			return s.time
		}
		last = max(last, at.Sub(start)-s.countFrom)
	}
	return last
}
