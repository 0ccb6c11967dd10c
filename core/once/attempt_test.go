package once

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// world drives attempts step by step in virtual time.
type world struct {
	t       *testing.T
	now     time.Time
	table   *table
	objects map[string][]byte
}

func newWorld(t *testing.T) *world {
	return &world{t: t, now: start, table: newTable(), objects: map[string][]byte{}}
}

// run is an attempt with its present step and its answer.
type run struct {
	a        *Attempt
	step     Step
	response *Response
}

func (w *world) begin(id, fingerprint string) *run {
	r := &run{a: NewAttempt(Config{}, Params{
		Account: "acme", IdempotencyKey: "k", AttemptID: id, VM: "vm-" + id, Incarnation: 1,
		Fingerprint: fingerprint, Deadline: w.now.Add(10 * time.Second),
	})}
	w.take(r, r.a.Start(w.now))
	return r
}

func (w *world) take(r *run, step Step) {
	r.step = step
	if step.Response != nil {
		require.Nil(w.t, r.response, "second response")
		r.response = step.Response
	}
}

// do performs the present step, which has the given kind.
func (w *world) do(r *run, kind Kind, f fault) {
	w.t.Helper()
	require.Equal(w.t, kind, r.step.Kind)
	switch kind {
	case Write, Read:
		w.take(r, r.a.TableResult(w.now, w.table.call(r.step.Op, f)))
	case Wait:
		w.now = w.now.Add(r.step.Wait)
		w.take(r, r.a.Waited(w.now))
	case PutObject, GetObject:
		w.object(r, f)
	}
}

func (w *world) object(r *run, f fault) {
	if f != noFault {
		w.take(r, r.a.ObjectResult(w.now, nil, platform.ErrUnavailable))
		return
	}
	if r.step.Kind == PutObject {
		w.objects[r.step.Object] = r.step.Content
	}
	w.take(r, r.a.ObjectResult(w.now, w.objects[r.step.Object], nil))
}

// giveUp gives the attempt up while its present step goes on.
func (w *world) giveUp(r *run) {
	w.now = r.a.GiveUpAt()
	step := r.a.GiveUp(w.now)
	require.Equal(w.t, Step{Response: step.Response}, step)
	r.response = step.Response
}

func (w *world) outcome(r *run, o Outcome) {
	require.Equal(w.t, Dispatch, r.step.Kind)
	w.take(r, r.a.Dispatched(w.now, o))
}

func (w *world) verdict(r *run, v Verdict) {
	w.t.Helper()
	require.NotNil(w.t, r.response)
	require.Equal(w.t, v, r.response.Verdict)
}

// finish performs all remaining steps without faults.
func (w *world) finish(r *run) {
	w.t.Helper()
	for range 20 {
		if r.step.Kind == Finish || r.step.Kind == Dispatch {
			return
		}
		w.do(r, r.step.Kind, noFault)
	}
	require.Fail(w.t, "the attempt does not end")
}

func (w *world) state() State {
	record, err := ParseRecord(w.table.rows[RowKey("acme", "k")].Value)
	require.NoError(w.t, err)
	return record.State
}

var booked = Outcome{Kind: Answered, Status: 201, Body: []byte("booked")}

// Guards against a repeat that runs again after a completed booking, and against
// more than two table writes per booking.
func TestSameKeyAfterOutcome(t *testing.T) {
	w := newWorld(t)
	a := w.begin("a", "f")
	w.do(a, Write, noFault)
	require.True(t, a.a.MayDispatch(w.now))
	w.outcome(a, booked)
	w.verdict(a, Fresh)
	w.finish(a)
	require.Equal(t, 2, w.table.writes)
	b := w.begin("b", "f")
	w.finish(b)
	w.verdict(b, Stored)
	require.Equal(t, 201, b.response.Status)
	require.Equal(t, "booked", string(b.response.Body))
	c := w.begin("c", "other")
	w.finish(c)
	w.verdict(c, KeyReused)
}

// Guards against two executions when a caller sends the same key through two VMs
// at the same moment.
func TestSameKeyAtTheSameTime(t *testing.T) {
	w := newWorld(t)
	a, b := w.begin("a", "f"), w.begin("b", "f")
	w.do(b, Write, noFault)
	w.do(a, Write, noFault)
	require.Equal(t, Dispatch, b.step.Kind)
	w.do(a, Read, noFault)
	w.do(a, Wait, noFault)
	w.outcome(b, booked)
	w.finish(b)
	w.do(a, Read, noFault)
	w.verdict(a, Stored)
}

// Guards against a second execution after the first VM timed out or died.
func TestSameKeyAfterUnknownOutcome(t *testing.T) {
	for _, died := range []bool{false, true} {
		w := newWorld(t)
		a := w.begin("a", "f")
		w.do(a, Write, noFault)
		if !died {
			w.outcome(a, Outcome{Kind: Unknown})
			w.verdict(a, Unanswered)
			require.False(t, a.a.MayDispatch(w.now))
		}
		b := w.begin("b", "f")
		w.finish(b)
		w.verdict(b, InProgress)
		require.Equal(t, time.Second, b.response.RetryAfter)
		w.now = w.now.Add(time.Hour)
		c := w.begin("c", "f")
		w.finish(c)
		w.verdict(c, InProgress)
		require.Equal(t, 10*time.Second, c.response.RetryAfter)
		if !died {
			w.take(a, a.a.Dispatched(w.now, booked))
			w.finish(a)
			require.Equal(t, StateDone, w.state(), "a late outcome is stored")
		}
	}
}

