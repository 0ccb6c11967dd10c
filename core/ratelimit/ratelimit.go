package ratelimit

import "time"

// Bucket is a token bucket. The zero value is empty and allows nothing.
type Bucket struct {
	rate, burst float64
	tokens      float64
	refilledAt  time.Duration
	// holds lower the burst, the one that ends first in front.
	holds []burstHold
}

// burstHold lowers the burst of a bucket for a time.
type burstHold struct {
	tokens float64
	until  time.Duration
}

// SetLimits changes the rate, in requests per second, and the burst, in requests.
// Tokens above the burst are dropped; a larger burst fills at the rate.
func (b *Bucket) SetLimits(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, b.capacity())
}

// capacity returns the largest number of tokens.
func (b *Bucket) capacity() float64 {
	capacity := b.burst
	for _, h := range b.holds {
		capacity -= h.tokens
	}
	return max(0, capacity)
}

// hold takes tokens and lowers the burst by their number for a time that does not end
// before that of earlier holds.
func (b *Bucket) hold(now time.Duration, tokens float64, duration time.Duration) {
	b.refill(now)
	b.tokens -= tokens
	b.holds = append(b.holds, burstHold{tokens, now + duration})
}

// Take takes one token. If there is none, wait is the time until there will be one.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.rate <= 0 {
		return false, maxRetryWait
	}
	wait = time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return false, min(wait, maxRetryWait)
}

// PutBack returns the token of a request that did not reach a backend server.
func (b *Bucket) PutBack() { b.putBack(1) }

func (b *Bucket) putBack(tokens float64) { b.tokens = min(b.capacity(), b.tokens+tokens) }

// fill returns how full the bucket is, from 0 to 1.
func (b *Bucket) fill() float64 {
	if b.burst <= 0 {
		return 0
	}
	return max(0, min(1, b.tokens/b.burst))
}

// Rate returns the current rate in requests per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Tokens returns the number of tokens at now.
func (b *Bucket) Tokens(now time.Duration) float64 {
	b.refill(now)
	return b.tokens
}

// maxRetryWait bounds the returned wait. It is also the wait for a bucket
// without a rate.
const maxRetryWait = 2 * time.Second

func (b *Bucket) refill(now time.Duration) {
	for len(b.holds) > 0 && now >= b.holds[0].until {
		b.refillUntil(b.holds[0].until)
		b.holds = b.holds[1:]
	}
	b.refillUntil(now)
}

