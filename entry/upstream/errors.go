package upstream

import "github.com/pkg/errors"

// Outcomes of an exchange that brought no answer.
var (
	// ErrNotSent means that the request was not sent: no connection was made.
	ErrNotSent = errors.New("request not sent")
	// ErrStale means that a kept connection was closed by the server before
	// any byte of an answer came. The request may have run.
	ErrStale = errors.New("kept connection was closed")
	// ErrBroken means that the connection broke. The request may have run.
	ErrBroken = errors.New("connection broke")
	// ErrMalformed means that the answer is not one, is cut off or belongs to
	// another request. The request may have run.
	ErrMalformed = errors.New("malformed answer")
	// ErrTimeout means that no answer came in time. The request may have run.
	ErrTimeout = errors.New("no answer in time")
	// ErrCancelled means that the exchange was given up.
	ErrCancelled = errors.New("exchange cancelled")
)

// CallError is a failed exchange.
type CallError struct {
	// Kind is one of the outcomes above.
	Kind  error
	Cause error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Cause == nil {
		return e.Kind.Error()
	}
	return e.Kind.Error() + ": " + e.Cause.Error()
}

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
