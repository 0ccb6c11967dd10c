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
	// requestTimeout is the time from the start of a request to the deadline that
	// is sent with it. A caller without a response stops waiting
	// callerTimeoutMargin after the deadline and retries the booking.
	requestTimeout      = 5 * time.Second
	callerTimeoutMargin = 500 * time.Millisecond
	// minRetryDelay is the shortest delay before a booking is retried. Callers
	// retry a booking for retryPeriod after it starts.
	minRetryDelay = 200 * time.Millisecond
	retryPeriod   = time.Minute
	// duplicateFraction is the fraction of bookings that the caller also sends
	// to a second VM within maxDuplicateDelay, without waiting for the first
	// response.
	duplicateFraction = 0.05
	maxDuplicateDelay = 400 * time.Millisecond

	connectDelay = time.Millisecond
	serviceTime  = 100 * time.Millisecond
	// maxServerAttempts bounds the attempts of one request at backend servers.
	maxServerAttempts = 3
	// rejectedFraction is the fraction of attempts that a backend server rejects
	// as not run. lostResponseFraction is the fraction that runs without a
	// response in time. In half of the latter, the response arrives
	// lateResponseDelay later.
	rejectedFraction     = 0.02
	lostResponseFraction = 0.01
	lateResponseDelay    = time.Second
)

// booking is one operation of a caller. It has its own Idempotency-Key, which all
// of its requests carry.
type booking struct {
	key        string
	startedAt  time.Time
	executions int
	completed  bool
	// lastVM is the index of the VM that received the latest request, or -1.
	lastVM int
}

// request is one request for a booking at one VM.
type request struct {
	booking   *booking
	vm        *vm
	keyed     *once.Request // nil without records
	startedAt time.Time
	executed  bool
	// executedBefore is set if an earlier request of the booking had already run
	// when this one was sent.
	executedBefore bool
	// closed is set when the caller has a response or has stopped waiting for one.
	closed bool
}

// scheduleArrival schedules the next booking. The intervals between bookings are
// exponentially distributed with the mean rate of the configuration.
func (sim *simulation) scheduleArrival() {
	sim.After(time.Duration(sim.rng.ExpFloat64()/sim.rate*float64(time.Second)), func() {
		if sim.Elapsed() >= runTime {
			return
		}
		sim.scheduleArrival()
		b := &booking{key: strconv.Itoa(len(sim.bookings)), startedAt: sim.Now, lastVM: -1}
		sim.bookings = append(sim.bookings, b)
		sim.sendRequest(b)
		if sim.retries && sim.randomFailures && sim.rng.Float64() < duplicateFraction {
			sim.After(time.Duration(sim.rng.Int64N(int64(maxDuplicateDelay))), func() { sim.sendRequest(b) })
		}
	})
}

// sendRequest sends the booking to a random VM other than the one that received
// its previous request.
func (sim *simulation) sendRequest(b *booking) {
	index := sim.rng.IntN(len(sim.vms))
	if index == b.lastVM {
		index = (index + 1) % len(sim.vms)
	}
	b.lastVM = index
	v := sim.vms[index]
	sim.requests++
	req := &request{booking: b, vm: v, startedAt: sim.Now, executedBefore: b.executions > 0}
	v.requests = append(slices.DeleteFunc(v.requests, func(c *request) bool { return c.closed }), req)
	if v.killed {
		sim.endWithoutResponse(req)
		return
	}
	if sim.randomFailures {
		sim.After(requestTimeout+callerTimeoutMargin, func() { sim.endWithoutResponse(req) })
	}
	requestID := strconv.Itoa(sim.requests)
	sim.runStep(v, func() { sim.startRequest(req, requestID) })
}

func (sim *simulation) startRequest(req *request, requestID string) {
	if !sim.records {
		sim.connect(req, 1)
		return
	}
	req.keyed = once.NewRequest(once.Config{}, once.Params{
		Account: accountName, IdempotencyKey: req.booking.key, RequestID: requestID,
		Incarnation: req.vm.incarnation, Deadline: req.startedAt.Add(requestTimeout),
	})
	sim.handleStep(req, req.keyed.Start(sim.Now))
	sim.After(req.keyed.GiveUpAt().Sub(sim.Now), func() {
		sim.runStep(req.vm, func() { sim.handleStep(req, req.keyed.GiveUp(sim.Now)) })
	})
}

// endWithoutResponse ends a request for its caller, which does not know whether
// the request ran and retries the booking.
func (sim *simulation) endWithoutResponse(req *request) {
	if !req.closed {
		req.closed = true
		sim.scheduleRetry(req.booking, 0)
	}
}

