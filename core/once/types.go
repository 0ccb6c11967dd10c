package once

import (
	"time"

	"github.com/cassiawind/cassiawind/core/tableop"
)

// Config holds the timeouts and bounds of requests. A field with the zero value
// has its default.
type Config struct {
	// DispatchWindow is the time from the start of a request to its dispatch
	// deadline; default 2 s. A shorter deadline of the caller takes precedence.
	DispatchWindow time.Duration
	// OutcomePollInterval is the time between reads of the row of another
	// request's claim in order to find its outcome. OutcomeTimeout bounds these
	// reads. Defaults 100 ms and 500 ms.
	OutcomePollInterval, OutcomeTimeout time.Duration
	// ReadBackoff is the wait before a failed read of the row is retried; default
	// 50 ms.
	ReadBackoff time.Duration
	// MaxSettleBackoff is the longest wait before a failed write of an outcome or
	// release is retried. SettleTimeout is the time after which the write is
	// given up. Defaults 5 s and 10 min.
	MaxSettleBackoff, SettleTimeout time.Duration
	// RetryAfter is sent with responses that say that the request may have run.
	// LateRetryAfter is sent instead if the outcome is not expected soon or the
	// store is down. Defaults 1 s and 10 s.
	RetryAfter, LateRetryAfter time.Duration
	// InlineBodyBytes is the size of the largest body stored in the row; default
	// 8 KiB.
	InlineBodyBytes int
}

// Defaults of Config.
const (
	defaultDispatchWindow      = 2 * time.Second
	defaultOutcomePollInterval = 100 * time.Millisecond
	defaultOutcomeTimeout      = 500 * time.Millisecond
	defaultReadBackoff         = 50 * time.Millisecond
	defaultMaxSettleBackoff    = 5 * time.Second
	defaultSettleTimeout       = 10 * time.Minute
	defaultRetryAfter          = time.Second
	defaultLateRetryAfter      = 10 * time.Second
	defaultInlineBodyBytes     = 8 << 10
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.DispatchWindow, defaultDispatchWindow)
	set(&c.OutcomePollInterval, defaultOutcomePollInterval)
	set(&c.OutcomeTimeout, defaultOutcomeTimeout)
	set(&c.ReadBackoff, defaultReadBackoff)
	set(&c.MaxSettleBackoff, defaultMaxSettleBackoff)
	set(&c.SettleTimeout, defaultSettleTimeout)
	set(&c.RetryAfter, defaultRetryAfter)
	set(&c.LateRetryAfter, defaultLateRetryAfter)
	if c.InlineBodyBytes == 0 {
		c.InlineBodyBytes = defaultInlineBodyBytes
	}
	return c
}

// Params describes one request with an Idempotency-Key.
type Params struct {
	Account        string
	IdempotencyKey string
	// RequestID is unique for each Request in the whole system. It is not the ID
	// that the caller sends as X-Request-Id.
	RequestID   string
	VM          string
	Incarnation uint64
	Fingerprint string
	// Deadline is the time by which the caller needs its response.
	Deadline time.Time
}

// Kind is the kind of a Step.
type Kind int

// Kinds of steps, each with the method of Request that continues it.
const (
	// None means that there is nothing to do now; the result of an earlier step
	// follows.
	None Kind = iota
	// Finish means that nothing remains to be done. Dispatched still accepts an
	// outcome that arrives late.
	Finish
	// Write means to write Step.Op, usually through the Batcher, and then to call
	// TableResult.
	Write
	// Read means to read Step.Op and then to call TableResult.
	Read
	// Dispatch means to send the request if MayDispatch still holds after the last
	// blocking step, and then to call Dispatched.
	Dispatch
	// Wait means to wait for Step.Wait and then to call Waited.
	Wait
	// PutObject means to store Step.Content as Step.Object and then to call
	// ObjectResult.
	PutObject
	// GetObject means to get Step.Object and then to call ObjectResult.
	GetObject
)

// Step is the next action of the user of a Request. If Response is set, it is
// sent to the caller immediately, before the rest of the step. This happens only
// once per Request; the steps that follow are background work.
type Step struct {
	Kind     Kind
	Response *Response
	Op       tableop.Op
	Wait     time.Duration
	Object   string
	Content  []byte
}

// Verdict is the kind of a Response.
type Verdict int

// Verdicts.
const (
	// Fresh means that the response is the outcome of this request.
	Fresh Verdict = iota + 1
	// Stored means that the response is the outcome of an earlier request with the
	// same key.
	Stored
	// OutcomeLost means that an earlier request has run, but its outcome cannot be
	// read now.
	OutcomeLost
	// InProgress means that another request has a claim without an outcome.
	InProgress
	// OutcomeUnknown means that this request was dispatched and its outcome is
	// unknown.
	OutcomeUnknown
	// KeyReused means that the key was used for a different request.
	KeyReused
	// StoreUnavailable means that the claim could not be made. This request was not
	// run, but it is not known whether an earlier one with the same key was,
	// because its record could not be read.
	StoreUnavailable
	// DeadlinePassed means that the dispatch deadline passed before the request was
	// dispatched.
	DeadlinePassed
	// Refused means that no backend server ran the request.
	Refused
)

// MayHaveRun reports whether the request, or an earlier one with the same key,
// may have run. The other verdicts without an outcome mean that the request was
// not run.
func (v Verdict) MayHaveRun() bool {
	switch v {
	case Fresh, Stored, OutcomeLost, InProgress, OutcomeUnknown, StoreUnavailable:
		return true
	default:
		return false
	}
}

// HasOutcome reports whether the response carries an outcome of a backend server.
func (v Verdict) HasOutcome() bool { return v == Fresh || v == Stored }

// Response is what the caller of the request receives.
type Response struct {
	Verdict Verdict
	// RetryAfter is the time after which a retry may help, or 0 if it does not
	// help.
	RetryAfter time.Duration
	// Status, Header and Body are set for Fresh and Stored.
	Status int
	Header map[string][]string
	Body   []byte
}

// OutcomeKind is the kind of an Outcome.
type OutcomeKind int

// Kinds of outcomes of a dispatch, over all attempts at backend servers.
const (
	// ResponseReceived means that a backend server sent the final response.
	ResponseReceived OutcomeKind = iota + 1
	// NotRun means that no attempt at a backend server ran the request, or that
	// there was no attempt. An attempt is known not to have run it if the
	// connection was never established or the backend server reported so.
	NotRun
	// Unknown means that an attempt at a backend server may have run the request
	// and has no response.
	Unknown
)

// Outcome is the result of a dispatch.
type Outcome struct {
	Kind   OutcomeKind
	Status int
	Header map[string][]string
	Body   []byte
	// RetryAfter is passed on to the Response of a NotRun outcome.
	RetryAfter time.Duration
}
