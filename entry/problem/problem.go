// Package problem writes the rejections of the caller interface as problem
// details (RFC 9457).
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Names of response headers.
const (
	// HeaderRun tells whether the request was run: NotRun or MayHaveRun.
	HeaderRun = "Cassiawind-Run"
	// HeaderRequestID carries the request id in both directions.
	HeaderRequestID = "X-Request-Id"
)

// Run tells whether a rejected request reached a backend server.
type RunStatus string

// Values of the member "run" and of HeaderRun.
const (
	NotRun     RunStatus = "not run"
	MayHaveRun RunStatus = "may have run"
)

// Code is the stable name of a rejection.
type Code string

// Rejection codes. docs/OPERATIONS.md explains each.
const (
	CodeKeyMissing            Code = "key_missing"
	CodeKeyUnknown            Code = "key_unknown"
	CodeKeyRepeated           Code = "key_repeated"
	CodeNoRoute               Code = "no_route"
	CodePathMalformed         Code = "path_malformed"
	CodeHeaderTooLarge        Code = "header_too_large"
	CodeBodyTooLarge          Code = "body_too_large"
	CodeDeadlineInvalid       Code = "deadline_invalid"
	CodeUpgradeNotSupported   Code = "upgrade_not_supported"
	CodeIdempotencyKeyInvalid Code = "idempotency_key_invalid"
	CodeIdempotencyKeyReused  Code = "idempotency_key_reused"
	CodeRateExceeded          Code = "rate_exceeded"
	CodeRegionsAtCapacity     Code = "regions_at_capacity"
	CodeServiceAtCapacity     Code = "service_at_capacity"
	CodeEntryNotReady         Code = "entry_not_ready"
	CodeEntryStopping         Code = "entry_stopping"
	CodeNoBackendServer       Code = "no_backend_server"
	CodeBackendServerFailed   Code = "backend_server_failed"
	CodeBackendServerRejected Code = "backend_server_rejected"
	CodeDeadlineExceeded      Code = "deadline_exceeded"
	CodeStoreUnavailable      Code = "store_unavailable"
	CodeOutcomeUnknown        Code = "outcome_unknown"
	CodeRequestInProgress     Code = "request_in_progress"
)

// Rejection is a typed refusal of a request. It is an error.
type Rejection struct {
	Code   Code
	Status int
	Run    RunStatus
	Detail string
	// RetryAfter is when the caller should come back; 0 leaves the header out.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Rejection) Error() string { return string(r.Code) + ": " + r.Detail }

// New returns a rejection of a request that was not run.
func New(code Code, status int, detail string) *Rejection {
	return &Rejection{Code: code, Status: status, Run: NotRun, Detail: detail}
}

// After returns a copy that tells the caller when to come back.
func (r *Rejection) WithRetryAfter(d time.Duration) *Rejection {
	c := *r
	c.RetryAfter = d
	return &c
}

// Unknown returns a copy for a request that may have been run.
func (r *Rejection) WithMayHaveRun() *Rejection {
	c := *r
	c.Run = MayHaveRun
	return &c
}

type body struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail,omitempty"`
	Code      Code      `json:"code"`
	Run       RunStatus `json:"run"`
	RequestID string    `json:"request_id,omitempty"`
}

// Write sends the rejection. Retry-After is rounded up to whole seconds.
func Write(w http.ResponseWriter, requestID string, r *Rejection) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRun, string(r.Run))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	// The caller may be gone; there is nobody to tell then.
	_ = json.NewEncoder(w).Encode(body{
		Type:      "urn:cassiawind:problem:" + string(r.Code),
		Title:     http.StatusText(r.Status),
		Status:    r.Status,
		Detail:    r.Detail,
		Code:      r.Code,
		Run:       r.Run,
		RequestID: requestID,
	})
}
