// Package bookingsim measures core/once in virtual time: bookings with an
// Idempotency-Key on 11 VMs against one table, with faults of the table, the VMs
// and the backend servers, and callers that repeat a booking at other VMs.
package bookingsim

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiawind/cassiawind/core/once"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/measure/virtual"
)

// mode says how the table's rate is kept.
type mode string

const (
	// unlimited: the table takes all transactions at once.
	unlimited mode = "unlimited"
	// queued: the table takes at most tableRate transactions per second and the
	// others wait there, in the order of their arrival.
	queued mode = "queued"
	// paced: the VMs space their transactions with a once.Pacer.
	paced mode = "paced"
)

const (
	// tableRate is the number of transactions per second that the table allows.
	tableRate = 300
	// runTime is the time in which bookings begin.
	runTime = 30 * time.Second
	// settleTime is longer than the time for which callers repeat a booking.
	settleTime = 90 * time.Second

	histogramMax    = 120_000_000 // microseconds
	histogramDigits = 3
)

// config describes a run.
type config struct {
	rate float64 // bookings per second
	mode mode
	// oneWay returns the delay between a VM and the store.
	oneWay func(vm int) time.Duration
	// repeats: callers repeat a booking without an outcome, and VMs try
	// further backend servers after one that did not run it.
	repeats bool
	// records: VMs keep at-most-once records.
	records bool
	// failing: callers, backend servers and table calls fail at random.
	failing bool
	// faults are planned before the run starts.
	faults func(w *world)
}

// vm is one incarnation of an entry VM.
type vm struct {
	index        int
	incarnation  uint64
	dead, paused bool
	inbox        []func()
	batcher      once.Batcher[*call]
	pacer        once.Pacer
	calls        []*call // those that await an answer or may do so
}

// world is the simulated fleet.
type world struct {
	*virtual.Clock
	config
	rnd   *rand.Rand
	table virtual.Table
	vms   []*vm
	free  time.Time // when the table of mode queued is free

	bookings  []*booking
	attempts  int
	rows      int
	completed int // answers with an outcome of the call
	refused   int // other answers
	falsely   int // not run, but the call ran
	earlier   int // not run, but an earlier call of the booking ran
	claims    *hdrhistogram.Histogram
}

func newWorld(c config, seed uint64) *world {
	w := &world{Clock: virtual.New(), config: c, rnd: rand.New(rand.NewPCG(seed, uint64(c.rate))), claims: hdrhistogram.New(1, histogramMax, histogramDigits)}
	w.table.Clock = w.Clock
	for i := range virtual.EntryVMs {
		w.vms = append(w.vms, &vm{index: i, incarnation: 1})
	}
	if c.faults != nil {
		c.faults(w)
	}
	return w
}

func (w *world) run() *world {
	w.arrive()
	w.RunUntil(runTime + settleTime)
	return w
}

// do runs a step of a VM now, or when it resumes.
func (w *world) do(v *vm, step func()) {
	switch {
	case v.dead:
	case v.paused:
		v.inbox = append(v.inbox, step)
	default:
		step()
	}
}

// kill ends a VM. Its callers lose their connections, and a new incarnation
// starts after the delay.
func (w *world) kill(index int, replaced time.Duration) {
	v := w.vms[index]
	v.dead = true
	for _, c := range v.calls {
		w.unanswered(c)
	}
	w.After(replaced, func() { w.vms[index] = &vm{index: index, incarnation: v.incarnation + 1} })
}

func (w *world) pause(index int, d time.Duration) {
	v := w.vms[index]
	v.paused = true
	w.After(d, func() {
		v.paused = false
		inbox := v.inbox
		v.inbox = nil
		for _, step := range inbox {
			w.do(v, step)
		}
	})
}

// take carries out a step of an attempt.
func (w *world) take(c *call, step once.Step) {
	if step.Response != nil {
		w.answer(c, step.Response)
	}
	switch step.Kind {
	case once.Write:
		ops, failed := c.vm.batcher.Add(c, step.Op)
		w.send(c.vm, ops)
		w.written(failed)
	case once.Read:
		w.callTable(c.vm, 0, step.Op, func(r tableop.Result) { w.take(c, c.a.TableResult(w.Now, r)) })
	case once.Wait:
		w.After(step.Wait, func() { w.do(c.vm, func() { w.take(c, c.a.Waited(w.Now)) }) })
	case once.Dispatch:
		_ = w.claims.RecordValue(w.Now.Sub(c.at).Microseconds())
		w.connect(c, 1)
	}
}

func (w *world) callTable(v *vm, wait time.Duration, op tableop.Op, then func(tableop.Result)) {
	never := func() bool { return false }
	w.After(wait, func() {
		if v.dead {
			return
		}
		w.table.Call(w.oneWay(v.index), never, op, func(r tableop.Result) { w.do(v, func() { then(r) }) })
	})
}

// send sends the transactions of a VM's batcher.
func (w *world) send(v *vm, ops []tableop.Op) {
	for _, op := range ops {
		w.rows += len(op.Writes)
		w.callTable(v, w.wait(v), op, func(r tableop.Result) {
			results, more := v.batcher.Result(r)
			w.send(v, more)
			w.written(results)
		})
	}
}

func (w *world) wait(v *vm) time.Duration {
	switch w.mode {
	case paced:
		return v.pacer.Wait(w.Now, virtual.EntryVMs, tableRate)
	case queued:
		arrival := w.Now.Add(w.oneWay(v.index))
		if w.free.Before(arrival) {
			w.free = arrival
		}
		w.free = w.free.Add(time.Second / tableRate)
		return w.free.Sub(arrival)
	}
	return 0
}

func (w *world) written(results []once.WriteResult[*call]) {
	for _, r := range results {
		w.take(r.Writer, r.Writer.a.TableResult(w.Now, r.Result))
	}
}
