package once

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// harness runs requests step by step in virtual time.
type harness struct {
	t       *testing.T
	now     time.Time
	table   *faultyTable
	objects map[string][]byte
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, now: start, table: newFaultyTable(), objects: map[string][]byte{}}
}

// requestRun is a request with its current step and its response.
type requestRun struct {
	request  *Request
	step     Step
	response *Response
}

func (h *harness) begin(id, fingerprint string) *requestRun {
	r := &requestRun{request: NewRequest(Config{}, Params{
		Account: "acme", IdempotencyKey: "k", RequestID: id, VM: "vm-" + id, Incarnation: 1,
		Fingerprint: fingerprint, Deadline: h.now.Add(10 * time.Second),
	})}
	h.applyStep(r, r.request.Start(h.now))
	return r
}

func (h *harness) applyStep(r *requestRun, step Step) {
	r.step = step
	if step.Response != nil {
		require.Nil(h.t, r.response, "second response")
		r.response = step.Response
	}
}

// perform performs the current step, which must have the given kind.
func (h *harness) perform(r *requestRun, kind Kind, f fault) {
	h.t.Helper()
	require.Equal(h.t, kind, r.step.Kind)
	switch kind {
	case Write, Read:
		h.applyStep(r, r.request.TableResult(h.now, h.table.call(r.step.Op, f)))
	case Wait:
		h.now = h.now.Add(r.step.Wait)
		h.applyStep(r, r.request.Waited(h.now))
	case PutObject, GetObject:
		h.performObject(r, f)
	}
}

func (h *harness) performObject(r *requestRun, f fault) {
	if f != noFault {
		h.applyStep(r, r.request.ObjectResult(h.now, nil, platform.ErrUnavailable))
		return
	}
	if r.step.Kind == PutObject {
		h.objects[r.step.Object] = r.step.Content
	}
	h.applyStep(r, r.request.ObjectResult(h.now, h.objects[r.step.Object], nil))
}

// timeOutCaller calls GiveUp at GiveUpAt, while the current step of the request
// continues.
func (h *harness) timeOutCaller(r *requestRun) {
	h.now = r.request.GiveUpAt()
	step := r.request.GiveUp(h.now)
	require.Equal(h.t, Step{Response: step.Response}, step)
	r.response = step.Response
}

func (h *harness) dispatched(r *requestRun, o Outcome) {
	require.Equal(h.t, Dispatch, r.step.Kind)
	h.applyStep(r, r.request.Dispatched(h.now, o))
}

func (h *harness) requireVerdict(r *requestRun, v Verdict) {
	h.t.Helper()
	require.NotNil(h.t, r.response)
	require.Equal(h.t, v, r.response.Verdict)
}

// finish performs all remaining steps without faults.
func (h *harness) finish(r *requestRun) {
	h.t.Helper()
	for range 20 {
		if r.step.Kind == Finish || r.step.Kind == Dispatch {
			return
		}
		h.perform(r, r.step.Kind, noFault)
	}
	require.Fail(h.t, "the request does not end")
}

func (h *harness) recordState() State {
	record, err := ParseRecord(h.table.rows[RowKey("acme", "k")].Value)
	require.NoError(h.t, err)
	return record.State
}

var bookedOutcome = Outcome{Kind: ResponseReceived, Status: 201, Body: []byte("booked")}

// Guards against a second execution of a completed booking, and against more than
// two table writes per booking.
func TestSameKeyAfterOutcome(t *testing.T) {
	h := newHarness(t)
	a := h.begin("a", "f")
	h.perform(a, Write, noFault)
	require.True(t, a.request.MayDispatch(h.now))
	h.dispatched(a, bookedOutcome)
	h.requireVerdict(a, Fresh)
	h.finish(a)
	require.Equal(t, 2, h.table.writes)
	b := h.begin("b", "f")
	h.finish(b)
	h.requireVerdict(b, Stored)
	require.Equal(t, 201, b.response.Status)
	require.Equal(t, "booked", string(b.response.Body))
	c := h.begin("c", "other")
	h.finish(c)
	h.requireVerdict(c, KeyReused)
}

// Guards against two executions when a caller sends the same key through two VMs
// at the same time.
func TestSameKeyAtTheSameTime(t *testing.T) {
	h := newHarness(t)
	a, b := h.begin("a", "f"), h.begin("b", "f")
	h.perform(b, Write, noFault)
	h.perform(a, Write, noFault)
	require.Equal(t, Dispatch, b.step.Kind)
	h.perform(a, Read, noFault)
	h.perform(a, Wait, noFault)
	h.dispatched(b, bookedOutcome)
	h.finish(b)
	h.perform(a, Read, noFault)
	h.requireVerdict(a, Stored)
}

// Guards against a second execution after the first VM got no response or was
// killed.
func TestSameKeyAfterUnknownOutcome(t *testing.T) {
	for _, killed := range []bool{false, true} {
		h := newHarness(t)
		a := h.begin("a", "f")
		h.perform(a, Write, noFault)
		if !killed {
			h.dispatched(a, Outcome{Kind: Unknown})
			h.requireVerdict(a, OutcomeUnknown)
			require.False(t, a.request.MayDispatch(h.now))
		}
		b := h.begin("b", "f")
		h.finish(b)
		h.requireVerdict(b, InProgress)
		require.Equal(t, time.Second, b.response.RetryAfter)
		h.now = h.now.Add(time.Hour)
		c := h.begin("c", "f")
		h.finish(c)
		h.requireVerdict(c, InProgress)
		require.Equal(t, 10*time.Second, c.response.RetryAfter)
		if !killed {
			h.applyStep(a, a.request.Dispatched(h.now, bookedOutcome))
			h.finish(a)
			require.Equal(t, StateDone, h.recordState(), "an outcome that arrives later is stored")
		}
	}
}

