package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/cassiawind/cassiawind/core/once"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/entry/control"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	// recordTimeout bounds one call for an at-most-once record. Its result
	// then counts as unknown.
	recordTimeout = time.Second
	// objectTimeout bounds one call for a stored outcome.
	objectTimeout = 2 * time.Second
	// tableWritesPerSecond is the part of the table's several hundred writes
	// per second that the records of the whole fleet may use.
	tableWritesPerSecond = 300
)

// Bookings keeps the at-most-once records of the requests with an
// Idempotency-Key. It merges the writes of all of them.
type Bookings struct {
	ctx     context.Context
	table   platform.Table
	objects platform.Objects
	fleet   Fleet
	log     logr.Logger
	pending atomic.Int64

	mu      sync.Mutex
	batcher once.Batcher[chan<- tableop.Result]
	pacer   once.Pacer
}

// Fleet tells what at-most-once records need to know of the fleet.
type Fleet interface {
	// Self returns this VM's current incarnation.
	Self() *peerv1.Member
	// Size returns the number of entry VMs, at least 1.
	Size() int
}

// NewBookings returns a Bookings whose background writes end with ctx.
func NewBookings(ctx context.Context, table platform.Table, objects platform.Objects, fleet Fleet, log logr.Logger) *Bookings {
	return &Bookings{ctx: ctx, table: table, objects: objects, fleet: fleet, log: log}
}

// Pending returns the number of attempts that still have something to do, such
// as the background write of an outcome.
func (b *Bookings) Pending() int64 { return b.pending.Load() }

// write adds a write to the next transaction and waits for its result.
func (b *Bookings) write(op tableop.Op) tableop.Result {
	result := make(chan tableop.Result, 1)
	b.mu.Lock()
	ops, failed := b.batcher.Add(result, op)
	b.mu.Unlock()
	deliver(failed)
	b.send(ops)
	return <-result
}

// send carries out transactions and those that become due by their results.
func (b *Bookings) send(ops []tableop.Op) {
	for _, op := range ops {
		go func() {
			b.pace()
			result := b.run(op)
			b.mu.Lock()
			results, next := b.batcher.Result(result)
			b.mu.Unlock()
			deliver(results)
			b.send(next)
		}()
	}
}

// pace keeps the transactions of all VMs within the table's rate.
func (b *Bookings) pace() {
	b.mu.Lock()
	wait := b.pacer.Wait(time.Now(), b.fleet.Size(), tableWritesPerSecond)
	b.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

func deliver(results []once.Written[chan<- tableop.Result]) {
	for _, r := range results {
		r.Writer <- r.Result
	}
}

func (b *Bookings) run(op tableop.Op) tableop.Result {
	ctx, cancel := context.WithTimeout(b.ctx, recordTimeout)
	defer cancel()
	return control.RunOp(ctx, b.table, op)
}

// attempt runs the steps of one keyed booking.
type keyedAttempt struct {
	bookings *Bookings
	dispatch func(mayDispatch func(time.Time) bool) once.Outcome
	response chan *once.Response

	mu      sync.Mutex
	attempt *once.Attempt
}

// start begins an attempt. The response follows on the channel, once.
func (b *Bookings) start(c *call, fingerprint string, dispatch func(func(time.Time) bool) once.Outcome) *keyedAttempt {
	self := b.fleet.Self()
	a := &keyedAttempt{
		bookings: b, dispatch: dispatch, response: make(chan *once.Response, 1),
		attempt: once.NewAttempt(once.Config{}, once.Params{
			Account: c.account.Name, IdempotencyKey: c.idempotencyKey, AttemptID: uuid.NewString(),
			VM: self.Vm, Incarnation: self.Incarnation, Fingerprint: fingerprint, Deadline: c.deadline,
		}),
	}
	b.pending.Add(1)
	// Started before wait reads the dispatch deadline.
	go a.run(a.locked(a.attempt.Start))
	return a
}

// run carries out steps until none is left.
func (a *keyedAttempt) run(step once.Step) {
	defer a.bookings.pending.Add(-1)
	for step.Kind != once.Finish && step.Kind != once.None {
		step = a.carryOut(step)
	}
}

// locked calls the attempt and passes a response on.
func (a *keyedAttempt) locked(f func(now time.Time) once.Step) once.Step {
	a.mu.Lock()
	step := f(time.Now())
	a.mu.Unlock()
	if step.Response != nil {
		a.response <- step.Response
	}
	return step
}

// carryOut does what a step asks for and returns the next one.
func (a *keyedAttempt) carryOut(step once.Step) once.Step {
	switch step.Kind {
	case once.Write:
		r := a.bookings.write(step.Op)
		return a.locked(func(now time.Time) once.Step { return a.attempt.TableResult(now, r) })
	case once.Read:
		r := a.bookings.run(step.Op)
		return a.locked(func(now time.Time) once.Step { return a.attempt.TableResult(now, r) })
	case once.Dispatch:
		o := a.dispatch(a.mayDispatch)
		return a.locked(func(now time.Time) once.Step { return a.attempt.Dispatched(now, o) })
	case once.Wait:
		select {
		case <-time.After(step.Wait):
		case <-a.bookings.ctx.Done():
			return once.Step{Kind: once.Finish}
		}
		return a.locked(a.attempt.Waited)
	case once.PutObject, once.GetObject:
		content, err := a.object(step)
		return a.locked(func(now time.Time) once.Step { return a.attempt.ObjectResult(now, content, err) })
	}
	return once.Step{Kind: once.Finish}
}

func (a *keyedAttempt) object(step once.Step) ([]byte, error) {
	ctx, cancel := context.WithTimeout(a.bookings.ctx, objectTimeout)
	defer cancel()
	if step.Kind == once.PutObject {
		return nil, a.bookings.objects.Put(ctx, step.Object, step.Content)
	}
	return a.bookings.objects.Get(ctx, step.Object)
}

func (a *keyedAttempt) mayDispatch(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempt.MayDispatch(now)
}

// wait returns the response. If the caller goes away or the dispatch deadline
// passes before the dispatch, the attempt is given up.
func (a *keyedAttempt) wait(ctx context.Context) *once.Response {
	timer := time.NewTimer(time.Until(a.attempt.GiveUpAt()))
	defer timer.Stop()
	select {
	case r := <-a.response:
		return r
	case <-ctx.Done():
	case <-timer.C:
	}
	a.locked(a.attempt.GiveUp)
	return <-a.response
}
