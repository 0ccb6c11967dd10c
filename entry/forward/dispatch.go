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
	// maxAttemptsPerRound bounds the number of backend servers that one round
	// tries.
	maxAttemptsPerRound = 3
	// maxShedRounds and shedBackoff bound the time for which a request is
	// retried while all backend servers shed it.
	maxShedRounds = 8
	shedBackoff   = 10 * time.Millisecond
	// minResponseTimeout is the shortest time that an idempotent request waits
	// for response headers before another backend server is tried.
	minResponseTimeout = 250 * time.Millisecond
	// responseTimeoutFactor is multiplied with the average latency of the
	// backend server to get the response timeout.
	responseTimeoutFactor = 8
)

// dispatch sends the request to backend servers until one responds or no further
// attempt is allowed. It calls mayDispatch immediately before each attempt; nil
// permits every attempt.
func (h *Handler) dispatch(ctx context.Context, c *call, body *requestBody, mayDispatch func(time.Time) bool) (*response, *problem.Rejection) {
	d := &dispatcher{handler: h, call: c, body: body, header: outgoingHeader(c), mayDispatch: mayDispatch, runStatus: problem.NotRun}
	for round := range maxShedRounds {
		if round > 0 && !sleep(ctx, shedBackoff) {
			break
		}
		resp, retry := d.tryRound(ctx)
		if resp != nil {
			return resp, nil
		}
		if !retry {
			break
		}
	}
	if body.limitExceeded() {
		return nil, withRunStatus(bodyTooLarge(), d.runStatus)
	}
	return nil, withRunStatus(rejectionFor(ctx, d.lastErr), d.runStatus)
}

// sleep waits for d and reports whether the request is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// dispatcher makes the attempts of one request.
type dispatcher struct {
	handler     *Handler
	call        *call
	body        *requestBody
	header      http.Header
	mayDispatch func(time.Time) bool
	// useRemainingTime lets the next attempt use all the time that is left
	// until the deadline.
	useRemainingTime bool
	// runStatus tells whether an earlier attempt may have run the request.
	// lastErr is the error of the latest attempt.
	runStatus problem.RunStatus
	lastErr   error
}

// tryRound tries up to maxAttemptsPerRound backend servers. It sets retry if
// the last attempt was shed and no other backend server can be tried in this
// round. The request then keeps its slot in the scheduler and is retried after a
// backoff. Otherwise the backend servers, and not the shares of the accounts,
// would decide which requests are rejected.
func (d *dispatcher) tryRound(ctx context.Context) (resp *response, retry bool) {
	c := d.call
	var tried []string
	for number := range maxAttemptsPerRound {
		server, err := c.service.Pick(time.Now(), balance.PickInput{Region: c.region, Exclude: tried})
		if err != nil && errors.Is(d.lastErr, ErrResponseTimeout) {
			// All servers are slower than usual, so one of them gets the rest
			// of the time.
			d.useRemainingTime, tried = true, nil
			server, err = c.service.Pick(time.Now(), balance.PickInput{Region: c.region})
		}
		if err != nil {
			return nil, errors.Is(d.lastErr, ErrShed)
		}
		d.useRemainingTime = d.useRemainingTime || number == maxAttemptsPerRound-1
		now := time.Now()
		if !now.Before(c.deadline) || (d.mayDispatch != nil && !d.mayDispatch(now)) {
			c.service.Done(now, server.Name, balance.Outcome{Class: balance.ClassCanceled})
			d.lastErr = context.DeadlineExceeded
			return nil, false
		}
		tried = append(tried, server.Name)
		resp, err := d.sendTo(ctx, server)
		if err == nil {
			return resp, false
		}
		if d.lastErr = err; !d.mayRetry(ctx) {
			return nil, false
		}
	}
	return nil, errors.Is(d.lastErr, ErrShed)
}

// mayRetry decides whether another attempt may follow a failed one.
func (d *dispatcher) mayRetry(ctx context.Context) bool {
	notRun := errors.Is(d.lastErr, ErrConnectFailed) || errors.Is(d.lastErr, ErrShed)
	if !notRun {
		d.runStatus = problem.MayHaveRun
	}
	return ctx.Err() == nil && d.body.replayable() && (notRun || d.call.route.Idempotent)
}

func withRunStatus(r *problem.Rejection, run problem.RunStatus) *problem.Rejection {
	if run == problem.MayHaveRun {
		return r.WithMayHaveRun()
	}
	return r
}

func rejectionFor(ctx context.Context, err error) *problem.Rejection {
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

// sendTo makes one attempt and reports its outcome to the balancer.
func (d *dispatcher) sendTo(ctx context.Context, server balance.Server) (*response, error) {
	c := d.call
	a := &attempt{call: c, body: d.body, server: server, transport: d.handler.transports.booking, responseTimeout: time.Until(c.deadline)}
	if c.route.Idempotent {
		a.transport = d.handler.transports.lookup
		if !d.useRemainingTime {
			a.responseTimeout = lookupResponseTimeout(c.service.Latency(server.Name), a.responseTimeout, d.body)
		}
	}
	started := time.Now()
	resp, err := a.send(ctx, d.header)
	now := time.Now()
	c.service.Done(now, server.Name, balance.Outcome{Class: outcomeClass(ctx, resp, err), Latency: now.Sub(started)})
	return resp, err
}

// lookupResponseTimeout leaves time for another attempt, unless the body is
// streamed and cannot be sent again.
func lookupResponseTimeout(latency, remaining time.Duration, body *requestBody) time.Duration {
	if !body.isBuffered {
		return remaining
	}
	expected := max(minResponseTimeout, responseTimeoutFactor*latency)
	return min(remaining, expected)
}

func outcomeClass(ctx context.Context, resp *response, err error) balance.Class {
	switch {
	case err == nil && resp.httpResp.StatusCode >= http.StatusInternalServerError:
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

// writeResponse forwards the response to the caller. If the response breaks off
// while it is being forwarded, the caller's connection is aborted, so that a
// truncated response never looks complete.
func (h *Handler) writeResponse(c *call, resp *response) *problem.Rejection {
	header := resp.httpResp.Header.Clone()
	hop.Remove(header)
	header.Del(problem.HeaderRun)
	copyHeader(c.w.Header(), header)
	c.w.Header().Set(problem.HeaderRequestID, c.id)
	for name := range resp.httpResp.Trailer {
		c.w.Header().Add("Trailer", name)
	}
	c.w.WriteHeader(resp.httpResp.StatusCode)
	if resp.isBuffered {
		// A write error means that the caller has disconnected.
		_, _ = c.w.Write(resp.body)
		return nil
	}
	if err := copyAndFlush(c.w, resp.httpResp.Body); err != nil {
		h.metrics.Count(1, "answer_broken", c.account.Name)
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.httpResp.Trailer {
		c.w.Header()[name] = values
	}
	return nil
}

// copyAndFlush copies a stream and flushes after each read, because the caller
// may be waiting for that part.
func copyAndFlush(w http.ResponseWriter, r io.Reader) error {
	flusher := http.NewResponseController(w)
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return writeErr
			}
			if flushErr := flusher.Flush(); flushErr != nil {
				return flushErr
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
