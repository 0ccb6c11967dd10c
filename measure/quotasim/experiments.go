package quotasim

import (
	"fmt"
	"time"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/measure"
)

// Targets from docs/design.md.
const (
	normalTargetPercent = 0.1
	faultTargetPercent  = 1
	worstServedTarget   = 0.98
	overshootTarget     = 0
)

const (
	// normalLoad and excessLoad are loads relative to the rate of an account.
	normalLoad = 0.8
	excessLoad = 5
	// capRate and capBurst are the cap of each region, in requests per second and
	// in requests.
	capRate      = 3000
	capBurst     = 600
	moveInterval = 5 * time.Second
	moveDuration = time.Second
	// settledFraction is the fraction of usable units from which on the fleet
	// counts as recovered.
	settledFraction     = 0.999
	storeOutageDuration = 15 * time.Minute
	percent             = 100
)

// Names of experiments.
const (
	nameFormat        = "quota-%s-%s"
	calmName          = "calm"
	tightName         = "tight"
	oneVMName         = "one-vm"
	movingName        = "moving"
	suddenName        = "sudden"
	lossyName         = "lossy"
	neighbourName     = "neighbour"
	storeDownName     = "store-down"
	storeDownKillName = "store-down-kill"
	killName          = "kill"
	killOneVMName     = "kill-one-vm"
)

// Names of figures and units.
const (
	wrongfulName        = "wrongful refusals"
	overshootName       = "overshoot of rate and burst"
	bytesName           = "control bytes per VM"
	messagesName        = "control messages per VM"
	worstName           = "worst-served account's share"
	excessAdmittedName  = "flooding account's admitted / rate"
	unusableName        = "units unusable after the kill"
	recoveryName        = "time until units are usable"
	initialWrongfulName = "wrongful refusals in the 10 s after the kill"
	unitPercent         = "%"
	unitTokens          = "tokens"
	unitBytes           = "B/s"
	unitMessages        = "1/s"
	unitRatio           = "ratio"
	unitSeconds         = "s"
)

var seeds = []uint64{1, 2, 3}

// accountLimits are the rate and burst of the 8 client accounts, two of which are
// large. The burst is one second of the rate for a small account and half a second for
// a large one.
var accountLimits = [][2]float64{{600, 300}, {400, 200}, {100, 100}, {80, 80}, {60, 60}, {50, 50}, {30, 30}, {10, 10}}

var accountNames = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

func newMeasuredSimulation(d deployment, seed uint64) *simulation {
	var accounts []*account
	var limits []quota.Limit
	for i, s := range accountLimits {
		l := quota.Limit{Name: quota.AccountLimit(accountNames[i]), RatePerSecond: s[0], Burst: s[1]}
		accounts = append(accounts, &account{limit: l, load: normalLoad, withinRate: newBucket(s[0], s[1]), reference: newBucket(s[0], s[1])})
		limits = append(limits, l)
	}
	for _, r := range d.regions {
		limits = append(limits, quota.Limit{Name: quota.RegionLimit(r), RatePerSecond: capRate, Burst: capBurst})
	}
	sim := newSimulation(d, seed, vmCount, accounts, limits)
	sim.watchedLimit = accounts[0].limit.Name
	return sim
}

// measureFor runs the warm-up and then measures for the given time.
func (sim *simulation) measureFor(d time.Duration) {
	sim.run(warmUpPeriod)
	sim.measuring = true
	sim.run(warmUpPeriod + d)
	sim.measuring = false
}

func (sim *simulation) wrongfulPercents() (measured, baseline float64) {
	var withinRate float64
	for _, a := range sim.accounts {
		if a.load > 1 {
			continue // not within its rate
		}
		measured, baseline, withinRate = measured+a.tally.wrongfullyRejected, baseline+a.tally.baselineWrongfullyRejected, withinRate+a.tally.withinRate
	}
	return percent * measured / withinRate, percent * baseline / withinRate
}

