package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// smallPart is the capacity, in tokens, of an equal part of a limit below which
// the limit has homes.
const smallPart = 4

// smallRegionPart is the same for the parts of the regions.
const smallRegionPart = 2

// A limit whose burst is small for the number of VMs has a home in each region:
// the member with the highest hash of limit and VM id. Units that are not
// needed go back to the home, and a VM that runs short asks the home first.
// Otherwise the few VMs that hold a whole token would have to be found by hints
// that are half a second old. Units move within the region as a rule, since
// units in flight earn no tokens. If the burst is small for the number of
// regions too, there is one home. A home is a place to look for units, not an
// owner.

const homeSeparator = "\x00"

// setHome chooses the home of the limit for this VM among the members.
func (m *Manager) setHome(s *state) {
	s.small = s.limit.Burst < smallPart*float64(len(m.peers)+1)
	single := s.limit.Burst < smallRegionPart*float64(m.regions)
	s.home = -1
	best := homeScore(s.limit.Name, m.self)
	for i, p := range m.peers {
		if score := homeScore(s.limit.Name, p.member.GetVm()); score > best && (single || p.near) {
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
