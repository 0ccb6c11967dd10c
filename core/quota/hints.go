package quota

import (
	"time"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	// hintTurns is the number of calls of Hints in which every limit is told
	// at least once: 3 s with a heartbeat each 300 ms. It heals lost hints.
	hintTurns = 10
	// hintChange is the change of units or demand that is told at once.
	hintChange = TotalUnits / 64
)

// peerHint is what this VM knows of a peer's holding of one limit.
type peerHint struct {
	units, demand uint32
	deniedAt      time.Time
	askedAt       time.Time // zero when answered
}

// toldHint is what this VM told its peers last.
type toldHint struct{ units, demand uint32 }

// Hints returns the holdings to put into the next heartbeat: those that have
// changed, and the others in turn.
func (m *Manager) Hints(now time.Time) []*peerv1.QuotaHint {
	if !m.member {
		return nil
	}
	m.hintTurn = (m.hintTurn + 1) % hintTurns
	var out []*peerv1.QuotaHint
	for i, s := range m.order {
		h := toldHint{s.units, s.demandUnits(now)}
		silent := h == toldHint{} && s.told == toldHint{}
		due := m.hintAll || i%hintTurns == m.hintTurn || apart(h.units, s.told.units) || apart(h.demand, s.told.demand)
		if silent || !due {
			continue
		}
		s.told = h
		out = append(out, &peerv1.QuotaHint{Limit: s.limit.Name, Units: h.units, DemandUnits: h.demand})
	}
	m.hintAll = false
	return out
}

func apart(a, b uint32) bool {
	return max(a, b)-min(a, b) >= hintChange || (a == 0) != (b == 0)
}

// PeerHints records the hints of a heartbeat.
func (m *Manager) PeerHints(now time.Time, fromVM string, hints []*peerv1.QuotaHint) {
	p := m.peer(fromVM)
	if p < 0 || !m.member {
		return
	}
	for _, h := range hints {
		k := &m.state(now, h.GetLimit()).hints[p]
		k.units, k.demand = h.GetUnits(), h.GetDemandUnits()
	}
}
