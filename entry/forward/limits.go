package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/entry/problem"
)

// maxUnitsWait is the longest time a request waits for quota units of a peer:
// two round trips between regions of 110 ms, with a margin.
const maxUnitsWait = 250 * time.Millisecond

func leaseExpired() *problem.Rejection {
	return problem.New(problem.CodeLeaseExpired, http.StatusServiceUnavailable, "this entry VM has no valid lease; look up another").After(time.Second)
}

// takeAccount admits the request against the client account's rate and burst.
func (h *Handler) takeAccount(ctx context.Context, c *call) *problem.Rejection {
	if c.account == anonymous {
		if !h.control.LeaseValid(time.Now()) {
			return leaseExpired()
		}
		return nil
	}
	var retryAfter time.Duration
	take := func(now time.Time) (ok, wait bool) {
		d := h.control.Take(now, c.account.Limit, 1)
		retryAfter = d.RetryAfter
		return d.OK, d.Wait
	}
	if rej := h.takeOrWait(ctx, c, take); rej != nil {
		if rej.Code == problem.CodeRateExceeded {
			return rej.After(max(retryAfter, time.Second))
		}
		return rej
	}
	return nil
}

// takeOrWait calls take until it admits, waiting for units of peers between
// calls if that is worthwhile. The lease is checked at each call, since
// admissions count only under a valid lease.
func (h *Handler) takeOrWait(ctx context.Context, c *call, take func(now time.Time) (ok, wait bool)) *problem.Rejection {
	giveUp := time.Now().Add(maxUnitsWait)
	if c.deadline.Before(giveUp) {
		giveUp = c.deadline
	}
	for {
		arrived := h.control.Arrived()
		now := time.Now()
		if !h.control.LeaseValid(now) {
			return leaseExpired()
		}
		ok, wait := take(now)
		if ok {
			return nil
		}
		if !wait || !h.control.WaitUnits(ctx, arrived, giveUp) {
			return problem.New(problem.CodeRateExceeded, http.StatusTooManyRequests, "the client account's rate and burst are used up")
		}
	}
}

// chooseRegion admits the request against a region cap and a link limit. It
// returns the limits of which it took a token.
func (h *Handler) chooseRegion(ctx context.Context, c *call) ([]string, *problem.Rejection) {
	var taken []string
	var lastErr error
	clientRegion := h.control.Policy().RegionOf(c.r.RemoteAddr)
	try := func(now time.Time) (ok, wait bool) {
		taken = taken[:0]
		take := func(limit string) bool {
			d := h.control.Take(now, limit, 1)
			wait = wait || d.Wait
			if d.OK {
				taken = append(taken, limit)
			}
			return d.OK
		}
		refund := func(limit string) {
			h.control.Refund(now, limit, 1)
			taken = taken[:len(taken)-1]
		}
		choice, err := h.regions.Choose(now, clientRegion, c.service, take, refund)
		c.region, lastErr = choice.Region, err
		return err == nil, wait
	}
	rej := h.takeOrWait(ctx, c, try)
	if rej == nil || rej.Code != problem.CodeRateExceeded {
		return taken, rej
	}
	full := problem.New(problem.CodeRegionsFull, http.StatusServiceUnavailable, "no region can take the request now")
	return nil, full.After(max(retryAfterOf(lastErr), time.Second))
}

func retryAfterOf(err error) time.Duration {
	var none *routing.NoRegionError
	if errors.As(err, &none) {
		return none.RetryAfter
	}
	return 0
}
