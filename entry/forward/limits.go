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

// takeAccount admits the request against the client account's rate and burst.
func (h *Handler) takeAccount(ctx context.Context, c *call) *problem.Rejection {
	if c.account == anonymous {
		if !h.control.LeaseValid(time.Now()) {
			return leaseExpired()
		}
		return nil
	}
	var last quota.Decision
	take := func(now time.Time, ask askFunc) quota.Decision {
		last = ask(now, c.account.Limit, 1)
		return last
	}
	if rej := h.takeOrWait(ctx, c, take); rej != nil {
		if rej.Code == problem.CodeRateExceeded {
			return rej.WithRetryAfter(max(last.RetryAfter, time.Second))
		}
		return rej
	}
	return nil
}

// askFunc is Control.Take, or Control.Retry for a request that waits.
type askFunc func(now time.Time, limit string, n float64) quota.Decision

// takeOrWait calls take until it admits, waiting for units of peers between
// calls if that is worthwhile. The lease is checked at each call, since
// admissions count only under a valid lease.
func (h *Handler) takeOrWait(ctx context.Context, c *call, take func(now time.Time, ask askFunc) quota.Decision) *problem.Rejection {
	giveUp := time.Now().Add(quota.MaxWait)
	if c.deadline.Before(giveUp) {
		giveUp = c.deadline
	}
	ask := askFunc(h.control.Take)
	for {
		arrived := h.control.UnitsArrived()
		now := time.Now()
		if !h.control.LeaseValid(now) {
			return leaseExpired()
		}
		d := take(now, ask)
		if d.OK {
			return nil
		}
		if !d.Wait || !now.Before(giveUp) || !waitUnits(ctx, arrived, nextTry(now, d, giveUp)) {
			return problem.New(problem.CodeRateExceeded, http.StatusTooManyRequests, "the client account's rate and burst are used up")
		}
		ask = h.control.Retry
	}
}

// waitUnits waits until units may have arrived or the next try is due. It
// returns false if the caller is gone.
func waitUnits(ctx context.Context, arrived <-chan struct{}, next time.Time) bool {
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-arrived:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// nextTry is the time at which the VM's own units have earned the tokens, or
// the time at which the request gives up.
func nextTry(now time.Time, d quota.Decision, giveUp time.Time) time.Time {
	if earned := now.Add(d.WaitFor); d.WaitFor > 0 && earned.Before(giveUp) {
		return earned
	}
	return giveUp
}

// chooseRegion admits the request against a region cap and a link limit. It
// returns the limits of which it took a token.
func (h *Handler) chooseRegion(ctx context.Context, c *call) ([]string, *problem.Rejection) {
	var taken []string
	var lastErr error
	clientRegion := h.control.Policy().ClientRegion(c.r.RemoteAddr)
	try := func(now time.Time, ask askFunc) quota.Decision {
		var result quota.Decision
		taken = taken[:0]
		take := func(limit string) bool {
			d := ask(now, limit, 1)
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
	rej := h.takeOrWait(ctx, c, try)
	if rej == nil || rej.Code != problem.CodeRateExceeded {
		return taken, rej
	}
	full := problem.New(problem.CodeRegionsAtCapacity, http.StatusServiceUnavailable, "no region can take the request now")
	return nil, full.WithRetryAfter(max(retryAfterOf(lastErr), time.Second))
}

func retryAfterOf(err error) time.Duration {
	var none *routing.NoRegionError
	if errors.As(err, &none) {
		return none.RetryAfter
	}
	return 0
}
