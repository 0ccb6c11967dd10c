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
func (b *Bucket) SetLimits(now time.Duration, rate, burst float64) {
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
func (b *Bucket) PutBack() { b.tokens = min(b.burst, b.tokens+1) }

// Rate returns the rate in force, in requests per second.
func (b *Bucket) Rate() float64 { return b.rate }

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

// Part returns the fraction of a rate that a holder may use: demand is what it
// is asked for, sum what all holders are asked for, in requests per second, and
// holders their number. The fractions of all holders add up to 1.
//
// Demands that fit are met and the rest of the rate is divided equally, so that
// a holder to which callers move has room at once. Demands that do not fit are met
// in proportion, apart from a small equal part.
func DemandShare(rate, demand, sum float64, holders int) float64 {
	n := float64(max(1, holders))
	switch {
	case rate <= 0 || sum <= 0:
		return 1 / n
	case DemandFits(rate, sum):
		return (demand + (rate-sum)/n) / rate
	default:
		return (1-equalPart)*demand/sum + equalPart/n
	}
}

// Fits reports whether a demand is met in full by a rate, both in requests per
// second.
func DemandFits(rate, demand float64) bool { return demand <= rate*(1-equalPart) }

// equalPart of a rate goes to all holders alike also when demand exceeds it, so
// that callers that move are not all rejected until the next division.
const equalPart = 0.1

// Wallet holds tokens that a VM got from the VM which counts an account in its
// region, for its next requests. Tokens that are not used soon are lost, so
// that a VM which loses its callers does not hold on to the account's rate.
type TokenCache struct {
	tokens  int
	expires time.Duration
	// used counts the requests since the last Used.
	used int
	rate meter
}

const (
	// walletLife is how long tokens may be kept.
	walletLife = 300 * time.Millisecond
	// prefetch is for how long the tokens of one question are meant to last.
	prefetch = 100 * time.Millisecond
	// maxPrefetch bounds the tokens of one question.
	maxPrefetch = 16
)

// Take counts a request and takes a token if there is one.
func (w *TokenCache) Take(now time.Duration) bool {
	w.used++
	w.rate.add(now)
	if now >= w.expires {
		w.tokens = 0
	}
	if w.tokens == 0 {
		return false
	}
	w.tokens--
	return true
}

// Want returns how many tokens to ask for, the one for this request included.
func (w *TokenCache) Want() int {
	return min(max(1, int(w.rate.perSecond*prefetch.Seconds())), maxPrefetch)
}

// Used returns the number of requests since the last call.
func (w *TokenCache) TakeUsed() int {
	n := w.used
	w.used = 0
	return n
}

// Put adds tokens.
func (w *TokenCache) Add(now time.Duration, n int) {
	if now >= w.expires {
		w.tokens = 0
	}
	w.tokens += n
	w.expires = now + walletLife
}

// meter measures a rate over windows of a second.
type meter struct {
	perSecond float64
	count     int
	since     time.Duration
}

func (m *meter) add(now time.Duration) {
	m.count++
	if passed := now - m.since; passed >= time.Second {
		m.perSecond = float64(m.count) / passed.Seconds()
		m.count, m.since = 0, now
	}
}

// Grant takes up to want tokens, or tells in how long there will be one.
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

// Allowance is what an account may send beyond its rate and burst before its
// limit counts as broken.
type Allowance struct {
	// Tolerance is a share of rate and burst, Slack a number of requests.
	Tolerance, Margin float64
}

// allowanceUsed is the part of an allowance that is used, so that requests
// which arrive unevenly are not rejected within the rate; the rest covers
// counts that overlap while VMs come and go.
const allowanceUsed = 0.5

// Share returns rate and burst of a holder of a part.
func (a Allowance) ShareLimits(rate, burst, part float64) (partRate, partBurst float64) {
	more := 1 + a.Tolerance*allowanceUsed
	return rate * part * more, max(1, (burst*more+a.Margin*allowanceUsed)*part)
}

// First returns the tokens of a new bucket of a holder of a part, so that the
// account's callers are not all rejected when a VM takes over. The burst may have
// been used up a moment ago: half of the allowance that is not used otherwise is
// given, so that two restarts of a fleet within one window stay within the
// tolerance.
func (a Allowance) InitialTokens(burst, part float64) float64 {
	return min(burst, (1-allowanceUsed)/2*(a.Tolerance*burst+a.Margin)) * part
}

// Start fills a new bucket with its first tokens.
func (b *Bucket) Init(now time.Duration, rate, burst, first float64) {
	b.SetLimits(now, rate, burst)
	b.tokens = min(first, burst)
}
