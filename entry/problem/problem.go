// Package problem writes rejections to callers as problem details (RFC 9457).
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
	// HeaderRun tells whether the request was run. Its value is NotRun or
	// MayHaveRun.
	HeaderRun = "Cassiawind-Run"
	// HeaderRequestID carries the request id in requests and responses.
	HeaderRequestID = "X-Request-Id"
)

// RunStatus tells whether a backend server may have run a rejected request.
type RunStatus string

// Values of the JSON key "run" and of HeaderRun.
const (
	NotRun     RunStatus = "not run"
	MayHaveRun RunStatus = "may have run"
)

// Code is the stable name of the reason for a rejection.
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

// Rejection is an error that rejects a request with a code.
type Rejection struct {
	Code   Code
	Status int
	Run    RunStatus
	Detail string
	// RetryAfter is the time after which the caller may retry. With 0, the
	// header is omitted.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Rejection) Error() string { return string(r.Code) + ": " + r.Detail }

// New returns a rejection of a request that was not run.
func New(code Code, status int, detail string) *Rejection {
	return &Rejection{Code: code, Status: status, Run: NotRun, Detail: detail}
}

// WithRetryAfter returns a copy that tells the caller when to retry.
func (r *Rejection) WithRetryAfter(d time.Duration) *Rejection {
	c := *r
	c.RetryAfter = d
	return &c
}

// WithMayHaveRun returns a copy for a request that may have been run.
func (r *Rejection) WithMayHaveRun() *Rejection {
	c := *r
	c.Run = MayHaveRun
	return &c
}

type document struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail,omitempty"`
	Code      Code      `json:"code"`
	Run       RunStatus `json:"run"`
	RequestID string    `json:"request_id,omitempty"`
}

// Write sends the rejection. It rounds Retry-After up to whole seconds.
func Write(w http.ResponseWriter, requestID string, r *Rejection) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRun, string(r.Run))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(document{
		Type:      "urn:cassiawind:problem:" + string(r.Code),
		Title:     http.StatusText(r.Status),
		Status:    r.Status,
		Detail:    r.Detail,
		Code:      r.Code,
		Run:       r.Run,
		RequestID: requestID,
	})
}
