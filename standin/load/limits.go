package load

import (
	"cmp"
	"slices"
	"time"
)

// requestSpan is the time from sending a request to its response. The request was
// admitted at some time in between.
type requestSpan struct {
	sent, answered time.Time
}

// limitStep is the largest rate and burst that may be in effect from a time on.
type limitStep struct {
	from        time.Time
	rate, burst float64
}

// limitSchedule holds the largest rate and burst of an account that may be in
// effect at each time, ordered by time. The first step applies from the start.
type limitSchedule []limitStep

// newLimitSchedule returns the schedule of an account. While a change propagates,
// the old or the new limit may be in effect.
func newLimitSchedule(a Account, changes []Event) limitSchedule {
	steps := limitSchedule{{rate: a.RatePerSecond, burst: a.Burst}}
	last := steps[0]
	for _, e := range changes {
		next := limitStep{from: e.inEffectBy(), rate: e.RatePerSecond, burst: e.Burst}
		transition := limitStep{from: e.begin(), rate: max(last.rate, next.rate), burst: max(last.burst, next.burst)}
		steps = append(steps, transition, next)
		last = next
	}
	return steps
}

// allowed returns the largest number of requests that may be admitted in a window.
func (s limitSchedule) allowed(from, to time.Time) float64 {
	var burst, tokens float64
	for i, step := range s {
		begin, end := from, to
		if i > 0 && step.from.After(begin) {
			begin = step.from
		}
		if i+1 < len(s) && s[i+1].from.Before(end) {
			end = s[i+1].from
		}
		if end.Before(begin) {
			continue
		}
		burst = max(burst, step.burst)
		tokens += step.rate * end.Sub(begin).Seconds()
	}
	return burst + tokens
}

// maxExcess returns the largest number of requests above the limit in any window. A
// request counts in a window only if it was sent and answered within it, so that
// delays never look like an excess.
func maxExcess(spans []requestSpan, schedule limitSchedule) float64 {
	slices.SortFunc(spans, func(a, b requestSpan) int { return b.sent.Compare(a.sent) })
	var ends []time.Time
	excess := 0.0
	for _, s := range spans {
		index, _ := slices.BinarySearchFunc(ends, s.answered, time.Time.Compare)
		ends = slices.Insert(ends, index, s.answered)
		// The new span adds a request only to windows that end at or after its
		// response.
		for i := index; i < len(ends); i++ {
			excess = max(excess, float64(i+1)-schedule.allowed(s.sent, ends[i]))
		}
	}
	return excess
}

func compareEventTimes(a, b Event) int { return cmp.Compare(a.UnixMS, b.UnixMS) }
