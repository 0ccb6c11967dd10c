package quota

import (
	"math"
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// reserveTime is the time for whose demand a VM keeps its tokens when it
	// gives to another VM whose requests wait.
	reserveTime = 150 * time.Millisecond
	// keepMargin is the ratio of the units that a giving VM keeps to its own
	// demand. It is below demandMargin so that two VMs do not move units back and
	// forth.
	keepMargin = 1.1
	// minGivenDivisor bounds the units given by a VM whose own requests wait: it
	// gives at least its units divided by minGivenDivisor, or nothing. The demands
	// of two VMs under the same load differ by less than that.
	minGivenDivisor = 4
	// maxEarlyMessages bounds the messages that are kept until this VM enters their
	// epoch.
	maxEarlyMessages = 512
)

// earlyMessage is a message of an epoch that this VM has not entered.
type earlyMessage struct {
	from *peerv1.Member
	msg  *peerv1.Message
}

func (m *Manager) bufferEarlyMessage(from *peerv1.Member, msg *peerv1.Message) {
	if len(m.earlyMessages) < maxEarlyMessages {
		m.earlyMessages = append(m.earlyMessages, earlyMessage{from, msg})
	}
}

// handleRequest answers a request with a transfer, possibly of no units.
func (m *Manager) handleRequest(now time.Time, p int, q *peerv1.QuotaRequest) []Send {
	s := m.state(now, q.GetLimit())
	s.refill(now)
	s.hints[p].units, s.hints[p].demand = q.GetHeldUnits(), q.GetDemandUnits()
	units, tokens := uint32(0), 0.0
	if s.configured {
		units, tokens = s.decideTransfer(now, q, m.self < m.peers[p].member.GetVm())
	}
	return []Send{m.transfer(now, s, p, units, tokens)}
}

// transfer subtracts units and tokens and returns the message that carries them.
func (m *Manager) transfer(now time.Time, s *limitState, p int, units uint32, tokens float64) Send {
	milli := s.remove(now, units, tokens)
	s.hints[p].units += units
	m.peers[p].sequence++
	return m.send(p, &peerv1.Message{Kind: &peerv1.Message_QuotaTransfer{QuotaTransfer: &peerv1.QuotaTransfer{
		Epoch: m.fleet.GetEpoch(), Sequence: m.peers[p].sequence, Limit: s.limit.Name, Round: s.round,
		Units: units, MilliTokens: milli, HeldUnits: s.units, DemandUnits: s.demandUnits(now),
	}}})
}

// decideTransfer returns the units and tokens to give. Waiting requests get
// tokens unless these are needed here within reserveTime. Units are given
// according to the demand of both VMs. If requests wait at both VMs, neither of
// which holds enough units for a token, and both hold equally many, this VM
// keeps its units if winsTie is set.
func (s *limitState) decideTransfer(now time.Time, q *peerv1.QuotaRequest, winsTie bool) (units uint32, tokens float64) {
	spareUnits := s.spareUnits(now, q)
	units = min(spareUnits, q.GetUnits())
	if q.GetMilliTokens() == 0 {
		if units < s.minTransfer() {
			return 0, 0
		}
		return units, s.tokens * float64(units) / float64(max(1, s.units))
	}
	waiting := s.waiting.total(now) > 0
	if s.capacity() < 1 {
		// These units cannot hold a whole token. If requests wait at both
		// VMs, the VM that holds more gets all units, so that they
		// accumulate at one of them.
		if waiting && (q.GetHeldUnits() < s.units || q.GetHeldUnits() == s.units && winsTie) {
			return 0, 0
		}
		return s.units, s.tokens
	}
	if !waiting {
		spare := s.tokens - math.Floor(s.demand.perSecond(now)*reserveTime.Seconds())
		tokens = max(0, min(spare, float64(q.GetMilliTokens())/milliPerToken))
	}
	if !s.usesHome {
		units = max(units, s.extraUnits(spareUnits, q))
	}
	if s.usesHome || q.GetHeldUnits() < q.GetDemandUnits() || s.limit.Burst*fractionOf(q.GetHeldUnits()) < 1 {
		units = max(units, s.unitsFor(tokens))
	} else {
		// The requester's units earn enough, so its shortage is temporary. The
		// units that carry the tokens must not be needed here.
		units = max(units, min(s.unitsFor(tokens), spareUnits))
	}
	units = min(units, s.units)
	if waiting && units < max(s.minTransfer(), s.units/minGivenDivisor) {
		return 0, 0
	}
	if s.units-units < s.unitsFor(1) && !waiting && units > 0 {
		units = s.units // the remaining units could not hold a token
	}
	return units, max(min(tokens, s.limit.Burst*fractionOf(units)), s.tokens*float64(units)/float64(max(1, s.units)))
}

