package ratelimit

import (
	"cmp"
	"math"
	"time"
)

// Owners of an account in several regions lend each other tokens. Callers that move to
// another region would otherwise be rejected there until the shares have followed them,
// while the tokens of their earlier region are not used. Lending adds nothing to the
// rate: the lender's burst is lower until the tokens have certainly been used or have
// expired.

const (
	// LendersPerRound is the number of owners in other regions that are asked at once.
	LendersPerRound = 3
	// BorrowTimeout is how long the answer to a request for tokens may take. It is
	// above the round-trip time between distant regions.
	BorrowTimeout = 200 * time.Millisecond
	// borrowedTTL is how long borrowed tokens may be used.
	borrowedTTL = 100 * time.Millisecond
	// lentHold is how long a lender's burst is lower: the answer may arrive
	// BorrowTimeout after the request, which it answers, and the tokens then last.
	lentHold = BorrowTimeout + borrowedTTL
	// lendReserve is the time of the lender's own demand for which it keeps tokens, but
	// not more than maxReserve of its burst.
	lendReserve = 250 * time.Millisecond
	maxReserve  = 0.5
	// An owner borrows when it has tokens for fewer than borrowAheadTrips round trips to
	// its lenders at the present demand, and then borrows for borrowTrips of them.
	borrowAheadTrips = 3
	borrowTrips      = 3
	// defaultTripTime is assumed before a lender has answered.
	defaultTripTime = 50 * time.Millisecond
	// maxBorrowed bounds the tokens of one request.
	maxBorrowed = 64
	// minBorrowBackoff and maxBorrowBackoff bound the pause after requests that brought
	// nothing: the account uses its rate everywhere.
	minBorrowBackoff = 100 * time.Millisecond
	maxBorrowBackoff = 2 * time.Second
	// useHalfLife is the time in which past requests count half in the demand that
	// decides what is lent and borrowed. It is short, because callers move at once.
	useHalfLife = 100 * time.Millisecond
)

// recentUse measures a demand that may change at once.
type recentUse struct {
	count float64
	at    time.Duration
}

func (u *recentUse) add(now time.Duration, n float64) {
	u.decay(now)
	u.count += n
}

func (u *recentUse) decay(now time.Duration) {
	if now > u.at {
		u.count *= math.Exp2(-float64(now-u.at) / float64(useHalfLife))
		u.at = now
	}
}

// perSecond returns the demand in requests per second.
func (u *recentUse) perSecond(now time.Duration) float64 {
	u.decay(now)
	return u.count * math.Ln2 / useHalfLife.Seconds()
}

// borrowing is the state of an owner that borrows tokens.
type borrowing struct {
	// batches are the borrowed tokens, the oldest first.
	batches []borrowedBatch
	// answers is the number of answers that a round still waits for until roundEnds,
	// gained the tokens that it has brought.
	answers   int
	roundEnds time.Duration
	gained    int
	// pauseUntil and pause are the time and the duration of the pause after rounds that
	// brought nothing.
	pauseUntil, pause time.Duration
	// tripTime is the longest time in which the lenders of the last round answered.
	tripTime time.Duration
}

type borrowedBatch struct {
	tokens    int
	expiresAt time.Duration
}

// available returns the number of borrowed tokens.
func (b *borrowing) available(now time.Duration) int {
	expired := 0
	for expired < len(b.batches) && now >= b.batches[expired].expiresAt {
		expired++
	}
	b.batches = b.batches[expired:]
	sum := 0
	for _, batch := range b.batches {
		sum += batch.tokens
	}
	return sum
}

// take takes up to want borrowed tokens.
func (b *borrowing) take(now time.Duration, want int) int {
	taken := min(want, b.available(now))
	for left := taken; left > 0; {
		n := min(left, b.batches[0].tokens)
		b.batches[0].tokens -= n
		left -= n
		if b.batches[0].tokens == 0 {
			b.batches = b.batches[1:]
		}
	}
	return taken
}

