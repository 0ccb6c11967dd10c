package quota

import (
	"math"
	"time"
)

// TotalUnits is the number of units of every limit.
const TotalUnits = 1 << 20

const (
	accountPrefix = "account/"
	regionPrefix  = "region/"
	linkPrefix    = "link/"
	linkArrow     = "->"
)

// Limit is the declared rate and burst of one limit, for all VMs together.
type Limit struct {
	Name string
	// RatePerSecond is in tokens per second.
	RatePerSecond float64
	// Burst is in tokens.
	Burst float64
}

// AccountLimit returns the name of the limit of a client account.
func AccountLimit(account string) string { return accountPrefix + account }

// RegionLimit returns the name of the limit of a region's cap.
func RegionLimit(region string) string { return regionPrefix + region }

// LinkLimit returns the name of the limit of the link from one region to another.
func LinkLimit(from, to string) string { return linkPrefix + from + linkArrow + to }

// limitState is this VM's state of one limit.
type limitState struct {
	limit      Limit
	configured bool
	// removedAt is when the limit was last removed from the configuration.
	removedAt time.Time

	units      uint32
	tokens     float64
	refilledAt time.Time
	demand     demandEstimate
	waiting    waitingTokens

	round         uint64
	recordedUnits uint32 // units held when the round was entered
	credited      bool

	requests     requestState
	home         int        // index of Manager.peers, -1: this VM
	remoteHomes  []int      // homes of the other regions
	usesHome     bool       // unused units are returned to the home
	hints        []peerHint // by index of Manager.peers
	lastSentHint sentHint

	missingSince time.Time
	lastRoundAt  time.Time
	reconciled   bool // the reconciler has credited the limit in this epoch
}

// fractionOf returns the fraction of the limit that u units stand for.
func fractionOf(u uint32) float64 { return float64(u) / TotalUnits }

func (s *limitState) rate() float64     { return s.limit.RatePerSecond * fractionOf(s.units) }
func (s *limitState) capacity() float64 { return s.limit.Burst * fractionOf(s.units) }

// refill adds the tokens earned since the last call.
func (s *limitState) refill(now time.Time) {
	if dt := now.Sub(s.refilledAt); dt > 0 {
		s.tokens += s.rate() * dt.Seconds()
		s.refilledAt = now
	}
	s.capTokens()
}

func (s *limitState) capTokens() { s.tokens = min(s.tokens, s.capacity()) }

// add puts units and tokens into the bucket. Tokens above the capacity are
// dropped: while a change of the burst spreads, the sender may still use a larger
// burst.
func (s *limitState) add(now time.Time, units uint32, tokens float64) {
	s.refill(now)
	s.units += units
	s.tokens += tokens
	s.capTokens()
}

// remove takes units and at least the given tokens out of the bucket. It takes
// more tokens if the remaining units could not hold the rest. It returns the
// tokens taken in thousandths.
func (s *limitState) remove(now time.Time, units uint32, tokens float64) (milli uint64) {
	s.refill(now)
	carried := s.limit.Burst * fractionOf(units)
	rest := s.limit.Burst * fractionOf(s.units-units)
	taken := min(max(tokens, s.tokens-rest), carried, s.tokens)
	milli = uint64(math.Floor(taken * milliPerToken))
	s.units -= units
	s.tokens = max(0, s.tokens-taken)
	s.capTokens()
	return milli
}

// unitsFor returns the units whose capacity is the given number of tokens.
func (s *limitState) unitsFor(tokens float64) uint32 {
	if s.limit.Burst <= 0 || tokens >= s.limit.Burst {
		return TotalUnits
	}
	return uint32(math.Ceil(tokens / s.limit.Burst * TotalUnits))
}

// demandUnits returns the recent demand in units.
func (s *limitState) demandUnits(now time.Time) uint32 {
	return s.unitsForRate(s.demand.perSecond(now))
}

// unitsForRate returns the units that earn the rate.
func (s *limitState) unitsForRate(perSecond float64) uint32 {
	if s.limit.RatePerSecond <= 0 {
		return 0
	}
	return uint32(min(perSecond/s.limit.RatePerSecond*TotalUnits, maxDemandUnits))
}