// Guards against a dispatch by a VM that was paused beyond its deadline, before
// or after it learned that its claim was stored.
func TestPausedPastDispatchDeadline(t *testing.T) {
	h := newHarness(t)
	a := h.begin("a", "f")
	h.perform(a, Write, noFault)
	h.now = h.now.Add(2 * time.Second)
	require.False(t, a.request.MayDispatch(h.now))
	h.dispatched(a, Outcome{Kind: NotRun})
	h.requireVerdict(a, DeadlinePassed)
	b := h.begin("b", "f")
	h.perform(b, Write, noFault)
	h.perform(a, Write, noFault)
	require.Equal(t, StateReleased, h.recordState())
	h.finish(b)
	require.Equal(t, Dispatch, b.step.Kind, "a released key may be claimed again")
	c := h.begin("c", "f")
	h.now = h.now.Add(5 * time.Second)
	h.finish(b)
	h.finish(c)
	require.Equal(t, Finish, c.step.Kind)
	require.NotEqual(t, Fresh, c.response.Verdict)
}

// Guards against a claim that is considered lost, or is written twice, when only
// the answer to its write was lost.
func TestClaimAnswerLost(t *testing.T) {
	h := newHarness(t)
	a := h.begin("a", "f")
	h.perform(a, Write, lostAnswer)
	h.perform(a, Read, failedCall)
	h.perform(a, Wait, noFault)
	h.perform(a, Read, noFault)
	require.Equal(t, Dispatch, a.step.Kind)
	require.Equal(t, 1, h.table.writes)
}

// Guards against a claim that reaches the table after the request was given up
// and stays there, and against a response that is delayed until the release is
// written.
func TestClaimArrivesAfterGiveUp(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		testClaimArrivesAfterGiveUp(t, waiting)
	}
}

func testClaimArrivesAfterGiveUp(t *testing.T, waiting bool) {
	h := newHarness(t)
	a := h.begin("a", "f")
	h.perform(a, Write, delayedWrite)
	if waiting {
		h.perform(a, Read, failedCall)
		require.Equal(t, Wait, a.step.Kind)
	}
	h.timeOutCaller(a)
	h.requireVerdict(a, StoreUnavailable)
	h.finish(a)
	h.table.deliverDelayed()
	require.Equal(t, StateReleased, h.recordState())
	b := h.begin("b", "f")
	h.finish(b)
	require.Equal(t, Dispatch, b.step.Kind)
}

// Guards against a claim that stays in the table when the result of its write
// arrives after the request was given up.
func TestLateClaimIsReleased(t *testing.T) {
	h := newHarness(t)
	a := h.begin("a", "f")
	h.timeOutCaller(a)
	h.requireVerdict(a, StoreUnavailable)
	h.perform(a, Write, noFault)
	h.perform(a, Write, failedCall)
	h.perform(a, Wait, noFault)
	h.finish(a)
	require.Equal(t, StateReleased, h.recordState())
}

// Guards against a booking that waits or runs while the store is down.
func TestStoreDown(t *testing.T) {
	h := newHarness(t)
	a := h.begin("a", "f")
	h.perform(a, Write, failedCall)
	h.requireVerdict(a, StoreUnavailable)
	require.Equal(t, Finish, a.step.Kind)
	require.True(t, a.response.Verdict.MayHaveRun(), "an earlier request with the key may have run")
	b := h.begin("b", "f")
	h.perform(b, Write, noFault)
	c := h.begin("c", "f")
	h.perform(c, Write, noFault)
	h.perform(c, Read, failedCall)
	h.now = h.now.Add(3 * time.Second)
	h.applyStep(c, c.request.Waited(h.now))
	h.requireVerdict(c, InProgress)
}

// Guards against an outcome that is lost because its first write failed, and
// against a large body in the row.
func TestOutcomeIsStoredDespiteFaults(t *testing.T) {
	h := newHarness(t)
	a := h.begin("a", "f")
	h.perform(a, Write, noFault)
	body := []byte(strings.Repeat("x", 8<<10+1))
	h.dispatched(a, Outcome{Kind: ResponseReceived, Status: 200, Body: body})
	h.requireVerdict(a, Fresh)
	h.perform(a, PutObject, failedCall)
	h.perform(a, Wait, noFault)
	h.perform(a, PutObject, noFault)
	h.perform(a, Write, lostWrite)
	h.perform(a, Wait, noFault)
	h.perform(a, Read, noFault)
	h.perform(a, Write, lostAnswer)
	h.finish(a)
	require.Less(t, len(h.table.rows[RowKey("acme", "k")].Value), 1<<10)
	b := h.begin("b", "f")
	h.perform(b, Write, noFault)
	h.perform(b, Read, noFault)
	h.perform(b, GetObject, noFault)
	require.Equal(t, body, b.response.Body)
	c := h.begin("c", "f")
	h.perform(c, Write, noFault)
	h.perform(c, Read, noFault)
	h.perform(c, GetObject, failedCall)
	h.requireVerdict(c, OutcomeLost)
	require.True(t, c.response.Verdict.MayHaveRun())
}

// Guards against background writes that are retried forever.
func TestSettlingEnds(t *testing.T) {
	h := newHarness(t)
	a := h.begin("a", "f")
	h.perform(a, Write, noFault)
	h.dispatched(a, bookedOutcome)
	for a.step.Kind != Finish {
		h.perform(a, a.step.Kind, failedCall)
	}
	require.Equal(t, StateClaimed, h.recordState())
	require.Less(t, h.now.Sub(start), 11*time.Minute)
}

// Guards against row keys shared by two accounts or containing "..", fingerprints
// that confuse the path with the body, unknown states that are accepted, and
// records that expire before the retention ends or stay after it.
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
