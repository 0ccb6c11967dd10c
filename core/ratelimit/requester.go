package ratelimit

import "time"

// Request asks the owner of an account for tokens.
type Request struct {
	// Want is the number of tokens, the one for the waiting request included.
	Want int `json:"want"`
	// Used is the number of requests since the last Request, this one included.
	Used int `json:"used"`
	// Credit is the number of requests that the requester has admitted on credit
	// since its start, Unsettled those of them that it does not know to be settled.
	Credit    uint64 `json:"credit,omitempty"`
	Unsettled uint64 `json:"unsettled,omitempty"`
}

// Grant is the owner's answer to a Request. If Tokens is 0, Wait is the time until
// there will be one.
type Grant struct {
	Tokens int
	Wait   time.Duration
	// Pending is set if the answer follows once the owner has tokens of the owners in
	// other regions. The request needs no credit meanwhile.
	Pending bool
	// Settled is the credit that the owner has taken from its bucket, as in
	// Request.Credit.
	Settled uint64
	// Fill is how full the owner's bucket is after the grant, from 0 to 1. It is valid only
	// if HasFill is set.
	Fill    float64
	HasFill bool
}

// Requester takes tokens of one account on a VM that does not own it: from its
// cache, from the owner, and on credit while the owner does not answer in time. The
// owner takes the credit from its bucket with the next request that reaches it, so
// that an owner which answers late does not add to the rate.
type Requester struct {
	cache  TokenCache
	credit Bucket
	limits CreditLimits
	owner  string
	// total is the credit taken, sent the part of it that the owner was told, and
	// settled the part that it has confirmed.
	total, sent, settled uint64
	// unansweredSince is when the first request was sent after the owner's last
	// answer, if isUnanswered is set.
	unansweredSince time.Duration
	isUnanswered    bool
	// granted is how full the owner's bucket was when it last said so, estimated how full it
	// was by the newest digest.
	granted, estimated knownFill
}

// knownFill is how full an owner's bucket was, from 0 to 1. It is used once, when the owner
// falls silent.
type knownFill struct {
	fill  float64
	at    time.Duration
	known bool
}

// left returns the equal share of a VM in the tokens of the bucket and in what has come in since.
func (k knownFill) left(now time.Duration, limits CreditLimits) float64 {
	return k.fill*limits.Burst + limits.Rate*(now-k.at).Seconds()
}

// How long a request waits for the owner of its account.
const (
	// GrantTimeout is the time after which it is admitted on credit. Round trips
	// within a region take a few milliseconds.
	GrantTimeout = 40 * time.Millisecond
	// GrantTimeoutWithoutCredit is the time if the credit does not suffice. A VM
	// that has used up its share of a processor answers within 100 ms, and a
	// rejection costs the caller more.
	GrantTimeoutWithoutCredit = 160 * time.Millisecond
	// PendingGrantTimeout is the time if the owner has announced its answer.
	PendingGrantTimeout = BorrowTimeout + GrantTimeout
)

// ownerSilence is the time without an answer after which the owner of an account is
// taken to be unreachable rather than late.
const ownerSilence = 300 * time.Millisecond

// NewRequester returns a requester whose credit has the given limits.
func NewRequester(now time.Duration, limits CreditLimits) *Requester {
	r := &Requester{limits: limits}
	r.credit.Init(now, limits.Rate, limits.Burst, limits.Unsettled)
	return r
}

// SetCreditLimits changes the limits of the credit.
func (r *Requester) SetCreditLimits(now time.Duration, limits CreditLimits) {
	r.limits = limits
	r.credit.SetLimits(now, limits.Rate, limits.Burst)
}

// Take counts a request and takes a token from the cache if there is one.
func (r *Requester) Take(now time.Duration) bool { return r.cache.Take(now) }

// TakeUsed returns the number of requests since the last Request or TakeUsed.
func (r *Requester) TakeUsed() int { return r.cache.TakeUsed() }

// Request returns the next message to the owner. A new owner does not collect the
// credit of the earlier one: the tokens which that one did not grant are not used.
func (r *Requester) Request(now time.Duration, owner string) Request {
	if r.owner != "" && owner != r.owner {
		r.settled, r.isUnanswered = r.total, false
	}
	r.owner = owner
	if !r.isUnanswered {
		r.isUnanswered, r.unansweredSince = true, now
	}
	r.sent = r.total
	return Request{Want: r.cache.Want(), Used: r.cache.TakeUsed(), Credit: r.total, Unsettled: r.total - r.settled}
}

// LoseOwner records that no VM is known to own the account.
func (r *Requester) LoseOwner() { r.owner = "" }

// TakeCredit admits a request without a token of the owner if the credit allows it.
// If not, wait is the time until it may. While the owner answers, if late, little
// credit may be unsettled; otherwise, or without an owner, this VM uses its equal share
// of the rate and of what was left of the burst.
func (r *Requester) TakeCredit(now time.Duration) (ok bool, wait time.Duration) {
	ownerIsSilent := r.owner == "" || r.isUnanswered && now-r.unansweredSince >= ownerSilence
	if !ownerIsSilent && float64(r.total-r.settled) >= max(1, r.limits.Unsettled) {
		return false, ownerSilence
	}
	if ownerIsSilent {
		r.limitToFill(now)
	}
	if ok, wait = r.credit.Take(now); ok {
		r.total++
	}
	return ok, wait
}

// limitToFill lowers the credit to this VM's equal share of the tokens that the owner had
// when it last answered, or by the newest digest, and what has come in since. The burst that
// the owner has granted, to this VM or to others, must not be used again.
func (r *Requester) limitToFill(now time.Duration) {
	for _, k := range []*knownFill{&r.granted, &r.estimated} {
		if k.known {
			k.known = false
			r.credit.refill(now)
			r.credit.tokens = min(r.credit.tokens, k.left(now, r.limits))
		}
	}
}

