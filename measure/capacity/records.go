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

	// recordsRate is the rate in transactions per second that entry/forward
	// passes to the Pacer.
	recordsRate = 300
	// tableRoundTrip is the time that a transaction takes.
	tableRoundTrip    = 10 * time.Millisecond
	backendTime       = 100 * time.Millisecond
	bookingDuration   = 20 * time.Second
	responseBodyBytes = 200
	vmsFormat         = "%d VMs"
	accountName       = "account"
	keyFormat         = "7c9e6679-7425-40de-944b-%012d"
	requestIDFormat   = "f47ac10b-58cc-4372-a567-%012d"
	fingerprint       = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	headerName        = "Content-Type"
	statusOK          = 200
)

// Series of the at-most-once records.
var (
	bookingRows     = Series{roleOnce, "rows written", unitPerBooking, byBookings, noConditions}
	bookingWrites   = Series{roleOnce, "transactions", unitPerBooking, byBookings, noConditions}
	bookingRate     = Series{roleTable, "transactions of core/once", unitPerFleet, byBookings, noConditions}
	bookingBytes    = Series{roleOnce, "bytes written to the table", "bytes/booking", byBookings, noConditions}
	bookingStored   = Series{roleOnce, "bytes kept in the table for 24 h", "bytes/booking", byBookings, noConditions}
	bookingDelay    = Series{roleOnce, "mean time from the request to the dispatch", unitSeconds, byBookings, noConditions}
	bookingRejected = Series{roleOnce, "bookings not dispatched", unitPart, byBookings, noConditions}
)

// bookingVM writes the records of the bookings at one VM as entry/forward does.
type bookingVM struct {
	fleet   *bookingFleet
	name    string
	batcher once.Batcher[*booking]
	pacer   once.Pacer
}

// bookingFleet is a fleet in virtual time that accepts bookings.
type bookingFleet struct {
	*virtual.Clock
	rnd   *rand.Rand
	table *memory.Table
	vms   []*bookingVM
	rate  float64

	arrived, dispatched, finished, rejected              float64
	transactions, rowsWritten, bytesWritten, bytesStored float64
	dispatchDelay                                        time.Duration
}

// booking is a request that is executed at most once.
type booking struct {
	vm               *bookingVM
	request          *once.Request
	startedAt        time.Duration
	rowBytes         int
	rejectionCounted bool
}

// measureRecords measures the records by the rate of bookings.
func measureRecords(r *Recorder, vms, rates []int) {
	for _, n := range vms {
		for _, rate := range rates {
			w := &bookingFleet{Clock: virtual.New(), rnd: rand.New(rand.NewPCG(1, 1)), table: memory.NewTable(), rate: float64(rate)}
			for i := range n {
				w.vms = append(w.vms, &bookingVM{fleet: w, name: newMember(i).Vm})
			}
			w.After(0, w.handleArrival)
			w.RunFor(bookingDuration)
			w.recordSeries(r, fmt.Sprintf(vmsFormat, n))
		}
	}
}

func (w *bookingFleet) recordSeries(r *Recorder, conditions string) {
	r.Add(bookingRows, conditions, w.rate, w.rowsWritten/w.arrived)
	r.Add(bookingWrites, conditions, w.rate, w.transactions/w.arrived)
	r.Add(bookingRate, conditions, w.rate, w.transactions/bookingDuration.Seconds())
	r.Add(bookingBytes, conditions, w.rate, w.bytesWritten/w.arrived)
	if w.finished > 0 {
		r.Add(bookingStored, conditions, w.rate, w.bytesStored/w.finished)
	}
	if w.dispatched > 0 {
		r.Add(bookingDelay, conditions, w.rate, w.dispatchDelay.Seconds()/w.dispatched)
	}
	r.Add(bookingRejected, conditions, w.rate, w.rejected/w.arrived)
}

// handleArrival starts a booking at a random VM and schedules the next one.
func (w *bookingFleet) handleArrival() {
	w.After(time.Duration(w.rnd.ExpFloat64()/w.rate*float64(time.Second)), w.handleArrival)
	v := w.vms[w.rnd.IntN(len(w.vms))]
	w.arrived++
	b := &booking{vm: v, startedAt: w.Elapsed(), request: once.NewRequest(once.Config{}, once.Params{
		Account: accountName, IdempotencyKey: fmt.Sprintf(keyFormat, int(w.arrived)), RequestID: fmt.Sprintf(requestIDFormat, int(w.arrived)),
		VM: v.name, Incarnation: 1, Fingerprint: fingerprint, Deadline: w.Now.Add(time.Minute),
	})}
	b.step(b.request.Start(w.Now))
	w.After(b.request.GiveUpAt().Sub(w.Now), func() { b.step(b.request.GiveUp(w.Now)) })
}

// step performs a step of the request.
func (b *booking) step(s once.Step) {
	w := b.vm.fleet
	if s.Response != nil && !s.Response.Verdict.HasOutcome() && !b.rejectionCounted {
		b.rejectionCounted = true
		w.rejected++
	}
	switch s.Kind {
	case once.Write:
		b.rowBytes = len(s.Op.Writes[0].Value)
		ops, rejected := b.vm.batcher.Add(b, s.Op)
		deliverResults(rejected)
		b.vm.send(ops)
	case once.Read:
		w.After(tableRoundTrip, func() {
			b.step(b.request.TableResult(w.Now, control.RunOp(context.Background(), w.table, s.Op)))
		})
	case once.Dispatch:
		w.dispatched++
		w.dispatchDelay += w.Elapsed() - b.startedAt
		w.After(backendTime, func() {
			b.step(b.request.Dispatched(w.Now, once.Outcome{
				Kind: once.ResponseReceived, Status: statusOK, Header: map[string][]string{headerName: {jsonType}}, Body: make([]byte, responseBodyBytes),
			}))
		})
	case once.Wait:
		w.After(s.Wait, func() { b.step(b.request.Waited(w.Now)) })
	case once.Finish:
		w.finished++
		w.bytesStored += float64(b.rowBytes)
	}
}

// send sends transactions to the table when the pacer permits.
func (v *bookingVM) send(ops []tableop.Op) {
	w := v.fleet
	for _, op := range ops {
		w.After(v.pacer.Wait(w.Now, len(w.vms), recordsRate)+tableRoundTrip, func() {
			w.transactions++
			for _, write := range op.Writes {
				w.rowsWritten++
				w.bytesWritten += float64(len(write.Key) + len(write.Value))
			}
			results, next := v.batcher.Result(control.RunOp(context.Background(), w.table, op))
			deliverResults(results)
			v.send(next)
		})
	}
}

func deliverResults(results []once.WriteResult[*booking]) {
	for _, r := range results {
		r.Writer.step(r.Writer.request.TableResult(r.Writer.vm.fleet.Now, r.Result))
	}
}
