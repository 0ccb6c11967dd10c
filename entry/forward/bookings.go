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
	// recordTimeout bounds one table call for an at-most-once record. After the
	// timeout, the result of the call counts as unknown.
	recordTimeout = time.Second
	// objectTimeout bounds one read or write of a stored outcome.
	objectTimeout = 2 * time.Second
	// tableWritesPerSecond is the share of the table's capacity, several
	// hundred writes per second, that the at-most-once records of the whole
	// fleet may use.
	tableWritesPerSecond = 300
)

// Bookings manages the at-most-once records of requests with an
// Idempotency-Key. It batches their writes into shared transactions.
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

// Fleet provides the fleet state that at-most-once records depend on.
type Fleet interface {
	// Self returns this VM's current incarnation.
	Self() *peerv1.Member
	// Size returns the number of entry VMs, at least 1.
	Size() int
}

// NewBookings returns a Bookings. Its background writes end when ctx is done.
func NewBookings(ctx context.Context, table platform.Table, objects platform.Objects, fleet Fleet, log logr.Logger) *Bookings {
	return &Bookings{ctx: ctx, table: table, objects: objects, fleet: fleet, log: log}
}

// Pending returns the number of requests with an Idempotency-Key that are not
// finished, for example because their outcome is still being written in the
// background.
func (b *Bookings) Pending() int64 { return b.pending.Load() }

// writeRecord adds a write to the next transaction and waits for its result.
func (b *Bookings) writeRecord(op tableop.Op) tableop.Result {
	result := make(chan tableop.Result, 1)
	b.mu.Lock()
	ops, failed := b.batcher.Add(result, op)
	b.mu.Unlock()
	deliverResults(failed)
	b.runTransactions(ops)
	return <-result
}

// runTransactions runs the transactions in the background, followed by the
// transactions that their results make ready.
func (b *Bookings) runTransactions(ops []tableop.Op) {
	for _, op := range ops {
		go func() {
			b.waitForPacer()
			result := b.runOp(op)
			b.mu.Lock()
			results, next := b.batcher.Result(result)
			b.mu.Unlock()
			deliverResults(results)
			b.runTransactions(next)
		}()
	}
}

// waitForPacer delays a transaction so that all VMs together stay within the
// write rate of the table.
func (b *Bookings) waitForPacer() {
	b.mu.Lock()
	wait := b.pacer.Wait(time.Now(), b.fleet.Size(), tableWritesPerSecond)
	b.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

func deliverResults(results []once.WriteResult[chan<- tableop.Result]) {
	for _, r := range results {
		r.Writer <- r.Result
	}
}

func (b *Bookings) runOp(op tableop.Op) tableop.Result {
	ctx, cancel := context.WithTimeout(b.ctx, recordTimeout)
	defer cancel()
	return control.RunOp(ctx, b.table, op)
}

// keyedRequest runs the steps of one booking with an Idempotency-Key. The state
// machine once.Request determines the steps.
type keyedRequest struct {
	bookings *Bookings
	dispatch func(mayDispatch func(time.Time) bool) once.Outcome
	response chan *once.Response
	// finished is called when the background work has ended.
	finished func()

	mu      sync.Mutex
	request *once.Request
}

// startRequest starts to process a booking with an Idempotency-Key in the
// background. The response is sent on the response channel exactly once. finished is called when
// the background work has ended.
func (b *Bookings) startRequest(c *call, fingerprint string, dispatch func(func(time.Time) bool) once.Outcome, finished func()) *keyedRequest {
	self := b.fleet.Self()
	k := &keyedRequest{
		bookings: b, dispatch: dispatch, response: make(chan *once.Response, 1), finished: finished,
		request: once.NewRequest(once.Config{}, once.Params{
			Account: c.account.Name, IdempotencyKey: c.idempotencyKey, RequestID: uuid.NewString(),
			VM: self.Vm, Incarnation: self.Incarnation, Fingerprint: fingerprint, Deadline: c.deadline,
		}),
	}
	b.pending.Add(1)
	// Start has to run before awaitResponse reads the dispatch deadline.
	go k.run(k.advance(k.request.Start))
	return k
}

// run executes steps until none is left.
func (k *keyedRequest) run(step once.Step) {
	defer k.bookings.pending.Add(-1)
	defer k.finished()
	for step.Kind != once.Finish && step.Kind != once.None {
		step = k.execute(step)
	}
}

// advance calls the state machine under the lock and forwards a response if there
// is one.
func (k *keyedRequest) advance(advance func(now time.Time) once.Step) once.Step {
	k.mu.Lock()
	step := advance(time.Now())
	k.mu.Unlock()
	if step.Response != nil {
		k.response <- step.Response
	}
	return step
}

// execute performs a step and returns the next one.
func (k *keyedRequest) execute(step once.Step) once.Step {
	switch step.Kind {
	case once.Write:
		result := k.bookings.writeRecord(step.Op)
		return k.advance(func(now time.Time) once.Step { return k.request.TableResult(now, result) })
	case once.Read:
		result := k.bookings.runOp(step.Op)
		return k.advance(func(now time.Time) once.Step { return k.request.TableResult(now, result) })
	case once.Dispatch:
		outcome := k.dispatch(k.mayDispatch)
		return k.advance(func(now time.Time) once.Step { return k.request.Dispatched(now, outcome) })
	case once.Wait:
		select {
		case <-time.After(step.Wait):
		case <-k.bookings.ctx.Done():
			return once.Step{Kind: once.Finish}
		}
		return k.advance(k.request.Waited)
	case once.PutObject, once.GetObject:
		content, err := k.accessObject(step)
		return k.advance(func(now time.Time) once.Step { return k.request.ObjectResult(now, content, err) })
	}
	return once.Step{Kind: once.Finish}
}

func (k *keyedRequest) accessObject(step once.Step) ([]byte, error) {
	ctx, cancel := context.WithTimeout(k.bookings.ctx, objectTimeout)
	defer cancel()
	if step.Kind == once.PutObject {
		return nil, k.bookings.objects.Put(ctx, step.Object, step.Content)
	}
	return k.bookings.objects.Get(ctx, step.Object)
}

func (k *keyedRequest) mayDispatch(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.request.MayDispatch(now)
}

// awaitResponse waits for the response. When the caller disconnects or the
// dispatch deadline passes, it tells the state machine to give up, which has no
// effect once the request may have been dispatched.
func (k *keyedRequest) awaitResponse(ctx context.Context) *once.Response {
	timer := time.NewTimer(time.Until(k.request.GiveUpAt()))
	defer timer.Stop()
	select {
	case r := <-k.response:
		return r
	case <-ctx.Done():
	case <-timer.C:
	}
	k.advance(k.request.GiveUp)
	return <-k.response
}
