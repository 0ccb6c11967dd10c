package once

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// harness runs attempts step by step in virtual time.
type harness struct {
	t       *testing.T
	now     time.Time
	table   *faultyTable
	objects map[string][]byte
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, now: start, table: newFaultyTable(), objects: map[string][]byte{}}
}

// attemptRun is an attempt with its present step and its response.
type attemptRun struct {
	a        *Attempt
	step     Step
	response *Response
}

func (w *harness) begin(id, fingerprint string) *attemptRun {
	r := &attemptRun{a: NewAttempt(Config{}, Params{
		Account: "acme", IdempotencyKey: "k", AttemptID: id, VM: "vm-" + id, Incarnation: 1,
		Fingerprint: fingerprint, Deadline: w.now.Add(10 * time.Second),
	})}
	w.applyStep(r, r.a.Start(w.now))
	return r
}

func (w *harness) applyStep(r *attemptRun, step Step) {
	r.step = step
	if step.Response != nil {
		require.Nil(w.t, r.response, "second response")
		r.response = step.Response
	}
}

// perform performs the present step, which must have the given kind.
func (w *harness) perform(r *attemptRun, kind Kind, f fault) {
	w.t.Helper()
	require.Equal(w.t, kind, r.step.Kind)
	switch kind {
	case Write, Read:
		w.applyStep(r, r.a.TableResult(w.now, w.table.call(r.step.Op, f)))
	case Wait:
		w.now = w.now.Add(r.step.Wait)
		w.applyStep(r, r.a.Waited(w.now))
	case PutObject, GetObject:
		w.performObject(r, f)
	}
}

func (w *harness) performObject(r *attemptRun, f fault) {
	if f != noFault {
		w.applyStep(r, r.a.ObjectResult(w.now, nil, platform.ErrUnavailable))
		return
	}
	if r.step.Kind == PutObject {
		w.objects[r.step.Object] = r.step.Content
	}
	w.applyStep(r, r.a.ObjectResult(w.now, w.objects[r.step.Object], nil))
}

// giveUp gives the attempt up while its present step continues.
func (w *harness) giveUp(r *attemptRun) {
	w.now = r.a.GiveUpAt()
	step := r.a.GiveUp(w.now)
	require.Equal(w.t, Step{Response: step.Response}, step)
	r.response = step.Response
}

func (w *harness) dispatched(r *attemptRun, o Outcome) {
	require.Equal(w.t, Dispatch, r.step.Kind)
	w.applyStep(r, r.a.Dispatched(w.now, o))
}

func (w *harness) requireVerdict(r *attemptRun, v Verdict) {
	w.t.Helper()
	require.NotNil(w.t, r.response)
	require.Equal(w.t, v, r.response.Verdict)
}

// finish performs all remaining steps without faults.
func (w *harness) finish(r *attemptRun) {
	w.t.Helper()
	for range 20 {
		if r.step.Kind == Finish || r.step.Kind == Dispatch {
			return
		}
		w.perform(r, r.step.Kind, noFault)
	}
	require.Fail(w.t, "the attempt does not end")
}

func (w *harness) recordState() State {
	record, err := ParseRecord(w.table.rows[RowKey("acme", "k")].Value)
	require.NoError(w.t, err)
	return record.State
}

var bookedOutcome = Outcome{Kind: ResponseReceived, Status: 201, Body: []byte("booked")}

// Guards against a second execution of a completed booking, and against more than
// two table writes per booking.
func TestSameKeyAfterOutcome(t *testing.T) {
	w := newHarness(t)
	a := w.begin("a", "f")
	w.perform(a, Write, noFault)
	require.True(t, a.a.MayDispatch(w.now))
	w.dispatched(a, bookedOutcome)
	w.requireVerdict(a, Fresh)
	w.finish(a)
	require.Equal(t, 2, w.table.writes)
	b := w.begin("b", "f")
	w.finish(b)
	w.requireVerdict(b, Stored)
	require.Equal(t, 201, b.response.Status)
	require.Equal(t, "booked", string(b.response.Body))
	c := w.begin("c", "other")
	w.finish(c)
	w.requireVerdict(c, KeyReused)
}