// NeedsLoan reports whether tokens are to be requested of lenders now.
func (b *OwnerBucket) NeedsLoan(now time.Duration) bool {
	b.endRound(now)
	if b.borrowing.answers > 0 || now < b.borrowing.pauseUntil {
		return false
	}
	return b.available(now) < max(1, b.use.perSecond(now)*borrowAheadTrips*b.borrowing.trip().Seconds())
}

func (b *OwnerBucket) available(now time.Duration) float64 {
	return b.Tokens(now) + float64(b.borrowing.available(now))
}

// trip returns the time that a round takes.
func (b *borrowing) trip() time.Duration { return cmp.Or(b.tripTime, defaultTripTime) }

// Borrow returns the number of tokens to request from each of a number of lenders; 0 if
// none are to be requested now. It starts a round, which ends with the answers of all
// lenders or after BorrowTimeout.
func (b *OwnerBucket) Borrow(now time.Duration, lenders int) (want int) {
	if lenders == 0 || !b.NeedsLoan(now) {
		return 0
	}
	b.borrowing.answers, b.borrowing.roundEnds, b.borrowing.gained = lenders, now+BorrowTimeout, 0
	needed := b.use.perSecond(now)*borrowTrips*b.borrowing.trip().Seconds() - b.available(now)
	want = min(max(1, int(math.Ceil(needed))), maxBorrowed)
	return (want + lenders - 1) / lenders
}

// IsBorrowing reports whether the answers of lenders are awaited.
func (b *OwnerBucket) IsBorrowing(now time.Duration) bool {
	b.endRound(now)
	return b.borrowing.answers > 0
}

// BorrowedSome reports whether the last round has ended and brought tokens, so that
// another one is worth waiting for.
func (b *OwnerBucket) BorrowedSome() bool { return b.borrowing.answers == 0 && b.borrowing.gained > 0 }

// endRound ends a round whose answers did not come in time.
func (b *OwnerBucket) endRound(now time.Duration) {
	if b.borrowing.answers > 0 && now >= b.borrowing.roundEnds {
		b.borrowing.answers = 0
		b.pauseAfterRound(now)
	}
}

func (b *OwnerBucket) pauseAfterRound(now time.Duration) {
	if b.borrowing.gained > 0 {
		b.borrowing.pause = 0
		return
	}
	b.borrowing.pause = min(max(2*b.borrowing.pause, minBorrowBackoff), maxBorrowBackoff)
	b.borrowing.pauseUntil = now + b.borrowing.pause
}

// Borrowed adds the tokens of a lender's answer to a request that was sent at sentAt.
// Those of an answer that comes too late are lost.
func (b *OwnerBucket) Borrowed(now, sentAt time.Duration, tokens int) {
	if now-sentAt >= BorrowTimeout || tokens < 0 || tokens > maxBorrowed {
		return
	}
	if tokens > 0 {
		b.borrowing.batches = append(b.borrowing.batches, borrowedBatch{tokens, now + borrowedTTL})
	}
	b.borrowing.gained += tokens
	b.borrowing.tripTime = max(now-sentAt, b.borrowing.tripTime*3/4, time.Millisecond)
	if b.borrowing.answers > 0 {
		if b.borrowing.answers--; b.borrowing.answers == 0 {
			b.pauseAfterRound(now)
		}
	}
}

// Lend takes up to want tokens for the owner of another region. It keeps those that its
// own callers need next.
func (b *OwnerBucket) Lend(now time.Duration, want int) (lent int) {
	reserve := min(b.use.perSecond(now)*lendReserve.Seconds(), maxReserve*b.burst)
	spare := b.Tokens(now) - reserve
	lent = min(want, maxBorrowed, int(max(0, spare)))
	if lent > 0 {
		b.hold(now, float64(lent), lentHold)
	}
	return lent
}
