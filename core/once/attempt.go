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
	// claiming: the claim write is pending.
	claiming phase = iota + 1
	// resolving: the row is read to learn the outcome of the claim write.
	resolving
	// watching: another attempt has a claim; its row is read at intervals.
	watching
	// fetching: the object with a stored outcome is read.
	fetching
	// dispatching: the request may be sent.
	dispatching
	// unanswered: the request was dispatched and answered without an outcome,
	// which may still arrive.
	unanswered
	// settling: an outcome or release is written in the background.
	settling
	// finished: nothing is left to do.
	finished
)

// Attempt is one request with an Idempotency-Key at one VM. Its settings are in
// Config.
type Attempt struct {
	cfg      Config
	params   Params
	key      string
	phase    phase
	deadline time.Time
	claim    Record
	// base is the row version over which the claim is written, 0 for none.
	base uint64
	// version is the row version of the claim once it is known to be stored.
	version uint64
	// op is the last table call; pending tells that its result is awaited.
	op      uint64
	pending bool
	// unsure tells that a claim write of this attempt may be in the table or
	// may still reach it.
	unsure bool
	// rival tells that another attempt's record was seen or made the claim
	// fail.
	rival      bool
	watchUntil time.Time
	// retry is the step after the present wait.
	retry    func(now time.Time) Step
	outcome  Record
	settle   settle
	answered bool
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

// GiveUpAt returns the time at which GiveUp is called if the caller has no
// answer yet.
func (a *Attempt) GiveUpAt() time.Time { return a.deadline }

// MayDispatch says whether the request may be sent to a backend server now. It is
// called after the last blocking step before each try. The wall clock is compared
// too, because the monotonic clock may stand still while a VM is suspended.
func (a *Attempt) MayDispatch(now time.Time) bool {
	return a.phase == dispatching && now.Before(a.deadline) && now.Round(0).Before(a.deadline.Round(0))
}

// DispatchDeadline is sent to the backend server with the request.
func (a *Attempt) DispatchDeadline() time.Time { return a.deadline }

func (a *Attempt) nextOp() uint64 {
	a.pending = true
	a.op++
	return a.op
}

func (a *Attempt) writeClaim(now time.Time) Step {
	if !now.Before(a.deadline) {
		return a.giveUp(now)
	}
	w, err := a.claim.write(a.key, a.base)
	if err != nil {
		return a.answer(StoreUnavailable, 0)
	}
	a.phase = claiming
	return Step{Kind: Write, Op: tableop.Op{ID: a.nextOp(), Writes: []platform.Write{w}}}
}

func (a *Attempt) readRow(p phase) Step {
	a.phase = p
	return Step{Kind: Read, Op: tableop.Op{ID: a.nextOp(), Reads: []string{a.key}}}
}

func (a *Attempt) wait(d time.Duration, then func(now time.Time) Step) Step {
	a.retry = then
	return Step{Kind: Wait, Wait: d}
}

// Waited continues after a Wait.
func (a *Attempt) Waited(now time.Time) Step {
	then := a.retry
	a.retry = nil
	if then == nil {
		return a.idle()
	}
	return then(now)
}

// idle is the step after a call that changes nothing.
func (a *Attempt) idle() Step {
	if a.phase == finished {
		return Step{Kind: Finish}
	}
	return Step{}
}

func (a *Attempt) finish() Step {
	a.phase = finished
	return Step{Kind: Finish}
}

// TableResult takes the result of a table call. Results of other calls than the
// last one are left out.
func (a *Attempt) TableResult(now time.Time, r tableop.Result) Step {
	if r.ID != a.op || !a.pending {
		return a.idle()
	}
	a.pending = false
	switch a.phase {
	case claiming:
		if a.answered {
			return a.lateClaimResult(now, r)
		}
		return a.claimResult(now, r)
	case resolving:
		return a.resolved(now, r)
	case watching:
		return a.watched(now, r)
	case settling:
		return a.settleResult(now, r)
	}
	return a.idle()
}

// lateClaimResult takes the result of a claim after the caller was answered that
// the request was not run. A claim that is or may be in the table is released.
func (a *Attempt) lateClaimResult(now time.Time, r tableop.Result) Step {
	if r.Err == nil && len(r.Versions) == 1 {
		a.version = r.Versions[0]
		return a.release(now)
	}
	known := errors.Is(r.Err, platform.ErrConflict) || errors.Is(r.Err, platform.ErrUnavailable)
	if known && !a.unsure {
		return a.finish()
	}
	a.unsure = true
	return a.release(now)
}

func (a *Attempt) claimResult(now time.Time, r tableop.Result) Step {
	switch {
	case r.Err == nil && len(r.Versions) == 1:
		return a.claimed(now, r.Versions[0])
	case errors.Is(r.Err, platform.ErrConflict):
		// The row may hold this attempt's own claim, if an earlier write of
		// it took effect without an answer.
		a.rival = !a.unsure
		return a.readRow(resolving)
	case errors.Is(r.Err, platform.ErrUnavailable) && !a.unsure:
		return a.answer(StoreUnavailable, a.cfg.LateRetryAfter)
	case errors.Is(r.Err, platform.ErrUnavailable):
		return a.wait(a.cfg.ReadBackoff, a.resolve)
	}
	a.unsure = true
	return a.readRow(resolving)
}

// resolve reads the row again unless the dispatch deadline has passed.
func (a *Attempt) resolve(now time.Time) Step {
	if !now.Before(a.deadline) {
		return a.giveUp(now)
	}
	return a.readRow(resolving)
}

// resolved decides after the row was read because the claim write failed.
func (a *Attempt) resolved(now time.Time, r tableop.Result) Step {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		return a.wait(a.cfg.ReadBackoff, a.resolve)
	}
	row, found := r.Row(a.key)
	if !found {
		// A claim of unknown outcome is written again with the same attempt
		// id: whichever write arrives second finds the condition not met.
		a.rival = false
		a.base = 0
		return a.writeClaim(now)
	}
	record, err := ParseRecord(row.Value)
	if err != nil {
		return a.answer(OutcomeLost, a.cfg.LateRetryAfter)
	}
	return a.found(now, row, record)
}

