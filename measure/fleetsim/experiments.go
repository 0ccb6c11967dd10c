package fleetsim

import (
	"time"

	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/measure"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// Targets from docs/design.md, section 1.
const (
	wrongfulRejectionTargetPercent = 1
	overshootTarget                = 0
)

const (
	// warmUpPeriod is long enough for 11 VMs to join one after another and for
	// the buckets to fill.
	warmUpPeriod          = 40 * time.Second
	faultScenarioDuration = time.Minute
	// initialPeriod is the time after the loss of the VMs for which wrongful
	// rejections are a figure of their own.
	initialPeriod     = 10 * time.Second
	sampleInterval    = 50 * time.Millisecond
	partitionDuration = 20 * time.Second
	pauseDuration     = 10 * time.Second
	// storeOutageDuration is the time for which the store is down. The VM is killed
	// killDelayInOutage after its start.
	storeOutageDuration = 15 * time.Minute
	killDelayInOutage   = 5 * time.Minute
	// settledFraction is the fraction of usable units from which on the fleet
	// counts as recovered.
	settledFraction = 0.999
	percent         = 100
)

// Names of figures and units.
const (
	wrongfulName         = "wrongful refusals"
	initialWrongfulName  = "wrongful refusals in the 10 s after the fault"
	overshootName        = "overshoot of rate and burst"
	evictedName          = "time until evicted"
	unusableName         = "units unusable"
	recoveryName         = "time until units are usable"
	timeWithoutLeaseName = "time without a lease at unaffected VMs"
	servingName          = "time until affected VMs serve again"
	baselineName         = "static-shares"
	unitPercent          = "%"
	unitTokens           = "tokens"
	unitSeconds          = "s"
	namePrefix           = "fleet-"
	separator            = "-"
)

var seeds = []uint64{1, 2, 3}

// scenario is a fault and the VMs that it affects.
type scenario struct {
	name    string
	victims []int
	// hasRejectionTarget is set if the design page bounds wrongful rejections
	// under this fault.
	hasRejectionTarget bool
	duration           time.Duration
	// Times since the start of the fault. At vmsLostAt, the victims fail. From
	// recoveryPossibleAt on, the fleet can recover. At faultEndsAt, the victims
	// run and are connected again; 0 if they never do.
	vmsLostAt, recoveryPossibleAt, faultEndsAt time.Duration
	startFault                                 func(sim *simulation, victims []*vm)
}

func killVMs(_ *simulation, victims []*vm) {
	for _, v := range victims {
		v.down = true
	}
}

func disconnectVMs(sim *simulation, victims []*vm) {
	setDisconnected := func(disconnected bool) {
		for _, v := range victims {
			v.disconnected = disconnected
		}
	}
	setDisconnected(true)
	sim.After(partitionDuration, func() { setDisconnected(false) })
}

func pauseVMs(sim *simulation, victims []*vm) {
	for _, v := range victims {
		v.paused = true
		sim.After(pauseDuration, func() { sim.resume(v) })
	}
}

func killDuringStoreOutage(sim *simulation, victims []*vm) {
	sim.table.Down = true
	sim.After(killDelayInOutage, func() { killVMs(sim, victims) })
	sim.After(storeOutageDuration, func() { sim.table.Down = false })
}

// scenarios are all faults. VMs 1 and 7 form a failure domain of the second region.
// VMs 2, 5 and 8 form the third region.
var scenarios = []scenario{
	{name: "vm-killed", victims: []int{4}, hasRejectionTarget: true, duration: faultScenarioDuration, startFault: killVMs},
	{name: "domain-killed", victims: []int{1, 7}, duration: faultScenarioDuration, startFault: killVMs},
	{name: "region-cut", victims: []int{2, 5, 8}, duration: faultScenarioDuration, faultEndsAt: partitionDuration, startFault: disconnectVMs},
	{name: "vm-paused", victims: []int{4}, duration: faultScenarioDuration, faultEndsAt: pauseDuration, startFault: pauseVMs},
	{name: "store-down-kill", victims: []int{4}, hasRejectionTarget: true, duration: storeOutageDuration + faultScenarioDuration,
		vmsLostAt: killDelayInOutage, recoveryPossibleAt: storeOutageDuration, startFault: killDuringStoreOutage},
}

// Experiments returns one experiment for each fault on each deployment.
func Experiments() []measure.Experiment {
	var out []measure.Experiment
	for _, s := range scenarios {
		for _, d := range virtual.Deployments {
			out = append(out, measure.Experiment{
				Name: namePrefix + s.name + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure { return s.run(newSimulation(d, seed)) },
			})
		}
	}
	return out
}

// faultObservations holds what a run observes during a fault.
type faultObservations struct {
	victims          []lease.ID
	evictedAt        map[int]time.Time
	unusableFraction float64
	recoveryDelay    time.Duration // since recoveryPossibleAt
	servingDelay     time.Duration // since faultEndsAt
	timeWithoutLease time.Duration
}

func (s scenario) run(sim *simulation) []measure.Figure {
	sim.RunUntil(warmUpPeriod)
	start := sim.Now
	affected := map[int]bool{}
	var victims []*vm
	for _, i := range s.victims {
		affected[i] = true
		victims = append(victims, sim.vms[i])
		sim.observations.victims = append(sim.observations.victims, lease.IDOf(sim.vms[i].member))
	}
	before := sim.totalTally()
	s.startFault(sim, victims)
	var atLoss, initial tally
	sim.After(s.vmsLostAt, func() { atLoss = sim.totalTally() })
	sim.After(s.vmsLostAt+initialPeriod, func() { initial = sim.totalTally().sub(atLoss) })
	sim.Every(sampleInterval, sampleInterval, func() { s.sample(sim, sim.Now.Sub(start), victims, affected) })
	sim.RunUntil(warmUpPeriod + s.duration)
	return s.figures(sim, sim.totalTally().sub(before), initial, start)
}

func (s scenario) sample(sim *simulation, elapsed time.Duration, victims []*vm, affected map[int]bool) {
	usable := sim.usableFraction()
	sim.observations.unusableFraction = max(sim.observations.unusableFraction, 1-usable)
	if usable < settledFraction && elapsed > s.recoveryPossibleAt {
		sim.observations.recoveryDelay = elapsed - s.recoveryPossibleAt
	}
	for _, v := range sim.vms {
		if !affected[v.index] && !sim.up(v) {
			sim.observations.timeWithoutLease += sampleInterval
		}
	}
	for _, v := range victims {
		if s.faultEndsAt > 0 && elapsed > s.faultEndsAt && !sim.up(v) {
			sim.observations.servingDelay = elapsed - s.faultEndsAt
		}
	}
}

func (s scenario) figures(sim *simulation, all, initial tally, start time.Time) []measure.Figure {
	out := []measure.Figure{
		s.wrongfulRejections(wrongfulName, all),
		s.wrongfulRejections(initialWrongfulName, initial),
		measure.Value(overshootName, unitTokens, sim.overshootTokens()).WithTarget(measure.AtMost, overshootTarget),
		measure.Value(evictedName, unitSeconds, s.evictionDelay(sim, start).Seconds()),
		measure.Value(unusableName, unitPercent, percent*sim.observations.unusableFraction),
		measure.Value(recoveryName, unitSeconds, sim.observations.recoveryDelay.Seconds()),
		measure.Value(timeWithoutLeaseName, unitSeconds, sim.observations.timeWithoutLease.Seconds()),
	}
	if s.faultEndsAt > 0 {
		out = append(out, measure.Value(servingName, unitSeconds, sim.observations.servingDelay.Seconds()))
	}
	return out
}

func (s scenario) wrongfulRejections(name string, t tally) measure.Figure {
	f := measure.Value(name, unitPercent, percent*t.rejected/t.withinRate)
	if s.hasRejectionTarget {
		f = f.WithTarget(measure.Below, wrongfulRejectionTargetPercent)
	}
	f = f.WithBaseline(percent * t.baselineRejected / t.withinRate)
	f.BaselineName = baselineName
	return f
}

// evictionDelay returns the time until the last victim was evicted, or the duration
// of the run if one of them was never evicted.
func (s scenario) evictionDelay(sim *simulation, start time.Time) time.Duration {
	last := time.Duration(0)
	for i := range sim.observations.victims {
		at, ok := sim.observations.evictedAt[i]
		if !ok {
			return s.duration
		}
		last = max(last, at.Sub(start)-s.recoveryPossibleAt)
	}
	return last
}
