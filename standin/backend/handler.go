package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cassiawind/cassiawind/standin/headers"
)

// PathHealth is the path at which a server returns its Health.
const PathHealth = "/health"

// maxBodyBytes bounds the body of a request to a server or to the control endpoint.
const maxBodyBytes = 1 << 20

// Values of Health.State.
const (
	stateServing = "serving"
	stateLeaving = "leaving"
	stateCold    = "cold"
)

// Health is the load report of a server.
type Health struct {
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
}

// BookingBody is the part of a request body that contains the booking id.
type BookingBody struct {
	Booking string `json:"booking"`
}

// Echo is the body of the response to a request. It contains what the caller sent,
// so that the caller can detect a response that belongs to another request.
type Echo struct {
	Server    string `json:"server"`
	Account   string `json:"account"`
	Target    string `json:"target"`
	Booking   string `json:"booking,omitempty"`
	RequestID string `json:"request_id"`
}

// Reasons of a rejection.
const (
	reasonSlotsFull = "slots full"
	reasonLeaving   = "leaving"
	reasonExpired   = "deadline passed"
)

// rejection is the body of the response to a request that was not run.
type rejection struct {
	Reason string `json:"reason"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The body is read first, because the HTTP server detects that the client has
	// closed the connection only after the body was read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.unresponsive(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == PathHealth {
		writeJSON(w, http.StatusOK, s.health(time.Now()))
		return
	}
	s.handle(w, r, body)
}

// unresponsive reports whether the request gets no response.
func (s *Server) unresponsive(r *http.Request) bool {
	connection, _ := r.Context().Value(connectionKey{}).(uint64)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Mode == Unresponsive || connection <= s.blackholedUpTo && s.blackholedUpTo > 0
}

func (s *Server) health(now time.Time) Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := Health{State: stateServing, Slots: s.cfg.Slots, InFlight: s.status.InFlight}
	switch {
	case s.status.Leaving:
		h.State = stateLeaving
	case s.status.Mode == Misreporting:
		h.InFlight = 0
	case s.cold(now):
		h.State = stateCold
	}
	return h
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request, body []byte) {
	echo := Echo{Server: s.cfg.Name, Account: r.Header.Get(headers.Account),
		Target: r.URL.RequestURI(), RequestID: r.Header.Get(headers.RequestID)}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		echo.Booking = bookingIDOf(r, body)
	}
	w.Header().Set(headers.RequestID, echo.RequestID)
	duration, reason := s.admit(time.Now(), r, echo)
	if reason != "" {
		w.Header().Set(headers.Run, headers.NotRun)
		writeJSON(w, http.StatusServiceUnavailable, rejection{Reason: reason})
		return
	}
	completed := sleep(r.Context(), duration)
	s.finish(completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, echo)
}

// bookingIDOf returns the booking id of a request. It prefers the id in the body,
// which entry VMs forward unchanged, to those in the headers.
func bookingIDOf(r *http.Request, body []byte) string {
	var fields BookingBody
	if json.Unmarshal(body, &fields) == nil && fields.Booking != "" {
		return fields.Booking
	}
	if key := r.Header.Get(headers.IdempotencyKey); key != "" {
		return key
	}
	return r.Header.Get(headers.RequestID)
}

// admit takes a slot, records a booking as run and returns the service time, or
// returns the reason why the request is rejected.
func (s *Server) admit(now time.Time, r *http.Request, echo Echo) (time.Duration, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Arrived++
	s.status.LastArrivalUnixMS = now.UnixMilli()
	if r.Header.Get(headers.Authorization) != "" {
		s.status.WithAuthorization++
	}
	deadline, err := strconv.ParseInt(r.Header.Get(headers.Deadline), 10, 64)
	switch {
	case err != nil:
		s.status.NoDeadline++
	case now.UnixMilli() >= deadline:
		s.status.Expired++
		return 0, reasonExpired
	}
	if s.status.Leaving {
		s.status.Shed++
		return 0, reasonLeaving
	}
	if s.status.InFlight >= s.cfg.Slots {
		s.status.Shed++
		return 0, reasonSlotsFull
	}
	s.status.InFlight++
	s.status.Run++
	if echo.Booking != "" {
		s.bookings.add(echo.Account + accountSeparator + echo.Booking)
	}
	return s.serviceTime(now), ""
}

// accountSeparator separates the client account from the id in the name of a
// booking.
const accountSeparator = "/"

// finish frees the slot of a request; completed is false if the caller cancelled it.
func (s *Server) finish(completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.InFlight--
	if !completed {
		s.status.Cancelled++
	}
}

// sleep waits for d and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set(headers.ContentType, headers.TypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