// found decides on a record.
func (a *Attempt) found(now time.Time, row platform.Row, record Record) Step {
	if record.Attempt == a.claim.Attempt && record.State == StateClaimed {
		return a.claimed(now, row.Version)
	}
	a.rival = record.State != StateReleased
	switch {
	case record.Fingerprint != a.claim.Fingerprint:
		return a.answer(KeyReused, 0)
	case record.State == StateDone:
		return a.stored(record)
	case record.State == StateReleased:
		a.base = row.Version
		return a.writeClaim(now)
	default:
		return a.watch(now, record)
	}
}

// claimed goes on after the claim is known to be in the table.
func (a *Attempt) claimed(now time.Time, version uint64) Step {
	a.unsure, a.rival, a.version = false, false, version
	a.phase = dispatching
	if !a.MayDispatch(now) {
		return a.Dispatched(now, Outcome{Kind: NotRun})
	}
	return Step{Kind: Dispatch}
}

// watch waits for the outcome of another attempt. After its dispatch deadline
// the outcome is not waited for: the attempt's VM has probably failed.
func (a *Attempt) watch(now time.Time, record Record) Step {
	a.phase = watching
	if a.watchUntil.IsZero() {
		a.watchUntil = now.Add(a.cfg.OutcomeTimeout)
	}
	if now.UnixMilli() > record.DispatchDeadlineUnixMS {
		return a.answer(InProgress, a.cfg.LateRetryAfter)
	}
	if !now.Add(a.cfg.OutcomePollInterval).Before(earlier(a.watchUntil, a.deadline)) {
		return a.answer(InProgress, a.cfg.RetryAfter)
	}
	return a.wait(a.cfg.OutcomePollInterval, func(time.Time) Step { return a.readRow(watching) })
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// watched decides after another attempt's row was read again.
func (a *Attempt) watched(now time.Time, r tableop.Result) Step {
	if r.Err != nil && !errors.Is(r.Err, platform.ErrNotFound) {
		return a.answer(InProgress, a.cfg.RetryAfter)
	}
	return a.resolved(now, r)
}

// stored answers with an earlier outcome.
func (a *Attempt) stored(record Record) Step {
	a.outcome = record
	if record.Object == "" {
		return a.answerStored(record.Body)
	}
	a.phase = fetching
	return Step{Kind: GetObject, Object: record.Object}
}

func (a *Attempt) answerStored(body []byte) Step {
	step := a.answer(Stored, 0)
	if step.Response != nil {
		step.Response.Status, step.Response.Header, step.Response.Body = a.outcome.Status, a.outcome.Header, body
	}
	return step
}

// ObjectResult takes the outcome of GetObject or PutObject.
func (a *Attempt) ObjectResult(now time.Time, content []byte, err error) Step {
	switch {
	case a.phase == settling:
		return a.objectStored(now, err)
	case a.phase != fetching:
		return a.idle()
	case err != nil:
		return a.answer(OutcomeLost, a.cfg.RetryAfter)
	}
	return a.answerStored(content)
}

// Dispatched takes the outcome over all tries on backend servers. The caller is
// answered without waiting until the outcome is stored. Without a stored outcome
// a repeated request gets a may-have-run answer, never a second execution. After
// an Unknown outcome it may be called again with an outcome that arrives late.
func (a *Attempt) Dispatched(now time.Time, o Outcome) Step {
	if a.phase != dispatching && a.phase != unanswered {
		return a.idle()
	}
	switch o.Kind {
	case NotRun:
		verdict := Refused
		if !a.MayDispatch(now) {
			verdict = DeadlinePassed
		}
		return withResponse(a.release(now), a.respond(&Response{Verdict: verdict, RetryAfter: o.RetryAfter}))
	case Answered:
		response := &Response{Verdict: Fresh, Status: o.Status, Header: o.Header, Body: o.Body}
		return withResponse(a.store(now, o), a.respond(response))
	}
	step := a.answer(Unanswered, a.cfg.RetryAfter)
	a.phase = unanswered
	return step
}

// GiveUp answers the caller if it has no answer yet: at GiveUpAt, or when the
// caller goes away. The step has the response and nothing else to do: the step
// that is being carried out goes on, and its result leads to the release of a
// claim that is or may be stored. GiveUp has no effect once the request may have
// been dispatched, after which only Dispatched answers.
func (a *Attempt) GiveUp(now time.Time) Step {
	if a.answered || a.phase == dispatching {
		return a.idle()
	}
	response := a.respond(a.withoutOutcome())
	switch {
	case a.phase == claiming && a.pending:
		// The pending result decides whether there is a claim to release.
	case !a.unsure:
		a.phase = finished
		a.retry = nil
	case a.pending:
		a.beginSettle(now, a.released())
		a.settle.reading = true
	default:
		a.retry = a.release
	}
	return Step{Response: response}
}

// giveUp is GiveUp at a moment when the attempt waits for nothing.
func (a *Attempt) giveUp(now time.Time) Step {
	response := a.respond(a.withoutOutcome())
	if a.unsure {
		return withResponse(a.release(now), response)
	}
	return withResponse(a.finish(), response)
}

// withoutOutcome returns the response to a request that is given up before its
// dispatch. If another attempt's record was seen, the operation may have run.
func (a *Attempt) withoutOutcome() *Response {
	switch {
	case a.phase == fetching:
		return &Response{Verdict: OutcomeLost, RetryAfter: a.cfg.RetryAfter}
	case a.rival:
		return &Response{Verdict: InProgress, RetryAfter: a.cfg.RetryAfter}
	}
	return &Response{Verdict: StoreUnavailable, RetryAfter: a.cfg.LateRetryAfter}
}

// respond returns the response if the caller has none yet.
func (a *Attempt) respond(r *Response) *Response {
	if a.answered {
		return nil
	}
	a.answered = true
	return r
}

func (a *Attempt) answer(v Verdict, retryAfter time.Duration) Step {
	return withResponse(a.finish(), a.respond(&Response{Verdict: v, RetryAfter: retryAfter}))
}

func withResponse(step Step, r *Response) Step {
	step.Response = r
	return step
}

// objectName is unique for each attempt, so that outcomes never mix.
func (a *Attempt) objectName() string { return fmt.Sprintf(objectFormat, a.key, a.claim.Attempt) }
