package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// minRetryAfter is the shortest Retry-After: a shorter one would have the
	// caller back before a few slots were freed.
	minRetryAfter = 100 * time.Millisecond
	// arrivalMargin is the factor on the expected wait on arrival: without it, a
	// request accepted with no time to spare is given up near its deadline when
	// the wait turns out a little longer.
	arrivalMargin = 1.25
	// maxRetryAfter bounds the estimate when there are no slots at all.
	maxRetryAfter = 30 * time.Second
)

// expectedWait estimates the wait of an account's request that is the n-th in
// its queues together and the k-th in the queue of its class. Until it is
// admitted, every other account is served at most n times its weight relative to
// this account's, and at most what it has queued. The guaranteed part of the
// class bounds the wait as well. That leaves out what others send in the
// meantime, so a wait that follows from the measured drain of the queue counts if
// it is longer.
func (s *Scheduler) expectedWait(a *account, c Class, n, k int) time.Duration {
	if s.slots <= 0 {
		return maxRetryAfter
	}
	before, beforeInClass := float64(n), float64(k)
	for _, other := range s.active {
		if other != a {
			part := other.weight / a.weight
			before += min(float64(other.length), float64(n)*part)
			beforeInClass += min(float64(other.queues[c].Len()), float64(k)*part)
		}
	}
	wait := s.service * min(before/float64(s.slots), beforeInClass/s.minimum(c))
	wait = max(wait, a.drains[c].wait(k))
	return time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second))
}

// nextWait is the expected wait of the account's next request of a class.
func (s *Scheduler) nextWait(a *account, c Class) time.Duration {
	return s.expectedWait(a, c, a.length+1, a.queues[c].Len()+1)
}

// tooLate reports whether a request cannot finish in time if it waits this long.
func (s *Scheduler) tooLate(now time.Time, wait time.Duration, deadline time.Time) bool {
	return !deadline.IsZero() && now.Add(wait+s.serviceTime()).After(deadline)
}

func (s *Scheduler) serviceTime() time.Duration {
	return time.Duration(s.service * float64(time.Second))
}

// retryAfter returns when a request with the same remaining time is expected to
// be accepted: after the part of the wait that is too long.
func (s *Scheduler) retryAfter(now time.Time, wait time.Duration, deadline time.Time) time.Duration {
	excess := wait + s.serviceTime() - deadline.Sub(now)
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(math.Ceil(excess.Seconds()*1000))*time.Millisecond))
}

// Expire returns the queued requests that can no longer finish in time, as soon
// as that is expected and not at their deadline. Call it every 50 ms or less.
func (s *Scheduler) Expire(now time.Time) []Expired {
	var out []Expired
	for i := len(s.active) - 1; i >= 0; i-- {
		out = s.expireAccount(now, s.active[i], out)
	}
	return out
}

// expireAccount gives up the account's requests that are too late, oldest first:
// each one given up shortens the wait of those behind it.
func (s *Scheduler) expireAccount(now time.Time, a *account, out []Expired) []Expired {
	var next [classes]*list.Element
	for c := range a.queues {
		next[c] = a.queues[c].Front()
	}
	var positions [classes]int
	for {
		w := older(value(next[Lookup]), value(next[Booking]))
		if w == nil {
			return out
		}
		next[w.class] = w.element.Next()
		wait := s.expectedWait(a, w.class, positions[Lookup]+positions[Booking]+1, positions[w.class]+1)
		if !s.tooLate(now, wait, w.deadline) {
			positions[w.class]++
			continue
		}
		s.remove(w)
		out = append(out, Expired{ID: w.id, Account: a.name, Reason: ReasonWaitExceedsDeadline, RetryAfter: s.retryAfter(now, wait, w.deadline)})
	}
}

func value(e *list.Element) *waiting {
	if e == nil {
		return nil
	}
	return e.Value.(*waiting)
}
