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

// Targets of docs/design.md, section 1 and invariant 10.
const (
	inEffectTarget = 5 // seconds
	noReversion    = 0
)

const (
	startTime = 10 * time.Second
	// settleTime lets a change reach all VMs of the baseline too.
	settleTime = 15 * time.Second
	// sizeSettle is shorter, because a fleet of 1,024 VMs takes long to simulate.
	sizeSettle = 4 * time.Second
	changes    = 20
	outageTime = 30 * time.Second
	cutTime    = 20 * time.Second
	cutChange  = 5 * time.Second
	raceWithin = 300 * time.Millisecond
	racers     = 3
	// writeFaultPart of the writes of a race has each kind of fault.
	writeFaultPart = 0.1
	latePart       = 0.2
	lateBy         = 2 * time.Second
	maxPhase       = time.Second
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
	seeds = []uint64{1, 2, 3}
	sizes = []int{4, 11, 64, 256, 1024}
)

// scenario makes one change.
type scenario struct {
	name   string
	settle time.Duration
	change func(w *world, turn int)
}

// storeDown takes the store down as soon as one VM has seen the change.
func storeDown(w *world, turn int) {
	before := w.current.Version
	w.onInstall = func(version uint64) {
		if version > before && !w.table.Down {
			w.table.Down = true
			w.onInstall = nil
			w.After(outageTime, func() { w.table.Down = false })
		}
	}
	w.withdraw(turn)
	w.run(outageTime)
}

// vmCut cuts a VM off while the change is made.
func vmCut(w *world, turn int) {
	v := w.vms[turn%len(w.vms)]
	v.cut = true
	w.After(cutChange, func() { w.withdraw(turn) })
	w.After(cutTime, func() { v.cut, w.healedAt = false, w.Now })
	w.run(cutTime)
}

// race lets operators publish at about the same time while writes are lost or
// late, and messages and answers to VMs are late.
func race(w *world, turn int) {
	w.table.CallDelay, w.latePart = lateBy, latePart
	w.table.Fault = func(op tableop.Op) virtual.Fault {
		kinds := []virtual.Fault{virtual.LostAnswer, virtual.LostCall, virtual.DelayedCall}
		if i := int(w.rnd.Float64() / writeFaultPart); i < len(kinds) && len(op.Writes) > 0 {
			return kinds[i]
		}
		return virtual.NoFault
	}
	for i := range racers {
		w.After(w.phase(raceWithin), func() { w.withdraw(racers*turn + i) })
	}
}

var scenarios = []scenario{
	{"calm", settleTime, withdrawOne},
	{"store-down", settleTime, storeDown},
	{"vm-cut", settleTime, vmCut},
	{"race", settleTime, race},
}

// ofSize is run with each fleet size.
var ofSize = scenario{sizePrefix, sizeSettle, replaceFiles}

func withdrawOne(w *world, turn int) { w.withdraw(turn) }

// replaceFiles changes two files: one of its own, and that of the change before
// gets its first content again.
func replaceFiles(w *world, turn int) {
	folder := allKeys()
	folder[turn].Content = []byte(strings.Repeat(otherFiller, fileBytes))
	w.publish(folder, w.current.Version, func(configsync.PublishStep) {})
}

// Experiments returns each scenario and each fleet size at both deployments.
func Experiments() []measure.Experiment {
	var out []measure.Experiment
	for _, d := range virtual.Deployments {
		for _, s := range scenarios {
			out = append(out, measure.Experiment{
				Name: prefix + s.name + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure {
					own, base := newWorld(d, virtual.EntryVMs, seed, false), newWorld(d, virtual.EntryVMs, seed, true)
					s.run(own)
					s.run(base)
					return own.figures(base)
				},
			})
		}
		for _, n := range sizes {
			out = append(out, measure.Experiment{
				Name: prefix + sizePrefix + strconv.Itoa(n) + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure {
					w := newWorld(d, n, seed, false)
					ofSize.run(w)
					return w.sizeFigures()
				},
			})
		}
	}
	return out
}

// run makes the changes at random phases of heartbeats and reads.
func (s scenario) run(w *world) {
	w.begin()
	w.peerBytes, w.storeBytes = 0, 0
	for turn := range changes {
		w.run(w.phase(maxPhase))
		s.change(w, turn)
		w.run(s.settle)
	}
	w.run(settleTime)
}

// connected returns the worst time until a change is in effect on the VMs that
// are connected.
func (w *world) connected() time.Duration {
	worst := time.Duration(0)
	for n := uint64(2); n <= w.current.Version; n++ {
		worst = max(worst, w.versions[n].connected)
	}
	return worst
}

// inEffect returns the worst and the mean time until a change is in effect, and
// how many changes are not published or not in effect on all VMs. The first
// version is the start of the fleet.
func (w *world) inEffect() (worst, mean time.Duration, pending int) {
	for name := range w.wanted {
		if w.withdrawn[name] == 0 {
			pending++
		}
	}
	for n := uint64(2); n <= w.current.Version; n++ {
		took := w.versions[n].inEffect
		if took < 0 {
			pending++
			continue
		}
		worst, mean = max(worst, took), mean+took
	}
	return worst, mean / time.Duration(max(1, w.current.Version-1)), pending
}

func (w *world) figures(base *world) []measure.Figure {
	worst, mean, pending := w.inEffect()
	baseWorst, baseMean, basePending := base.inEffect()
	against := func(f measure.Figure, value float64) measure.Figure {
		f = f.WithBaseline(value)
		f.BaselineName = pollBaseline
		return f
	}
	return []measure.Figure{
		against(measure.Value(inEffectName, unitSeconds, worst.Seconds()).WithTarget(measure.AtMost, inEffectTarget), baseWorst.Seconds()),
		against(measure.Value(connectedName, unitSeconds, w.connected().Seconds()).WithTarget(measure.AtMost, inEffectTarget), base.connected().Seconds()),
		against(measure.Value(meanName, unitSeconds, mean.Seconds()), baseMean.Seconds()),
		against(measure.Value(pendingName, unitVersions, float64(pending)).WithTarget(measure.AtMost, 0), float64(basePending)),
		measure.Value(revertedName, unitVersions, float64(w.reverted)).WithTarget(measure.AtMost, noReversion),
	}
}

func (w *world) sizeFigures() []measure.Figure {
	worst, mean, pending := w.inEffect()
	each := float64(len(w.vms)) * changes
	return []measure.Figure{
		measure.Value(changedName, unitSeconds, worst.Seconds()).WithTarget(measure.AtMost, inEffectTarget),
		measure.Value(meanName, unitSeconds, mean.Seconds()),
		measure.Value(pendingName, unitVersions, float64(pending)).WithTarget(measure.AtMost, 0),
		measure.Value(revertedName, unitVersions, float64(w.reverted)).WithTarget(measure.AtMost, noReversion),
		measure.Value(peerName, unitBytes, float64(w.peerBytes)/each),
		measure.Value(storeName, unitBytes, float64(w.storeBytes)/each),
	}
}