func (b *Bucket) refillUntil(now time.Duration) {
	if now > b.refilledAt {
		b.tokens = min(b.capacity(), b.tokens+b.rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// DemandShare returns the fraction of a rate that a holder may use. demand is the
// demand at this holder and sum the demand at all holders, in requests per second;
// holders is their number. The fractions of all holders add up to 1.
//
// If the demand fits, it is met and the rest of the rate is divided equally, so
// that a holder to which callers move has capacity at once. Otherwise demand is met
// in proportion, apart from a small equal share.
func DemandShare(rate, demand, sum float64, holders int) float64 {
	n := float64(max(1, holders))
	switch {
	case rate <= 0 || sum <= 0:
		return 1 / n
	case DemandFits(rate, sum):
		return (demand + (rate-sum)/n) / rate
	default:
		return (1-equalShare)*demand/sum + equalShare/n
	}
}

// DemandFits reports whether a rate meets a demand in full, both in requests per
// second.
func DemandFits(rate, demand float64) bool { return demand <= rate*(1-equalShare) }

// equalShare is the fraction of a rate that is divided equally among all holders
// even when demand exceeds the rate, so that callers that move are not all rejected
// until the next division.
const equalShare = 0.1

// TokenCache holds the tokens that a VM prefetched from the owner of an account in
// its region. Unused tokens expire soon, so that a VM which loses its callers does
// not withhold the account's rate.
type TokenCache struct {
	tokens    int
	expiresAt time.Duration
	// used counts the requests since the last call of TakeUsed.
	used        int
	requestRate rateMeter
}

const (
	// tokenTTL is how long tokens may be kept.
	tokenTTL = 300 * time.Millisecond
	// prefetchDuration is the time for which the tokens of one request to the
	// owner are meant to last.
	prefetchDuration = 100 * time.Millisecond
	// maxPrefetchedTokens bounds the tokens of one request to the owner.
	maxPrefetchedTokens = 16
)

// Take counts a request and takes a token if there is one.
func (c *TokenCache) Take(now time.Duration) bool {
	c.used++
	c.requestRate.add(now)
	if now >= c.expiresAt {
		c.tokens = 0
	}
	if c.tokens == 0 {
		return false
	}
	c.tokens--
	return true
}

// Want returns the number of tokens to request from the owner, the one for this
// request included.
func (c *TokenCache) Want() int {
	return min(max(1, int(c.requestRate.perSecond*prefetchDuration.Seconds())), maxPrefetchedTokens)
}

// TakeUsed returns the number of requests since its last call.
func (c *TokenCache) TakeUsed() int {
	n := c.used
	c.used = 0
	return n
}

// Add adds tokens that the owner granted.
func (c *TokenCache) Add(now time.Duration, n int) {
	if now >= c.expiresAt {
		c.tokens = 0
	}
	c.tokens += n
	c.expiresAt = now + tokenTTL
}

// rateMeter measures a rate over windows of at least one second.
type rateMeter struct {
	perSecond   float64
	count       int
	windowStart time.Duration
}

func (m *rateMeter) add(now time.Duration) {
	m.count++
	if elapsed := now - m.windowStart; elapsed >= time.Second {
		m.perSecond = float64(m.count) / elapsed.Seconds()
		m.count, m.windowStart = 0, now
	}
}

// Grant takes up to want tokens. If there is none, wait is the time until there
// will be one.
func (b *Bucket) Grant(now time.Duration, want int) (granted int, wait time.Duration) {
	b.refill(now)
	granted = min(want, int(b.tokens))
	if granted > 0 {
		b.tokens -= float64(granted)
		return granted, 0
	}
	_, wait = b.Take(now)
	return 0, wait
}

// Allowance is the excess over rate and burst that an account may send before its
// limit counts as violated.
type Allowance struct {
	// Tolerance is a fraction of the burst and of what the rate gives in Window,
	// Margin a number of requests.
	Tolerance, Margin float64
	// Window is the span of time for which the limit is checked.
	Window time.Duration
}

// total returns the number of requests by which an account may exceed its limit in
// a window.
func (a Allowance) total(rate, burst float64) float64 {
	return a.Tolerance*(rate*a.Window.Seconds()+burst) + a.Margin
}

// Fractions of an allowance.
const (
	// usedAllowance is added to rate and burst, so that requests which arrive
	// unevenly are not rejected within the rate.
	usedAllowance = 0.5
	// initialAllowance is given to the new buckets of an account. Two restarts of
	// a fleet within one window stay within the allowance.
	initialAllowance = 0.2
	// creditAllowance is what all VMs together may have admitted without a token
	// and not yet settled.
	creditAllowance = 1 - usedAllowance - 2*initialAllowance
)

// ShareLimits returns the rate and the burst of a holder of a share.
func (a Allowance) ShareLimits(rate, burst, share float64) (shareRate, shareBurst float64) {
	factor := 1 + a.Tolerance*usedAllowance
	return rate * share * factor, max(1, (burst*factor+a.Margin*usedAllowance)*share)
}

// InitialTokens returns the tokens of a new bucket of a holder of a share, so that
// the account's callers are not all rejected when a VM becomes the owner. The burst
// may have been used up a moment ago, so that only a part of the allowance is given.
func (a Allowance) InitialTokens(rate, burst, share float64) float64 {
	return min(burst, initialAllowance*a.total(rate, burst)) * share
}

// Init sets the limits of a new bucket and fills it with its initial tokens.
func (b *Bucket) Init(now time.Duration, rate, burst, initialTokens float64) {
	b.SetLimits(now, rate, burst)
	b.tokens = min(initialTokens, b.capacity())
}
