package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassiawind/cassiawind/core/once"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/measure/virtual"
	"github.com/cassiawind/cassiawind/platform/memory"
)

const (
	roleOnce = "at-most-once records"

	byBookings = "bookings/s of the fleet"

	unitPerBooking = "1/booking"
	unitPart       = "part"

	// recordsRate is the rate that entry/forward gives to the Pacer.
	recordsRate = 300
	// tableTrip is the time of a transaction.
	tableTrip     = 10 * time.Millisecond
	bookingTime   = 100 * time.Millisecond
	bookingFor    = 20 * time.Second
	bookingBody   = 200
	vmsAt         = "%d VMs"
	accountName   = "account"
	keyFormat     = "7c9e6679-7425-40de-944b-%012d"
	attemptFormat = "f47ac10b-58cc-4372-a567-%012d"
	fingerprint   = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	headerName    = "Content-Type"
	statusOK      = 200
)

// Series of the at-most-once records.
var (
	bookingRows    = Series{roleOnce, "rows written", unitPerBooking, byBookings, atEmpty}
	bookingWrites  = Series{roleOnce, "transactions", unitPerBooking, byBookings, atEmpty}
	bookingRate    = Series{roleTable, "transactions of core/once", unitPerFleet, byBookings, atEmpty}
	bookingBytes   = Series{roleOnce, "bytes written to the table", "bytes/booking", byBookings, atEmpty}
	bookingStored  = Series{roleOnce, "bytes kept in the table for 24 h", "bytes/booking", byBookings, atEmpty}
	bookingDelay   = Series{roleOnce, "mean time from the request to the dispatch", unitSeconds, byBookings, atEmpty}
	bookingRefused = Series{roleOnce, "bookings not dispatched", unitPart, byBookings, atEmpty}
)

// bookingVM keeps the records of one VM as entry/forward does.
type bookingVM struct {
	w       *bookings
	name    string
	batcher once.Batcher[*booking]
	pacer   once.Pacer
}

// bookings is a fleet that takes bookings, in virtual time.
type bookings struct {
	*virtual.Clock
	rnd   *rand.Rand
	table *memory.Table
	vms   []*bookingVM
	rate  float64

	made, dispatched, ended, refused    float64
	transactions, rows, written, stored float64
	delay                               time.Duration
}

type booking struct {
	v       *bookingVM
	attempt *once.Attempt
	began   time.Duration
	last    int
	closed  bool
}

func measureRecords(r *Recorder, vms, rates []int) {
	for _, n := range vms {
		for _, rate := range rates {
			w := &bookings{Clock: virtual.New(), rnd: rand.New(rand.NewPCG(1, 1)), table: memory.NewTable(), rate: float64(rate)}
			for i := range n {
				w.vms = append(w.vms, &bookingVM{w: w, name: newMember(i).Vm})
			}
			w.After(0, w.arrive)
			w.RunFor(bookingFor)
			w.record(r, fmt.Sprintf(vmsAt, n))
		}
	}
}

func (w *bookings) record(r *Recorder, at string) {
	r.Add(bookingRows, at, w.rate, w.rows/w.made)
	r.Add(bookingWrites, at, w.rate, w.transactions/w.made)
	r.Add(bookingRate, at, w.rate, w.transactions/bookingFor.Seconds())
	r.Add(bookingBytes, at, w.rate, w.written/w.made)
	if w.ended > 0 {
		r.Add(bookingStored, at, w.rate, w.stored/w.ended)
	}
	if w.dispatched > 0 {
		r.Add(bookingDelay, at, w.rate, w.delay.Seconds()/w.dispatched)
	}
	r.Add(bookingRefused, at, w.rate, w.refused/w.made)
}

func (w *bookings) arrive() {
	w.After(time.Duration(w.rnd.ExpFloat64()/w.rate*float64(time.Second)), w.arrive)
	v := w.vms[w.rnd.IntN(len(w.vms))]
	w.made++
	b := &booking{v: v, began: w.Elapsed(), attempt: once.NewAttempt(once.Config{}, once.Params{
		Account: accountName, IdempotencyKey: fmt.Sprintf(keyFormat, int(w.made)), AttemptID: fmt.Sprintf(attemptFormat, int(w.made)),
		VM: v.name, Incarnation: 1, Fingerprint: fingerprint, Deadline: w.Now.Add(time.Minute),
	})}
	b.step(b.attempt.Start(w.Now))
	w.After(b.attempt.GiveUpAt().Sub(w.Now), func() { b.step(b.attempt.GiveUp(w.Now)) })
}

func (b *booking) step(s once.Step) {
	w := b.v.w
	if s.Response != nil && !s.Response.Verdict.HasOutcome() && !b.closed {
		b.closed = true
		w.refused++
	}
	switch s.Kind {
	case once.Write:
		b.last = len(s.Op.Writes[0].Value)
		ops, failed := b.v.batcher.Add(b, s.Op)
		deliverWritten(failed)
		b.v.send(ops)
	case once.Read:
		w.After(tableTrip, func() {
			b.step(b.attempt.TableResult(w.Now, control.RunOp(context.Background(), w.table, s.Op)))
		})
	case once.Dispatch:
		w.dispatched++
		w.delay += w.Elapsed() - b.began
		w.After(bookingTime, func() {
			b.step(b.attempt.Dispatched(w.Now, once.Outcome{
				Kind: once.Answered, Status: statusOK, Header: map[string][]string{headerName: {jsonType}}, Body: make([]byte, bookingBody),
			}))
		})
	case once.Wait:
		w.After(s.Wait, func() { b.step(b.attempt.Waited(w.Now)) })
	case once.Finish:
		w.ended++
		w.stored += float64(b.last)
	}
}

func (v *bookingVM) send(ops []tableop.Op) {
	w := v.w
	for _, op := range ops {
		w.After(v.pacer.Wait(w.Now, len(w.vms), recordsRate)+tableTrip, func() {
			w.transactions++
			for _, write := range op.Writes {
				w.rows++
				w.written += float64(len(write.Key) + len(write.Value))
			}
			results, next := v.batcher.Result(control.RunOp(context.Background(), w.table, op))
			deliverWritten(results)
			v.send(next)
		})
	}
}

func deliverWritten(results []once.WriteResult[*booking]) {
	for _, r := range results {
		r.Writer.step(r.Writer.attempt.TableResult(r.Writer.v.w.Now, r.Result))
	}
}
