package quota

import (
	"math"
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// reserveHorizon is the time for which a giver keeps tokens for its own
	// demand while another VM's requests wait.
	reserveHorizon = 150 * time.Millisecond
	// keepMargin is how much more than its own demand a giver keeps. It is
	// below demandMargin so that two VMs do not pull units back and forth.
	keepMargin = 1.1
	// minShare is the least part of its units, as a divisor, that a VM gives
	// while its own requests wait. The demands of two VMs under the same load
	// differ by less.
	minShare = 4
	// maxEarly bounds the messages kept of an epoch not yet entered.
	maxEarly = 512
)

// early is a message of an epoch that this VM has not entered.
type early struct {
	from *peerv1.Member
	msg  *peerv1.Message
}

func (m *Manager) keepEarly(from *peerv1.Member, msg *peerv1.Message) {
	if len(m.future) < maxEarly {
		m.future = append(m.future, early{from, msg})
	}
}

// give answers a request with a transfer, possibly of no units.
func (m *Manager) give(now time.Time, p int, q *peerv1.QuotaRequest) []Send {
	s := m.state(now, q.GetLimit())
	s.refill(now)
	s.hints[p].units, s.hints[p].demand = q.GetHeldUnits(), q.GetDemandUnits()
	units, tokens := uint32(0), 0.0
	if s.configured {
		units, tokens = s.share(now, q, m.self < m.peers[p].member.GetVm())
	}
	return []Send{m.transfer(now, s, p, units, tokens)}
}

// transfer subtracts units and tokens and returns the message that carries
// them.
func (m *Manager) transfer(now time.Time, s *state, p int, units uint32, tokens float64) Send {
	milli := s.remove(now, units, tokens)
	s.hints[p].units += units
	m.peers[p].sequence++
	return m.send(p, &peerv1.Message{Kind: &peerv1.Message_QuotaTransfer{QuotaTransfer: &peerv1.QuotaTransfer{
		Epoch: m.fleet.GetEpoch(), Sequence: m.peers[p].sequence, Limit: s.limit.Name, Round: s.round,
		Units: units, MilliTokens: milli, HeldUnits: s.units, DemandUnits: s.demandUnits(now),
	}}})
}

// share decides what to give. Tokens go to requests that wait unless they are
// needed here within reserveHorizon; units follow the demand.
func (s *state) share(now time.Time, q *peerv1.QuotaRequest, first bool) (units uint32, tokens float64) {
	spareUnits := s.spareUnits(now, q)
	units = min(spareUnits, q.GetUnits())
	if q.GetMilliTokens() == 0 {
		if units < s.minMove() {
			return 0, 0
		}
		return units, s.tokens * float64(units) / float64(max(1, s.units))
	}
	waiting := s.waiting.tokens(now) > 0
	if s.capacity() < 1 {
		// These units cannot hold a whole token. Of two VMs in need, the one
		// that holds more gets them, so that they add up somewhere.
		if waiting && (q.GetHeldUnits() < s.units || q.GetHeldUnits() == s.units && first) {
			return 0, 0
		}
		return s.units, s.tokens
	}
	if !waiting {
		spare := s.tokens - math.Floor(s.demand.perSecond(now)*reserveHorizon.Seconds())
		tokens = max(0, min(spare, float64(q.GetMilliTokens())/milliPerToken))
	}
	if !s.small {
		units = max(units, s.gift(spareUnits, q))
	}
	if s.small || q.GetHeldUnits() < q.GetDemandUnits() || s.limit.Burst*part(q.GetHeldUnits()) < 1 {
		units = max(units, s.unitsFor(tokens))
	} else {
		// The requester earns enough: its shortage passes. The units that its
		// tokens need must not be missing here.
		units = max(units, min(s.unitsFor(tokens), spareUnits))
	}
	units = min(units, s.units)
	if waiting && units < max(s.minMove(), s.units/minShare) {
		return 0, 0
	}
	if s.units-units < s.unitsFor(1) && !waiting && units > 0 {
		units = s.units // the rest could not hold a token
	}
	return units, max(min(tokens, s.limit.Burst*part(units)), s.tokens*float64(units)/float64(max(1, s.units)))
}

