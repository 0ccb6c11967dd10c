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

// PathHealth is the path of the load report.
const PathHealth = "/health"

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 1 << 20

// Health states.
const (
	stateServing = "serving"
	stateLeaving = "leaving"
	stateCold    = "cold"
)

// Health is the load report.
type Health struct {
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
}

// BookingBody is the part of a request body that names a booking.
type BookingBody struct {
	Booking string `json:"booking"`
}

// Echo is the answer to a request. It repeats what the caller sent, so that a
// crossed answer is recognised.
type Echo struct {
	Server    string `json:"server"`
	Account   string `json:"account"`
	Target    string `json:"target"`
	Booking   string `json:"booking,omitempty"`
	RequestID string `json:"request_id"`
}

// Reasons of a refusal.
const (
	reasonFull    = "slots full"
	reasonLeaving = "leaving"
	reasonExpired = "deadline passed"
)

type refusal struct {
	Reason string `json:"reason"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The body is read first: the server notices that the caller has closed
	// the stream only after the body.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.silent(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == PathHealth {
		answer(w, http.StatusOK, s.health(time.Now()))
		return
	}
	s.handle(w, r, body)
}

func (s *Server) silent(r *http.Request) bool {
	number, _ := r.Context().Value(connectionKey{}).(uint64)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Mode == Unresponsive || number <= s.silencedUpTo && s.silencedUpTo > 0
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
		echo.Booking = bookingID(r, body)
	}
	w.Header().Set(headers.RequestID, echo.RequestID)
	duration, reason := s.start(time.Now(), r, echo)
	if reason != "" {
		w.Header().Set(headers.Run, headers.NotRun)
		answer(w, http.StatusServiceUnavailable, refusal{Reason: reason})
		return
	}
	completed := wait(r.Context(), duration)
	s.end(completed)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, echo)
}

// bookingID takes the id from the body, which entry VMs pass on unchanged, and
// from the headers only if the body names none.
func bookingID(r *http.Request, body []byte) string {
	var b BookingBody
	if json.Unmarshal(body, &b) == nil && b.Booking != "" {
		return b.Booking
	}
	if key := r.Header.Get(headers.IdempotencyKey); key != "" {
		return key
	}
	return r.Header.Get(headers.RequestID)
}

// start takes a slot and records a booking as run, or returns the reason why
// the request does not run.
func (s *Server) start(now time.Time, r *http.Request, echo Echo) (time.Duration, string) {
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
		return 0, reasonFull
	}
	s.status.InFlight++
	s.status.Run++
	if echo.Booking != "" {
		s.runs.add(echo.Account + accountSeparator + echo.Booking)
	}
	return s.serviceTime(now), ""
}

const accountSeparator = "/"

func (s *Server) end(completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.InFlight--
	if !completed {
		s.status.Cancelled++
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set(headers.ContentType, headers.TypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
