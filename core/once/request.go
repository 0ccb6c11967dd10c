package once

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/httpsyntax"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

// phase is the state of a Request.
type phase int

const (
	// claiming means that the claim write is pending.
	claiming phase = iota + 1
	// resolving means that the row is read to learn the outcome of the claim write.
	resolving
	// awaitingOutcome means that another request has a claim, and that the row is
	// read at intervals.
	awaitingOutcome
	// fetching means that the object with a stored outcome is read.
	fetching
	// dispatching means that the request may be sent.
	dispatching
	// outcomeUnknown means that the request was dispatched and its outcome is
	// unknown, but may still arrive.
	outcomeUnknown
	// settling means that an outcome or a release is written in the background.
	settling
	// finished means that nothing remains to be done.
	finished
)

// Request is the state machine of one request with an Idempotency-Key at one VM,
// from its claim to its stored outcome. A caller that sends a request again with
// the same key starts another Request. Config has its settings.
type Request struct {
	cfg      Config
	params   Params
	key      string
	phase    phase
	deadline time.Time
	claim    Record
	// baseVersion is the row version over which the claim is written, 0 for no
	// row.
	baseVersion uint64
	// claimVersion is the row version of the claim once it is known to be stored.
	claimVersion uint64
	// lastOpID is the ID of the last table call. resultPending is set until its
	// result arrives.
	lastOpID      uint64
	resultPending bool
	// claimMayExist is set if a claim write of this request may be in the table
	// or may still reach it.
	claimMayExist bool
	// otherClaimSeen is set if a record of another request was read, other than a
	// release, or made the claim fail.
	otherClaimSeen bool
	awaitUntil     time.Time
	// afterWait returns the step after the current wait.
	afterWait func(now time.Time) Step
	outcome   Record
	settle    settle
	responded bool
}

// NewRequest returns the state machine for the request that p describes.
func NewRequest(cfg Config, p Params) *Request {
	return &Request{cfg: cfg.withDefaults(), params: p, key: RowKey(p.Account, p.IdempotencyKey)}
}

// Start returns the first step, the write of the claim. The dispatch deadline is
// now plus the dispatch window, or the caller's deadline if that is earlier.
func (rq *Request) Start(now time.Time) Step {
	rq.deadline = now.Add(rq.cfg.DispatchWindow)
	if rq.params.Deadline.Before(rq.deadline) {
		rq.deadline = rq.params.Deadline
	}
	rq.claim = Record{
		State:                  StateClaimed,
		RequestID:              rq.params.RequestID,
		VM:                     rq.params.VM,
		Incarnation:            rq.params.Incarnation,
		DispatchDeadlineUnixMS: rq.deadline.UnixMilli(),
		Fingerprint:            rq.params.Fingerprint,
	}
	return rq.writeClaim(now)
}

// GiveUpAt returns the time at which GiveUp must be called if the caller has no
// response yet.
func (rq *Request) GiveUpAt() time.Time { return rq.deadline }

// MayDispatch reports whether the request may be sent to a backend server now. It
// must be called after the last blocking step before each attempt at a backend
// server. The wall clock is compared too, because the monotonic clock may stand
// still while a VM is suspended.
func (rq *Request) MayDispatch(now time.Time) bool {
	return rq.phase == dispatching && now.Before(rq.deadline) && now.Round(0).Before(rq.deadline.Round(0))
}

// DispatchDeadline returns the deadline that is sent to the backend server with
// the request.
func (rq *Request) DispatchDeadline() time.Time { return rq.deadline }

func (rq *Request) nextOpID() uint64 {
	rq.resultPending = true
	rq.lastOpID++
	return rq.lastOpID
}

