package once

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

// phase is the state of an Attempt.
type phase int

const (
	// claiming means that the claim write is pending.
	claiming phase = iota + 1
	// resolving means that the row is read to learn the outcome of the claim write.
	resolving
	// awaitingOutcome means that another attempt has a claim, and that the row is
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

// Attempt handles one request with an Idempotency-Key at one VM. Config has its
// settings.
type Attempt struct {
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
	// claimMayExist is set if a claim write of this attempt may be in the table
	// or may still reach it.
	claimMayExist bool
	// otherClaimSeen is set if a record of another attempt was read, other than a
	// release, or made the claim fail.
	otherClaimSeen bool
	awaitUntil     time.Time
	// afterWait returns the step after the current wait.
	afterWait func(now time.Time) Step
	outcome   Record
	settle    settle
	responded bool
}

// NewAttempt returns the attempt for one request.
func NewAttempt(cfg Config, p Params) *Attempt {
	return &Attempt{cfg: cfg.withDefaults(), params: p, key: RowKey(p.Account, p.IdempotencyKey)}
}

// Start returns the first step, the write of the claim. The dispatch deadline is
// now plus the dispatch window, or the caller's deadline if that is earlier.
func (a *Attempt) Start(now time.Time) Step {
	a.deadline = now.Add(a.cfg.DispatchWindow)
	if a.params.Deadline.Before(a.deadline) {
		a.deadline = a.params.Deadline
	}
	a.claim = Record{
		State:                  StateClaimed,
		Attempt:                a.params.AttemptID,
		VM:                     a.params.VM,
		Incarnation:            a.params.Incarnation,
		DispatchDeadlineUnixMS: a.deadline.UnixMilli(),
		Fingerprint:            a.params.Fingerprint,
	}
	return a.writeClaim(now)
}

// GiveUpAt returns the time at which GiveUp must be called if the caller has no
// response yet.
func (a *Attempt) GiveUpAt() time.Time { return a.deadline }

// MayDispatch reports whether the request may be sent to a backend server now. It
// must be called after the last blocking step before each attempt at a backend
// server. The wall clock is compared too, because the monotonic clock may stand
// still while a VM is suspended.
func (a *Attempt) MayDispatch(now time.Time) bool {
	return a.phase == dispatching && now.Before(a.deadline) && now.Round(0).Before(a.deadline.Round(0))
}

// DispatchDeadline returns the deadline that is sent to the backend server with
// the request.
func (a *Attempt) DispatchDeadline() time.Time { return a.deadline }

func (a *Attempt) nextOpID() uint64 {
	a.resultPending = true
	a.lastOpID++
	return a.lastOpID
}

func (a *Attempt) writeClaim(now time.Time) Step {
	if !now.Before(a.deadline) {
		return a.giveUpNow(now)
	}
	w, err := a.claim.write(a.key, a.baseVersion)
	if err != nil {
		return a.respond(StoreUnavailable, 0)
	}
	a.phase = claiming
	return Step{Kind: Write, Op: tableop.Op{ID: a.nextOpID(), Writes: []platform.Write{w}}}
}

func (a *Attempt) readRow(p phase) Step {
	a.phase = p
	return Step{Kind: Read, Op: tableop.Op{ID: a.nextOpID(), Reads: []string{a.key}}}
}

func (a *Attempt) wait(d time.Duration, next func(now time.Time) Step) Step {
	a.afterWait = next
	return Step{Kind: Wait, Wait: d}
}

// Waited continues the attempt after a Wait.
func (a *Attempt) Waited(now time.Time) Step {
	next := a.afterWait
	a.afterWait = nil
	if next == nil {
		return a.noStep()
	}
	return next(now)
}

// noStep returns the step after a call that changes nothing.
func (a *Attempt) noStep() Step {
	if a.phase == finished {
		return Step{Kind: Finish}
	}
	return Step{}
}

func (a *Attempt) finish() Step {
	a.phase = finished
	return Step{Kind: Finish}
}

// TableResult handles the result of a table call. Only the result of the last
// call is used.
func (a *Attempt) TableResult(now time.Time, r tableop.Result) Step {
	if r.ID != a.lastOpID || !a.resultPending {
		return a.noStep()
	}
	a.resultPending = false
	switch a.phase {
	case claiming:
		if a.responded {
			return a.handleClaimResultAfterResponse(now, r)
		}
		return a.handleClaimResult(now, r)
	case resolving:
		return a.handleRow(now, r)
	case awaitingOutcome:
		return a.handleAwaitedRow(now, r)
	case settling:
		return a.handleSettleResult(now, r)
	}
	return a.noStep()
}

// handleClaimResultAfterResponse handles the result of a claim write after
// GiveUp has responded to the caller, so that this attempt does not run the
// request. A claim that is or may be in the table is released.
func (a *Attempt) handleClaimResultAfterResponse(now time.Time, r tableop.Result) Step {
	if r.Err == nil && len(r.Versions) == 1 {
		a.claimVersion = r.Versions[0]
		return a.release(now)
	}
	notStored := errors.Is(r.Err, platform.ErrConflict) || errors.Is(r.Err, platform.ErrUnavailable)
	if notStored && !a.claimMayExist {
		return a.finish()
	}
	a.claimMayExist = true
	return a.release(now)
}

func (a *Attempt) handleClaimResult(now time.Time, r tableop.Result) Step {
	switch {
	case r.Err == nil && len(r.Versions) == 1:
		return a.handleStoredClaim(now, r.Versions[0])
	case errors.Is(r.Err, platform.ErrConflict):
		// The row may hold this attempt's own claim if an earlier write of
		// it took effect but its answer was lost.
		a.otherClaimSeen = !a.claimMayExist
		return a.readRow(resolving)
	case errors.Is(r.Err, platform.ErrUnavailable) && !a.claimMayExist:
		return a.respond(StoreUnavailable, a.cfg.LateRetryAfter)
	case errors.Is(r.Err, platform.ErrUnavailable):
		return a.wait(a.cfg.ReadBackoff, a.rereadRow)
	}
	a.claimMayExist = true
	return a.readRow(resolving)
}

// rereadRow reads the row again unless the dispatch deadline has passed.
func (a *Attempt) rereadRow(now time.Time) Step {
	if !now.Before(a.deadline) {
		return a.giveUpNow(now)
	}
	return a.readRow(resolving)
}

// handleRow decides how to continue after a read of the row, which follows a
// failed claim write or a wait for the outcome of another attempt.
func (a *Attempt) handleRow(now time.Time, r tableop.Result) Step {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		return a.wait(a.cfg.ReadBackoff, a.rereadRow)
	}
	row, found := r.Row(a.key)
	if !found {
		// A claim whose outcome is unknown is written again with the same
		// attempt id. Whichever write arrives second fails its condition.
		a.otherClaimSeen = false
		a.baseVersion = 0
		return a.writeClaim(now)
	}
	record, err := ParseRecord(row.Value)
	if err != nil {
		return a.respond(OutcomeLost, a.cfg.LateRetryAfter)
	}
	return a.handleRecord(now, row, record)
}

