package load

import (
	"cmp"
	"slices"
	"time"
)

// span is the time from sending a request to its answer; it was admitted at
// some moment in between.
type span struct {
	sent, answered time.Time
}

// rateStep is a declared rate and burst that may be in effect from a moment on.
type rateStep struct {
	from        time.Time
	rate, burst float64
}

// envelope is the largest rate and burst that may be in effect at each moment,
// in the order of time. The first step holds from the beginning.
type envelope []rateStep

// newEnvelope returns the steps of an account. After a change the old limit may
// stay in effect for the time of propagation.
func newEnvelope(a Account, changes []Event) envelope {
	steps := envelope{{rate: a.RatePerSecond, burst: a.Burst}}
	last := steps[0]
	for _, e := range changes {
		next := rateStep{from: e.inEffectAt(), rate: e.RatePerSecond, burst: e.Burst}
		both := rateStep{from: e.begin(), rate: max(last.rate, next.rate), burst: max(last.burst, next.burst)}
		steps = append(steps, both, next)
		last = next
	}
	return steps
}

// allowed is the largest number of requests that may be admitted in a window.
func (e envelope) allowed(from, to time.Time) float64 {
	var burst, tokens float64
	for i, step := range e {
		begin, end := from, to
		if i > 0 && step.from.After(begin) {
			begin = step.from
		}
		if i+1 < len(e) && e[i+1].from.Before(end) {
			end = e[i+1].from
		}
		if end.Before(begin) {
			continue
		}
		burst = max(burst, step.burst)
		tokens += step.rate * end.Sub(begin).Seconds()
	}
	return burst + tokens
}

// worstExcess returns the largest number of requests above the limit over every
// window. A request counts for a window only if it was sent and answered in
// it, so that delays never look like an excess.
func worstExcess(spans []span, e envelope) float64 {
	slices.SortFunc(spans, func(a, b span) int { return b.sent.Compare(a.sent) })
	var ends []time.Time
	worst := 0.0
	for _, s := range spans {
		at, _ := slices.BinarySearchFunc(ends, s.answered, time.Time.Compare)
		ends = slices.Insert(ends, at, s.answered)
		// Only windows that end at or after the answer of the new span have
		// got one more request.
		for i := at; i < len(ends); i++ {
			worst = max(worst, float64(i+1)-e.allowed(s.sent, ends[i]))
		}
	}
	return worst
}

func byTime(a, b Event) int { return cmp.Compare(a.UnixMS, b.UnixMS) }
