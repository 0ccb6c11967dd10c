package bookingsim

import (
	"strconv"
	"time"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/measure"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// none is the target of docs/design.md, section 1, for bookings executed twice,
// and of invariant 6 for false answers.
const none = 0

const (
	percent = 100
	// faultRate is the load of the runs with faults, in bookings per second.
	faultRate = 100
	// faultPart of the transactions has each kind of fault; a late one arrives
	// after lateBy, which is longer than the dispatch window.
	faultPart = 0.02
	lateBy    = 3 * time.Second

	outageAt, outageTime     = 8 * time.Second, 10 * time.Second
	killEvery, replacedAfter = 5 * time.Second, 4 * time.Second
	pauseEvery, pauseTime    = 5 * time.Second, 4 * time.Second
)

// Names of figures and units.
const (
	twiceName        = "bookings run twice"
	falseName        = "false not run"
	earlierName      = "not run although an earlier request of the booking ran"
	completedName    = "completed"
	claimP50Name     = "claim p50"
	claimP99Name     = "claim p99"
	transactionsName = "table transactions"
	rowsName         = "rows written per booking"
	noRecords        = "repeats-without-records"
	singleTry        = "no-retry-no-repeat"
	queuedAtTable    = "queue-at-the-table"
	unitBookings     = "bookings"
	unitAnswers      = "answers"
	unitPercent      = "%"
	unitMS           = "ms"
	unitPerSecond    = "1/s"
	unitRows         = "rows"
	faultPrefix      = "booking-"
	loadPrefix       = "booking-load-"
	separator        = "-"
)

var (
	seeds = []uint64{1, 2, 3}
	// loads are in bookings per second.
	loads = []int{10, 100, 1000, 2000}
)

// scenario is a set of faults in addition to those of callers and backend
// servers.
type scenario struct {
	name   string
	faults func(w *world)
}

func tableFaults(w *world) {
	w.table.CallDelay = lateBy
	w.table.Fault = func(tableop.Op) virtual.Fault {
		kinds := []virtual.Fault{virtual.Refused, virtual.LostAnswer, virtual.LostCall, virtual.DelayedCall}
		if i := int(w.rnd.Float64() / faultPart); i < len(kinds) {
			return kinds[i]
		}
		return virtual.NoFault
	}
}

func outage(w *world) {
	w.After(outageAt, func() { w.table.Down = true })
	w.After(outageAt+outageTime, func() { w.table.Down = false })
}

func kills(w *world) {
	for i, at := 0, killEvery; at < runTime; i, at = i+1, at+killEvery {
		w.After(at, func() { w.kill(i, replacedAfter) })
	}
}

func pauses(w *world) {
	for i, at := len(w.vms)-1, pauseEvery; at < runTime; i, at = i-1, at+pauseEvery {
		w.After(at, func() { w.pause(i, pauseTime) })
	}
}

var scenarios = []scenario{
	{"calm", func(*world) {}},
	{"table-faults", tableFaults},
	{"store-outage", outage},
	{"vms-killed", kills},
	{"vms-paused", pauses},
	{"all-faults", func(w *world) {
		tableFaults(w)
		outage(w)
		kills(w)
		pauses(w)
	}},
}

// Experiments returns each set of faults and each load at both deployments.
func Experiments() []measure.Experiment {
	var out []measure.Experiment
	for _, d := range virtual.Deployments {
		for _, s := range scenarios {
			out = append(out, measure.Experiment{
				Name: faultPrefix + s.name + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure { return s.run(d, seed) },
			})
		}
		for _, rate := range loads {
			out = append(out, measure.Experiment{
				Name: loadPrefix + strconv.Itoa(rate) + separator + d.Name, Seeds: seeds,
				Run: func(seed uint64) []measure.Figure { return runLoad(d, float64(rate), seed) },
			})
		}
	}
	return out
}

func (s scenario) run(d virtual.Deployment, seed uint64) []measure.Figure {
	c := config{rate: faultRate, mode: paced, oneWay: d.StoreDelay, repeats: true, records: true, failing: true, faults: s.faults}
	own := newWorld(c, seed).run()
	c.records = false
	unrecorded := newWorld(c, seed).run()
	c.records, c.repeats = true, false
	single := newWorld(c, seed).run()
	against := func(f measure.Figure, name string, value float64) measure.Figure {
		f = f.WithBaseline(value)
		f.BaselineName = name
		return f
	}
	return []measure.Figure{
		against(measure.Value(twiceName, unitBookings, own.twice()).WithTarget(measure.AtMost, none), noRecords, unrecorded.twice()),
		measure.Value(falseName, unitAnswers, float64(own.falsely)).WithTarget(measure.AtMost, none),
		measure.Value(earlierName, unitAnswers, float64(own.earlier)),
		against(measure.Value(completedName, unitPercent, own.completedPart()).HigherIsBetter(), singleTry, single.completedPart()),
		measure.Value(claimP99Name, unitMS, own.claimMS(99)),
	}
}

func runLoad(d virtual.Deployment, rate float64, seed uint64) []measure.Figure {
	c := config{rate: rate, mode: paced, oneWay: d.StoreDelay, records: true}
	own := newWorld(c, seed).run()
	c.mode = queued
	base := newWorld(c, seed).run()
	figure := func(name, unit string, of func(w *world) float64) measure.Figure {
		f := measure.Value(name, unit, of(own)).WithBaseline(of(base))
		f.BaselineName = queuedAtTable
		return f
	}
	return []measure.Figure{
		figure(claimP50Name, unitMS, func(w *world) float64 { return w.claimMS(50) }),
		figure(claimP99Name, unitMS, func(w *world) float64 { return w.claimMS(99) }),
		figure(transactionsName, unitPerSecond, (*world).transactions),
		figure(rowsName, unitRows, func(w *world) float64 { return float64(w.rows) / float64(len(w.bookings)) }),
		figure(completedName, unitPercent, (*world).completedPart).HigherIsBetter(),
	}
}

func (w *world) transactions() float64 { return float64(w.table.Transactions) / runTime.Seconds() }
