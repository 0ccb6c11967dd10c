package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/entry/hop"
	"github.com/cassiawind/cassiawind/entry/problem"
)

const (
	// maxAttempts bounds the backend servers tried for one request in a round.
	maxAttempts = 3
	// maxShedRounds and shedPause bound the time for which a request that all
	// backend servers shed is tried again.
	maxShedRounds = 8
	shedPause     = 10 * time.Millisecond
	// minHeadTimeout is the least time that an idempotent request waits for an
	// answer to begin before another backend server is tried.
	minHeadTimeout = 250 * time.Millisecond
	// headTimeoutFactor is applied to the usual latency of the backend server.
	headTimeoutFactor = 8
)

// dispatch sends the request to backend servers until one answers. mayDispatch
// is asked immediately before each attempt; nil allows all.
func (h *Handler) dispatch(ctx context.Context, c *call, body *requestBody, mayDispatch func(time.Time) bool) (*answer, *problem.Rejection) {
	d := &dispatcher{h: h, call: c, body: body, header: outgoingHeader(c), mayDispatch: mayDispatch, run: problem.NotRun}
	for round := range maxShedRounds {
		if round > 0 && !pause(ctx, shedPause) {
			break
		}
		ans, again := d.round(ctx)
		if ans != nil {
			return ans, nil
		}
		if !again {
			break
		}
	}
	if body.tooLong() {
		return nil, withRun(tooLarge(), d.run)
	}
	return nil, withRun(dispatchRejection(ctx, d.err), d.run)
}

// pause waits and reports whether the request may go on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// dispatcher makes the attempts of one request.
type dispatcher struct {
	h           *Handler
	call        *call
	body        *requestBody
	header      http.Header
	mayDispatch func(time.Time) bool
	// final tells that the next attempt may take all of the remaining time.
	final bool
	// run tells whether an attempt may have run, err is the last failure.
	run problem.RunStatus
	err error
}

// round tries up to maxAttempts different backend servers. It returns again if
// all of them shed the request: it then keeps its place in the scheduler and
// tries them once more after a pause, since otherwise the backend servers and
// not the accounts' shares would decide which requests are rejected.
func (d *dispatcher) round(ctx context.Context) (ans *answer, again bool) {
	c := d.call
	var tried []string
	for number := range maxAttempts {
		server, err := c.service.Pick(time.Now(), balance.PickInput{Region: c.region, Exclude: tried})
		if err != nil && errors.Is(d.err, ErrResponseTimeout) {
			// All servers are slower than usual: one of them gets the rest of
			// the time.
			d.final, tried = true, nil
			server, err = c.service.Pick(time.Now(), balance.PickInput{Region: c.region})
		}
		if err != nil {
			return nil, errors.Is(d.err, ErrShed)
		}
		d.final = d.final || number == maxAttempts-1
		now := time.Now()
		if !now.Before(c.deadline) || (d.mayDispatch != nil && !d.mayDispatch(now)) {
			c.service.Done(now, server.Name, balance.Outcome{Class: balance.ClassCanceled})
			d.err = context.DeadlineExceeded
			return nil, false
		}
		tried = append(tried, server.Name)
		ans, err := d.try(ctx, server)
		if err == nil {
			return ans, false
		}
		if d.err = err; !d.mayRetry(ctx) {
			return nil, false
		}
	}
	return nil, errors.Is(d.err, ErrShed)
}

// mayRetry decides after a failed attempt.
func (d *dispatcher) mayRetry(ctx context.Context) bool {
	notRun := errors.Is(d.err, ErrConnectFailed) || errors.Is(d.err, ErrShed)
	if !notRun {
		d.run = problem.MayHaveRun
	}
	return ctx.Err() == nil && d.body.replayable() && (notRun || d.call.route.Idempotent)
}

func withRun(r *problem.Rejection, run problem.RunStatus) *problem.Rejection {
	if run == problem.MayHaveRun {
		return r.WithMayHaveRun()
	}
	return r
}

func dispatchRejection(ctx context.Context, err error) *problem.Rejection {
	switch {
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return problem.New(problem.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the deadline passed")
	case err == nil:
		return problem.New(problem.CodeNoBackendServer, http.StatusServiceUnavailable, "no backend server is available").WithRetryAfter(time.Second)
	case errors.Is(err, ErrShed):
		return problem.New(problem.CodeBackendServerRejected, http.StatusServiceUnavailable, "the backend servers are at capacity").WithRetryAfter(time.Second)
	default:
		return problem.New(problem.CodeBackendServerFailed, http.StatusBadGateway, "the backend server failed").WithRetryAfter(time.Second)
	}
}

// try makes one attempt and tells its outcome to the backend server choice.
func (d *dispatcher) try(ctx context.Context, server balance.Server) (*answer, error) {
	c := d.call
	a := &attempt{call: c, body: d.body, server: server, transport: d.h.transports.booking, headTimeout: time.Until(c.deadline)}
	if c.route.Idempotent {
		a.transport = d.h.transports.lookup
		if !d.final {
			a.headTimeout = lookupHeadTimeout(c.service.Latency(server.Name), a.headTimeout, d.body)
		}
	}
	started := time.Now()
	ans, err := a.do(ctx, d.header)
	now := time.Now()
	c.service.Done(now, server.Name, balance.Outcome{Class: outcomeClass(ctx, ans, err), Latency: now.Sub(started)})
	return ans, err
}

// lookupHeadTimeout leaves time for another attempt, unless the body streams
// and can not be sent again.
func lookupHeadTimeout(latency, remaining time.Duration, body *requestBody) time.Duration {
	if !body.isKept {
		return remaining
	}
	usual := max(minHeadTimeout, headTimeoutFactor*latency)
	return min(remaining, usual)
}

func outcomeClass(ctx context.Context, ans *answer, err error) balance.Class {
	switch {
	case err == nil && ans.resp.StatusCode >= http.StatusInternalServerError:
		return balance.ClassError
	case err == nil:
		return balance.ClassOK
	case errors.Is(err, ErrShed):
		return balance.ClassShed
	case errors.Is(err, ErrConnectFailed):
		return balance.ClassConnectFailed
	case errors.Is(ctx.Err(), context.Canceled):
		return balance.ClassCanceled
	case errors.Is(err, ErrResponseTimeout), ctx.Err() != nil:
		return balance.ClassTimeout
	default:
		return balance.ClassError
	}
}

// respond passes the answer to the caller. An answer that breaks while it is
// passed on ends the caller's connection, so that a part never looks whole.
func (h *Handler) respond(c *call, ans *answer) *problem.Rejection {
	header := ans.resp.Header.Clone()
	hop.Remove(header)
	header.Del(problem.HeaderRun)
	copyHeader(c.w.Header(), header)
	c.w.Header().Set(problem.HeaderRequestID, c.id)
	for name := range ans.resp.Trailer {
		c.w.Header().Add("Trailer", name)
	}
	c.w.WriteHeader(ans.resp.StatusCode)
	if ans.isWhole {
		// A write error means that the caller is gone.
		_, _ = c.w.Write(ans.whole)
		return nil
	}
	if err := copyStream(c.w, ans.resp.Body); err != nil {
		h.metrics.Count(1, "answer_broken", c.account.Name)
		panic(http.ErrAbortHandler)
	}
	for name, values := range ans.resp.Trailer {
		c.w.Header()[name] = values
	}
	return nil
}

// copyStream flushes each part, since a stream's reader may wait for it.
func copyStream(w http.ResponseWriter, r io.Reader) error {
	flusher := http.NewResponseController(w)
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := flusher.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
