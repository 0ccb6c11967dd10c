package upstream

import "github.com/pkg/errors"

// Kinds of a CallError.
var (
	// ErrNotSent means that the request was not sent, because there was no
	// usable connection.
	ErrNotSent = errors.New("request not sent")
	// ErrNoIdleConn is the cause of ErrNotSent for a call that may open no connection.
	ErrNoIdleConn = errors.New("no idle connection")
	// ErrStale means that the server closed a reused connection before any byte
	// of a response arrived. The request may have run.
	ErrStale = errors.New("reused connection was closed by the server")
	// ErrBroken means that the connection failed. The request may have run.
	ErrBroken = errors.New("connection failed")
	// ErrMalformed means that the response is not valid HTTP, is truncated or
	// belongs to another request. The request may have run.
	ErrMalformed = errors.New("malformed response")
	// ErrTimeout means that no response arrived in time. The request may have
	// run.
	ErrTimeout = errors.New("no response in time")
	// ErrCancelled means that the context of the call was cancelled. The
	// request may have run.
	ErrCancelled = errors.New("call cancelled")
)

// CallError is the error of a failed call.
type CallError struct {
	// Kind is one of the Err variables of this package.
	Kind error
	// Cause is the underlying error, or nil.
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