// handleRecord decides how to continue after a record was read.
func (a *Attempt) handleRecord(now time.Time, row platform.Row, record Record) Step {
	if record.Attempt == a.claim.Attempt && record.State == StateClaimed {
		return a.handleStoredClaim(now, row.Version)
	}
	a.otherClaimSeen = record.State != StateReleased
	switch {
	case record.Fingerprint != a.claim.Fingerprint:
		return a.respond(KeyReused, 0)
	case record.State == StateDone:
		return a.respondFromRecord(record)
	case record.State == StateReleased:
		a.baseVersion = row.Version
		return a.writeClaim(now)
	default:
		return a.awaitOutcome(now, record)
	}
}

// handleStoredClaim continues after the claim is known to be in the table.
func (a *Attempt) handleStoredClaim(now time.Time, version uint64) Step {
	a.claimMayExist, a.otherClaimSeen, a.claimVersion = false, false, version
	a.phase = dispatching
	if !a.MayDispatch(now) {
		return a.Dispatched(now, Outcome{Kind: NotRun})
	}
	return Step{Kind: Dispatch}
}

// awaitOutcome waits for the outcome of another attempt. It does not wait beyond
// that attempt's dispatch deadline, because the attempt's VM has probably failed.
func (a *Attempt) awaitOutcome(now time.Time, record Record) Step {
	a.phase = awaitingOutcome
	if a.awaitUntil.IsZero() {
		a.awaitUntil = now.Add(a.cfg.OutcomeTimeout)
	}
	if now.UnixMilli() > record.DispatchDeadlineUnixMS {
		return a.respond(InProgress, a.cfg.LateRetryAfter)
	}
	if !now.Add(a.cfg.OutcomePollInterval).Before(earlier(a.awaitUntil, a.deadline)) {
		return a.respond(InProgress, a.cfg.RetryAfter)
	}
	return a.wait(a.cfg.OutcomePollInterval, func(time.Time) Step { return a.readRow(awaitingOutcome) })
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// handleAwaitedRow decides how to continue after another attempt's row was read
// again.
func (a *Attempt) handleAwaitedRow(now time.Time, r tableop.Result) Step {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		return a.respond(InProgress, a.cfg.RetryAfter)
	}
	return a.handleRow(now, r)
}

