package ratelimit

import "time"

// BurstEstimate follows how much of an account's burst is left, from the demand that digests
// report. A VM uses it for its credit if it got no answer of the owner lately. The zero value
// has observed nothing.
type BurstEstimate struct {
	tokens, burst float64
	observedAt    time.Duration
	observed      bool
}

// Observe records the demand of an account over all VMs, in requests per second, since the last
// call, and its limits over all VMs. What was used before the first call is not known: it counts
// as all if the demand exceeds the rate.
func (e *BurstEstimate) Observe(now time.Duration, rate, burst, demand float64) {
	switch {
	case e.observed:
		e.tokens = max(0, min(burst, e.tokens+(rate-demand)*(now-e.observedAt).Seconds()))
	case demand < rate:
		e.tokens = burst
	}
	e.burst, e.observedAt, e.observed = burst, now, true
}

// fill returns how much of the burst was left when it was last observed.
func (e *BurstEstimate) fill() knownFill {
	if !e.observed || e.burst <= 0 {
		return knownFill{at: e.observedAt, known: e.observed}
	}
	return knownFill{fill: e.tokens / e.burst, at: e.observedAt, known: true}
}