// spareUnits returns the units that the demand here does not need. If the demand
// of both VMs exceeds what they hold, they divide it in proportion to their
// demand.
func (s *limitState) spareUnits(now time.Time, q *peerv1.QuotaRequest) uint32 {
	ownDemand, peerDemand := float64(s.demandUnits(now)), float64(q.GetDemandUnits())
	both := float64(s.units) + float64(q.GetHeldUnits())
	keep := ownDemand * keepMargin
	if ownDemand+peerDemand > both && ownDemand > 0 {
		keep = both * ownDemand / (ownDemand + peerDemand)
	}
	return uint32(max(0, float64(s.units)-keep))
}

// extraUnits returns the units to give beyond those requested. A requester to
// which traffic has just moved cannot know its demand. An even division of what
// both VMs hold beyond their demand saves it several round trips.
func (s *limitState) extraUnits(spare uint32, q *peerv1.QuotaRequest) uint32 {
	peerSurplus := float64(q.GetHeldUnits()) - float64(q.GetDemandUnits())*keepMargin
	return uint32(max(0, float64(spare)-max(0, peerSurplus)) / 2)
}

// handleTransfer adds the units of a transfer, once.
func (m *Manager) handleTransfer(now time.Time, p int, t *peerv1.QuotaTransfer) []Send {
	s := m.state(now, t.GetLimit())
	if !m.peers[p].received.firstSeen(t.GetSequence()) || t.GetRound() < s.round {
		return nil
	}
	if t.GetRound() > s.round {
		s.enterRound(t.GetRound())
	}
	h := &s.hints[p]
	h.units, h.demand, h.requestedAt = t.GetHeldUnits(), t.GetDemandUnits(), time.Time{}
	s.add(now, t.GetUnits(), float64(t.GetMilliTokens())/milliPerToken)
	s.requests.recordAnswer(t.GetUnits())
	if t.GetUnits() == 0 {
		if s.requests.requestedTokens > 0 {
			h.deniedAt = now
		}
		s.refill(now)
		if s.usesHome && s.requests.replacements < maxReplacementRequests {
			// Another peer is asked immediately: if few peers hold whole
			// tokens, waiting for the slowest answer would use up MaxWait.
			s.requests.requestedTokens, s.requests.cycleStartedAt, s.requests.isReplacing = 0, time.Time{}, true
			s.requests.replacements++
			sends := m.requestForWaiting(now, s)
			s.requests.isReplacing = false
			return sends
		}
		if s.requests.pending == 0 {
			return m.requestForWaiting(now, s)
		}
		return nil
	}
	return nil
}

// HandOver gives all units to the named VMs at a planned stop. Tick hands over
// units that arrive later.
func (m *Manager) HandOver(now time.Time, to []string) []Send {
	m.leaving, m.handOverTo = true, to
	return m.transferAllUnits(now)
}

// transferAllUnits transfers the units of all limits to the VMs in handOverTo.
func (m *Manager) transferAllUnits(now time.Time) []Send {
	targets := make([]int, 0, len(m.handOverTo))
	for _, vm := range m.handOverTo {
		if p := m.peerIndex(vm); p >= 0 {
			targets = append(targets, p)
		}
	}
	if !m.member || len(targets) == 0 {
		return nil
	}
	var sends []Send
	for _, s := range m.sorted {
		sends = append(sends, m.transferLimitUnits(now, s, targets)...)
	}
	return sends
}

// transferLimitUnits divides the units of one limit among the targets.
func (m *Manager) transferLimitUnits(now time.Time, s *limitState, targets []int) []Send {
	if s.units == 0 {
		return nil
	}
	s.refill(now)
	demands := make([]uint32, len(targets))
	for i, p := range targets {
		demands[i] = s.hints[p].demand
	}
	parts := divideByDemand(s.units, demands)
	units, tokens := s.units, s.tokens
	var sends []Send
	for i, p := range targets {
		if parts[i] > 0 {
			sends = append(sends, m.transfer(now, s, p, parts[i], tokens*float64(parts[i])/float64(units)))
		}
	}
	return sends
}

// divideByDemand splits units in proportion to the demands plus an equal base
// demand. The base demands add up to a quarter of TotalUnits, and the results to
// units.
func divideByDemand(units uint32, demands []uint32) []uint32 {
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
