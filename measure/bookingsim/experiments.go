package bookingsim

import (
	"strconv"
	"time"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/measure"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// zeroTarget is the target of docs/design.md, section 1, for bookings that are
// executed twice, and of its invariant 6 for responses that falsely report a request
// as not run.
const zeroTarget = 0

const (
	percent = 100
	// faultScenarioRate is the load of the scenarios with faults, in bookings per
	// second.
	faultScenarioRate = 100
	// tableFaultFraction is the fraction of transactions that is affected by each
	// kind of fault. A late write arrives after lateWriteDelay, which is longer
	// than the dispatch window.
	tableFaultFraction = 0.02
	lateWriteDelay     = 3 * time.Second

	// The store is down once. VMs are killed and paused in turn, at fixed
	// intervals.
	outageStart, outageDuration    = 8 * time.Second, 10 * time.Second
	killInterval, replacementDelay = 5 * time.Second, 4 * time.Second
	pauseInterval, pauseDuration   = 5 * time.Second, 4 * time.Second
)

// Names of figures and units.
const (
	executedTwiceName        = "bookings run twice"
	falseNotRunName          = "false not run"
	notRunAfterExecutionName = "not run although an earlier request of the booking ran"
	completedName            = "completed"
	claimP50Name             = "claim p50"
	claimP99Name             = "claim p99"
	transactionsName         = "table transactions"
	rowsName                 = "rows written per booking"
	baselineNoRecords        = "repeats-without-records"
	baselineNoRetries        = "no-retry-no-repeat"
	baselineTableQueue       = "queue-at-the-table"
	unitBookings             = "bookings"
	unitResponses            = "answers"
	unitPercent              = "%"
	unitMS                   = "ms"
	unitPerSecond            = "1/s"
	unitRows                 = "rows"
	faultPrefix              = "booking-"
	loadPrefix               = "booking-load-"
	separator                = "-"
)

var (
	seeds = []uint64{1, 2, 3}
	// bookingRates are the loads of the runs without faults, in bookings per second.
	bookingRates = []int{10, 100, 1000, 2000}
)

// scenario is a set of faults of the table and the VMs. They occur in addition to
// the random failures of callers and backend servers.
type scenario struct {
	name           string
	scheduleFaults func(sim *simulation)
}

func injectTableFaults(sim *simulation) {
	sim.table.CallDelay = lateWriteDelay
	sim.table.Fault = func(tableop.Op) virtual.Fault {
		kinds := []virtual.Fault{virtual.Refused, virtual.LostAnswer, virtual.LostCall, virtual.DelayedCall}
		if i := int(sim.rng.Float64() / tableFaultFraction); i < len(kinds) {
			return kinds[i]
		}
		return virtual.NoFault
	}
}

func scheduleOutage(sim *simulation) {
	sim.After(outageStart, func() { sim.table.Down = true })
	sim.After(outageStart+outageDuration, func() { sim.table.Down = false })
}

func scheduleKills(sim *simulation) {
	for i, at := 0, killInterval; at < runTime; i, at = i+1, at+killInterval {
		sim.After(at, func() { sim.kill(i, replacementDelay) })
	}
}

func schedulePauses(sim *simulation) {
	for i, at := len(sim.vms)-1, pauseInterval; at < runTime; i, at = i-1, at+pauseInterval {
		sim.After(at, func() { sim.pause(i, pauseDuration) })
	}
}

var scenarios = []scenario{
	{"calm", func(*simulation) {}},
	{"table-faults", injectTableFaults},
	{"store-outage", scheduleOutage},
	{"vms-killed", scheduleKills},
	{"vms-paused", schedulePauses},
	{"all-faults", func(sim *simulation) {
		injectTableFaults(sim)
		scheduleOutage(sim)
		scheduleKills(sim)
		schedulePauses(sim)
	}},
}

// Experiments returns one experiment for each scenario and each load, on each
// deployment.
func Experiments() []measure.Experiment {
	var out []measure.Experiment
	for _, d := range virtual.Deployments {
		for _, s := range scenarios {
			out = append(out, measure.Experiment{
				Name: faultPrefix + s.name + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure { return s.run(d, seed) },
			})
		}
		for _, rate := range bookingRates {
			out = append(out, measure.Experiment{
				Name: loadPrefix + strconv.Itoa(rate) + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure { return runLoad(d, float64(rate), seed) },
			})
		}
	}
	return out
}

func (s scenario) run(d virtual.Deployment, seed uint64) []measure.Figure {
	c := config{rate: faultScenarioRate, mode: paced, storeDelay: d.StoreDelay, retries: true, records: true, randomFailures: true, scheduleFaults: s.scheduleFaults}
	measured := newSimulation(c, seed).run()
	c.records = false
	withoutRecords := newSimulation(c, seed).run()
	c.records, c.retries = true, false
	withoutRetries := newSimulation(c, seed).run()
	withBaseline := func(f measure.Figure, name string, value float64) measure.Figure {
		f = f.WithBaseline(value)
		f.BaselineName = name
		return f
	}
	return []measure.Figure{
		withBaseline(measure.Value(executedTwiceName, unitBookings, measured.executedTwice()).WithTarget(measure.AtMost, zeroTarget), baselineNoRecords, withoutRecords.executedTwice()),
		measure.Value(falseNotRunName, unitResponses, float64(measured.falseNotRun)).WithTarget(measure.AtMost, zeroTarget),
		measure.Value(notRunAfterExecutionName, unitResponses, float64(measured.notRunAfterExecution)),
		withBaseline(measure.Value(completedName, unitPercent, measured.completedPercent()).HigherIsBetter(), baselineNoRetries, withoutRetries.completedPercent()),
		measure.Value(claimP99Name, unitMS, measured.claimLatencyMS(99)),
	}
}

func runLoad(d virtual.Deployment, rate float64, seed uint64) []measure.Figure {
	c := config{rate: rate, mode: paced, storeDelay: d.StoreDelay, records: true}
	measured := newSimulation(c, seed).run()
	c.mode = queued
	baseline := newSimulation(c, seed).run()
	figure := func(name, unit string, value func(sim *simulation) float64) measure.Figure {
		f := measure.Value(name, unit, value(measured)).WithBaseline(value(baseline))
		f.BaselineName = baselineTableQueue
		return f
	}
	return []measure.Figure{
		figure(claimP50Name, unitMS, func(sim *simulation) float64 { return sim.claimLatencyMS(50) }),
		figure(claimP99Name, unitMS, func(sim *simulation) float64 { return sim.claimLatencyMS(99) }),
		figure(transactionsName, unitPerSecond, (*simulation).tps),
		figure(rowsName, unitRows, func(sim *simulation) float64 { return float64(sim.writtenRows) / float64(len(sim.bookings)) }),
		figure(completedName, unitPercent, (*simulation).completedPercent).HigherIsBetter(),
	}
}

func (sim *simulation) tps() float64 { return float64(sim.table.Transactions) / runTime.Seconds() }