// spareUnits returns the units that the demand here does not need. If the demand of both
// VMs exceeds what they hold, they divide it in proportion to their demand.
func (s *state) spareUnits(now time.Time, q *peerv1.QuotaRequest) uint32 {
	own, theirs := float64(s.demandUnits(now)), float64(q.GetDemandUnits())
	both := float64(s.units) + float64(q.GetHeldUnits())
	keep := own * keepMargin
	if own+theirs > both && own > 0 {
		keep = both * own / (own + theirs)
	}
	return uint32(max(0, float64(s.units)-keep))
}

// gift returns the units to give beyond those asked for. A requester to which
// traffic has just moved cannot know its demand: an even division of what both
// hold beyond their demand saves it several round trips.
func (s *state) gift(spare uint32, q *peerv1.QuotaRequest) uint32 {
	theirs := float64(q.GetHeldUnits()) - float64(q.GetDemandUnits())*keepMargin
	return uint32(max(0, float64(spare)-max(0, theirs)) / 2)
}

// accept adds the units of a transfer, once.
func (m *Manager) accept(now time.Time, p int, t *peerv1.QuotaTransfer) []Send {
	s := m.state(now, t.GetLimit())
	if !m.peers[p].seen.first(t.GetSequence()) || t.GetRound() < s.round {
		return nil
	}
	if t.GetRound() > s.round {
		s.enterRound(t.GetRound())
	}
	h := &s.hints[p]
	h.units, h.demand = t.GetHeldUnits(), t.GetDemandUnits()
	s.add(now, t.GetUnits(), float64(t.GetMilliTokens())/milliPerToken)
	s.asking.answered(t.GetUnits())
	if t.GetUnits() == 0 {
		if s.asking.tokens > 0 {
			h.deniedAt = now
		}
		if s.asking.answers == 0 {
			s.refill(now)
			return m.askForWaiting(now, s)
		}
		return nil
	}
	return nil
}

// HandOver gives all units to the named VMs, at a planned stop. Units that
// arrive later are handed over by Tick.
func (m *Manager) HandOver(now time.Time, to []string) []Send {
	m.leaving, m.heirs = true, to
	return m.handOver(now)
}

func (m *Manager) handOver(now time.Time) []Send {
	heirs := make([]int, 0, len(m.heirs))
	for _, vm := range m.heirs {
		if p := m.peer(vm); p >= 0 {
			heirs = append(heirs, p)
		}
	}
	if !m.member || len(heirs) == 0 {
		return nil
	}
	var sends []Send
	for _, s := range m.order {
		sends = append(sends, m.handOverLimit(now, s, heirs)...)
	}
	return sends
}

// handOverLimit divides the units of one limit, by demand and evenly.
func (m *Manager) handOverLimit(now time.Time, s *state, heirs []int) []Send {
	if s.units == 0 {
		return nil
	}
	s.refill(now)
	demands := make([]uint32, len(heirs))
	for i, p := range heirs {
		demands[i] = s.hints[p].demand
	}
	parts := divide(s.units, demands)
	units, tokens := s.units, s.tokens
	var sends []Send
	for i, p := range heirs {
		if parts[i] > 0 {
			sends = append(sends, m.transfer(now, s, p, parts[i], tokens*float64(parts[i])/float64(units)))
		}
	}
	return sends
}

// divide splits units in proportion to the demands plus an equal part, which
// together stands for the whole limit; the parts add up to units.
func divide(units uint32, demands []uint32) []uint32 {
	base := float64(TotalUnits) / 4 / float64(len(demands))
	sum := 0.0
	for _, d := range demands {
		sum += float64(d) + base
	}
	parts := make([]uint32, len(demands))
	left := units
	for i, d := range demands {
		parts[i] = min(left, uint32(float64(units)*(float64(d)+base)/sum))
		left -= parts[i]
	}
	parts[0] += left
	return parts
}
