// Package bookingsim measures core/once in virtual time. It simulates bookings with
// an Idempotency-Key on 11 VMs that share one table. The table, the VMs and the
// backend servers fail, and callers retry bookings at other VMs.
package bookingsim

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiawind/cassiawind/core/once"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// mode selects how the table's transaction rate is limited.
type mode string

const (
	// unlimited: the table executes all transactions immediately.
	unlimited mode = "unlimited"
	// queued: the table executes at most tableRate transactions per second. The
	// others wait at the table in the order of their arrival.
	queued mode = "queued"
	// paced: each VM spaces its transactions with a once.Pacer.
	paced mode = "paced"
)

const (
	// tableRate is the highest rate of the table, in transactions per second.
	tableRate = 300
	// runTime is the time during which new bookings arrive.
	runTime = 30 * time.Second
	// settlePeriod is the time that the simulation continues after the last
	// booking arrives. It is longer than the time during which callers retry.
	settlePeriod = 90 * time.Second

	histogramMax    = 120_000_000 // microseconds
	histogramDigits = 3
)

// config holds the settings of a run.
type config struct {
	rate float64 // bookings per second
	mode mode
	// storeDelay returns the one-way delay between a VM and the store.
	storeDelay func(vm int) time.Duration
	// retries makes callers retry a booking that has no outcome, and VMs try
	// another backend server after one that did not run the request.
	retries bool
	// records makes VMs keep at-most-once records.
	records bool
	// randomFailures makes callers send duplicates and stop waiting, and backend
	// servers reject requests or lose responses, at random.
	randomFailures bool
	// scheduleFaults schedules the faults of the scenario before the run starts;
	// nil schedules none.
	scheduleFaults func(sim *simulation)
}

// vm is one incarnation of an entry VM.
type vm struct {
	index          int
	incarnation    uint64
	killed, paused bool
	pendingSteps   []func()
	batcher        once.Batcher[*request]
	pacer          once.Pacer
	requests       []*request // requests that may still await a response
}

// simulation is the simulated fleet with its table and callers.
type simulation struct {
	*virtual.Clock
	config
	rng         *rand.Rand
	table       virtual.Table
	vms         []*vm
	tableFreeAt time.Time // in mode queued: end of the last scheduled transaction

	bookings             []*booking
	requests             int
	writtenRows          int
	completed            int // responses with the outcome of the request
	rejected             int // other responses
	falseNotRun          int // reported as not run, but the request ran
	notRunAfterExecution int // reported as not run, but an earlier request of the booking ran
	claimLatencies       *hdrhistogram.Histogram
}

func newSimulation(c config, seed uint64) *simulation {
	sim := &simulation{Clock: virtual.New(), config: c, rng: rand.New(rand.NewPCG(seed, uint64(c.rate))), claimLatencies: hdrhistogram.New(1, histogramMax, histogramDigits)}
	sim.table.Clock = sim.Clock
	for i := range virtual.EntryVMs {
		sim.vms = append(sim.vms, &vm{index: i, incarnation: 1})
	}
	if c.scheduleFaults != nil {
		c.scheduleFaults(sim)
	}
	return sim
}

func (sim *simulation) run() *simulation {
	sim.scheduleArrival()
	sim.RunUntil(runTime + settlePeriod)
	return sim
}

// runStep runs a step of a VM now, or when the VM resumes if it is paused. A killed
// VM runs no steps.
func (sim *simulation) runStep(v *vm, step func()) {
	switch {
	case v.killed:
	case v.paused:
		v.pendingSteps = append(v.pendingSteps, step)
	default:
		step()
	}
}

// kill stops a VM. Its callers lose their connections, and a new incarnation of the
// VM starts after the delay.
func (sim *simulation) kill(index int, delay time.Duration) {
	v := sim.vms[index]
	v.killed = true
	for _, req := range v.requests {
		sim.endWithoutResponse(req)
	}
	sim.After(delay, func() { sim.vms[index] = &vm{index: index, incarnation: v.incarnation + 1} })
}

func (sim *simulation) pause(index int, d time.Duration) {
	v := sim.vms[index]
	v.paused = true
	sim.After(d, func() {
		v.paused = false
		steps := v.pendingSteps
		v.pendingSteps = nil
		for _, step := range steps {
			sim.runStep(v, step)
		}
	})
}

// handleStep performs a step of the state machine of a request.
func (sim *simulation) handleStep(req *request, step once.Step) {
	if step.Response != nil {
		sim.respond(req, step.Response)
	}
	switch step.Kind {
	case once.Write:
		ops, failed := req.vm.batcher.Add(req, step.Op)
		sim.sendTransactions(req.vm, ops)
		sim.handleWriteResults(failed)
	case once.Read:
		sim.callTable(req.vm, 0, step.Op, func(r tableop.Result) { sim.handleStep(req, req.keyed.TableResult(sim.Now, r)) })
	case once.Wait:
		sim.After(step.Wait, func() { sim.runStep(req.vm, func() { sim.handleStep(req, req.keyed.Waited(sim.Now)) }) })
	case once.Dispatch:
		_ = sim.claimLatencies.RecordValue(sim.Now.Sub(req.startedAt).Microseconds())
		sim.connect(req, 1)
	}
}

func (sim *simulation) callTable(v *vm, delay time.Duration, op tableop.Op, onResult func(tableop.Result)) {
	isDisconnected := func() bool { return false }
	sim.After(delay, func() {
		if v.killed {
			return
		}
		sim.table.Call(sim.storeDelay(v.index), isDisconnected, op, func(r tableop.Result) { sim.runStep(v, func() { onResult(r) }) })
	})
}

// sendTransactions sends the transactions that a VM's batcher returned.
func (sim *simulation) sendTransactions(v *vm, ops []tableop.Op) {
	for _, op := range ops {
		sim.writtenRows += len(op.Writes)
		sim.callTable(v, sim.transactionDelay(v), op, func(r tableop.Result) {
			results, more := v.batcher.Result(r)
			sim.sendTransactions(v, more)
			sim.handleWriteResults(results)
		})
	}
}

func (sim *simulation) transactionDelay(v *vm) time.Duration {
	switch sim.mode {
	case paced:
		return v.pacer.Wait(sim.Now, virtual.EntryVMs, tableRate)
	case queued:
		arrival := sim.Now.Add(sim.storeDelay(v.index))
		if sim.tableFreeAt.Before(arrival) {
			sim.tableFreeAt = arrival
		}
		sim.tableFreeAt = sim.tableFreeAt.Add(time.Second / tableRate)
		return sim.tableFreeAt.Sub(arrival)
	}
	return 0
}

func (sim *simulation) handleWriteResults(results []once.WriteResult[*request]) {
	for _, r := range results {
		sim.handleStep(r.Writer, r.Writer.keyed.TableResult(sim.Now, r.Result))
	}
}
