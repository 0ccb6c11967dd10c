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

const maxAnswerBytes = 1 << 20

type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return http.StatusText(e.status) }

// outcome is the result of one attempt.
type outcome int

const (
	answered outcome = iota
	// refused is a complete rejection.
	refused
	// notSent means that no part of the request left the caller.
	notSent
	// broken means that the connection broke after a part was sent.
	broken
	timedOut
	// wrong means that the answer belongs to another request.
	wrong
)

// result is one attempt with what the entry VM told.
type result struct {
	outcome    outcome
	entry      string
	sent       time.Time
	ended      time.Time
	code       string
	run        string
	retryAfter time.Duration
	// cuts is the number of connections that broke after a part of the
	// request was sent, including those of repeats inside the transport.
	cuts int
}

// request is one request of a caller. A booking has a booking id.
type request struct {
	target  string
	booking string
}

// problem is the part of a rejection's body that callers use.
type problem struct {
	Code string `json:"code"`
	Run  string `json:"run"`
}

// attempt sends a request once to one entry VM.
func (c *client) attempt(ctx context.Context, entry string, q request) result {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.timeout())
	defer cancel()
	use := &connUse{}
	r := result{entry: entry, sent: time.Now()}
	req, err := c.httpRequest(use.context(ctx), entry, q)
	if err != nil {
		r.outcome = notSent
		return r
	}
	resp, body, err := c.roundTrip(req)
	r.ended = time.Now()
	if err != nil {
		sent := use.failed()
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			r.outcome = timedOut
			r.cuts = max(0, use.cuts()-1) // the caller ended the last one itself
		case sent:
			r.outcome, r.cuts = broken, use.cuts()
		default:
			r.outcome = notSent
		}
		return r
	}
	r.cuts = use.cuts()
	c.judge(&r, q, resp, body)
	return r
}

func (c *client) httpRequest(ctx context.Context, entry string, q request) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if q.booking != "" {
		content, err := json.Marshal(backend.BookingBody{Booking: q.booking})
		if err != nil {
			return nil, err
		}
		method, body = http.MethodPost, strings.NewReader(string(content))
	}
	req, err := http.NewRequestWithContext(ctx, method, schemePrefix+entry+q.target, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headers.Authorization, headers.BearerPrefix+c.client.Key)
	req.Header.Set(headers.TimeoutMS, strconv.Itoa(c.cfg.TimeoutMS))
	if q.booking != "" {
		req.Header.Set(headers.ContentType, headers.TypeJSON)
		req.Header.Set(headers.IdempotencyKey, q.booking)
		// Without GetBody the transport does not repeat a booking by itself.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp, body, err
}

// judge reads a complete answer.
func (c *client) judge(r *result, q request, resp *http.Response, body []byte) {
	if resp.StatusCode == http.StatusOK {
		var echo backend.Echo
		r.outcome = answered
		if json.Unmarshal(body, &echo) != nil || echo.Target != q.target ||
			echo.Booking != q.booking || echo.Account != c.client.Account {
			r.outcome = wrong
		}
		return
	}
	r.outcome = refused
	r.run = resp.Header.Get(headers.Run)
	r.code = strconv.Itoa(resp.StatusCode)
	if seconds, err := strconv.Atoi(resp.Header.Get(headers.RetryAfter)); err == nil {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
	var p problem
	if json.Unmarshal(body, &p) == nil && p.Code != "" {
		r.code = p.Code
	}
}