func (rq *Request) writeClaim(now time.Time) Step {
	if !now.Before(rq.deadline) {
		return rq.giveUpNow(now)
	}
	w, err := rq.claim.write(rq.key, rq.baseVersion)
	if err != nil {
		return rq.respond(StoreUnavailable, 0)
	}
	rq.phase = claiming
	return Step{Kind: Write, Op: tableop.Op{ID: rq.nextOpID(), Writes: []platform.Write{w}}}
}

func (rq *Request) readRow(p phase) Step {
	rq.phase = p
	return Step{Kind: Read, Op: tableop.Op{ID: rq.nextOpID(), Reads: []string{rq.key}}}
}

func (rq *Request) wait(d time.Duration, next func(now time.Time) Step) Step {
	rq.afterWait = next
	return Step{Kind: Wait, Wait: d}
}

// Waited continues the request after a Wait.
func (rq *Request) Waited(now time.Time) Step {
	next := rq.afterWait
	rq.afterWait = nil
	if next == nil {
		return rq.noStep()
	}
	return next(now)
}

// noStep returns the step after a call that changes nothing.
func (rq *Request) noStep() Step {
	if rq.phase == finished {
		return Step{Kind: Finish}
	}
	return Step{}
}

func (rq *Request) finish() Step {
	rq.phase = finished
	return Step{Kind: Finish}
}

// TableResult handles the result of a table call. Only the result of the last
// call is used.
func (rq *Request) TableResult(now time.Time, r tableop.Result) Step {
	if r.ID != rq.lastOpID || !rq.resultPending {
		return rq.noStep()
	}
	rq.resultPending = false
	switch rq.phase {
	case claiming:
		if rq.responded {
			return rq.handleClaimResultAfterResponse(now, r)
		}
		return rq.handleClaimResult(now, r)
	case resolving:
		return rq.handleRow(now, r)
	case awaitingOutcome:
		return rq.handleAwaitedRow(now, r)
	case settling:
		return rq.handleSettleResult(now, r)
	}
	return rq.noStep()
}

// handleClaimResultAfterResponse handles the result of a claim write after
// GiveUp has responded to the caller, so that this request is not run.
// A claim that is or may be in the table is released.
func (rq *Request) handleClaimResultAfterResponse(now time.Time, r tableop.Result) Step {
	if r.Err == nil && len(r.Versions) == 1 {
		rq.claimVersion = r.Versions[0]
		return rq.release(now)
	}
	notStored := errors.Is(r.Err, platform.ErrConflict) || errors.Is(r.Err, platform.ErrUnavailable)
	if notStored && !rq.claimMayExist {
		return rq.finish()
	}
	rq.claimMayExist = true
	return rq.release(now)
}

func (rq *Request) handleClaimResult(now time.Time, r tableop.Result) Step {
	switch {
	case r.Err == nil && len(r.Versions) == 1:
		return rq.handleStoredClaim(now, r.Versions[0])
	case errors.Is(r.Err, platform.ErrConflict):
		// The row may hold this request's own claim if an earlier write of
		// it took effect but its answer was lost.
		rq.otherClaimSeen = !rq.claimMayExist
		return rq.readRow(resolving)
	case errors.Is(r.Err, platform.ErrUnavailable) && !rq.claimMayExist:
		return rq.respond(StoreUnavailable, rq.cfg.LateRetryAfter)
	case errors.Is(r.Err, platform.ErrUnavailable):
		return rq.wait(rq.cfg.ReadBackoff, rq.rereadRow)
	}
	rq.claimMayExist = true
	return rq.readRow(resolving)
}

// rereadRow reads the row again unless the dispatch deadline has passed.
func (rq *Request) rereadRow(now time.Time) Step {
	if !now.Before(rq.deadline) {
		return rq.giveUpNow(now)
	}
	return rq.readRow(resolving)
}