// Guards against two executions when a caller sends the same key through two VMs
// at the same time.
func TestSameKeyAtTheSameTime(t *testing.T) {
	w := newHarness(t)
	a, b := w.begin("a", "f"), w.begin("b", "f")
	w.perform(b, Write, noFault)
	w.perform(a, Write, noFault)
	require.Equal(t, Dispatch, b.step.Kind)
	w.perform(a, Read, noFault)
	w.perform(a, Wait, noFault)
	w.dispatched(b, bookedOutcome)
	w.finish(b)
	w.perform(a, Read, noFault)
	w.requireVerdict(a, Stored)
}

// Guards against a second execution after the first VM got no answer or was
// killed.
func TestSameKeyAfterUnknownOutcome(t *testing.T) {
	for _, killed := range []bool{false, true} {
		w := newHarness(t)
		a := w.begin("a", "f")
		w.perform(a, Write, noFault)
		if !killed {
			w.dispatched(a, Outcome{Kind: Unknown})
			w.requireVerdict(a, OutcomeUnknown)
			require.False(t, a.a.MayDispatch(w.now))
		}
		b := w.begin("b", "f")
		w.finish(b)
		w.requireVerdict(b, InProgress)
		require.Equal(t, time.Second, b.response.RetryAfter)
		w.now = w.now.Add(time.Hour)
		c := w.begin("c", "f")
		w.finish(c)
		w.requireVerdict(c, InProgress)
		require.Equal(t, 10*time.Second, c.response.RetryAfter)
		if !killed {
			w.applyStep(a, a.a.Dispatched(w.now, bookedOutcome))
			w.finish(a)
			require.Equal(t, StateDone, w.recordState(), "an outcome that arrives later is stored")
		}
	}
}

// Guards against a dispatch by a VM that was paused beyond its deadline, before
// or after it learned that its claim was stored.
func TestPausedPastDispatchDeadline(t *testing.T) {
	w := newHarness(t)
	a := w.begin("a", "f")
	w.perform(a, Write, noFault)
	w.now = w.now.Add(2 * time.Second)
	require.False(t, a.a.MayDispatch(w.now))
	w.dispatched(a, Outcome{Kind: NotRun})
	w.requireVerdict(a, DeadlinePassed)
	b := w.begin("b", "f")
	w.perform(b, Write, noFault)
	w.perform(a, Write, noFault)
	require.Equal(t, StateReleased, w.recordState())
	w.finish(b)
	require.Equal(t, Dispatch, b.step.Kind, "a released key may be claimed again")
	c := w.begin("c", "f")
	w.now = w.now.Add(5 * time.Second)
	w.finish(b)
	w.finish(c)
	require.Equal(t, Finish, c.step.Kind)
	require.NotEqual(t, Fresh, c.response.Verdict)
}

// Guards against a claim that is considered lost, or is written twice, when only
// the answer to its write was lost.
func TestClaimAnswerLost(t *testing.T) {
	w := newHarness(t)
	a := w.begin("a", "f")
	w.perform(a, Write, lostAnswer)
	w.perform(a, Read, failedCall)
	w.perform(a, Wait, noFault)
	w.perform(a, Read, noFault)
	require.Equal(t, Dispatch, a.step.Kind)
	require.Equal(t, 1, w.table.writes)
}

// Guards against a claim that reaches the table after the request was answered as
// not run and stays there, and against a not-run answer that is delayed until the
// release is written.
func TestClaimArrivesAfterGiveUp(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		testClaimArrivesAfterGiveUp(t, waiting)
	}
}

func testClaimArrivesAfterGiveUp(t *testing.T, waiting bool) {
	w := newHarness(t)
	a := w.begin("a", "f")
	w.perform(a, Write, delayedWrite)
	if waiting {
		w.perform(a, Read, failedCall)
		require.Equal(t, Wait, a.step.Kind)
	}
	w.giveUp(a)
	w.requireVerdict(a, StoreUnavailable)
	w.finish(a)
	w.table.deliverDelayed()
	require.Equal(t, StateReleased, w.recordState())
	b := w.begin("b", "f")
	w.finish(b)
	require.Equal(t, Dispatch, b.step.Kind)
}