// figures returns the figures that every experiment has.
func (sim *simulation) figures(d time.Duration, target float64) []measure.Figure {
	measured, baseline := sim.wrongfulPercents()
	vmSeconds := float64(len(sim.vms)) * d.Seconds()
	return []measure.Figure{
		measure.Value(wrongfulName, unitPercent, measured).WithTarget(measure.Below, target).WithBaseline(baseline),
		measure.Value(overshootName, unitTokens, sim.overshootTokens()).WithTarget(measure.AtMost, overshootTarget),
		measure.Value(bytesName, unitBytes, sim.bytes/vmSeconds),
		measure.Value(messagesName, unitMessages, sim.messages/vmSeconds),
	}
}

// overshootTokens returns the overshoot, or 0 if it may result from rounding of
// floating-point sums.
func (sim *simulation) overshootTokens() float64 {
	if sim.overshoot < 1e-6 {
		return 0
	}
	return sim.overshoot
}

// scenario is a traffic pattern or fault that is measured on each deployment.
type scenario struct {
	name         string
	duration     time.Duration
	target       float64
	configure    func(sim *simulation)
	extraFigures func(sim *simulation) []measure.Figure
}

// Experiments returns one experiment for each scenario on each deployment.
func Experiments() []measure.Experiment {
	all := []scenario{
		{name: calmName, duration: time.Minute, target: normalTargetPercent, configure: func(*simulation) {}},
		{name: tightName, duration: time.Minute, target: normalTargetPercent, configure: (*simulation).useSmallBursts, extraFigures: (*simulation).worstServed},
		{name: oneVMName, duration: time.Minute, target: normalTargetPercent, configure: (*simulation).sendToOneVM},
		{name: movingName, duration: time.Minute, target: normalTargetPercent, configure: (*simulation).moveGradually},
		{name: suddenName, duration: time.Minute, target: normalTargetPercent, configure: (*simulation).moveSuddenly},
		{name: lossyName, duration: time.Minute, target: faultTargetPercent, configure: func(sim *simulation) { sim.lossProbability = 0.01 }},
		{name: neighbourName, duration: time.Minute, target: normalTargetPercent, configure: func(sim *simulation) { sim.accounts[0].load = excessLoad }, extraFigures: (*simulation).worstServed},
		killScenario(killName, func(*simulation) {}),
		killScenario(killOneVMName, (*simulation).sendToOneVM),
		{name: storeDownName, duration: storeOutageDuration, target: faultTargetPercent, configure: func(*simulation) {}},
		{name: storeDownKillName, duration: storeOutageDuration, target: faultTargetPercent, configure: func(sim *simulation) { sim.kill(warmUpPeriod+time.Minute, 4, 0) }},
	}
	var out []measure.Experiment
	for _, d := range deployments {
		for _, s := range all {
			out = append(out, measure.Experiment{Name: fmt.Sprintf(nameFormat, s.name, d.name), Seeds: seeds, Run: func(seed uint64) []measure.Figure {
				sim := newMeasuredSimulation(d, seed)
				s.configure(sim)
				sim.measureFor(s.duration)
				f := sim.figures(s.duration, s.target)
				if s.extraFigures != nil {
					f = append(f, s.extraFigures(sim)...)
				}
				return f
			}})
		}
	}
	return out
}

// useSmallBursts gives all accounts bursts of at most half a second of their rate.
func (sim *simulation) useSmallBursts() {
	for i, newBurst := range []float64{150, 100, 50, 40, 30, 25, 12, 5} {
		a := sim.accounts[i]
		a.limit.Burst = newBurst
		a.withinRate, a.reference = newBucket(a.limit.RatePerSecond, newBurst), newBucket(a.limit.RatePerSecond, newBurst)
		sim.limits[i] = a.limit
	}
	for _, v := range sim.vms {
		v.manager.SetLimits(sim.wallTime(), sim.limits)
	}
	sim.setStaticShares(len(sim.vms))
}

// sendToOneVM sends all traffic to one VM.
func (sim *simulation) sendToOneVM() { sim.pickVM = func(int) int { return 4 } }

// moveGradually moves all traffic to another VM every moveInterval. The share of the
// new VM grows linearly within moveDuration.
func (sim *simulation) moveGradually() {
	sim.pickVM = func(int) int {
		step := int(sim.now / moveInterval)
		if progress := float64(sim.now%moveInterval) / float64(moveDuration); sim.rng.Float64() < progress {
			step++
		}
		return step * 3 % len(sim.vms)
	}
}

