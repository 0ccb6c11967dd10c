package once

import (
	"time"

	"github.com/cassiawind/cassiawind/core/tableop"
)

// Config holds the times and bounds of attempts. The zero value of a field
// stands for its default.
type Config struct {
	// DispatchWindow is the time from the start of an attempt to its dispatch
	// deadline; default 2 s. A shorter deadline of the caller takes precedence.
	DispatchWindow time.Duration
	// OutcomePollInterval and OutcomeTimeout say how often and how long a repeated request
	// reads the row of a claim in the hope of its outcome; defaults 100 ms and
	// 500 ms.
	OutcomePollInterval, OutcomeTimeout time.Duration
	// ReadBackoff is the wait before a failed read-back is repeated; default
	// 50 ms.
	ReadBackoff time.Duration
	// MaxSettleBackoff is the longest wait before a failed write of an outcome or
	// release is repeated, and SettleTimeout the time after which it is given up;
	// defaults 5 s and 10 min.
	MaxSettleBackoff, SettleTimeout time.Duration
	// RetryAfter is sent with may-have-run answers and LateRetryAfter if the
	// outcome can no longer be expected soon, and with not-run answers while
	// the store is down; defaults 1 s and 10 s.
	RetryAfter, LateRetryAfter time.Duration
	// InlineBodyBytes is the largest body kept in the row; default 8 KiB.
	InlineBodyBytes int
}

// Defaults of Config.
const (
	defaultDispatchWindow  = 2 * time.Second
	defaultRepeatPoll      = 100 * time.Millisecond
	defaultRepeatWait      = 500 * time.Millisecond
	defaultReadRetry       = 50 * time.Millisecond
	defaultSettleRetry     = 5 * time.Second
	defaultSettleFor       = 10 * time.Minute
	defaultRetryAfter      = time.Second
	defaultLateRetryAfter  = 10 * time.Second
	defaultInlineBodyBytes = 8 << 10
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.DispatchWindow, defaultDispatchWindow)
	set(&c.OutcomePollInterval, defaultRepeatPoll)
	set(&c.OutcomeTimeout, defaultRepeatWait)
	set(&c.ReadBackoff, defaultReadRetry)
	set(&c.MaxSettleBackoff, defaultSettleRetry)
	set(&c.SettleTimeout, defaultSettleFor)
	set(&c.RetryAfter, defaultRetryAfter)
	set(&c.LateRetryAfter, defaultLateRetryAfter)
	if c.InlineBodyBytes == 0 {
		c.InlineBodyBytes = defaultInlineBodyBytes
	}
	return c
}

// Params describe one request with an Idempotency-Key.
type Params struct {
	Account        string
	IdempotencyKey string
	// AttemptID is unique for each attempt in the whole system.
	AttemptID   string
	VM          string
	Incarnation uint64
	Fingerprint string
	// Deadline is the time at which the caller needs its answer.
	Deadline time.Time
}

// Kind is what the caller of an Attempt does next.
type Kind int

// Kinds of steps and the call that continues the attempt.
const (
	// None: nothing to do now; the result of an earlier step still follows.
	None Kind = iota
	// Finish: nothing is left to do. Only a late outcome is still taken by
	// Dispatched.
	Finish
	// Write: write Step.Op, usually through the Batcher; then TableResult.
	Write
	// Read: read Step.Op; then TableResult.
	Read
	// Dispatch: send the request if MayDispatch still holds after the last
	// blocking step; then Dispatched.
	Dispatch
	// Wait: wait for Step.Wait; then Waited.
	Wait
	// PutObject: store Step.Content as Step.Object; then ObjectResult.
	PutObject
	// GetObject: get Step.Object; then ObjectResult.
	GetObject
)

// Step is what to do next. If Response is set, the caller of the request is
// answered at once, before the rest of the step, and only once per attempt; the
// steps that follow are background work.
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
	// Fresh: the outcome of this attempt.
	Fresh Verdict = iota + 1
	// Stored: the outcome of an earlier attempt with the same key.
	Stored
	// OutcomeLost: an earlier attempt has run, but its outcome cannot be read
	// now.
	OutcomeLost
	// InProgress: an earlier attempt has a claim without an outcome.
	InProgress
	// Unanswered: this attempt was dispatched and its outcome is unknown.
	Unanswered
	// KeyReused: the key was used for a different request.
	KeyReused
	// StoreUnavailable: the claim could not be made. This request was not run,
	// but the record that would tell of an earlier one with the same key could
	// not be read.
	StoreUnavailable
	// DeadlinePassed: the dispatch deadline passed before the request was dispatched.
	DeadlinePassed
	// Refused: no backend server ran the request.
	Refused
)

// MayHaveRun says whether the request, or an earlier one with the same key, may
// have run. The other verdicts without an outcome mean that the request was not
// run.
func (v Verdict) MayHaveRun() bool {
	switch v {
	case Fresh, Stored, OutcomeLost, InProgress, Unanswered, StoreUnavailable:
		return true
	default:
		return false
	}
}

// HasOutcome says whether the response carries an outcome of a backend server.
func (v Verdict) HasOutcome() bool { return v == Fresh || v == Stored }

// Response answers the caller.
type Response struct {
	Verdict Verdict
	// RetryAfter is 0 if a retry does not help.
	RetryAfter time.Duration
	// Status, Header and Body are set for Fresh and Stored.
	Status int
	Header map[string][]string
	Body   []byte
}

// OutcomeKind is the kind of an Outcome.
type OutcomeKind int

// Kinds of outcomes of a dispatch, over all tries on backend servers.
const (
	// Answered: a backend server gave the final response.
	Answered OutcomeKind = iota + 1
	// NotRun: every try provably did not run, or there was none. A try did not
	// run if the connection was never established or the backend server said
	// so.
	NotRun
	// Unknown: a try may have run and has no response.
	Unknown
)

// Outcome is the result of a dispatch.
type Outcome struct {
	Kind   OutcomeKind
	Status int
	Header map[string][]string
	Body   []byte
	// RetryAfter is passed on for NotRun.
	RetryAfter time.Duration
}
