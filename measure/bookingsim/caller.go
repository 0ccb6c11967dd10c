package bookingsim

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cassiawind/cassiawind/core/once"
)

const (
	accountName = "acme"
	bodyFormat  = "%s/%d"
	// callerDeadline is sent with each request. A caller without an answer
	// repeats the booking callerSlack after it.
	callerDeadline = 5 * time.Second
	callerSlack    = 500 * time.Millisecond
	// repeatAfter is the least time until a booking is repeated, and
	// repeatFor that for which callers repeat it.
	repeatAfter = 200 * time.Millisecond
	repeatFor   = time.Minute
	// doublePart is the part of the bookings that the caller sends to a second
	// VM within doubleWithin, without waiting for the first answer.
	doublePart   = 0.05
	doubleWithin = 400 * time.Millisecond

	connectTime = time.Millisecond
	serviceTime = 100 * time.Millisecond
	// serverTries is the number of backend servers that are tried.
	serverTries = 3
	// refusedPart of the tries is rejected as not run, and lostPart is run
	// without an answer; in half of these it arrives lateAnswer later.
	refusedPart = 0.02
	lostPart    = 0.01
	lateAnswer  = time.Second
)

// booking is one operation of a caller, with an Idempotency-Key of its own.
type booking struct {
	key       string
	begun     time.Time
	runs      int
	completed bool
	// lastVM received the latest request.
	lastVM int
}

// call is one request of a booking at one VM.
type call struct {
	booking *booking
	vm      *vm
	a       *once.Attempt // nil without records
	at      time.Time
	ran     bool
	// ranBefore tells that an earlier call had run when this one began.
	ranBefore bool
	// closed: the caller has an answer or does not wait any more.
	closed bool
}

// arrive begins bookings at random times with the given mean rate.
func (w *world) arrive() {
	w.After(time.Duration(w.rnd.ExpFloat64()/w.rate*float64(time.Second)), func() {
		if w.Elapsed() >= runTime {
			return
		}
		w.arrive()
		b := &booking{key: strconv.Itoa(len(w.bookings)), begun: w.Now, lastVM: -1}
		w.bookings = append(w.bookings, b)
		w.request(b)
		if w.repeats && w.failing && w.rnd.Float64() < doublePart {
			w.After(time.Duration(w.rnd.Int64N(int64(doubleWithin))), func() { w.request(b) })
		}
	})
}

// request sends the booking to a random VM other than the last one.
func (w *world) request(b *booking) {
	index := w.rnd.IntN(len(w.vms))
	if index == b.lastVM {
		index = (index + 1) % len(w.vms)
	}
	b.lastVM = index
	v := w.vms[index]
	w.attempts++
	c := &call{booking: b, vm: v, at: w.Now, ranBefore: b.runs > 0}
	v.calls = append(slices.DeleteFunc(v.calls, func(c *call) bool { return c.closed }), c)
	if v.dead {
		w.unanswered(c)
		return
	}
	if w.failing {
		w.After(callerDeadline+callerSlack, func() { w.unanswered(c) })
	}
	attempt := strconv.Itoa(w.attempts)
	w.do(v, func() { w.begin(c, attempt) })
}

func (w *world) begin(c *call, attempt string) {
	if !w.records {
		w.connect(c, 1)
		return
	}
	c.a = once.NewAttempt(once.Config{}, once.Params{
		Account: accountName, IdempotencyKey: c.booking.key, AttemptID: attempt,
		Incarnation: c.vm.incarnation, Deadline: c.at.Add(callerDeadline),
	})
	w.take(c, c.a.Start(w.Now))
	w.After(c.a.GiveUpAt().Sub(w.Now), func() {
		w.do(c.vm, func() { w.take(c, c.a.GiveUp(w.Now)) })
	})
}

// unanswered ends a call for its caller, who does not know whether it ran.
func (w *world) unanswered(c *call) {
	if !c.closed {
		c.closed = true
		w.repeat(c.booking, 0)
	}
}

