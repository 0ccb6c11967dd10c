// Package ratelimit counts the requests of a client account at one VM against
// this VM's part of the account's rate, and divides a rate among VMs.
//
// The load pattern it answers: one account sends many times its rate through
// all VMs, or all callers of an account move from some VMs to others at once.
// The parts of all VMs add up to the rate, so the fleet as a whole stays
// within it without a message per request.
package ratelimit

import "time"

// Bucket is a token bucket. The zero value is empty and allows nothing.
type Bucket struct {
	rate, burst float64
	tokens      float64
	last        time.Duration
}

// Set changes the rate, in requests per second, and the burst, in requests.
// Tokens above the burst are dropped; a larger burst fills at the rate.
func (b *Bucket) Set(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Take takes one token, or tells in how long there will be one.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.rate <= 0 {
		return false, maxWait
	}
	wait = time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return false, min(wait, maxWait)
}

// Return gives back the token of a request that did not reach a backend
// server.
func (b *Bucket) Return() { b.tokens = min(b.burst, b.tokens+1) }

// Tokens returns the number of tokens at now.
func (b *Bucket) Tokens(now time.Duration) float64 {
	b.refill(now)
	return b.tokens
}

// maxWait bounds the advice to a caller whose account has no rate here.
const maxWait = 2 * time.Second

func (b *Bucket) refill(now time.Duration) {
	if now > b.last {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.last).Seconds())
		b.last = now
	}
}

// Part returns the fraction of a rate that a VM may use: demand is what it is
// asked for, sum what all VMs are asked for, in requests per second, and vms
// their number. The fractions of all VMs add up to 1.
//
// Demands that fit are met and the rest of the rate is divided equally, so that
// a VM to which callers move has room at once. Demands that do not fit are met
// in proportion, apart from a small equal part.
func Part(rate, demand, sum float64, vms int) float64 {
	n := float64(max(1, vms))
	switch {
	case rate <= 0 || sum <= 0:
		return 1 / n
	case sum <= rate*(1-equalPart):
		return (demand + (rate-sum)/n) / rate
	default:
		return (1-equalPart)*demand/sum + equalPart/n
	}
}

// equalPart of a rate goes to all VMs alike also when demand exceeds it, so
// that callers that move are not all rejected until the next division.
const equalPart = 0.1