// handleRow decides how to continue after a read of the row, which follows a
// failed claim write or a wait for the outcome of another request.
func (rq *Request) handleRow(now time.Time, r tableop.Result) Step {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		return rq.wait(rq.cfg.ReadBackoff, rq.rereadRow)
	}
	row, found := r.Row(rq.key)
	if !found {
		// A claim whose outcome is unknown is written again with the same
		// request ID. Whichever write arrives second fails its condition.
		rq.otherClaimSeen = false
		rq.baseVersion = 0
		return rq.writeClaim(now)
	}
	record, err := ParseRecord(row.Value)
	if err != nil {
		return rq.respond(OutcomeLost, rq.cfg.LateRetryAfter)
	}
	return rq.handleRecord(now, row, record)
}

// handleRecord decides how to continue after a record was read.
func (rq *Request) handleRecord(now time.Time, row platform.Row, record Record) Step {
	if record.RequestID == rq.claim.RequestID && record.State == StateClaimed {
		return rq.handleStoredClaim(now, row.Version)
	}
	rq.otherClaimSeen = record.State != StateReleased
	switch {
	case record.Fingerprint != rq.claim.Fingerprint:
		return rq.respond(KeyReused, 0)
	case record.State == StateDone:
		return rq.respondFromRecord(record)
	case record.State == StateReleased:
		rq.baseVersion = row.Version
		return rq.writeClaim(now)
	default:
		return rq.awaitOutcome(now, record)
	}
}

// handleStoredClaim continues after the claim is known to be in the table.
func (rq *Request) handleStoredClaim(now time.Time, version uint64) Step {
	rq.claimMayExist, rq.otherClaimSeen, rq.claimVersion = false, false, version
	rq.phase = dispatching
	if !rq.MayDispatch(now) {
		return rq.Dispatched(now, Outcome{Kind: NotRun})
	}
	return Step{Kind: Dispatch}
}

// awaitOutcome waits for the outcome of another request. It does not wait beyond
// that request's dispatch deadline, because the request's VM has probably failed.
func (rq *Request) awaitOutcome(now time.Time, record Record) Step {
	rq.phase = awaitingOutcome
	if rq.awaitUntil.IsZero() {
		rq.awaitUntil = now.Add(rq.cfg.OutcomeTimeout)
	}
	if now.UnixMilli() > record.DispatchDeadlineUnixMS {
		return rq.respond(InProgress, rq.cfg.LateRetryAfter)
	}
	if !now.Add(rq.cfg.OutcomePollInterval).Before(earlier(rq.awaitUntil, rq.deadline)) {
		return rq.respond(InProgress, rq.cfg.RetryAfter)
	}
	return rq.wait(rq.cfg.OutcomePollInterval, func(time.Time) Step { return rq.readRow(awaitingOutcome) })
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// handleAwaitedRow decides how to continue after another request's row was read
// again.
func (rq *Request) handleAwaitedRow(now time.Time, r tableop.Result) Step {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		return rq.respond(InProgress, rq.cfg.RetryAfter)
	}
	return rq.handleRow(now, r)
}

// respondFromRecord responds with the outcome of an earlier request. A record whose status or
// header no valid response has is not an outcome that can be returned.
func (rq *Request) respondFromRecord(record Record) Step {
	if httpsyntax.CheckStatus(record.Status) != nil || httpsyntax.CheckFields(record.Header) != nil {
		return rq.respond(OutcomeLost, 0)
	}
	rq.outcome = record
	if record.Object == "" {
		return rq.respondWithStored(record.Body)
	}
	rq.phase = fetching
	return Step{Kind: GetObject, Object: record.Object}
}

func (rq *Request) respondWithStored(body []byte) Step {
	step := rq.respond(Stored, 0)
	if step.Response != nil {
		step.Response.Status, step.Response.Header, step.Response.Body = rq.outcome.Status, rq.outcome.Header, body
	}
	return step
}

