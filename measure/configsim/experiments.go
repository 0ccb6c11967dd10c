package configsim

import (
	"strconv"
	"strings"
	"time"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/measure"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// Targets from docs/design.md, section 1 and invariant 10.
const (
	inEffectTargetSeconds = 5
	revertedTarget        = 0
)

const (
	// startupPeriod is the time for all VMs to install the first version.
	startupPeriod = 10 * time.Second
	// settlePeriod is long enough for a change to reach all VMs in the baseline
	// too.
	settlePeriod = 15 * time.Second
	// sizeSettlePeriod is shorter than settlePeriod because the simulation of
	// 1,024 VMs takes long.
	sizeSettlePeriod = 4 * time.Second
	// changes is the number of rounds of a run.
	changes = 20
	// outageDuration is the time for which the store is down.
	outageDuration = 30 * time.Second
	// partitionDuration is the time for which a VM is disconnected. The key is
	// withdrawn partitionChangeDelay after its start.
	partitionDuration    = 20 * time.Second
	partitionChangeDelay = 5 * time.Second
	// raceWindow is the time within which racingOperators publish.
	raceWindow      = 300 * time.Millisecond
	racingOperators = 3
	// writeFaultFraction is the fraction of writes that is affected by each kind
	// of fault while operators race.
	writeFaultFraction = 0.1
	// lateMessageFraction is the fraction of messages and table results that takes
	// up to maxLateDelay longer while operators race.
	lateMessageFraction = 0.2
	maxLateDelay        = 2 * time.Second
	// maxChangeDelay bounds the random delay before the change of a round.
	maxChangeDelay = time.Second
)

// Names of figures and units.
const (
	changedName   = "change in effect on all VMs"
	inEffectName  = "withdrawn key without effect on all VMs"
	connectedName = "withdrawn key without effect on connected VMs"
	meanName      = "mean time until in effect"
	revertedName  = "versions reverted"
	pendingName   = "changes not in effect at the end"
	peerName      = "bytes from peers per VM and change"
	storeName     = "bytes from the store per VM and change"
	pollBaseline  = "polling-only"
	unitSeconds   = "s"
	unitVersions  = "versions"
	unitBytes     = "B"
	prefix        = "config-"
	sizePrefix    = "size-"
	separator     = "-"
)

var (
	seeds      = []uint64{1, 2, 3}
	fleetSizes = []int{4, 11, 64, 256, 1024}
)

// scenario makes one change in each round, or several concurrent ones, under the
// conditions that it is named after.
type scenario struct {
	name         string
	settlePeriod time.Duration
	change       func(sim *simulation, round int)
}

// withdrawDuringOutage withdraws a key and takes the store down as soon as one VM
// has installed the change.
func withdrawDuringOutage(sim *simulation, round int) {
	before := sim.current.Version
	sim.onInstall = func(version uint64) {
		if version > before && !sim.table.Down {
			sim.table.Down = true
			sim.onInstall = nil
			sim.After(outageDuration, func() { sim.table.Down = false })
		}
	}
	sim.withdraw(round)
	sim.advance(outageDuration)
}

// withdrawDuringPartition withdraws a key while one VM is disconnected.
func withdrawDuringPartition(sim *simulation, round int) {
	v := sim.vms[round%len(sim.vms)]
	v.disconnected = true
	sim.After(partitionChangeDelay, func() { sim.withdraw(round) })
	sim.After(partitionDuration, func() { v.disconnected, sim.partitionEndedAt = false, sim.Now })
	sim.advance(partitionDuration)
}

// withdrawConcurrently lets several operators publish at about the same time, while
// writes are lost or late and messages and table results reach VMs late.
func withdrawConcurrently(sim *simulation, round int) {
	sim.table.CallDelay, sim.lateFraction = maxLateDelay, lateMessageFraction
	sim.table.Fault = func(op tableop.Op) virtual.Fault {
		kinds := []virtual.Fault{virtual.LostAnswer, virtual.LostCall, virtual.DelayedCall}
		if i := int(sim.rng.Float64() / writeFaultFraction); i < len(kinds) && len(op.Writes) > 0 {
			return kinds[i]
		}
		return virtual.NoFault
	}
	for i := range racingOperators {
		sim.After(sim.randomOffset(raceWindow), func() { sim.withdraw(racingOperators*round + i) })
	}
}

var scenarios = []scenario{
	{"calm", settlePeriod, withdrawKey},
	{"store-down", settlePeriod, withdrawDuringOutage},
	{"vm-cut", settlePeriod, withdrawDuringPartition},
	{"race", settlePeriod, withdrawConcurrently},
}

// fleetSizeScenario runs with each fleet size.
var fleetSizeScenario = scenario{sizePrefix, sizeSettlePeriod, replaceFiles}

func withdrawKey(sim *simulation, round int) { sim.withdraw(round) }

// replaceFiles changes two files: it gives the file of this round new content and
// restores the initial content of the file that the previous round changed.
func replaceFiles(sim *simulation, round int) {
	folder := allKeys()
	folder[round].Content = []byte(strings.Repeat(changedFiller, fileBytes))
	sim.publish(folder, sim.current.Version, func(configsync.PublishStep) {})
}

// Experiments returns one experiment for each scenario and each fleet size, on each
// deployment.
func Experiments() []measure.Experiment {
	var out []measure.Experiment
	for _, d := range virtual.Deployments {
		for _, s := range scenarios {
			out = append(out, measure.Experiment{
				Name: prefix + s.name + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure {
					measured, baseline := newSimulation(d, virtual.EntryVMs, seed, false), newSimulation(d, virtual.EntryVMs, seed, true)
					s.run(measured)
					s.run(baseline)
					return measured.figures(baseline)
				},
			})
		}
		for _, n := range fleetSizes {
			out = append(out, measure.Experiment{
				Name: prefix + sizePrefix + strconv.Itoa(n) + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure {
					sim := newSimulation(d, n, seed, false)
					fleetSizeScenario.run(sim)
					return sim.sizeFigures()
				},
			})
		}
	}
	return out
}

// run makes the changes at random offsets relative to the heartbeats and table
// reads.
func (s scenario) run(sim *simulation) {
	sim.start()
	sim.peerBytes, sim.storeBytes = 0, 0
	for round := range changes {
		sim.advance(sim.randomOffset(maxChangeDelay))
		s.change(sim, round)
		sim.advance(s.settlePeriod)
	}
	sim.advance(settlePeriod)
}

// maxConnectedDelay returns the longest time until a change is in effect on all VMs
// that are connected.
func (sim *simulation) maxConnectedDelay() time.Duration {
	worst := time.Duration(0)
	for n := uint64(2); n <= sim.current.Version; n++ {
		worst = max(worst, sim.versions[n].connectedDelay)
	}
	return worst
}

// inEffectDelays returns the longest and the mean time until a change is in effect
// on all VMs, and the number of changes that are not published or not in effect on
// all VMs. It leaves out version 1, with which the fleet starts.
func (sim *simulation) inEffectDelays() (worst, mean time.Duration, pending int) {
	for name := range sim.requestedWithdrawals {
		if sim.withdrawn[name] == 0 {
			pending++
		}
	}
	for n := uint64(2); n <= sim.current.Version; n++ {
		delay := sim.versions[n].inEffectDelay
		if delay < 0 {
			pending++
			continue
		}
		worst, mean = max(worst, delay), mean+delay
	}
	return worst, mean / time.Duration(max(1, sim.current.Version-1)), pending
}

func (sim *simulation) figures(baseline *simulation) []measure.Figure {
	worst, mean, pending := sim.inEffectDelays()
	baselineWorst, baselineMean, baselinePending := baseline.inEffectDelays()
	withBaseline := func(f measure.Figure, value float64) measure.Figure {
		f = f.WithBaseline(value)
		f.BaselineName = pollBaseline
		return f
	}
	return []measure.Figure{
		withBaseline(measure.Value(inEffectName, unitSeconds, worst.Seconds()).WithTarget(measure.AtMost, inEffectTargetSeconds), baselineWorst.Seconds()),
		withBaseline(measure.Value(connectedName, unitSeconds, sim.maxConnectedDelay().Seconds()).WithTarget(measure.AtMost, inEffectTargetSeconds), baseline.maxConnectedDelay().Seconds()),
		withBaseline(measure.Value(meanName, unitSeconds, mean.Seconds()), baselineMean.Seconds()),
		withBaseline(measure.Value(pendingName, unitVersions, float64(pending)).WithTarget(measure.AtMost, 0), float64(baselinePending)),
		measure.Value(revertedName, unitVersions, float64(sim.reverted)).WithTarget(measure.AtMost, revertedTarget),
	}
}

func (sim *simulation) sizeFigures() []measure.Figure {
	worst, mean, pending := sim.inEffectDelays()
	perVMAndChange := float64(len(sim.vms)) * changes
	return []measure.Figure{
		measure.Value(changedName, unitSeconds, worst.Seconds()).WithTarget(measure.AtMost, inEffectTargetSeconds),
		measure.Value(meanName, unitSeconds, mean.Seconds()),
		measure.Value(pendingName, unitVersions, float64(pending)).WithTarget(measure.AtMost, 0),
		measure.Value(revertedName, unitVersions, float64(sim.reverted)).WithTarget(measure.AtMost, revertedTarget),
		measure.Value(peerName, unitBytes, float64(sim.peerBytes)/perVMAndChange),
		measure.Value(storeName, unitBytes, float64(sim.storeBytes)/perVMAndChange),
	}
}
