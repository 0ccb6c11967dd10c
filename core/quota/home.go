package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// smallPart is the capacity, in tokens, of an equal part of a limit below which
// the limit has a home.
const smallPart = 2

// A limit whose burst is small for the number of VMs has a home: the member
// with the highest hash of limit and VM id. Units that are not needed go back
// to the home, and a VM that runs short asks the home first. Otherwise the few
// VMs that hold a whole token would have to be found by hints that are half a
// second old. The home is a place to look for units, not an owner.

const homeSeparator = "\x00"

// setHome chooses the home of the limit among the members.
func (m *Manager) setHome(s *state) {
	s.small = s.limit.Burst < smallPart*float64(len(m.peers)+1)
	s.home = -1
	best := homeScore(s.limit.Name, m.self)
	for i, p := range m.peers {
		if score := homeScore(s.limit.Name, p.member.GetVm()); score > best {
			s.home, best = i, score
		}
	}
}

func homeScore(limit, vm string) uint64 {
	return xxhash.Sum64String(limit + homeSeparator + vm)
}

// goHome gives units that are not needed here to the home of the limit: units
// of a small limit, and parts of any limit that cannot hold a whole token.
func (m *Manager) goHome(now time.Time, s *state) []Send {
	if s.home < 0 || s.units == 0 || !s.small && s.capacity() >= 1 {
		return nil
	}
	token := s.unitsFor(1)
	keep := uint32(min(float64(s.demandUnits(now))*keepMargin, TotalUnits))
	if keep < token && s.tokens < 1 || s.units < token {
		keep = 0
	}
	if keep >= s.units || keep > 0 && s.units-keep < token {
		return nil
	}
	units := s.units - keep
	return []Send{m.transfer(now, s, s.home, units, s.tokens*float64(units)/float64(s.units))}
}