// answer gives the caller the answer. A rejection as not run is checked against
// what the backend servers did.
func (w *world) answer(c *call, r *once.Response) {
	if r.Verdict == once.Fresh {
		w.completed++
	} else {
		w.refused++
	}
	if !r.Verdict.MayHaveRun() {
		w.checkNotRun(c)
	}
	if c.closed {
		return
	}
	c.closed = true
	if r.Verdict.HasOutcome() {
		c.booking.completed = true
		return
	}
	w.repeat(c.booking, r.RetryAfter)
}

// checkNotRun looks again after the run of a request that is on its way.
func (w *world) checkNotRun(c *call) {
	if c.ranBefore {
		w.earlier++
	}
	w.After(callerDeadline, func() {
		if c.ran {
			w.falsely++
		}
	})
}

func (w *world) repeat(b *booking, after time.Duration) {
	if !w.repeats {
		return
	}
	w.After(max(after, repeatAfter), func() {
		if !b.completed && w.Now.Sub(b.begun) < repeatFor {
			w.request(b)
		}
	})
}

// connect opens a connection to a backend server, which is the last blocking
// step before the dispatch.
func (w *world) connect(c *call, try int) {
	w.After(connectTime, func() {
		w.do(c.vm, func() {
			if c.a != nil && !c.a.MayDispatch(w.Now) {
				w.dispatched(c, once.Outcome{Kind: once.NotRun})
				return
			}
			w.backend(c, try)
		})
	})
}

// backend is what a backend server does with a request.
func (w *world) backend(c *call, try int) {
	chance := 1.0
	if w.failing {
		chance = w.rnd.Float64()
	}
	if chance < refusedPart {
		w.After(connectTime, func() { w.do(c.vm, func() { w.refusedBy(c, try) }) })
		return
	}
	c.ran = true
	c.booking.runs++
	answer := once.Outcome{Kind: once.Answered, Status: http.StatusCreated, Body: fmt.Appendf(nil, bodyFormat, c.booking.key, c.booking.runs)}
	if chance >= refusedPart+lostPart {
		w.After(serviceTime, func() { w.do(c.vm, func() { w.dispatched(c, answer) }) })
		return
	}
	w.After(serviceTime, func() { w.do(c.vm, func() { w.dispatched(c, once.Outcome{Kind: once.Unknown}) }) })
	if chance < refusedPart+lostPart/2 {
		w.After(serviceTime+lateAnswer, func() { w.do(c.vm, func() { w.dispatched(c, answer) }) })
	}
}

func (w *world) refusedBy(c *call, try int) {
	if w.repeats && try < serverTries {
		w.connect(c, try+1)
		return
	}
	w.dispatched(c, once.Outcome{Kind: once.NotRun, RetryAfter: time.Second})
}

// dispatched passes the outcome on. Without records the VM answers directly.
func (w *world) dispatched(c *call, o once.Outcome) {
	if c.a != nil {
		w.take(c, c.a.Dispatched(w.Now, o))
		return
	}
	verdict := map[once.OutcomeKind]once.Verdict{once.Answered: once.Fresh, once.NotRun: once.Refused, once.Unknown: once.Unanswered}[o.Kind]
	w.answer(c, &once.Response{Verdict: verdict, RetryAfter: o.RetryAfter})
}

// twice counts the bookings that ran more than once.
func (w *world) twice() float64 {
	n := 0
	for _, b := range w.bookings {
		if b.runs > 1 {
			n++
		}
	}
	return float64(n)
}

// completedPart returns the part of the bookings whose caller has the outcome,
// in percent.
func (w *world) completedPart() float64 {
	n := 0
	for _, b := range w.bookings {
		if b.completed {
			n++
		}
	}
	return percent * float64(n) / float64(len(w.bookings))
}

func (w *world) claimMS(quantile float64) float64 {
	return float64(w.claims.ValueAtQuantile(quantile)) / 1000
}