// moveSuddenly moves all traffic to another VM at once every moveInterval.
func (sim *simulation) moveSuddenly() {
	sim.pickVM = func(int) int { return int(sim.now/moveInterval) * 3 % len(sim.vms) }
}

// kill kills the VM at the given time. If the delay is above 0, the epoch without the
// VM starts after it.
func (sim *simulation) kill(killTime time.Duration, victim int, delay time.Duration) {
	sim.at(killTime, func() { sim.vms[victim].killed = true })
	if delay > 0 {
		sim.at(killTime+delay, func() { sim.startEpoch((victim + 1) % len(sim.vms)) })
	}
}

// killScenario returns a scenario in which one VM is killed and evicted.
func killScenario(name string, configure func(*simulation)) scenario {
	const killTime, victim = warmUpPeriod + 20*time.Second, 4
	const sampleInterval, observationPeriod, initialPeriod = 50 * time.Millisecond, 30 * time.Second, 10 * time.Second
	return scenario{name: name, duration: time.Minute, target: faultTargetPercent,
		configure: func(sim *simulation) {
			configure(sim)
			sim.kill(killTime, victim, epochDelay)
			sim.killObservations = &killObservations{}
			sim.at(killTime, func() { sim.killObservations.countsBefore, sim.killObservations.baselineBefore = sim.wrongfulCounts() })
			sim.at(killTime+initialPeriod, func() { sim.killObservations.countsAfter, sim.killObservations.baselineAfter = sim.wrongfulCounts() })
			for d := sampleInterval; d < observationPeriod; d += sampleInterval {
				sim.at(killTime+d, func() { sim.killObservations.record(d, sim.heldFraction()) })
			}
		},
		extraFigures: func(sim *simulation) []measure.Figure {
			s := sim.killObservations
			return []measure.Figure{
				measure.Value(initialWrongfulName, unitPercent, s.wrongfulPercent(s.countsBefore, s.countsAfter)).WithBaseline(s.wrongfulPercent(s.baselineBefore, s.baselineAfter)),
				measure.Value(unusableName, unitPercent, percent*s.unusableFraction),
				measure.Value(recoveryName, unitSeconds, s.recoveryDelay.Seconds()),
			}
		}}
}

// killObservations holds what a run observes around a kill.
type killObservations struct {
	countsBefore, countsAfter, baselineBefore, baselineAfter [2]float64 // wrongfully rejected, within the rate
	unusableFraction                                         float64
	recoveryDelay                                            time.Duration
}

func (s *killObservations) record(sinceKill time.Duration, fraction float64) {
	s.unusableFraction = max(s.unusableFraction, 1-fraction)
	if fraction < settledFraction {
		s.recoveryDelay = sinceKill
	}
}

func (s *killObservations) wrongfulPercent(before, after [2]float64) float64 {
	return percent * (after[0] - before[0]) / max(1, after[1]-before[1])
}

func (sim *simulation) wrongfulCounts() (measured, baseline [2]float64) {
	for _, a := range sim.accounts {
		measured[0], measured[1] = measured[0]+a.tally.wrongfullyRejected, measured[1]+a.tally.withinRate
		baseline[0], baseline[1] = baseline[0]+a.tally.baselineWrongfullyRejected, baseline[1]+a.tally.withinRate
	}
	return measured, baseline
}

// worstServed returns the served fraction of the worst-served account within its
// rate, and the admitted requests of an account above its rate relative to the rate.
func (sim *simulation) worstServed() []measure.Figure {
	measured, baseline := 1.0, 1.0
	var figures []measure.Figure
	for _, a := range sim.accounts {
		if a.load > 1 {
			requestsAtRate := a.limit.RatePerSecond * time.Minute.Seconds()
			figures = append(figures, measure.Value(excessAdmittedName, unitRatio, a.tally.admitted/requestsAtRate).WithBaseline(a.tally.baselineAdmitted/requestsAtRate))
			continue
		}
		measured = min(measured, 1-a.tally.wrongfullyRejected/a.tally.withinRate)
		baseline = min(baseline, 1-a.tally.baselineWrongfullyRejected/a.tally.withinRate)
	}
	return append(figures, measure.Value(worstName, unitRatio, measured).WithTarget(measure.AtLeast, worstServedTarget).WithBaseline(baseline))
}