// ObjectResult handles the result of GetObject or PutObject.
func (rq *Request) ObjectResult(now time.Time, content []byte, err error) Step {
	switch {
	case rq.phase == settling:
		return rq.handleObjectStored(now, err)
	case rq.phase != fetching:
		return rq.noStep()
	case err != nil:
		return rq.respond(OutcomeLost, rq.cfg.RetryAfter)
	}
	return rq.respondWithStored(content)
}

// Dispatched handles the outcome over all attempts at backend servers. The
// caller gets its response before the outcome is stored. Until it is stored,
// another request with the same key gets a response that says that the request
// may have run, and is not run. After an Unknown outcome, Dispatched may be
// called again with an outcome that arrives later.
func (rq *Request) Dispatched(now time.Time, o Outcome) Step {
	if rq.phase != dispatching && rq.phase != outcomeUnknown {
		return rq.noStep()
	}
	switch o.Kind {
	case NotRun:
		verdict := Refused
		if !rq.MayDispatch(now) {
			verdict = DeadlinePassed
		}
		return withResponse(rq.release(now), rq.respondOnce(&Response{Verdict: verdict, RetryAfter: o.RetryAfter}))
	case ResponseReceived:
		response := &Response{Verdict: Fresh, Status: o.Status, Header: o.Header, Body: o.Body}
		return withResponse(rq.storeOutcome(now, o), rq.respondOnce(response))
	}
	step := rq.respond(OutcomeUnknown, rq.cfg.RetryAfter)
	rq.phase = outcomeUnknown
	return step
}

// GiveUp responds to the caller if it has no response yet. It is called at
// GiveUpAt, or when the caller disconnects. The returned step contains only the
// response. The step in progress continues, and its result leads to the release
// of a claim that is or may be stored. GiveUp has no effect once the request may
// have been dispatched; from then on, only Dispatched responds.
func (rq *Request) GiveUp(now time.Time) Step {
	if rq.responded || rq.phase == dispatching {
		return rq.noStep()
	}
	response := rq.respondOnce(rq.responseWithoutOutcome())
	switch {
	case rq.phase == claiming && rq.resultPending:
		// The pending result decides whether there is a claim to release.
	case !rq.claimMayExist:
		rq.phase = finished
		rq.afterWait = nil
	case rq.resultPending:
		rq.beginSettle(now, rq.releaseRecord())
		rq.settle.reading = true
	default:
		rq.afterWait = rq.release
	}
	return Step{Response: response}
}

// giveUpNow is GiveUp for a request with no step in progress.
func (rq *Request) giveUpNow(now time.Time) Step {
	response := rq.respondOnce(rq.responseWithoutOutcome())
	if rq.claimMayExist {
		return withResponse(rq.release(now), response)
	}
	return withResponse(rq.finish(), response)
}

// responseWithoutOutcome returns the response to a request that is given up
// before its dispatch. If another request's record was seen, that request may
// have run.
func (rq *Request) responseWithoutOutcome() *Response {
	switch {
	case rq.phase == fetching:
		return &Response{Verdict: OutcomeLost, RetryAfter: rq.cfg.RetryAfter}
	case rq.otherClaimSeen:
		return &Response{Verdict: InProgress, RetryAfter: rq.cfg.RetryAfter}
	}
	return &Response{Verdict: StoreUnavailable, RetryAfter: rq.cfg.LateRetryAfter}
}

// respondOnce returns the response if the caller has none yet.
func (rq *Request) respondOnce(r *Response) *Response {
	if rq.responded {
		return nil
	}
	rq.responded = true
	return r
}

func (rq *Request) respond(v Verdict, retryAfter time.Duration) Step {
	return withResponse(rq.finish(), rq.respondOnce(&Response{Verdict: v, RetryAfter: retryAfter}))
}

func withResponse(step Step, r *Response) Step {
	step.Response = r
	return step
}

// objectName returns a name that is unique for each request, so that outcomes of
// different requests do not overwrite each other.
func (rq *Request) objectName() string { return fmt.Sprintf(objectFormat, rq.key, rq.claim.RequestID) }
