package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// minRetryAfter is the shortest Retry-After. With a shorter one, the caller
	// would retry before a few slots were freed.
	minRetryAfter = 100 * time.Millisecond
	// arrivalMargin multiplies the expected wait on arrival. Without it, a
	// request accepted with no time to spare is dropped near its deadline if the
	// wait turns out a little longer.
	arrivalMargin = 1.25
	// maxRetryAfter bounds the estimated wait, and is the estimate if there are
	// no slots at all.
	maxRetryAfter = 30 * time.Second
)

// expectedWait estimates the wait of an account's request from its position
// in the account's queues together and in the queue of its class, both
// counted from 1. Until the request is admitted, every other account is
// served at most position times the ratio of its weight to this account's,
// and at most what it has queued. The guaranteed share of the class bounds
// the wait as well. This estimate does not include what others send in the
// meantime. If the measured interval between admissions implies a longer
// wait, that one is returned.
func (s *Scheduler) expectedWait(a *account, c Class, position, classPosition int) time.Duration {
	if s.slots <= 0 {
		return maxRetryAfter
	}
	ahead, aheadInClass := float64(position), float64(classPosition)
	for _, other := range s.active {
		if other != a {
			weightRatio := other.weight / a.weight
			ahead += min(float64(other.queued), float64(position)*weightRatio)
			aheadInClass += min(float64(other.queues[c].Len()), float64(classPosition)*weightRatio)
		}
	}
	wait := s.serviceSeconds * min(ahead/float64(s.slots), aheadInClass/s.minSlots(c))
	wait = max(wait, a.intervals[c].wait(classPosition))
	return time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second))
}

// waitOfNext returns the expected wait of the account's next request of a
// class.
func (s *Scheduler) waitOfNext(a *account, c Class) time.Duration {
	return s.expectedWait(a, c, a.queued+1, a.queues[c].Len()+1)
}

// missesDeadline reports whether a request cannot finish by its deadline if
// it waits this long.
func (s *Scheduler) missesDeadline(now time.Time, wait time.Duration, deadline time.Time) bool {
	return !deadline.IsZero() && now.Add(wait+s.serviceTime()).After(deadline)
}

func (s *Scheduler) serviceTime() time.Duration {
	return time.Duration(s.serviceSeconds * float64(time.Second))
}

// retryAfter returns the time after which a request with the same remaining
// time is expected to be accepted: the part of the wait that is too long.
func (s *Scheduler) retryAfter(now time.Time, wait time.Duration, deadline time.Time) time.Duration {
	excess := wait + s.serviceTime() - deadline.Sub(now)
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(math.Ceil(excess.Seconds()*1000))*time.Millisecond))
}

// Expire removes and returns the queued requests that are no longer expected
// to finish by their deadline. It does not wait until the deadline has
// passed. Call it at least every 50 ms.
func (s *Scheduler) Expire(now time.Time) []Expired {
	var expired []Expired
	for i := len(s.active) - 1; i >= 0; i-- {
		expired = s.expireAccount(now, s.active[i], expired)
	}
	return expired
}

// expireAccount removes the requests of an account that would miss their
// deadline, oldest first, since each removal shortens the wait of the
// requests behind it.
func (s *Scheduler) expireAccount(now time.Time, a *account, expired []Expired) []Expired {
	var next [numClasses]*list.Element
	for c := range a.queues {
		next[c] = a.queues[c].Front()
	}
	var positions [numClasses]int
	for {
		q := older(requestOf(next[Lookup]), requestOf(next[Booking]))
		if q == nil {
			return expired
		}
		next[q.class] = q.element.Next()
		wait := s.expectedWait(a, q.class, positions[Lookup]+positions[Booking]+1, positions[q.class]+1)
		if !s.missesDeadline(now, wait, q.deadline) {
			positions[q.class]++
			continue
		}
		s.remove(q)
		expired = append(expired, Expired{ID: q.id, Account: a.name, Reason: ReasonWaitExceedsDeadline, RetryAfter: s.retryAfter(now, wait, q.deadline)})
	}
}

func requestOf(element *list.Element) *queuedRequest {
	if element == nil {
		return nil
	}
	return element.Value.(*queuedRequest)
}