// respond delivers the response to the caller. A response that reports the request
// as not run is checked against what the backend servers did.
func (sim *simulation) respond(req *request, r *once.Response) {
	if r.Verdict == once.Fresh {
		sim.completed++
	} else {
		sim.rejected++
	}
	if !r.Verdict.MayHaveRun() {
		sim.checkNotRun(req)
	}
	if req.closed {
		return
	}
	req.closed = true
	if r.Verdict.HasOutcome() {
		req.booking.completed = true
		return
	}
	sim.scheduleRetry(req.booking, r.RetryAfter)
}

// checkNotRun checks a response that reports the request as not run. The check is
// made after requestTimeout, so that it also detects an execution that starts after
// the response.
func (sim *simulation) checkNotRun(req *request) {
	if req.executedBefore {
		sim.notRunAfterExecution++
	}
	sim.After(requestTimeout, func() {
		if req.executed {
			sim.falseNotRun++
		}
	})
}

func (sim *simulation) scheduleRetry(b *booking, after time.Duration) {
	if !sim.retries {
		return
	}
	sim.After(max(after, minRetryDelay), func() {
		if !b.completed && sim.Now.Sub(b.startedAt) < retryPeriod {
			sim.sendRequest(b)
		}
	})
}

// connect opens a connection to a backend server, which is the last blocking
// step before the dispatch.
func (sim *simulation) connect(req *request, serverAttempt int) {
	sim.After(connectDelay, func() {
		sim.runStep(req.vm, func() {
			if req.keyed != nil && !req.keyed.MayDispatch(sim.Now) {
				sim.handleOutcome(req, once.Outcome{Kind: once.NotRun})
				return
			}
			sim.executeAtServer(req, serverAttempt)
		})
	})
}

// executeAtServer simulates a backend server that receives the request: it rejects
// the request, responds to it, or runs it without a response in time.
func (sim *simulation) executeAtServer(req *request, serverAttempt int) {
	draw := 1.0
	if sim.randomFailures {
		draw = sim.rng.Float64()
	}
	if draw < rejectedFraction {
		sim.After(connectDelay, func() { sim.runStep(req.vm, func() { sim.handleRejection(req, serverAttempt) }) })
		return
	}
	req.executed = true
	req.booking.executions++
	response := once.Outcome{Kind: once.ResponseReceived, Status: http.StatusCreated, Body: fmt.Appendf(nil, bodyFormat, req.booking.key, req.booking.executions)}
	if draw >= rejectedFraction+lostResponseFraction {
		sim.After(serviceTime, func() { sim.runStep(req.vm, func() { sim.handleOutcome(req, response) }) })
		return
	}
	sim.After(serviceTime, func() { sim.runStep(req.vm, func() { sim.handleOutcome(req, once.Outcome{Kind: once.Unknown}) }) })
	if draw < rejectedFraction+lostResponseFraction/2 {
		sim.After(serviceTime+lateResponseDelay, func() { sim.runStep(req.vm, func() { sim.handleOutcome(req, response) }) })
	}
}

func (sim *simulation) handleRejection(req *request, serverAttempt int) {
	if sim.retries && serverAttempt < maxServerAttempts {
		sim.connect(req, serverAttempt+1)
		return
	}
	sim.handleOutcome(req, once.Outcome{Kind: once.NotRun, RetryAfter: time.Second})
}

// handleOutcome passes the outcome to the state machine. Without records, the VM responds
// to the caller directly.
func (sim *simulation) handleOutcome(req *request, o once.Outcome) {
	if req.keyed != nil {
		sim.handleStep(req, req.keyed.Dispatched(sim.Now, o))
		return
	}
	verdict := map[once.OutcomeKind]once.Verdict{once.ResponseReceived: once.Fresh, once.NotRun: once.Refused, once.Unknown: once.OutcomeUnknown}[o.Kind]
	sim.respond(req, &once.Response{Verdict: verdict, RetryAfter: o.RetryAfter})
}

// executedTwice returns the number of bookings that ran more than once.
func (sim *simulation) executedTwice() float64 {
	n := 0
	for _, b := range sim.bookings {
		if b.executions > 1 {
			n++
		}
	}
	return float64(n)
}

// completedPercent returns the percentage of bookings whose caller received the
// outcome.
func (sim *simulation) completedPercent() float64 {
	n := 0
	for _, b := range sim.bookings {
		if b.completed {
			n++
		}
	}
	return percent * float64(n) / float64(len(sim.bookings))
}

func (sim *simulation) claimLatencyMS(percentile float64) float64 {
	return float64(sim.claimLatencies.ValueAtQuantile(percentile)) / 1000
}