// Guards against a claim that stays in the table when the result of its write
// arrives after the request was answered as not run.
func TestLateClaimIsReleased(t *testing.T) {
	w := newHarness(t)
	a := w.begin("a", "f")
	w.giveUp(a)
	w.requireVerdict(a, StoreUnavailable)
	w.perform(a, Write, noFault)
	w.perform(a, Write, failedCall)
	w.perform(a, Wait, noFault)
	w.finish(a)
	require.Equal(t, StateReleased, w.recordState())
}

// Guards against a booking that waits or runs while the store is down.
func TestStoreDown(t *testing.T) {
	w := newHarness(t)
	a := w.begin("a", "f")
	w.perform(a, Write, failedCall)
	w.requireVerdict(a, StoreUnavailable)
	require.Equal(t, Finish, a.step.Kind)
	require.True(t, a.response.Verdict.MayHaveRun(), "an earlier request with the key may have run")
	b := w.begin("b", "f")
	w.perform(b, Write, noFault)
	c := w.begin("c", "f")
	w.perform(c, Write, noFault)
	w.perform(c, Read, failedCall)
	w.now = w.now.Add(3 * time.Second)
	w.applyStep(c, c.a.Waited(w.now))
	w.requireVerdict(c, InProgress)
}

// Guards against an outcome that is lost because its first write failed, and
// against a large body in the row.
func TestOutcomeIsStoredDespiteFaults(t *testing.T) {
	w := newHarness(t)
	a := w.begin("a", "f")
	w.perform(a, Write, noFault)
	body := []byte(strings.Repeat("x", 8<<10+1))
	w.dispatched(a, Outcome{Kind: ResponseReceived, Status: 200, Body: body})
	w.requireVerdict(a, Fresh)
	w.perform(a, PutObject, failedCall)
	w.perform(a, Wait, noFault)
	w.perform(a, PutObject, noFault)
	w.perform(a, Write, lostWrite)
	w.perform(a, Wait, noFault)
	w.perform(a, Read, noFault)
	w.perform(a, Write, lostAnswer)
	w.finish(a)
	require.Less(t, len(w.table.rows[RowKey("acme", "k")].Value), 1<<10)
	b := w.begin("b", "f")
	w.perform(b, Write, noFault)
	w.perform(b, Read, noFault)
	w.perform(b, GetObject, noFault)
	require.Equal(t, body, b.response.Body)
	c := w.begin("c", "f")
	w.perform(c, Write, noFault)
	w.perform(c, Read, noFault)
	w.perform(c, GetObject, failedCall)
	w.requireVerdict(c, OutcomeLost)
	require.True(t, c.response.Verdict.MayHaveRun())
}

// Guards against background writes that are retried forever.
func TestSettlingEnds(t *testing.T) {
	w := newHarness(t)
	a := w.begin("a", "f")
	w.perform(a, Write, noFault)
	w.dispatched(a, bookedOutcome)
	for a.step.Kind != Finish {
		w.perform(a, a.step.Kind, failedCall)
	}
	require.Equal(t, StateClaimed, w.recordState())
	require.Less(t, w.now.Sub(start), 11*time.Minute)
}

func TestKeysAndFingerprints(t *testing.T) {
	require.NotEqual(t, RowKey("a", "k"), RowKey("b", "k"))
	require.NotContains(t, RowKey("a", "../k"), "..")
	require.NotEqual(t, Fingerprint("POST", "/ab", nil), Fingerprint("POST", "/a", []byte("b")))
	_, err := ParseRecord([]byte(`{"state": "other"}`))
	require.ErrorIs(t, err, ErrBadRecord)
	r := Record{DispatchDeadlineUnixMS: start.UnixMilli()}
	require.False(t, r.Expired(start.Add(Retention)))
	require.True(t, r.Expired(start.Add(Retention+time.Millisecond)))
}
