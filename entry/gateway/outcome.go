package gateway

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

func notSent(err error) bool  { return errors.Is(err, upstream.ErrNotSent) }
func timedOut(err error) bool { return errors.Is(err, upstream.ErrTimeout) }

func resultOf(got *upstream.Answer, err error) placement.Result {
	switch {
	case err != nil:
		return resultOfError(err)
	case got.Status == http.StatusMisdirectedRequest:
		return placement.Misdirected
	case got.ServerHeaders.NotRun:
		return placement.Shed
	case got.Status >= http.StatusInternalServerError:
		return placement.Failed
	default:
		return placement.Succeeded
	}
}

func resultOfError(err error) placement.Result {
	switch {
	case errors.Is(err, upstream.ErrCancelled):
		return placement.Abandoned
	case notSent(err):
		return placement.Unreachable
	case timedOut(err):
		return placement.Mute
	default:
		return placement.Failed
	}
}
