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

// Limit is the declared rate and burst of one limit, over all VMs together.
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

// LinkLimit returns the name of the limit of the link from one region to
// another.
func LinkLimit(from, to string) string { return linkPrefix + from + linkArrow + to }

// state is this VM's part of one limit.
type state struct {
	limit      Limit
	configured bool
	// removedAt is when the limit was last taken out of the configuration.
	removedAt time.Time

	units    uint32
	tokens   float64
	filledAt time.Time
	demand   demand
	waiting  waiting

	round    uint64
	recorded uint32 // holding at the entry into the round
	credited bool

	asking asking
	home   int        // index of Manager.peers, -1: this VM
	small  bool       // unused units go to the home
	hints  []peerHint // by index of Manager.peers
	told   toldHint

	missingSince time.Time
	lastRound    time.Time
	reconciled   bool // the reconciler has credited the limit in this epoch
}

// part returns the fraction of the limit that u units stand for.
func part(u uint32) float64 { return float64(u) / TotalUnits }

func (s *state) rate() float64     { return s.limit.RatePerSecond * part(s.units) }
func (s *state) capacity() float64 { return s.limit.Burst * part(s.units) }

// refill adds the tokens earned since the last call.
func (s *state) refill(now time.Time) {
	if dt := now.Sub(s.filledAt); dt > 0 {
		s.tokens += s.rate() * dt.Seconds()
		s.filledAt = now
	}
	s.clamp()
}

func (s *state) clamp() { s.tokens = min(s.tokens, s.capacity()) }

// add puts units and tokens into the bucket. Tokens above the capacity are
// dropped: the giver may act on a larger burst while a change spreads.
func (s *state) add(now time.Time, units uint32, tokens float64) {
	s.refill(now)
	s.units += units
	s.tokens += tokens
	s.clamp()
}

// remove takes units and at least the given tokens out of the bucket. It takes
// more tokens if the remaining units could not hold the rest, and returns them
// in thousandths.
func (s *state) remove(now time.Time, units uint32, tokens float64) (milli uint64) {
	s.refill(now)
	carried := s.limit.Burst * part(units)
	rest := s.limit.Burst * part(s.units-units)
	out := min(max(tokens, s.tokens-rest), carried, s.tokens)
	milli = uint64(math.Floor(out * milliPerToken))
	s.units -= units
	s.tokens = max(0, s.tokens-out)
	s.clamp()
	return milli
}

// unitsFor returns the units whose capacity is the given tokens.
func (s *state) unitsFor(tokens float64) uint32 {
	if s.limit.Burst <= 0 || tokens >= s.limit.Burst {
		return TotalUnits
	}
	return uint32(math.Ceil(tokens / s.limit.Burst * TotalUnits))
}

// demandUnits returns the recent demand in units.
func (s *state) demandUnits(now time.Time) uint32 {
	return s.unitsOfRate(s.demand.perSecond(now))
}

// unitsOfRate returns the units that earn the rate.
func (s *state) unitsOfRate(perSecond float64) uint32 {
	if s.limit.RatePerSecond <= 0 {
		return 0
	}
	return uint32(min(perSecond/s.limit.RatePerSecond*TotalUnits, maxDemandUnits))
}
