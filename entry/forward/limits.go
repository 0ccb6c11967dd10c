package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/entry/problem"
)

func leaseExpired() *problem.Rejection {
	return problem.New(problem.CodeEntryNotReady, http.StatusServiceUnavailable, "this entry VM has no valid lease; look up another").WithRetryAfter(time.Second)
}

// admitAccount admits the request against the rate and burst of the client
// account.
func (h *Handler) admitAccount(ctx context.Context, c *call) *problem.Rejection {
	if c.account == anonymousAccount {
		if !h.control.LeaseValid(time.Now()) {
			return leaseExpired()
		}
		return nil
	}
	var last quota.Decision
	admit := func(now time.Time, take takeFunc) quota.Decision {
		last = take(now, c.account.Limit, 1)
		return last
	}
	if rej := h.admitOrWait(ctx, c, admit); rej != nil {
		if rej.Code == problem.CodeRateExceeded {
			return rej.WithRetryAfter(max(last.RetryAfter, time.Second))
		}
		return rej
	}
	return nil
}

// takeFunc is Control.Take, or Control.Retry for a request that is waiting.
type takeFunc func(now time.Time, limit string, n float64) quota.Decision

// admitOrWait calls admit until it succeeds. Between calls it waits for units
// from peers if the decision says that waiting can help. It checks the lease
// before each call, because admissions are allowed only under a valid lease.
func (h *Handler) admitOrWait(ctx context.Context, c *call, admit func(now time.Time, take takeFunc) quota.Decision) *problem.Rejection {
	waitDeadline := time.Now().Add(quota.MaxWait)
	if c.deadline.Before(waitDeadline) {
		waitDeadline = c.deadline
	}
	take := takeFunc(h.control.Take)
	for {
		unitsArrived := h.control.UnitsArrived()
		now := time.Now()
		if !h.control.LeaseValid(now) {
			return leaseExpired()
		}
		d := admit(now, take)
		if d.OK {
			return nil
		}
		if !d.Wait || !now.Before(waitDeadline) || !waitForUnits(ctx, unitsArrived, nextCheckAt(now, d, waitDeadline)) {
			return problem.New(problem.CodeRateExceeded, http.StatusTooManyRequests, "the client account's rate and burst are used up")
		}
		take = h.control.Retry
	}
}

// waitForUnits waits until units may have arrived or nextCheck, the time of the
// next admission check. It returns false if ctx is done.
func waitForUnits(ctx context.Context, unitsArrived <-chan struct{}, nextCheck time.Time) bool {
	timer := time.NewTimer(time.Until(nextCheck))
	defer timer.Stop()
	select {
	case <-unitsArrived:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// nextCheckAt returns the time at which this VM's own units have refilled
// enough tokens. It returns waitDeadline if that is earlier or the refill time
// is not known.
func nextCheckAt(now time.Time, d quota.Decision, waitDeadline time.Time) time.Time {
	if refilledAt := now.Add(d.WaitFor); d.WaitFor > 0 && refilledAt.Before(waitDeadline) {
		return refilledAt
	}
	return waitDeadline
}

// chooseRegion chooses the region of the request and admits the request against
// the region's cap and link limit. It returns the names of the limits from which
// it took a token.
func (h *Handler) chooseRegion(ctx context.Context, c *call) ([]string, *problem.Rejection) {
	var taken []string
	var lastErr error
	clientRegion := h.control.Policy().ClientRegion(c.r.RemoteAddr)
	admit := func(now time.Time, takeTokens takeFunc) quota.Decision {
		var result quota.Decision
		taken = taken[:0]
		take := func(limit string) bool {
			d := takeTokens(now, limit, 1)
			if d.OK {
				taken = append(taken, limit)
			} else if d.Wait {
				result.Wait = true
				result.WaitFor = max(result.WaitFor, d.WaitFor)
			}
			return d.OK
		}
		refund := func(limit string) {
			h.control.Refund(now, limit, 1)
			taken = taken[:len(taken)-1]
		}
		choice, err := h.regions.Choose(now, clientRegion, c.service, take, refund)
		c.region, lastErr = choice.Region, err
		result.OK = err == nil
		return result
	}
	rej := h.admitOrWait(ctx, c, admit)
	if rej == nil || rej.Code != problem.CodeRateExceeded {
		return taken, rej
	}
	rejection := problem.New(problem.CodeRegionsAtCapacity, http.StatusServiceUnavailable, "no region can take the request now")
	return nil, rejection.WithRetryAfter(max(retryAfterOf(lastErr), time.Second))
}

func retryAfterOf(err error) time.Duration {
	var noRegion *routing.NoRegionError
	if errors.As(err, &noRegion) {
		return noRegion.RetryAfter
	}
	return 0
}