// EstimateFill records how full the owner's bucket is by the newest digest.
func (r *Requester) EstimateFill(e *BurstEstimate) { r.estimated = e.fill() }

// HandleGrant adds the tokens of a grant to the cache. late is set if no request
// waits for it any more; its tokens then first replace credit of which the owner
// does not know.
func (r *Requester) HandleGrant(now time.Duration, g Grant, late bool) {
	r.isUnanswered = false
	if g.HasFill {
		r.granted = knownFill{g.Fill, now, true}
	}
	if g.Settled > r.settled && g.Settled <= r.total {
		if g.Tokens > 0 {
			// An owner without tokens has not recovered the credit yet.
			r.credit.putBack(float64(g.Settled - r.settled))
		}
		r.settled = g.Settled
	}
	tokens := g.Tokens
	for ; late && tokens > 0 && r.total > r.sent; tokens-- {
		r.total--
		r.credit.putBack(1)
	}
	r.cache.Add(now, tokens)
}

// PutBack returns the token of a request that did not reach a backend server.
func (r *Requester) PutBack(now time.Duration) { r.cache.Add(now, 1) }

// OwnerBucket is the bucket of the VM that owns an account in its region.
type OwnerBucket struct {
	Bucket
	// initialTokens are those with which the bucket began.
	initialTokens float64
	// settled is the credit that was taken from the bucket, by requester.
	settled map[RequesterID]uint64
	// use is the demand of the requests that reach this owner.
	use       recentUse
	borrowing borrowing
}

// RequesterID identifies one start of a VM that requests tokens.
type RequesterID struct {
	Address     string
	Incarnation int64
}

// NewOwnerBucket returns a bucket with the given limits and initial tokens.
func NewOwnerBucket(now time.Duration, rate, burst, initialTokens float64) *OwnerBucket {
	b := &OwnerBucket{settled: make(map[RequesterID]uint64), initialTokens: initialTokens}
	b.Init(now, rate, burst, initialTokens)
	return b
}

// RaiseInitialTokens adds tokens if the bucket began with fewer than it would with
// the current share. While a fleet starts, the share of an owner grows with each VM
// that finds it.
func (b *OwnerBucket) RaiseInitialTokens(initialTokens float64) {
	if initialTokens > b.initialTokens {
		b.putBack(initialTokens - b.initialTokens)
		b.initialTokens = initialTokens
	}
}

// NewBucket returns the bucket of an owner with a share of an account's rate and burst.
func (a Allowance) NewBucket(now time.Duration, rate, burst, share float64) *OwnerBucket {
	shareRate, shareBurst := a.ShareLimits(rate, burst, share)
	return NewOwnerBucket(now, shareRate, shareBurst, a.InitialTokens(rate, burst, share))
}

// SetShare updates the limits of an owner's bucket. starting is set while the share
// still grows because the fleet starts.
func (a Allowance) SetShare(now time.Duration, b *OwnerBucket, rate, burst, share float64, starting bool) {
	shareRate, shareBurst := a.ShareLimits(rate, burst, share)
	b.SetLimits(now, shareRate, shareBurst)
	if starting {
		b.RaiseInitialTokens(a.InitialTokens(rate, burst, share))
	}
}

// GrantTo answers a request.
func (b *OwnerBucket) GrantTo(now time.Duration, from RequesterID, r Request) Grant {
	b.refill(now)
	due := r.Unsettled
	if known, ok := b.settled[from]; ok && known <= r.Credit {
		// An earlier answer may have been lost, and another VM may have owned the
		// account in between.
		due = min(due, r.Credit-known)
	}
	if r.Credit > 0 {
		b.settled[from] = r.Credit
	}
	// What was admitted on credit has run, so the bucket may be overdrawn.
	b.tokens = max(b.tokens-float64(due), min(b.tokens, -b.rate*maxOverdraft.Seconds()))
	b.use.add(now, float64(r.Used))
	tokens, wait := b.Grant(now, r.Want)
	return Grant{Tokens: tokens, Wait: wait, Settled: r.Credit, Fill: b.fill(), HasFill: true}
}

// Take takes a token for a request of the owner's own callers.
func (b *OwnerBucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	b.use.add(now, 1)
	granted, wait := b.Grant(now, 1)
	return granted > 0, wait
}

// Grant takes up to want tokens, the borrowed ones first.
func (b *OwnerBucket) Grant(now time.Duration, want int) (granted int, wait time.Duration) {
	if granted = b.borrowing.take(now, want); granted > 0 {
		return granted, 0
	}
	return b.Bucket.Grant(now, want)
}

// maxOverdraft bounds the credit that an owner collects, as time at its rate. A VM
// that did not reach the owner for long has used a part of the rate that was free.
const maxOverdraft = 2 * time.Second

// CreditLimits bound what a VM admits of an account without a token of its owner.
type CreditLimits struct {
	// Rate, in requests per second, and Burst are an equal share of those of the
	// account.
	Rate, Burst float64
	// Unsettled is the number of requests that may be unsettled while the owner
	// answers.
	Unsettled float64
}

// CreditLimits returns the limits of the credit of one of a number of VMs. All VMs
// together may have as many requests unsettled as the owners leave of the allowance,
// and each VM one.
func (a Allowance) CreditLimits(rate, burst float64, vms int) CreditLimits {
	share := 1 / float64(max(1, vms))
	shareRate, shareBurst := a.ShareLimits(rate, burst, share)
	return CreditLimits{Rate: shareRate, Burst: shareBurst, Unsettled: max(1, creditAllowance*a.total(rate, burst)*share)}
}
