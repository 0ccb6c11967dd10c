package forward

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/cassiawind/cassiawind/core/once"
	"github.com/cassiawind/cassiawind/entry/hop"
	"github.com/cassiawind/cassiawind/entry/problem"
)

const (
	// maxStoredBytes bounds the answer of a booking with an Idempotency-Key,
	// which is read whole before it is passed on and stored.
	maxStoredBytes = 8 << 20
	// headerReplayed marks an answer that an earlier attempt with the same
	// Idempotency-Key got.
	headerReplayed = "Cassiawind-Replayed"
)

// runKeyedBooking runs a booking at most once for its Idempotency-Key.
func (h *Handler) runKeyedBooking(ctx context.Context, c *call) *problem.Rejection {
	if c.r.ContentLength < 0 {
		return problem.New(problem.CodeBodyTooLarge, http.StatusLengthRequired, "a booking with an Idempotency-Key needs a Content-Length")
	}
	body, rej := newRequestBody(c, true, min(maxBookingBytes, h.config.MaxBodyBytes), &h.replay)
	if rej != nil {
		return rej
	}
	defer body.close()
	if !body.isKept {
		return problem.New(problem.CodeServiceAtCapacity, http.StatusServiceUnavailable, "no memory for the request body").WithRetryAfter(time.Second)
	}
	digest := sha256.Sum256(body.kept)
	fingerprint := once.Fingerprint(c.r.Method, c.r.URL.RequestURI(), digest[:])
	var dispatched *problem.Rejection
	attempt := h.bookings.start(c, fingerprint, func(mayDispatch func(time.Time) bool) once.Outcome {
		var outcome once.Outcome
		outcome, dispatched = h.dispatchBooking(c, body, mayDispatch)
		return outcome
	})
	return h.respondBooking(c, attempt.wait(ctx), &dispatched)
}

// dispatchBooking sends the booking. It goes on when the caller goes away, so
// that a repeated request gets the outcome.
func (h *Handler) dispatchBooking(c *call, body *requestBody, mayDispatch func(time.Time) bool) (once.Outcome, *problem.Rejection) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	defer cancel()
	ans, rej := h.dispatch(ctx, c, body, mayDispatch)
	if rej != nil {
		kind := once.Unknown
		if rej.Run == problem.NotRun {
			kind = once.NotRun
		}
		return once.Outcome{Kind: kind, RetryAfter: rej.RetryAfter}, rej
	}
	defer ans.close()
	content := ans.whole
	if !ans.isWhole {
		var err error
		content, err = io.ReadAll(io.LimitReader(ans.resp.Body, maxStoredBytes+1))
		if err != nil || len(content) > maxStoredBytes {
			return once.Outcome{Kind: once.Unknown}, nil
		}
	}
	header := ans.resp.Header.Clone()
	hop.Remove(header)
	return once.Outcome{Kind: once.Answered, Status: ans.resp.StatusCode, Header: header, Body: content}, nil
}

func (h *Handler) respondBooking(c *call, r *once.Response, dispatched **problem.Rejection) *problem.Rejection {
	switch r.Verdict {
	case once.Fresh, once.Stored:
		writeOutcome(c, r)
		return nil
	case once.Refused:
		if rej := *dispatched; rej != nil {
			return rej
		}
	}
	return bookingRejection(r)
}

func writeOutcome(c *call, r *once.Response) {
	header := c.w.Header()
	copyHeader(header, r.Header)
	header.Set(problem.HeaderRequestID, c.id)
	header.Del(problem.HeaderRun)
	if r.Verdict == once.Stored {
		header.Set(headerReplayed, "true")
	}
	c.w.WriteHeader(r.Status)
	// A write error means that the caller is gone; the outcome is stored.
	_, _ = c.w.Write(r.Body)
}

func bookingRejection(r *once.Response) *problem.Rejection {
	var rej *problem.Rejection
	switch r.Verdict {
	case once.OutcomeLost:
		rej = problem.New(problem.CodeOutcomeUnknown, http.StatusServiceUnavailable, "an earlier request with this Idempotency-Key ran; its outcome can not be read now")
	case once.InProgress:
		rej = problem.New(problem.CodeRequestInProgress, http.StatusConflict, "an earlier request with this Idempotency-Key has no outcome yet")
	case once.Unanswered:
		rej = problem.New(problem.CodeOutcomeUnknown, http.StatusGatewayTimeout, "the backend server gave no answer")
	case once.KeyReused:
		rej = problem.New(problem.CodeIdempotencyKeyReused, http.StatusUnprocessableEntity, "the Idempotency-Key was used for another request")
	case once.StoreUnavailable:
		rej = problem.New(problem.CodeStoreUnavailable, http.StatusServiceUnavailable, "the at-most-once record can not be read or written now; repeat with the same Idempotency-Key")
	case once.TooLate:
		rej = problem.New(problem.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the deadline passed before the request was sent")
	default:
		rej = problem.New(problem.CodeBackendServerRejected, http.StatusServiceUnavailable, "no backend server ran the request")
	}
	if r.Verdict.MayHaveRun() {
		rej = rej.WithMayHaveRun()
	}
	return rej.WithRetryAfter(r.RetryAfter)
}