// respondFromRecord responds with the outcome of an earlier attempt.
func (a *Attempt) respondFromRecord(record Record) Step {
	a.outcome = record
	if record.Object == "" {
		return a.respondWithStored(record.Body)
	}
	a.phase = fetching
	return Step{Kind: GetObject, Object: record.Object}
}

func (a *Attempt) respondWithStored(body []byte) Step {
	step := a.respond(Stored, 0)
	if step.Response != nil {
		step.Response.Status, step.Response.Header, step.Response.Body = a.outcome.Status, a.outcome.Header, body
	}
	return step
}

// ObjectResult handles the result of GetObject or PutObject.
func (a *Attempt) ObjectResult(now time.Time, content []byte, err error) Step {
	switch {
	case a.phase == settling:
		return a.handleObjectStored(now, err)
	case a.phase != fetching:
		return a.noStep()
	case err != nil:
		return a.respond(OutcomeLost, a.cfg.RetryAfter)
	}
	return a.respondWithStored(content)
}

// Dispatched handles the outcome over all attempts at backend servers. The
// caller gets its response before the outcome is stored. Until it is stored,
// another request with the same key gets a response that says that the request
// may have run, and is not run. After an Unknown outcome, Dispatched may be
// called again with an outcome that arrives later.
func (a *Attempt) Dispatched(now time.Time, o Outcome) Step {
	if a.phase != dispatching && a.phase != outcomeUnknown {
		return a.noStep()
	}
	switch o.Kind {
	case NotRun:
		verdict := Refused
		if !a.MayDispatch(now) {
			verdict = DeadlinePassed
		}
		return withResponse(a.release(now), a.respondOnce(&Response{Verdict: verdict, RetryAfter: o.RetryAfter}))
	case ResponseReceived:
		response := &Response{Verdict: Fresh, Status: o.Status, Header: o.Header, Body: o.Body}
		return withResponse(a.storeOutcome(now, o), a.respondOnce(response))
	}
	step := a.respond(OutcomeUnknown, a.cfg.RetryAfter)
	a.phase = outcomeUnknown
	return step
}

// GiveUp responds to the caller if it has no response yet. It is called at
// GiveUpAt, or when the caller disconnects. The returned step contains only the
// response. The step in progress continues, and its result leads to the release
// of a claim that is or may be stored. GiveUp has no effect once the request may
// have been dispatched; from then on, only Dispatched responds.
func (a *Attempt) GiveUp(now time.Time) Step {
	if a.responded || a.phase == dispatching {
		return a.noStep()
	}
	response := a.respondOnce(a.responseWithoutOutcome())
	switch {
	case a.phase == claiming && a.resultPending:
		// The pending result decides whether there is a claim to release.
	case !a.claimMayExist:
		a.phase = finished
		a.afterWait = nil
	case a.resultPending:
		a.beginSettle(now, a.releaseRecord())
		a.settle.reading = true
	default:
		a.afterWait = a.release
	}
	return Step{Response: response}
}

// giveUpNow is GiveUp for an attempt with no step in progress.
func (a *Attempt) giveUpNow(now time.Time) Step {
	response := a.respondOnce(a.responseWithoutOutcome())
	if a.claimMayExist {
		return withResponse(a.release(now), response)
	}
	return withResponse(a.finish(), response)
}

// responseWithoutOutcome returns the response to a request that is given up
// before its dispatch. If another attempt's record was seen, that attempt may
// have run the request.
func (a *Attempt) responseWithoutOutcome() *Response {
	switch {
	case a.phase == fetching:
		return &Response{Verdict: OutcomeLost, RetryAfter: a.cfg.RetryAfter}
	case a.otherClaimSeen:
		return &Response{Verdict: InProgress, RetryAfter: a.cfg.RetryAfter}
	}
	return &Response{Verdict: StoreUnavailable, RetryAfter: a.cfg.LateRetryAfter}
}

// respondOnce returns the response if the caller has none yet.
func (a *Attempt) respondOnce(r *Response) *Response {
	if a.responded {
		return nil
	}
	a.responded = true
	return r
}

func (a *Attempt) respond(v Verdict, retryAfter time.Duration) Step {
	return withResponse(a.finish(), a.respondOnce(&Response{Verdict: v, RetryAfter: retryAfter}))
}

func withResponse(step Step, r *Response) Step {
	step.Response = r
	return step
}

// objectName returns a name that is unique for each attempt, so that outcomes of
// different attempts do not overwrite each other.
func (a *Attempt) objectName() string { return fmt.Sprintf(objectFormat, a.key, a.claim.Attempt) }
