package quota

import (
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// hintCycleCalls is the number of calls of Hints in which every limit is
	// included at least once, so that a lost hint is replaced. It takes 3 s,
	// since heartbeats are due every 250 ms and sent by the next tick, every 300
	// ms.
	hintCycleCalls = 10
	// minHintChange is the smallest change of units or demand for which the next
	// call of Hints includes the limit.
	minHintChange = TotalUnits / 64
)

// peerHint is what this VM knows about a peer's holding of one limit.
type peerHint struct {
	units, demand uint32
	deniedAt      time.Time // of the last denied request for tokens
	requestedAt   time.Time // of an unanswered request, or zero
}

// sentHint is the last hint that this VM sent to its peers.
type sentHint struct{ units, demand uint32 }

// Hints returns the holdings to include in the next heartbeat: those that have
// changed, and the others in turn.
func (m *Manager) Hints(now time.Time) []*peerv1.QuotaHint {
	if !m.member {
		return nil
	}
	m.hintCall = (m.hintCall + 1) % hintCycleCalls
	var out []*peerv1.QuotaHint
	for i, s := range m.sorted {
		h := sentHint{s.units, s.demandUnits(now)}
		unused := h == sentHint{} && s.lastSentHint == sentHint{}
		due := m.hintAllLimits || i%hintCycleCalls == m.hintCall || differsMuch(h.units, s.lastSentHint.units) || differsMuch(h.demand, s.lastSentHint.demand)
		if unused || !due {
			continue
		}
		s.lastSentHint = h
		out = append(out, &peerv1.QuotaHint{Limit: s.limit.Name, Units: h.units, DemandUnits: h.demand})
	}
	m.hintAllLimits = false
	return out
}

func differsMuch(a, b uint32) bool {
	return max(a, b)-min(a, b) >= minHintChange || (a == 0) != (b == 0)
}

// PeerHints records the hints of a peer's heartbeat.
func (m *Manager) PeerHints(now time.Time, fromVM string, hints []*peerv1.QuotaHint) {
	p := m.peerIndex(fromVM)
	if p < 0 || !m.member {
		return
	}
	for _, h := range hints {
		k := &m.state(now, h.GetLimit()).hints[p]
		k.units, k.demand = h.GetUnits(), h.GetDemandUnits()
	}
}
