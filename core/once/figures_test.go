package once

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/tableop"
)

// Parameters of the simulation: the fleet of today, a backend server that takes
// 100 ms, and the writes per second that the table allows.
const (
	fleetVMs        = 11
	serviceTime     = 100 * time.Millisecond
	tableWritesRate = 300
	simulatedTime   = 30 * time.Second
)

// event is a call at a virtual time; equal times are ordered by sequence.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// mode says how the table's rate is kept.
type mode string

const (
	// unlimited: the table takes all transactions at once.
	unlimited mode = "unlimited"
	// queued300: the table takes at most 300 transactions per second and the
	// others wait there, in the order of their arrival.
	queued300 mode = "queued"
	// paced: the VMs space their transactions with a Pacer.
	paced mode = "paced"
)

// simulation makes bookings on all VMs against one table.
type simulation struct {
	now       time.Time
	seq       int
	queue     events
	rnd       *rand.Rand
	table     *table
	roundTrip time.Duration
	mode      mode
	free      time.Time
	pacers    [fleetVMs]Pacer
	batchers  [fleetVMs]Batcher[*booking]
	rows      int
	begun     int
	completed int
	refused   int
	claimWait []time.Duration
}

// booking is one request with a key of its own.
type booking struct {
	vm      int
	a       *Attempt
	arrived time.Time
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// arrive begins bookings at random times with the given mean rate.
func (s *simulation) arrive(perSecond float64) {
	s.after(time.Duration(s.rnd.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if s.now.Before(start.Add(simulatedTime)) {
			s.arrive(perSecond)
			s.begin()
		}
	})
}

func (s *simulation) begin() {
	s.begun++
	b := &booking{vm: s.rnd.IntN(fleetVMs), arrived: s.now}
	b.a = NewAttempt(Config{}, Params{
		Account: "acme", IdempotencyKey: fmt.Sprint(s.begun), AttemptID: fmt.Sprint(s.begun),
		Deadline: s.now.Add(5 * time.Second),
	})
	s.take(b, b.a.Start(s.now))
	s.after(b.a.GiveUpAt().Sub(s.now), func() {
		if b.a.GiveUp(s.now).Response != nil {
			s.refused++
		}
	})
}

func (s *simulation) take(b *booking, step Step) {
	if step.Response != nil && step.Response.Verdict != Fresh {
		s.refused++
	}
	switch step.Kind {
	case Write:
		ops, failed := s.batchers[b.vm].Add(b, step.Op)
		s.send(b.vm, ops)
		s.written(failed)
	case Read:
		s.after(s.roundTrip, func() { s.take(b, b.a.TableResult(s.now, s.table.call(step.Op, noFault))) })
	case Wait:
		s.after(step.Wait, func() { s.take(b, b.a.Waited(s.now)) })
	case Dispatch:
		s.claimWait = append(s.claimWait, s.now.Sub(b.arrived))
		s.after(serviceTime, func() {
			s.completed++
			s.take(b, b.a.Dispatched(s.now, booked))
		})
	}
}

func (s *simulation) send(vm int, ops []tableop.Op) {
	for _, op := range ops {
		s.rows += len(op.Writes)
		wait := s.roundTrip
		switch s.mode {
		case paced:
			wait += s.pacers[vm].Wait(s.now, fleetVMs, tableWritesRate)
		case queued300:
			arrival := s.now.Add(s.roundTrip / 2)
			s.free = later(s.free, arrival).Add(time.Second / tableWritesRate)
			wait = s.free.Add(s.roundTrip / 2).Sub(s.now)
		}
		s.after(wait, func() {
			results, more := s.batchers[vm].Result(s.table.call(op, noFault))
			s.send(vm, more)
			s.written(results)
		})
	}
}

func (s *simulation) written(results []Written[*booking]) {
	for _, w := range results {
		s.take(w.Writer, w.Writer.a.TableResult(s.now, w.Result))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func simulate(rate float64, roundTrip time.Duration, m mode) *simulation {
	s := &simulation{
		now: start, rnd: rand.New(rand.NewPCG(uint64(rate), uint64(roundTrip))), table: newTable(),
		roundTrip: roundTrip, mode: m, free: start,
	}
	s.arrive(rate)
	for s.queue.Len() > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	slices.Sort(s.claimWait)
	return s
}

func (s *simulation) wait(part float64) float64 {
	return float64(s.claimWait[int(part*float64(len(s.claimWait)-1))]) / float64(time.Millisecond)
}

// Guards against more than two rows written per booking and against batches that
// do not grow with the load. Prints the transactions and rows per booking, the
// bookings per second that 300 transactions per second allow at these batch sizes,
// and the time until the claim is stored; then the same with a table that takes no
// more than 300 transactions per second, and with VMs that keep to this rate.
// go test ./core/once -run Figures -v
func TestFigures(t *testing.T) {
	for _, m := range []mode{unlimited, queued300, paced} {
		for _, roundTrip := range []time.Duration{5 * time.Millisecond, 55 * time.Millisecond} {
			for _, rate := range []float64{10, 100, 1000, 2000} {
				s := simulate(rate, roundTrip, m)
				bookings := float64(s.begun)
				transactions := float64(s.table.writes) / bookings
				t.Logf("table=%s round_trip_ms=%d offered_per_s=%.0f transactions_per_booking=%.3f rows_per_booking=%.2f "+
					"rows_per_transaction=%.2f bookings_per_s_at_300=%.0f completed_per_s=%.0f refused=%d claim_p50_ms=%.0f claim_p99_ms=%.0f",
					m, roundTrip.Milliseconds(), rate, transactions, float64(s.rows)/bookings,
					float64(s.rows)/float64(s.table.writes), tableWritesRate/transactions,
					float64(s.completed)/simulatedTime.Seconds(), s.refused, s.wait(0.5), s.wait(0.99))
				require.LessOrEqual(t, s.rows, 2*s.begun)
				perSecond := float64(s.table.writes) / simulatedTime.Seconds()
				require.True(t, m == unlimited || perSecond <= 1.05*tableWritesRate, "%.0f transactions/s", perSecond)
				require.Equal(t, s.begun, s.completed+s.refused)
			}
		}
	}
}
