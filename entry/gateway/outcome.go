package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

func isNotSent(err error) bool { return errors.Is(err, upstream.ErrNotSent) }
func isTimeout(err error) bool { return errors.Is(err, upstream.ErrTimeout) }

// isCancelled reports whether a call ended because its context did, while it was sent or
// while its connection was being opened.
func isCancelled(err error) bool {
	return errors.Is(err, upstream.ErrCancelled) || errors.Is(err, context.Canceled)
}

// isMisdirected reports whether a response shows that another server listens on the
// address.
func isMisdirected(response *upstream.Response) bool {
	return response != nil && response.Status == http.StatusMisdirectedRequest
}

// attemptResult classifies the outcome of an attempt for the picker.
func attemptResult(response *upstream.Response, err error) placement.Result {
	switch {
	case err != nil:
		return attemptErrorResult(err)
	case isMisdirected(response):
		return placement.Misdirected
	case response.ServerHeaders.NotRun:
		return placement.Shed
	case response.Status >= http.StatusInternalServerError:
		return placement.Failed
	default:
		return placement.Succeeded
	}
}

// attemptErrorResult classifies an attempt that brought no response.
func attemptErrorResult(err error) placement.Result {
	switch {
	case isCancelled(err), errors.Is(err, upstream.ErrNoIdleConn):
		return placement.Abandoned
	case isNotSent(err):
		return placement.Unreachable
	case isTimeout(err):
		return placement.Unresponsive
	default:
		return placement.Failed
	}
}
