package load

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiawind/cassiawind/standin/backend"
	"github.com/cassiawind/cassiawind/standin/headers"
)

const maxResponseBytes = 1 << 20

type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return http.StatusText(e.status) }

// outcome is the result of one attempt.
type outcome int

const (
	// answered means that the complete response to the request arrived with status
	// 200.
	answered outcome = iota
	// rejected means that a complete response with another status than 200 arrived.
	rejected
	// notSent means that no part of the request was sent.
	notSent
	// connBroken means that the connection broke after a part of the request was
	// sent.
	connBroken
	// timedOut means that no complete response arrived within the timeout.
	timedOut
	// mismatched means that the response belongs to another request.
	mismatched
)

// attemptResult is the result of one attempt. The code, the execution status and
// the retry delay are those of a rejection.
type attemptResult struct {
	outcome outcome
	entry   string
	sent    time.Time
	ended   time.Time
	code    string
	// executionStatus states whether the request was run: headers.NotRun or
	// headers.MayHaveRun.
	executionStatus string
	retryAfter      time.Duration
	// brokenConns is the number of connections that broke after a part of the
	// request was sent, including those of retries by the transport.
	brokenConns int
}

// requestSpec describes one request. Only bookings have a booking id.
type requestSpec struct {
	target  string
	booking string
}

// problem holds the fields of a rejection's body that callers use.
type problem struct {
	Code string `json:"code"`
	Run  string `json:"run"`
}

// attempt sends a request once to one entry VM.
func (c *client) attempt(ctx context.Context, entry string, spec requestSpec) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.timeout())
	defer cancel()
	tracker := &connTracker{}
	r := attemptResult{entry: entry, sent: time.Now()}
	req, err := c.httpRequest(tracker.context(ctx), entry, spec)
	if err != nil {
		r.outcome = notSent
		return r
	}
	resp, body, err := c.roundTrip(req)
	r.ended = time.Now()
	if err != nil {
		sent := tracker.fail()
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			r.outcome = timedOut
			r.brokenConns = max(0, tracker.brokenConns()-1) // the timeout closed the last one
		case sent:
			r.outcome, r.brokenConns = connBroken, tracker.brokenConns()
		default:
			r.outcome = notSent
		}
		return r
	}
	r.brokenConns = tracker.brokenConns()
	c.classify(&r, spec, resp, body)
	return r
}

func (c *client) httpRequest(ctx context.Context, entry string, spec requestSpec) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if spec.booking != "" {
		content, err := json.Marshal(backend.BookingBody{Booking: spec.booking})
		if err != nil {
			return nil, err
		}
		method, body = http.MethodPost, strings.NewReader(string(content))
	}
	req, err := http.NewRequestWithContext(ctx, method, schemePrefix+entry+spec.target, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headers.Authorization, headers.BearerPrefix+c.clientConfig.Key)
	req.Header.Set(headers.TimeoutMS, strconv.Itoa(c.cfg.TimeoutMS))
	if spec.booking != "" {
		req.Header.Set(headers.ContentType, headers.TypeJSON)
		req.Header.Set(headers.IdempotencyKey, spec.booking)
		// Without GetBody the transport does not retry the booking on its own.
		req.GetBody = nil
	}
	return req, nil
}

func (c *client) roundTrip(req *http.Request) (*http.Response, []byte, error) {
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp, body, err
}

// classify sets the outcome of an attempt from its complete response.
func (c *client) classify(r *attemptResult, spec requestSpec, resp *http.Response, body []byte) {
	if resp.StatusCode == http.StatusOK {
		var echo backend.Echo
		r.outcome = answered
		if json.Unmarshal(body, &echo) != nil || echo.Target != spec.target ||
			echo.Booking != spec.booking || echo.Account != c.clientConfig.Account {
			r.outcome = mismatched
		}
		return
	}
	r.outcome = rejected
	r.executionStatus = resp.Header.Get(headers.Run)
	r.code = strconv.Itoa(resp.StatusCode)
	if seconds, err := strconv.Atoi(resp.Header.Get(headers.RetryAfter)); err == nil {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
	var p problem
	if json.Unmarshal(body, &p) == nil && p.Code != "" {
		r.code = p.Code
	}
}