// Guards against a dispatch by a VM that was paused past its deadline, before or
// after it learnt that its claim was stored.
func TestPausedPastDispatchDeadline(t *testing.T) {
	w := newWorld(t)
	a := w.begin("a", "f")
	w.do(a, Write, noFault)
	w.now = w.now.Add(2 * time.Second)
	require.False(t, a.a.MayDispatch(w.now))
	w.outcome(a, Outcome{Kind: NotRun})
	w.verdict(a, DeadlinePassed)
	b := w.begin("b", "f")
	w.do(b, Write, noFault)
	w.do(a, Write, noFault)
	require.Equal(t, StateReleased, w.state())
	w.finish(b)
	require.Equal(t, Dispatch, b.step.Kind, "a released key may be claimed again")
	c := w.begin("c", "f")
	w.now = w.now.Add(5 * time.Second)
	w.finish(b)
	w.finish(c)
	require.Equal(t, Finish, c.step.Kind)
	require.NotEqual(t, Fresh, c.response.Verdict)
}

// Guards against a claim that counts as lost, or is written twice, when only the
// answer to its write was lost.
func TestClaimAnswerLost(t *testing.T) {
	w := newWorld(t)
	a := w.begin("a", "f")
	w.do(a, Write, lostAnswer)
	w.do(a, Read, refused)
	w.do(a, Wait, noFault)
	w.do(a, Read, noFault)
	require.Equal(t, Dispatch, a.step.Kind)
	require.Equal(t, 1, w.table.writes)
}

// Guards against a claim that reaches the table after the request was answered
// as not run, and against a not-run answer that waits for the release.
func TestClaimArrivesAfterGiveUp(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		claimArrivesAfterGiveUp(t, waiting)
	}
}

func claimArrivesAfterGiveUp(t *testing.T, waiting bool) {
	w := newWorld(t)
	a := w.begin("a", "f")
	w.do(a, Write, lateCall)
	if waiting {
		w.do(a, Read, refused)
		require.Equal(t, Wait, a.step.Kind)
	}
	w.giveUp(a)
	w.verdict(a, StoreUnavailable)
	w.finish(a)
	w.table.arrive()
	require.Equal(t, StateReleased, w.state())
	b := w.begin("b", "f")
	w.finish(b)
	require.Equal(t, Dispatch, b.step.Kind)
}

// Guards against a claim that stays in the table when its answer comes after the
// request was answered as not run.
func TestLateClaimIsReleased(t *testing.T) {
	w := newWorld(t)
	a := w.begin("a", "f")
	w.giveUp(a)
	w.verdict(a, StoreUnavailable)
	w.do(a, Write, noFault)
	w.do(a, Write, refused)
	w.do(a, Wait, noFault)
	w.finish(a)
	require.Equal(t, StateReleased, w.state())
}

// Guards against a booking that waits or runs while the store is down.
func TestStoreDown(t *testing.T) {
	w := newWorld(t)
	a := w.begin("a", "f")
	w.do(a, Write, refused)
	w.verdict(a, StoreUnavailable)
	require.Equal(t, Finish, a.step.Kind)
	require.True(t, a.response.Verdict.MayHaveRun(), "an earlier request with the key may have run")
	b := w.begin("b", "f")
	w.do(b, Write, noFault)
	c := w.begin("c", "f")
	w.do(c, Write, noFault)
	w.do(c, Read, refused)
	w.now = w.now.Add(3 * time.Second)
	w.take(c, c.a.Waited(w.now))
	w.verdict(c, InProgress)
}

// Guards against an outcome that is lost because its first write failed, and
// against a large body in the row.
func TestOutcomeIsStoredDespiteFaults(t *testing.T) {
	w := newWorld(t)
	a := w.begin("a", "f")
	w.do(a, Write, noFault)
	body := []byte(strings.Repeat("x", 8<<10+1))
	w.outcome(a, Outcome{Kind: Answered, Status: 200, Body: body})
	w.verdict(a, Fresh)
	w.do(a, PutObject, refused)
	w.do(a, Wait, noFault)
	w.do(a, PutObject, noFault)
	w.do(a, Write, lostCall)
	w.do(a, Wait, noFault)
	w.do(a, Read, noFault)
	w.do(a, Write, lostAnswer)
	w.finish(a)
	require.Less(t, len(w.table.rows[RowKey("acme", "k")].Value), 1<<10)
	b := w.begin("b", "f")
	w.do(b, Write, noFault)
	w.do(b, Read, noFault)
	w.do(b, GetObject, noFault)
	require.Equal(t, body, b.response.Body)
	c := w.begin("c", "f")
	w.do(c, Write, noFault)
	w.do(c, Read, noFault)
	w.do(c, GetObject, refused)
	w.verdict(c, OutcomeLost)
	require.True(t, c.response.Verdict.MayHaveRun())
}

// Guards against background writes that are repeated for ever.
func TestSettlingEnds(t *testing.T) {
	w := newWorld(t)
	a := w.begin("a", "f")
	w.do(a, Write, noFault)
	w.outcome(a, booked)
	for a.step.Kind != Finish {
		w.do(a, a.step.Kind, refused)
	}
	require.Equal(t, StateClaimed, w.state())
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
