package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

func isNotSent(err error) bool { return errors.Is(err, upstream.ErrNotSent) }
func isCancelled(err error) bool {
	return errors.Is(err, upstream.ErrCancelled) || errors.Is(err, context.Canceled)
}
func isTimeout(err error) bool { return errors.Is(err, upstream.ErrTimeout) }

// attemptResult classifies the outcome of an attempt for the picker.
func attemptResult(response *upstream.Response, err error) placement.Result {
	switch {
	case err != nil:
		return attemptErrorResult(err)
	case response.Status == http.StatusMisdirectedRequest:
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
	case errors.Is(err, upstream.ErrCancelled):
		return placement.Abandoned
	case isNotSent(err):
		return placement.Unreachable
	case isTimeout(err):
		return placement.Unresponsive
	default:
		return placement.Failed
	}
}
