package forward

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cassiawind/cassiawind/core/once"
	"github.com/cassiawind/cassiawind/entry/bodies"
	"github.com/cassiawind/cassiawind/entry/hop"
	"github.com/cassiawind/cassiawind/entry/problem"
)

const (
	// maxStoredResponseBytes bounds the response to a booking with an
	// Idempotency-Key, which is read completely before it is forwarded and
	// stored.
	maxStoredResponseBytes = 8 << 20
	// maxStoredMemoryBytes bounds such responses of more than maxBufferedResponseBytes in the process.
	maxStoredMemoryBytes = 64 << 20
	// headerReplayed marks a response that was stored by an earlier request
	// with the same Idempotency-Key.
	headerReplayed = "Cassiawind-Replayed"
)

// runKeyedBooking runs a booking at most once for its Idempotency-Key.
func (h *Handler) runKeyedBooking(ctx context.Context, c *call) *problem.Rejection {
	if c.r.ContentLength < 0 {
		return problem.New(problem.CodeBodyTooLarge, http.StatusLengthRequired, "a booking with an Idempotency-Key needs a Content-Length")
	}
	body, rej := newRequestBody(c, true, min(maxBookingBodyBytes, h.config.MaxBodyBytes), &h.bodyBudget)
	if rej != nil {
		return rej
	}
	defer body.close()
	if !body.isBuffered {
		return problem.New(problem.CodeServiceAtCapacity, http.StatusServiceUnavailable, "no memory for the request body").WithRetryAfter(time.Second)
	}
	digest := sha256.Sum256(body.buffered)
	fingerprint := once.Fingerprint(c.r.Method, c.r.URL.RequestURI(), digest[:])
	var rejection *problem.Rejection
	memory := &sharedReservation{reservation: h.storedMemory.Reserve("")}
	// The response is in use here and until it is stored.
	memory.users.Store(2)
	defer memory.release()
	request := h.bookings.startRequest(c, fingerprint, func(mayDispatch func(time.Time) bool) once.Outcome {
		var outcome once.Outcome
		outcome, rejection = h.dispatchBooking(c, body, memory.reservation, mayDispatch)
		return outcome
	}, memory.release)
	return h.writeBookingResponse(c, request.awaitResponse(ctx), &rejection)
}

// sharedReservation is a reservation with several users.
type sharedReservation struct {
	reservation *bodies.Reservation
	users       atomic.Int32
}

// release ends one use.
func (s *sharedReservation) release() {
	if s.users.Add(-1) == 0 {
		s.reservation.Release()
	}
}

// dispatchBooking sends the booking. It continues after the caller disconnects,
// so that a later request with the same key gets the outcome.
func (h *Handler) dispatchBooking(c *call, body *requestBody, memory *bodies.Reservation, mayDispatch func(time.Time) bool) (once.Outcome, *problem.Rejection) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.r.Context()), c.deadline)
	defer cancel()
	resp, rej := h.dispatch(ctx, c, body, mayDispatch)
	if rej != nil {
		kind := once.Unknown
		if rej.Run == problem.NotRun {
			kind = once.NotRun
		}
		return once.Outcome{Kind: kind, RetryAfter: rej.RetryAfter}, rej
	}
	defer resp.close()
	content := resp.body
	if !resp.isBuffered {
		var err error
		content, err = bodies.Read(resp.httpResp.Body, resp.httpResp.ContentLength, maxStoredResponseBytes, memory)
		if err != nil {
			h.log.Info("response to a booking was not received whole", "id", c.id, "error", err.Error())
			return once.Outcome{Kind: once.Unknown}, nil
		}
	}
	header := resp.httpResp.Header.Clone()
	hop.Remove(header)
	return once.Outcome{Kind: once.ResponseReceived, Status: resp.httpResp.StatusCode, Header: header, Body: content}, nil
}

func (h *Handler) writeBookingResponse(c *call, r *once.Response, rejection **problem.Rejection) *problem.Rejection {
	switch r.Verdict {
	case once.Fresh, once.Stored:
		writeBookingOutcome(c, r)
		return nil
	case once.Refused:
		if rej := *rejection; rej != nil {
			return rej
		}
	}
	return bookingRejection(r)
}

func writeBookingOutcome(c *call, r *once.Response) {
	header := c.w.Header()
	copyHeader(header, r.Header)
	header.Set(problem.HeaderRequestID, c.id)
	header.Del(problem.HeaderRun)
	if r.Verdict == once.Stored {
		header.Set(headerReplayed, "true")
	}
	c.w.WriteHeader(r.Status)
	// A write error means that the caller has disconnected. The outcome is
	// stored.
	_, _ = c.w.Write(r.Body)
}

func bookingRejection(r *once.Response) *problem.Rejection {
	var rej *problem.Rejection
	switch r.Verdict {
	case once.OutcomeLost:
		rej = problem.New(problem.CodeOutcomeUnknown, http.StatusServiceUnavailable, "an earlier request with this Idempotency-Key ran; its outcome can not be read now")
	case once.InProgress:
		rej = problem.New(problem.CodeRequestInProgress, http.StatusConflict, "an earlier request with this Idempotency-Key has no outcome yet")
	case once.OutcomeUnknown:
		rej = problem.New(problem.CodeOutcomeUnknown, http.StatusGatewayTimeout, "the backend server gave no answer")
	case once.KeyReused:
		rej = problem.New(problem.CodeIdempotencyKeyReused, http.StatusUnprocessableEntity, "the Idempotency-Key was used for another request")
	case once.StoreUnavailable:
		rej = problem.New(problem.CodeStoreUnavailable, http.StatusServiceUnavailable, "the at-most-once record can not be read or written now; repeat with the same Idempotency-Key")
	case once.DeadlinePassed:
		rej = problem.New(problem.CodeDeadlineExceeded, http.StatusGatewayTimeout, "the deadline passed before the request was sent")
	default:
		rej = problem.New(problem.CodeBackendServerRejected, http.StatusServiceUnavailable, "no backend server ran the request")
	}
	if r.Verdict.MayHaveRun() {
		rej = rej.WithMayHaveRun()
	}
	return rej.WithRetryAfter(r.RetryAfter)
}
